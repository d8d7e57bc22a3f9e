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
	"testing"
	"testing/synctest"
	"time"

	kitlog "github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
)

// These specs run the duties that follow the tables of servers and of the operator for whole
// fleets, in virtual time: hosts that read the store, relays, and what each host knows.

// drainBound is how long after the store has acknowledged that a server leaves it may still
// be sent work, by the size of the fleet.
func drainBound(hosts int) time.Duration {
	switch {
	case hosts < 50:
		return 2 * time.Second
	case hosts < 150:
		return 3 * time.Second
	}
	return 4 * time.Second
}

// absence is how the store treats a host.
type absence int

const (
	present absence = iota
	silent          // no answer comes
	refused         // an error comes at once
	frozen          // the host itself stands still
)

func (a absence) String() string {
	return [...]string{"present", "silent", "refused", "frozen"}[a]
}

// storeTable is a table of the platform's store. mu guards all fields; changed is closed and
// made anew with each change.
type storeTable struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	history []store.Row
	version int64
	changed chan struct{}
}

func newStoreTable() *storeTable {
	return &storeTable{rows: map[string]store.Row{}, changed: make(chan struct{})}
}

func (t *storeTable) write(rows ...store.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows {
		t.version++
		r.Version = t.version
		t.rows[r.Key] = r
		if r.Deleted {
			delete(t.rows, r.Key)
		}
		t.history = append(t.history, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *storeTable) whole() ([]store.Row, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []store.Row
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	return rows, t.version
}

func (t *storeTable) since(after int64) ([]store.Row, int64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []store.Row
	for _, r := range t.history {
		if r.Version > after {
			rows = append(rows, r)
		}
	}
	return rows, t.version, t.changed
}

// The bounds of the store's client.
const (
	storeAnswer = 4 * time.Millisecond
	storeCall   = 1500 * time.Millisecond
	storeMargin = 800 * time.Millisecond
)

// Snapshot and Changes make a fleetHost the store's client of that host.

func (h *fleetHost) Snapshot(ctx context.Context, table string) ([]store.Row, int64, error) {
	if err := h.answer(ctx, time.Now().Add(storeCall)); err != nil {
		return nil, 0, err
	}
	rows, version := h.fleet.tables[table].whole()
	return rows, version, nil
}

func (h *fleetHost) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]store.Row, int64, error) {
	limit := time.Now().Add(wait + storeMargin)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waits := true; ; {
		if err := h.answer(ctx, limit); err != nil {
			return nil, 0, err
		}
		rows, version, changed := h.fleet.tables[table].since(after)
		if len(rows) > 0 || !waits {
			return rows, version, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			waits = false
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// answer takes the time of an answer, or until limit when none comes.
func (h *fleetHost) answer(ctx context.Context, limit time.Time) error {
	time.Sleep(storeAnswer)
	switch h.absence() {
	case silent:
		select {
		case <-time.After(time.Until(limit)):
		case <-ctx.Done():
		}
		return failure.New(failure.StoreDown, "no answer")
	case refused:
		return failure.New(failure.StoreDown, "turned away")
	case frozen:
		h.thaw()
		return failure.New(failure.StoreDown, "no answer in time")
	}
	return nil
}

// thaw waits until the host goes on.
func (h *fleetHost) thaw() {
	for h.absence() == frozen && h.fleet.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// freeze lets the host stand still. Others notice on their sessions.
func (h *fleetHost) freeze() {
	h.setAbsence(frozen)
	time.AfterFunc(sessionSilence, func() {
		if h.absence() == frozen {
			h.fleet.breakStreams(h)
		}
	})
}

// sessionSilence is how long sessions take to notice a host that stands still.
const sessionSilence = peer.ProbePeriod + peer.ProbeDeadline

// fleetHost is the part of an entry host that follows the tables. mu guards away, used and
// configs.
type fleetHost struct {
	fleet   *testFleet
	index   int // in the ranking
	relays  *store.Relays
	servers *servers

	mu   sync.Mutex
	away absence
	used map[string]time.Time // by server, when it was last to be used; zero: it is now
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

// testReaders is how many hosts of the ranking read the store for all, testStandIns how many
// behind them do while none of these has news.
const (
	testReaders  = 5
	testStandIns = 10
)

// Order, Open and Hosts make a fleetHost the store.Readers of that host.

func (h *fleetHost) Order() store.Order {
	o := store.Order{Readers: min(testReaders, len(h.fleet.hosts)), Self: -1}
	for i := range min(testReaders+testStandIns, len(h.fleet.hosts)) {
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

// fleetSizes are the sizes at which the specs run, from the smallest site to the largest
// planned one.
var fleetSizes = []int{6, 60, 195, 390}

// lateSpan is the longest that hosts went on using servers that had left, after the store had
// acknowledged it, by how these servers left; and lacked a configuration.
type lateSpan struct{ draining, gone, config time.Duration }

// add takes what a host did after the i-th server left and the configuration changed.
func (l *lateSpan) add(h *fleetHost, i int, at time.Time) {
	late := h.lateness(server(i), at)
	if i%2 == 0 {
		l.draining = max(l.draining, late)
	} else {
		l.gone = max(l.gone, late)
	}
	l.config = max(l.config, h.lacked(i+1, at))
}

func (l lateSpan) check(t *testing.T, who string, hosts int) {
	for what, late := range map[string]time.Duration{"entry taken away": l.gone, "draining": l.draining, "configuration": l.config} {
		t.Run(who+", "+what, func(t *testing.T) {
			t.Log(late)
			NewWithT(t).Expect(late).To(BeNumerically("<", drainBound(hosts)))
		})
	}
}

// Guards against servers that get work long after they have left: the store turns all its
// readers and a third of the others away while it serves the rest, and servers leave, by
// saying so or by taking their entry away, meanwhile and after its return.
func TestServersThatLeaveWhileTheReadersAreTurnedAway(t *testing.T) {
	for _, how := range []absence{silent, refused} {
		for _, hosts := range fleetSizes {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%d hosts %v seed %d", hosts, how, seed), func(t *testing.T) {
					var home, inTouch lateSpan
					synctest.Test(t, func(t *testing.T) {
						f := startFleet(NewWithT(t), hosts, leavers+20, seed)
						defer f.stop()
						var cut []*fleetHost
						for i, h := range f.hosts {
							if i < testReaders || i != testReaders && f.seed.IntN(3) == 0 {
								h.setAbsence(how)
								cut = append(cut, h)
							}
						}
						home, inTouch = f.leaveWithout(cut, 9*time.Second)
					})
					inTouch.check(t, "hosts in touch", hosts)
					home.check(t, "home", hosts)
				})
			}
		}
	}
}

// Guards against the same while the home stands still, alone and with the next readers: hosts
// wait for their word, and dial them in vain.
func TestServersThatLeaveWhileReadersStandStill(t *testing.T) {
	for _, hosts := range fleetSizes {
		for still := 1; still <= 3; still++ {
			t.Run(fmt.Sprintf("%d hosts %d still", hosts, still), func(t *testing.T) {
				var inTouch lateSpan
				synctest.Test(t, func(t *testing.T) {
					f := startFleet(NewWithT(t), hosts, leavers+20, uint64(still))
					defer f.stop()
					for _, h := range f.hosts[:still] {
						h.freeze()
					}
					_, inTouch = f.leaveWithout(f.hosts[:still], 4*time.Second)
				})
				inTouch.check(t, "hosts in touch", hosts)
			})
		}
	}
}

// Of leavers, one leaves each leaveEvery.
const (
	leavers    = 52
	leaveEvery = 250 * time.Millisecond
)

// leaveWithout lets servers leave while hosts are away, and after their return. It returns how
// late the home was, whose list decides for all hosts, and how late those in touch all along.
func (f *testFleet) leaveWithout(away []*fleetHost, span time.Duration) (home, inTouch lateSpan) {
	begun := time.Now()
	left := make([]time.Time, leavers)
	for i := range leavers {
		time.Sleep(time.Until(begun.Add(time.Duration(i)*leaveEvery + time.Duration(f.seed.Int64N(int64(leaveEvery))))))
		if time.Since(begun) > span {
			for _, h := range away {
				h.setAbsence(present)
			}
		}
		f.leave(i)
		f.configure(i + 1)
		left[i] = time.Now()
	}
	time.Sleep(10 * time.Second)
	for i, at := range left {
		home.add(f.hosts[0], i, at)
		for _, h := range f.hosts {
			if !slices.Contains(away, h) {
				inTouch.add(h, i, at)
			}
		}
	}
	return home, inTouch
}

// Guards against a fleet without servers: the store is away for all, entries of servers that
// live lapse meanwhile, and are back within two seconds of its return.
func TestServersWhoseEntriesLapseInAnOutage(t *testing.T) {
	for _, how := range []absence{silent, refused} {
		for _, hosts := range fleetSizes {
			for _, away := range []time.Duration{3 * time.Second, 4500 * time.Millisecond, 9 * time.Second} {
				t.Run(fmt.Sprintf("%d hosts %v for %v", hosts, how, away), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { lapseInAnOutage(NewWithT(t), hosts, how, away) })
				})
			}
		}
	}
}

func lapseInAnOutage(g Gomega, hosts int, how absence, away time.Duration) {
	const servers = 40
	f := startFleet(g, hosts, servers, 1)
	defer f.stop()
	for _, h := range f.hosts {
		h.setAbsence(how)
	}
	time.Sleep(away)
	for i := range servers {
		f.tables[serverTable].write(gone(server(i)))
	}
	for _, h := range f.hosts {
		h.setAbsence(present)
	}
	returned := time.Now()
	for i := range servers {
		time.Sleep(time.Until(returned.Add(time.Duration(i) * 1900 * time.Millisecond / servers)))
		f.tables[serverTable].write(ready(server(i)))
		for _, h := range f.hosts {
			g.Expect(h.uses()).To(Equal(servers), "host %d of %d, %v after the return", h.index, hosts, time.Since(returned))
		}
	}
	time.Sleep(5 * time.Second)
	for _, h := range f.hosts {
		g.Expect(h.uses()).To(Equal(servers))
	}
}
