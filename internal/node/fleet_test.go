package node

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	kitlog "github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
)

// thaw waits until the host goes on.
func (h *fleetHost) thaw() {
	for h.absence() == frozen && h.fleet.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// suspected reports whether the membership suspects a host that stands still. In large fleets
// word of that comes too late to count on.
func (h *fleetHost) suspected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.fleet.hosts) < 50 && time.Since(h.struck) > suspicionTime
}

// suspicionTime is how long the members of a small fleet take to suspect one: a round of
// probes, a direct and an indirect answer awaited, and a round to tell it.
const suspicionTime = 1300 * time.Millisecond

// strike makes the host absent. Others notice one that stands still on their sessions.
func (h *fleetHost) strike(kind absence) {
	h.mu.Lock()
	h.away, h.struck = kind, time.Now()
	h.mu.Unlock()
	if kind != frozen {
		return
	}
	time.AfterFunc(sessionSilence, func() {
		if h.absence() == frozen {
			h.fleet.breakStreams(h)
		}
	})
}

// sessionSilence is how long sessions take to notice a host that stands still.
const sessionSilence = peer.ProbePeriod + peer.ProbeDeadline

// fleetHost is the part of an entry host that follows the tables. mu guards away, struck, used
// and configs.
type fleetHost struct {
	fleet   *testFleet
	index   int // in the ranking
	relays  *store.Relays
	servers *servers

	mu     sync.Mutex
	away   absence
	struck time.Time            // when it became so by strike
	used   map[string]time.Time // by server, when it was last to be used; zero: it is now
	// configs tells by version of the configuration when the host had it, or a newer one.
	configs []time.Time
}

func (h *fleetHost) absence() absence {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.away
}

func (h *fleetHost) setAbsence(a absence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.away = a
}

// apply notes which servers the scheduler of this host would use.
func (h *fleetHost) apply(list []sched.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	usable := map[string]bool{}
	for _, srv := range list {
		usable[srv.ID] = !srv.Draining
	}
	for id, last := range h.used {
		if last.IsZero() && !usable[id] {
			h.used[id] = now
		}
	}
	for id, use := range usable {
		if use {
			h.used[id] = time.Time{}
		}
	}
}

// applyConfig notes which configuration the host has.
func (h *fleetHost) applyConfig(u store.Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range u.Rows {
		version, err := strconv.Atoi(string(r.Value))
		for err == nil && len(h.configs) <= version {
			h.configs = append(h.configs, time.Now())
		}
	}
}

// lacked is how long after a moment the host had an older configuration than a version.
func (h *fleetHost) lacked(version int, after time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.configs) <= version {
		return time.Since(after)
	}
	return h.configs[version].Sub(after)
}

// lateness is how long after a moment a server was still to be used.
func (h *fleetHost) lateness(server string, after time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, known := h.used[server]
	switch {
	case !known:
		return 0
	case last.IsZero():
		return time.Since(after)
	}
	return last.Sub(after)
}

// uses counts the servers that the host would use now.
func (h *fleetHost) uses() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, last := range h.used {
		if last.IsZero() {
			n++
		}
	}
	return n
}

// testReaders is how many hosts of the ranking read the store for all, testStandbys how many
// behind them do while none of these has news.
const (
	testReaders  = 5
	testStandbys = 10
)

// Order, Open and Hosts make a fleetHost the store.Readers of that host.

func (h *fleetHost) Order() store.Order {
	o := store.Order{Readers: min(testReaders, len(h.fleet.hosts)), Self: -1}
	for i := range min(testReaders+testStandbys, len(h.fleet.hosts)) {
		if i == h.index {
			o.Self = i
		}
		o.Names = append(o.Names, fmt.Sprint(i))
	}
	return o
}

func (h *fleetHost) Hosts() int { return len(h.fleet.hosts) }

func (h *fleetHost) Open(ctx context.Context, name string) (*peer.Stream, error) {
	i := slices.IndexFunc(h.fleet.hosts, func(o *fleetHost) bool { return fmt.Sprint(o.index) == name })
	to := h.fleet.hosts[i]
	if to.absence() == frozen {
		if to.suspected() {
			return nil, failure.New(failure.PeerSilent, "host %s leaves probes unanswered", name)
		}
		<-ctx.Done() // its kernel accepts, and nothing is said
		return nil, failure.Wrap(failure.PeerSilent, ctx.Err(), "greet host %s", name)
	}
	a, b := net.Pipe()
	h.fleet.keep(to, a, b)
	h.fleet.duties.Go(func() {
		role := func() store.Role {
			to.thaw()
			return to.Order().Role()
		}
		to.relays.Serve(h.fleet.ctx, &peer.Stream{Conn: b, R: bufio.NewReader(b)}, role)
	})
	return &peer.Stream{Conn: a, R: bufio.NewReader(a)}, nil
}

// The tables that a testFleet follows.
const (
	serverTable   = "servers"
	operatorTable = "op"
)

// testFleet is a fleet that follows the tables. mu guards streams.
type testFleet struct {
	ctx    context.Context
	cancel context.CancelFunc
	duties sync.WaitGroup
	tables map[string]*storeTable
	hosts  []*fleetHost
	seed   *rand.Rand

	mu      sync.Mutex
	streams map[*fleetHost][]net.Conn // by the host that they were opened to
}

// keep notes the ends of a stream to a host.
func (f *testFleet) keep(to *fleetHost, ends ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams[to] = append(f.streams[to], ends...)
}

// breakStreams ends the streams to a host.
func (f *testFleet) breakStreams(to *fleetHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.streams[to] {
		_ = c.Close() // a pipe's end never fails to
	}
	delete(f.streams, to)
}

// stop ends all duties; a synctest bubble ends with its last goroutine.
func (f *testFleet) stop() {
	f.cancel()
	for _, h := range f.hosts {
		f.breakStreams(h)
	}
	f.duties.Wait()
}

// startFleet starts a fleet that knows some servers. It runs within a synctest bubble.
func startFleet(g Gomega, hosts, servers int, seed uint64) *testFleet {
	f := &testFleet{
		tables:  map[string]*storeTable{serverTable: newStoreTable(), operatorTable: newStoreTable()},
		streams: map[*fleetHost][]net.Conn{},
		seed:    rand.New(rand.NewPCG(seed, uint64(hosts))),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for i := range servers {
		f.tables[serverTable].write(ready(server(i)))
	}
	f.configure(0)
	events := event.NewRecorder("h", "i", 16, kitlog.NewNopLogger())
	for i := range hosts {
		h := &fleetHost{fleet: f, index: i, relays: store.NewRelays(), used: map[string]time.Time{}}
		h.servers = newServers(decodeState, events, h.apply)
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		for table, apply := range map[string]func(store.Update){serverTable: h.servers.take, operatorTable: h.applyConfig} {
			w := newWatcher(h, h, h.relays, table, events, apply)
			f.duties.Go(func() { w.Run(f.ctx) })
		}
		f.duties.Go(h.sweep)
	}
	time.Sleep(5 * time.Second)
	for _, h := range f.hosts {
		g.Expect(h.uses()).To(Equal(servers))
	}
	return f
}

func (h *fleetHost) sweep() {
	for h.fleet.ctx.Err() == nil {
		time.Sleep(sweepPeriod)
		h.servers.tick()
	}
}

// configure writes a version of the configuration.
func (f *testFleet) configure(version int) {
	f.tables[operatorTable].write(store.Row{Key: "config", Value: fmt.Append(nil, version)})
}

// leave lets a server leave, by saying so or by taking its entry away.
func (f *testFleet) leave(i int) {
	row := gone(server(i))
	if i%2 == 0 {
		row = draining(server(i))
	}
	f.tables[serverTable].write(row)
}

func server(i int) string { return fmt.Sprint("s", i) }

func ready(name string) store.Row { return store.Row{Key: name, Value: []byte("ready")} }

func draining(name string) store.Row { return store.Row{Key: name, Value: []byte("draining")} }

func gone(name string) store.Row { return store.Row{Key: name, Deleted: true} }

func decodeState(name string, value []byte) (sched.Server, error) {
	return sched.Server{ID: name, Address: name, Draining: string(value) == "draining"}, nil
}
