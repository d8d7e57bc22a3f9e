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

// waitWhileFrozen blocks until the host is no longer frozen.
func (h *fleetHost) waitWhileFrozen() {
	for h.availability() == frozen && h.fleet.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// suspected reports whether membership suspects a host that became unavailable. In fleets of 50
// hosts or more it is always false, since a suspicion spreads too slowly there to rely on it.
func (h *fleetHost) suspected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.fleet.hosts) < 50 && time.Since(h.unavailableSince) > suspicionTime
}

// suspicionTime is how long the members of a small fleet take to suspect one: a round of
// probes, the timeouts of a direct and an indirect answer, and a round to spread it.
const suspicionTime = 1300 * time.Millisecond

// makeUnavailable makes the host unavailable. Sessions to a frozen host break after
// sessionDetectionTime.
func (h *fleetHost) makeUnavailable(kind availability) {
	h.mu.Lock()
	h.state, h.unavailableSince = kind, time.Now()
	h.mu.Unlock()
	if kind != frozen {
		return
	}
	time.AfterFunc(sessionDetectionTime(len(h.fleet.hosts)), func() {
		if h.availability() == frozen {
			h.fleet.breakStreams(h)
		}
	})
}

// sessionDetectionTime is how long sessions take to detect a frozen host in a fleet of a size.
func sessionDetectionTime(hosts int) time.Duration {
	return probePeriod(drainBound(hosts)) + peer.ProbeDeadline
}

// fleetHost is the part of an entry host that follows the tables. mu guards the fields below
// it.
type fleetHost struct {
	fleet   *testFleet
	index   int // rank among the hosts
	relays  *store.Relays
	servers *servers

	mu               sync.Mutex
	state            availability
	unavailableSince time.Time            // when makeUnavailable set state
	answerDelay      time.Duration        // of the store's answers on their way to this host
	readTime         time.Duration        // that the answer to a whole read takes
	usableUntil      map[string]time.Time // by server, when it was last usable; zero: it is usable now
	// configs holds, by configuration version, when the host first had it or a newer one.
	configs []time.Time
}

func (h *fleetHost) availability() availability {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

func (h *fleetHost) setAvailability(a availability) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = a
}

// holdUp waits as long as the store's answers take to this host beyond their latency.
func (h *fleetHost) holdUp(ctx context.Context, whole bool) error {
	h.mu.Lock()
	d := h.answerDelay
	if whole {
		d += h.readTime
	}
	h.mu.Unlock()
	if d == 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return failure.Wrap(failure.StoreDown, ctx.Err(), "call the store")
	}
}

// setStorePath sets how long the store's answers are on their way to this host, and how long a whole read takes.
func (h *fleetHost) setStorePath(answerDelay, readTime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answerDelay, h.readTime = answerDelay, readTime
}

// apply records which servers this host's scheduler would use.
func (h *fleetHost) apply(c serverChanges) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	usable := map[string]bool{}
	for _, id := range c.removed {
		usable[id] = false
	}
	for _, srv := range c.changed {
		usable[srv.ID] = !srv.Draining && !srv.Unlisted
	}
	for id, isUsable := range usable {
		last, known := h.usableUntil[id]
		switch {
		case isUsable:
			h.usableUntil[id] = time.Time{}
		case known && last.IsZero():
			h.usableUntil[id] = now
		}
	}
}

// applyConfig records which configuration the host has.
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

// configDelay is how long after a moment the host had an older configuration than version.
func (h *fleetHost) configDelay(version int, after time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.configs) <= version {
		return time.Since(after)
	}
	return h.configs[version].Sub(after)
}

// removalDelay is how long after a moment a server was still usable.
func (h *fleetHost) removalDelay(server string, after time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, known := h.usableUntil[server]
	switch {
	case !known:
		return 0
	case last.IsZero():
		return time.Since(after)
	}
	return last.Sub(after)
}

// countUsable counts the servers that the host would use now.
func (h *fleetHost) countUsable() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, last := range h.usableUntil {
		if last.IsZero() {
			n++
		}
	}
	return n
}

// testReaders is the number of hosts, by rank, that read the store for all. testStandbys is the
// number of hosts after them that read it while the readers have no updates.
const (
	testReaders  = 5
	testStandbys = 10
)

// ReaderOrder, Open and Hosts implement store.Readers.

func (h *fleetHost) ReaderOrder() store.ReaderOrder {
	o := store.ReaderOrder{Readers: min(testReaders, len(h.fleet.hosts)), Self: -1}
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
	if to.availability() == frozen {
		if to.suspected() {
			return nil, failure.New(failure.PeerSilent, "host %s does not answer probes", name)
		}
		<-ctx.Done() // a frozen host's kernel accepts the connection, but nothing answers
		return nil, failure.Wrap(failure.PeerSilent, ctx.Err(), "greet host %s", name)
	}
	if h.fleet.parted(h, to) {
		if h.fleet.suspectsCut() {
			return nil, failure.New(failure.PeerSilent, "host %s does not answer probes", name)
		}
		<-ctx.Done()
		return nil, failure.Wrap(failure.PeerSilent, ctx.Err(), "dial host %s", name)
	}
	near, far := net.Pipe()
	a, b := &fleetConn{Conn: near, from: h, to: to}, &fleetConn{Conn: far, from: to, to: h}
	h.fleet.trackStream(to, a, b)
	h.fleet.tasks.Go(func() {
		role := func() store.Role {
			to.waitWhileFrozen()
			return to.ReaderOrder().Role()
		}
		to.relays.Serve(h.fleet.ctx, &peer.Stream{Conn: b, Reader: bufio.NewReader(b)}, role)
	})
	return &peer.Stream{Conn: a, Reader: bufio.NewReader(a)}, nil
}

// The tables that a testFleet follows.
const (
	serverTable   = "servers"
	operatorTable = "op"
)

// testFleet is a fleet of hosts that follow the tables. mu guards streams.
type testFleet struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	tables map[string]*storeTable
	hosts  []*fleetHost
	rng    *rand.Rand

	mu       sync.Mutex
	streams  map[*fleetHost][]*fleetConn // by the host to which they were opened
	cutZones map[int]bool                // zones whose hosts are parted from those of all other zones
	cutAt    time.Time                   // when they were
	cutPairs func(a, b *fleetHost) bool  // pairs that are parted though other hosts reach both, nil: none
}

// testZones is the number of availability zones, in which the hosts lie in turn.
const testZones = 3

func (h *fleetHost) zone() int { return h.index % testZones }

// fleetConn is one end of a stream between two hosts. What a frozen host writes waits until it runs again, and what is
// written across a cut is lost.
type fleetConn struct {
	net.Conn
	from, to *fleetHost
}

// Write implements net.Conn.
func (c *fleetConn) Write(b []byte) (int, error) {
	c.from.waitWhileFrozen()
	if c.from.fleet.parted(c.from, c.to) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// parted reports whether a cut lies between two hosts.
func (f *testFleet) parted(a, b *fleetHost) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutPairs != nil && (f.cutPairs(a, b) || f.cutPairs(b, a)) || a.zone() != b.zone() && (f.cutZones[a.zone()] || f.cutZones[b.zone()])
}

// partPairs parts pairs of hosts for which neither suspects the other, since hosts that reach both probe for them.
func (f *testFleet) partPairs(pairs func(a, b *fleetHost) bool) {
	f.mu.Lock()
	f.cutPairs, f.cutAt = pairs, time.Now()
	f.mu.Unlock()
	time.AfterFunc(sessionDetectionTime(len(f.hosts)), func() {
		for _, h := range f.hosts {
			f.breakStreamsIf(h, func(c *fleetConn) bool { return f.parted(c.from, c.to) })
		}
	})
}

// suspectsCut reports whether membership suspects hosts behind a cut.
func (f *testFleet) suspectsCut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.hosts) < 50 && f.cutPairs == nil && time.Since(f.cutAt) > suspicionTime
}

// cutZone parts the hosts of a zone from all others. The streams between them break when sessions detect the silence.
func (f *testFleet) cutZone(zone int) {
	f.mu.Lock()
	f.cutZones, f.cutAt = map[int]bool{zone: true}, time.Now()
	f.mu.Unlock()
	time.AfterFunc(sessionDetectionTime(len(f.hosts)), func() {
		for _, h := range f.hosts {
			f.breakStreamsIf(h, func(c *fleetConn) bool { return f.parted(c.from, c.to) })
		}
	})
}

// trackStream records the two ends of a stream to a host.
func (f *testFleet) trackStream(to *fleetHost, ends ...*fleetConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams[to] = append(f.streams[to], ends...)
}

// breakStreams closes the streams to a host.
func (f *testFleet) breakStreams(to *fleetHost) {
	f.breakStreamsIf(to, func(*fleetConn) bool { return true })
}

// breakStreamsIf closes the streams to a host that meet a condition.
func (f *testFleet) breakStreamsIf(to *fleetHost, broken func(*fleetConn) bool) {
	f.mu.Lock()
	streams := slices.Clone(f.streams[to])
	f.mu.Unlock()
	var closed []*fleetConn
	for _, c := range streams {
		if broken(c) {
			_ = c.Close() // closing a pipe never fails
			closed = append(closed, c)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams[to] = slices.DeleteFunc(f.streams[to], func(c *fleetConn) bool { return slices.Contains(closed, c) })
}

// stop ends all goroutines and waits for them, as a synctest bubble requires.
func (f *testFleet) stop() {
	f.cancel()
	for _, h := range f.hosts {
		f.breakStreams(h)
	}
	f.tasks.Wait()
}

// startFleet starts a fleet in which all hosts know the servers. It runs within a synctest
// bubble.
func startFleet(g Gomega, hosts, servers int, seed uint64) *testFleet {
	f := &testFleet{
		tables:  map[string]*storeTable{serverTable: newStoreTable(), operatorTable: newStoreTable()},
		streams: map[*fleetHost][]*fleetConn{},
		rng:     rand.New(rand.NewPCG(seed, uint64(hosts))),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for i := range servers {
		f.tables[serverTable].write(readyRow(serverName(i)))
	}
	f.writeConfig(0)
	events := event.NewRecorder("h", "i", 16, kitlog.NewNopLogger())
	for i := range hosts {
		h := &fleetHost{fleet: f, index: i, relays: store.NewRelays(), usableUntil: map[string]time.Time{}}
		h.servers = newServers(decodeState, events, h.apply)
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		for table, apply := range map[string]func(store.Update){serverTable: h.servers.update, operatorTable: h.applyConfig} {
			w := newWatcher(h, h, h.relays, table, drainBound(hosts), events, apply)
			f.tasks.Go(func() { w.Run(f.ctx) })
		}
		f.tasks.Go(h.sweep)
	}
	time.Sleep(5 * time.Second)
	for _, h := range f.hosts {
		g.Expect(h.countUsable()).To(Equal(servers))
	}
	return f
}

func (h *fleetHost) sweep() {
	for h.fleet.ctx.Err() == nil {
		time.Sleep(sweepPeriod)
		h.servers.tick()
	}
}

// writeConfig writes a version of the configuration.
func (f *testFleet) writeConfig(version int) {
	f.tables[operatorTable].write(store.Row{Key: "config", Value: fmt.Append(nil, version)})
}

// stopServer takes the i-th server out of service: even ones drain, the entries of odd ones are
// deleted.
func (f *testFleet) stopServer(i int) {
	row := deletedRow(serverName(i))
	if i%2 == 0 {
		row = drainingRow(serverName(i))
	}
	f.tables[serverTable].write(row)
}

func serverName(i int) string { return fmt.Sprint("s", i) }

func readyRow(name string) store.Row { return store.Row{Key: name, Value: []byte("ready")} }

func drainingRow(name string) store.Row { return store.Row{Key: name, Value: []byte("draining")} }

func deletedRow(name string) store.Row { return store.Row{Key: name, Deleted: true} }

func decodeState(name string, value []byte) (sched.Server, error) {
	return sched.Server{ID: name, Address: name, Draining: string(value) == "draining"}, nil
}
