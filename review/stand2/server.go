package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a server began to work on.
type run struct {
	server  string
	attempt string
	target  string
	tenant  string
	key     string // the Authorization field, which must not reach a server
	units   int    // the sum of the numbers in Gentianflow-Token-Count
	at      time.Time
	ended   time.Time
	whole   bool // the answer was written completely
}

// server is a sound backend server, but for what the hooks do. mu guards the fields below it.
type server struct {
	id, service, zone string
	slots             int
	streams           bool
	work              time.Duration // of a plain call
	events            int           // of a stream
	gap               time.Duration // between events
	// extra, if set, returns bytes to be sent late after the answer to the n-th request: where the next
	// response on the connection is expected.
	extra func(n int) []byte

	store    *store
	record   *record
	listener net.Listener
	free     chan struct{}
	stopped  chan struct{}

	mu      sync.Mutex
	waiting int
	runs    []*run
	state   string
	seq     int
	served  int
	extras  int
}

func (s *server) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener, s.free, s.stopped, s.state = l, make(chan struct{}, s.slots), make(chan struct{}), "ready"
	s.beat()
	go func() {
		tick := time.NewTicker(1200 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				s.beat()
			case <-s.stopped:
				return
			}
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	s.seq++
	entry := object{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "coldRemainingMs": 0, "sequence": s.seq,
	}
	s.mu.Unlock()
	s.store.put("servers", s.id, entry)
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(s.free), s.waiting, s.slots)
}

// allRuns returns what the server ran.
func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]run, 0, len(s.runs))
	for _, r := range s.runs {
		out = append(out, *r)
	}
	return out
}

// serve handles one connection, one request at a time.
func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if len(late) > 0 {
			s.record.add("%s sends the late extra bytes where the response to %s is expected", s.id, req.Header.Get("Gentianflow-Attempt-Id"))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		if !s.answer(c, req, len(body)) {
			return
		}
		s.mu.Lock()
		s.served++
		n := s.served
		s.mu.Unlock()
		if s.extra != nil {
			if late = s.extra(n); late != nil {
				s.mu.Lock()
				s.extras++
				s.mu.Unlock()
			}
		}
	}
}

// answer runs a request and reports whether the connection goes on.
func (s *server) answer(c net.Conn, req *http.Request, bodyBytes int) bool {
	id := req.Header.Get("Gentianflow-Attempt-Id")
	if req.URL.Path == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nGentianflow-Instance-Id: %s\r\nGentianflow-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", s.id, s.load())
		return err == nil
	}
	if want := req.Header.Get("Gentianflow-Expect-Instance"); want != "" && want != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nGentianflow-Attempt-Id: %s\r\nGentianflow-Not-Executed: 1\r\nGentianflow-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
		return err == nil
	}
	s.mu.Lock()
	s.waiting++
	s.mu.Unlock()
	s.free <- struct{}{}
	defer func() { <-s.free }()
	r := &run{server: s.id, attempt: id, target: req.RequestURI, tenant: req.Header.Get("Gentianflow-Tenant"), key: req.Header.Get("Authorization"), at: time.Now()}
	if a, b, ok := strings.Cut(req.Header.Get("Gentianflow-Token-Count"), ","); ok {
		n, _ := strconv.Atoi(a)
		m, _ := strconv.Atoi(b)
		r.units = n + m
	}
	s.mu.Lock()
	s.waiting--
	s.runs = append(s.runs, r)
	s.mu.Unlock()
	s.record.add("%s runs %s %s %s (body %d B, tenant %q, Authorization %q)", s.id, id, req.Method, req.RequestURI, bodyBytes, r.tenant, r.key)
	whole := s.respond(c, id)
	s.mu.Lock()
	r.ended, r.whole = time.Now(), whole
	s.mu.Unlock()
	if !whole {
		s.record.add("%s: the connection of %s ended during its run", s.id, id)
	}
	return whole
}

// respond writes the answer and reports whether it was written whole.
func (s *server) respond(c net.Conn, id string) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nGentianflow-Attempt-Id: %s\r\nGentianflow-Server-Seal: seal.%s.%s\r\nGentianflow-Server-Load: %s\r\n", id, s.id, id, s.load())
	if !s.streams {
		time.Sleep(s.work)
		text := answerText(id)
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
		return err == nil
	}
	if _, err := fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return false
	}
	for i := 1; i <= s.events; i++ {
		time.Sleep(s.gap)
		text := eventText(id, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func answerText(id string) string { return "answer to " + id + strings.Repeat(".", 780) }

func eventText(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", i, id, i) }
