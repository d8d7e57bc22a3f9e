package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", func(w http.ResponseWriter, r *http.Request) {
		e.cancel(r.PathValue("id"))
		reply(w, struct{}{})
	})
	mux.HandleFunc("GET /v1/load", e.getLoad)
	mux.HandleFunc("GET /v1/cache/events", e.getCacheEvents)
	mux.HandleFunc("POST /v1/orders", e.postOrder)
	mux.HandleFunc("GET /v1/state", e.getState)
	mux.HandleFunc("POST /v1/speed", e.postSpeed)
	return mux
}

type completionBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := body.Prompt
	for _, m := range body.Messages {
		prompt += m.Content + "\n"
	}
	id := r.Header.Get("X-Request-Id")
	if len(id) < 8 {
		http.Error(w, "X-Request-Id is missing", http.StatusBadRequest)
		return
	}
	e.follow(w, r, e.accept(id, prompt, body.MaxTokens), 0)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	s := e.find(r.PathValue("id"))
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.follow(w, r, s, from)
}

// follow writes the stream, starting at the given part. The engine continues when
// the client disconnects; only cancel and Restart stop it.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for {
		e.mu.Lock()
		parts := s.parts[min(from, len(s.parts)):]
		done, cancelled, changed := s.done, s.cancelled, s.changed
		e.mu.Unlock()
		for i, p := range parts {
			_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: %s\n\n", s.id, from+i, p)
		}
		from += len(parts)
		if done {
			e.writeEnd(w, s)
			return
		}
		if cancelled {
			panic(http.ErrAbortHandler)
		}
		_ = controller.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Second):
			_, _ = fmt.Fprint(w, ": waiting\n\n")
		}
	}
}

type endBody struct {
	Parts        int    `json:"parts"`
	Checksum     string `json:"xxh64"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	OutputTokens int    `json:"output_tokens"`
}

func (e *Engine) writeEnd(w http.ResponseWriter, s *stream) {
	e.mu.Lock()
	end := endBody{
		Parts: len(s.parts), Checksum: strconv.FormatUint(s.partsSum.Sum64(), 16),
		PromptTokens: s.computed, CachedTokens: s.cached, OutputTokens: len(s.parts),
	}
	e.mu.Unlock()
	text, err := json.Marshal(end)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "event: end\ndata: %s\n\n", text)
}

type loadBody struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	AgeMillis   int64  `json:"age_ms"`
	Draining    bool   `json:"draining"`
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	running, age := e.load()
	e.mu.Lock()
	body := loadBody{Incarnation: e.incarnation, Running: running, AgeMillis: age.Milliseconds(), Draining: e.draining}
	e.mu.Unlock()
	reply(w, body)
}

type cacheEventBody struct {
	Seq       uint64 `json:"seq"`
	Key       uint64 `json:"key"`
	Evicted   bool   `json:"evicted"`
	AgeMillis int64  `json:"age_ms"`
}

type cacheEventsBody struct {
	Events []cacheEventBody `json:"events"`
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var body cacheEventsBody
	for _, ev := range e.cacheEvents(after) {
		body.Events = append(body.Events, cacheEventBody{
			Seq: ev.seq, Key: uint64(ev.key), Evicted: ev.evicted, AgeMillis: time.Since(ev.at).Milliseconds(),
		})
	}
	reply(w, body)
}

type orderBody struct {
	Fence uint64 `json:"fence"`
	State string `json:"state"`
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !e.applyOrder(o.Fence, o.State) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	reply(w, struct{}{})
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	body := orderBody{Fence: e.fence, State: e.state}
	e.mu.Unlock()
	reply(w, body)
}

type speedBody struct {
	Speed float64 `json:"speed"`
}

func (e *Engine) postSpeed(w http.ResponseWriter, r *http.Request) {
	var s speedBody
	if json.NewDecoder(r.Body).Decode(&s) != nil || s.Speed <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.SetSpeed(s.Speed)
	reply(w, struct{}{})
}

// WholeText returns the text of the complete answer that an engine makes for an id.
func WholeText(id string, parts int) string { return strings.Clone(textOf(id, parts)) }
