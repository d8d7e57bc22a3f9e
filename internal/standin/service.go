package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/ident"
)

// Service is a plain application service. Each call takes the duration Work. Some
// calls are not idempotent: they must not run twice.
type Service struct {
	Name    string
	Work    time.Duration
	History *history.Log

	incarnation string
	running     atomic.Int64
	done        atomic.Int64
}

// NewService makes a service.
func NewService(name string, work time.Duration, log *history.Log) *Service {
	return &Service{Name: name, Work: work, History: log, incarnation: ident.NewIncarnation().String()}
}

type callAnswer struct {
	RequestID string `json:"request_id"`
	Server    string `json:"server"`
	Echo      string `json:"echo"` // xxh64 of the body
	Number    int64  `json:"number"`
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, loadBody{Incarnation: s.incarnation, Running: int(s.running.Load())})
	})
	mux.HandleFunc("POST /{path...}", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.History.Add(history.Event{Kind: history.Started, Source: s.Name, Server: s.Name, ID: id})
	s.running.Add(1)
	defer s.running.Add(-1)
	time.Sleep(s.Work)
	answer := callAnswer{RequestID: id, Server: s.Name, Echo: strconv.FormatUint(xxhash.Sum64(body), 16), Number: s.done.Add(1)}
	text, err := json.Marshal(answer)
	if err != nil {
		return
	}
	s.History.Add(history.Event{
		Kind: history.Made, Source: s.Name, Server: s.Name, ID: id, Bytes: len(text),
		Sum: strconv.FormatUint(xxhash.Sum64(text), 16),
	})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
