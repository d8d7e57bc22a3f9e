// Package standin has small stand-ins for the system's environment: the platform's
// services, a model engine and a plain service. Only the demo, the benchmarks and
// the tests use them.
package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/gentianflow/gentianflow/internal/platform"
)

// PlatformFaults are the faults that the platform stand-in simulates.
type PlatformFaults struct {
	TableDown   bool `json:"table_down"`
	ObjectsDown bool `json:"objects_down"`
	HostsDown   bool `json:"hosts_down"`
	SlowMS      int  `json:"slow_ms"`      // delay added to each call
	LoseAnswers int  `json:"lose_answers"` // number of apply calls that will take effect without an answer
}

// The rate limits of reads and writes.
const (
	writesPerSecond = 400
	readsPerSecond  = 2000
)

// Platform is the table service, object store and host list in one handler.
// mu guards all fields below it.
type Platform struct {
	writes *rate.Limiter
	reads  *rate.Limiter
	lag    time.Duration

	mu        sync.Mutex
	rows      map[string]platform.Row
	objects   map[string][]byte
	hosts     []platform.Host
	listed    []platform.Host // the host list as callers see it, delayed by lag
	visibleAt time.Time
	faults    PlatformFaults
}

// NewPlatform makes a platform whose host list shows changes after hostLag.
func NewPlatform(hostLag time.Duration) *Platform {
	return &Platform{
		writes: rate.NewLimiter(writesPerSecond, writesPerSecond),
		reads:  rate.NewLimiter(readsPerSecond, readsPerSecond),
		lag:    hostLag, rows: map[string]platform.Row{}, objects: map[string][]byte{},
	}
}

// SetFaults replaces the simulated faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	p.faults = f
	p.mu.Unlock()
}

// SetHosts changes the host list; callers see it after the lag.
func (p *Platform) SetHosts(hosts []platform.Host) {
	p.mu.Lock()
	p.updateListed()
	p.hosts, p.visibleAt = hosts, time.Now().Add(p.lag)
	p.mu.Unlock()
}

// updateListed copies the host list to the visible one once its delay is over. The
// caller holds mu.
func (p *Platform) updateListed() {
	if time.Now().After(p.visibleAt) {
		p.listed = p.hosts
	}
}

// Row returns a row without simulated faults or rate limits, for checks in tests.
func (p *Platform) Row(key string) platform.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[key]
}

// Handler returns the HTTP handler.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", p.get)
	mux.HandleFunc("POST /table/apply", p.apply)
	mux.HandleFunc("POST /objects/{name}", p.putObject)
	mux.HandleFunc("GET /objects/{name}", p.getObject)
	mux.HandleFunc("GET /hosts", p.getHosts)
	mux.HandleFunc("POST /hosts", p.postHosts)
	mux.HandleFunc("POST /faults", p.postFaults)
	return mux
}

// admit applies the simulated delay and outage and the rate limit. It returns false
// if the call must not proceed.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, l *rate.Limiter, down func(PlatformFaults) bool) bool {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	select {
	case <-time.After(time.Duration(f.SlowMS) * time.Millisecond):
	case <-r.Context().Done():
		return false
	}
	if down(f) || !l.Allow() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

func tableDown(f PlatformFaults) bool   { return f.TableDown }
func objectsDown(f PlatformFaults) bool { return f.ObjectsDown }
func hostsDown(f PlatformFaults) bool   { return f.HostsDown }

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, p.reads, tableDown) {
		return
	}
	reply(w, p.Row(r.URL.Query().Get("key")))
}

type applyBody struct {
	Writes []platform.Write `json:"writes"`
}

type applyAnswer struct {
	Results []platform.WriteResult `json:"results"`
}

func (p *Platform) apply(w http.ResponseWriter, r *http.Request) {
	var body applyBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !p.admit(w, r, p.writes, tableDown) {
		return
	}
	var answer applyAnswer
	p.mu.Lock()
	for _, wr := range body.Writes {
		answer.Results = append(answer.Results, p.write(wr))
	}
	loseAnswer := p.faults.LoseAnswers > 0
	if loseAnswer {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler) // the writes took effect, the answer is lost
	}
	reply(w, answer)
}

// write applies one conditional write. The caller holds mu.
func (p *Platform) write(wr platform.Write) platform.WriteResult {
	row := p.rows[wr.Key]
	if row.Version != wr.IfVersion {
		return platform.WriteResult{Row: row}
	}
	if wr.Delete {
		delete(p.rows, wr.Key)
		return platform.WriteResult{Done: true}
	}
	row = platform.Row{Value: wr.Value, Version: row.Version + 1}
	p.rows[wr.Key] = row
	return platform.WriteResult{Done: true, Row: row}
}

type objectBody struct {
	Content []byte `json:"content"`
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	var body objectBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !p.admit(w, r, p.writes, objectsDown) {
		return
	}
	p.mu.Lock()
	p.objects[r.PathValue("name")] = body.Content
	p.mu.Unlock()
	reply(w, struct{}{})
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, p.reads, objectsDown) {
		return
	}
	p.mu.Lock()
	content, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, objectBody{Content: content})
}

type hostsBody struct {
	Hosts []platform.Host `json:"hosts"`
}

func (p *Platform) getHosts(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, p.reads, hostsDown) {
		return
	}
	p.mu.Lock()
	p.updateListed()
	hosts := p.listed
	p.mu.Unlock()
	reply(w, hostsBody{Hosts: hosts})
}

func (p *Platform) postHosts(w http.ResponseWriter, r *http.Request) {
	var body hostsBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetHosts(body.Hosts)
	reply(w, struct{}{})
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if json.NewDecoder(r.Body).Decode(&f) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	reply(w, struct{}{})
}

// Serve serves a handler on the address until ctx ends.
func Serve(ctx context.Context, address string, h http.Handler) error {
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return err
}
