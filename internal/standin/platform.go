// Package standin holds small stand-ins for what surrounds the system: the
// platform's services, a model engine and a plain service. They are
// scaffolding for the demo and the tests.
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

// PlatformFaults are the switches of the platform stand-in.
type PlatformFaults struct {
	TableDown   bool `json:"table_down"`
	ObjectsDown bool `json:"objects_down"`
	HostsDown   bool `json:"hosts_down"`
	SlowMS      int  `json:"slow_ms"`      // added to each call
	LoseAnswers int  `json:"lose_answers"` // next writes take effect and answer nothing
}

// The rates of the table service.
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

	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	hosts   []platform.Host
	listed  []platform.Host // hosts as the lagging list shows them
	shownAt time.Time
	faults  PlatformFaults
}

// NewPlatform makes a platform whose host list lags.
func NewPlatform(hostLag time.Duration) *Platform {
	return &Platform{
		writes: rate.NewLimiter(writesPerSecond, writesPerSecond),
		reads:  rate.NewLimiter(readsPerSecond, readsPerSecond),
		lag:    hostLag, rows: map[string]platform.Row{}, objects: map[string][]byte{},
	}
}

// SetFaults sets the switches.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	p.faults = f
	p.mu.Unlock()
}

// SetHosts changes the host list; callers see it after the lag.
func (p *Platform) SetHosts(hosts []platform.Host) {
	p.mu.Lock()
	p.showDue()
	p.hosts, p.shownAt = hosts, time.Now().Add(p.lag)
	p.mu.Unlock()
}

func (p *Platform) showDue() {
	if time.Now().After(p.shownAt) {
		p.listed = p.hosts
	}
}

// Row returns a row directly, for checks.
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

// pass applies the slow and down switches and the rate.
func (p *Platform) pass(w http.ResponseWriter, r *http.Request, l *rate.Limiter, down func(PlatformFaults) bool) bool {
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
	if !p.pass(w, r, p.reads, tableDown) {
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
	if !p.pass(w, r, p.writes, tableDown) {
		return
	}
	var ans applyAnswer
	p.mu.Lock()
	for _, wr := range body.Writes {
		ans.Results = append(ans.Results, p.write(wr))
	}
	lose := p.faults.LoseAnswers > 0
	if lose {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler) // the effect stays, the answer is gone
	}
	reply(w, ans)
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
	if !p.pass(w, r, p.writes, objectsDown) {
		return
	}
	p.mu.Lock()
	p.objects[r.PathValue("name")] = body.Content
	p.mu.Unlock()
	reply(w, struct{}{})
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	if !p.pass(w, r, p.reads, objectsDown) {
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
	if !p.pass(w, r, p.reads, hostsDown) {
		return
	}
	p.mu.Lock()
	p.showDue()
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

// Serve runs a handler until ctx ends.
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
