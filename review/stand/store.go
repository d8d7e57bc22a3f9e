package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is the platform's store: rows in tables, with a feed of changes. It keeps all history.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	started time.Time
	era     int  // in the header Store-Era, if it is above 0
	away    bool // every call gets 503
}

// storeCopy is what a store held at some time.
type storeCopy struct {
	rows    map[rowKey]row
	history []row
	version int64
}

// copy returns a copy of what the store holds.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rows: maps.Clone(s.rows), history: slices.Clone(s.history), version: s.version}
}

// leave makes the store refuse every call; calls that wait for changes end.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// comeBack makes the store answer again with what a copy holds. Its versions go back to those of the copy.
func (s *store) comeBack(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.version = c.rows, c.history, c.version
	s.era++
	s.away = false
}

// isAway reports whether the store refuses calls now.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// refuses answers a call while the store is away, and states the era otherwise.
func (s *store) refuses(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
	}
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.away
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row for the operator or a server, and returns when the store has accepted it.
func (s *store) put(table, key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values of this program always marshal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: encoded, Version: s.version})
	s.notify()
	return time.Now()
}

// remove deletes a row.
func (s *store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.notify()
	return time.Now()
}

func (s *store) set(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) nowMs() int64 { return time.Since(s.started).Milliseconds() }

// serve answers calls at an address until the returned server is closed.
func (s *store) serve(l net.Listener) *http.Server {
	server := &http.Server{Handler: s.handler()}
	go func() { _ = server.Serve(l) }() // ends when the server is closed
	return server
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("POST /rows-tx", s.transact)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.refuses(w) {
			mux.ServeHTTP(w, r)
		}
	})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}

// maxPageRows is the largest number of rows in an answer.
const maxPageRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, r := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	rows = rows[:min(limit, len(rows))]
	reply(w, http.StatusOK, map[string]any{"rows": rows, "morePages": more, "ver": s.version, "nowMs": s.nowMs()})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]bool{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") {
			found[k.part] = true
		}
	}
	parts := []string{}
	for part := range found {
		parts = append(parts, part)
	}
	sort.Strings(parts)
	reply(w, http.StatusOK, map[string]any{"parts": parts, "morePages": false, "ver": s.version, "nowMs": s.nowMs()})
}

// maxFeedWait is the longest time that a call waits for changes.
const maxFeedWait = 30 * time.Second

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	waitMs, err := strconv.Atoi(q.Get("waitMs"))
	if err != nil {
		waitMs = 0
	}
	timeout := time.After(min(maxFeedWait, time.Duration(waitMs)*time.Millisecond))
	for {
		if s.isAway() {
			reply(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		rows, version, changed := s.changesSince(q.Get("table"), after)
		if after > version {
			reply(w, http.StatusGone, map[string]any{"ver": version, "nowMs": s.nowMs()})
			return
		}
		if len(rows) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "nowMs": s.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "nowMs": s.nowMs()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesSince(table string, after int64) (rows []row, version int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = []row{}
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			rows = append(rows, r)
		}
	}
	return rows, s.version, s.changed
}

type transaction struct {
	Precondition []row `json:"precondition"`
	Puts         []row `json:"puts"`
	Deletes      []row `json:"deletes"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": fmt.Sprint(err)})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	holds := true
	for _, c := range tx.Precondition {
		have := s.rows[rowKey{c.Table, c.Part, c.Key}]
		holds = holds && have.Version == c.Version
		current = append(current, have)
	}
	for _, p := range append(tx.Puts, tx.Deletes...) {
		if p.Table == "op" || p.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "nowMs": s.nowMs()})
		return
	}
	s.version++
	for _, p := range tx.Puts {
		p.Version, p.Deleted = s.version, false
		s.set(p)
	}
	for _, d := range tx.Deletes {
		s.set(row{Table: d.Table, Part: d.Part, Key: d.Key, Version: s.version, Deleted: true})
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"ver": s.version, "nowMs": s.nowMs()})
}
