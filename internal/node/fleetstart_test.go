package node

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	kitlog "github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// These tests start whole fleets in virtual time, with their gossip over a network in memory, and count
// what each host sends and how often it calls the store.

const (
	datagramDelay = 2 * time.Millisecond
	// startSpread is the time within which the hosts of a fleet start.
	startSpread = 300 * time.Millisecond
	// joinDuration is how long the hosts have to find each other, and steadyDuration how long they run
	// on after that.
	joinDuration   = 5 * time.Second
	steadyDuration = 2 * time.Second
	startServers   = 20
)

// startingFleet is a fleet of hosts that start together. mu guards hosts, byName and inboxes.
type startingFleet struct {
	ctx    context.Context
	tables map[string]*storeTable
	hosts  []*startingHost
	byName map[string]*startingHost // by incarnation
	tasks  sync.WaitGroup

	mu      sync.Mutex
	inboxes map[string]chan datagram
}

type datagram struct {
	from net.Addr
	data []byte
}

// startingHost is the part of an entry host that joins the fleet and follows the tables. Its store calls
// and the bytes that it sends are counted.
type startingHost struct {
	tableReaders
	fleet       *startingFleet
	address     string
	ctx         context.Context // ends with the host
	kill        context.CancelFunc
	storeAway   atomic.Bool // the store rejects its calls
	schedule    *schedulingHost
	conn        *memoryConn
	sentAtStart int64 // bytes of gossip in joinDuration
	storeCalls  atomic.Int64
	listed      atomic.Int64 // servers that it knows
}

// memoryConn is a packet connection of the network in memory.
type memoryConn struct {
	net.PacketConn
	fleet  *startingFleet
	addr   *net.UDPAddr
	inbox  chan datagram
	closed chan struct{}
	once   sync.Once
	sent   atomic.Int64
}

func (c *memoryConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-c.inbox:
		return copy(b, d.data), d.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *memoryConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.sent.Add(int64(len(b)))
	d := datagram{c.addr, append([]byte(nil), b...)}
	time.AfterFunc(datagramDelay, func() {
		c.fleet.mu.Lock()
		inbox := c.fleet.inboxes[to.String()]
		c.fleet.mu.Unlock()
		select {
		case inbox <- d:
		default: // not started, or full
		}
	})
	return len(b), nil
}

func (c *memoryConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// Snapshot and Changes implement store.Tables.

func (h *startingHost) Snapshot(_ context.Context, table string) ([]store.Row, store.Version, error) {
	h.storeCalls.Add(1)
	time.Sleep(storeLatency)
	if h.storeAway.Load() {
		return nil, 0, errStoreAway
	}
	rows, version := h.fleet.tables[table].snapshot()
	return rows, version, nil
}

func (h *startingHost) Changes(ctx context.Context, table string, after store.Version, wait time.Duration) ([]store.Row, store.Version, error) {
	h.storeCalls.Add(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if h.storeAway.Load() {
			return nil, 0, errStoreAway
		}
		rows, version, changed := h.fleet.tables[table].since(after)
		if len(rows) > 0 {
			return rows, version, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// Put and Delete implement store.Writer.

func (h *startingHost) Put(_ context.Context, table, key string, value []byte) error {
	h.storeCalls.Add(1)
	if h.storeAway.Load() {
		return errStoreAway
	}
	h.fleet.tables[table].write(store.Row{Key: key, Value: value})
	return nil
}

func (h *startingHost) Delete(_ context.Context, table, key string) error {
	h.storeCalls.Add(1)
	if h.storeAway.Load() {
		return errStoreAway
	}
	h.fleet.tables[table].write(store.Row{Key: key, Deleted: true})
	return nil
}

var errStoreAway = failure.New(failure.StoreDown, "the store rejects this host")

// Open implements store.Readers.
func (h *startingHost) Open(_ context.Context, name string) (*peer.Stream, error) {
	h.fleet.mu.Lock()
	to := h.fleet.byName[name]
	h.fleet.mu.Unlock()
	if to == nil || to.n.relays == nil {
		return nil, failure.New(failure.PeerSilent, "host %s has not started", name)
	}
	a, b := net.Pipe()
	h.fleet.tasks.Go(func() {
		stop := context.AfterFunc(h.fleet.ctx, func() { _ = b.Close() }) // a pipe's close never fails
		defer stop()
		to.n.relays.Serve(h.fleet.ctx, &peer.Stream{Conn: b, Reader: bufio.NewReader(b)}, to.n.role)
	})
	return &peer.Stream{Conn: a, Reader: bufio.NewReader(a)}, nil
}

// startTogether starts hosts within startSpread, runs them for joinDuration and returns the fleet. Every
// twentieth host is large. The first three are the seeds.
func startTogether(hosts int, seed uint64) *startingFleet {
	rng := rand.New(rand.NewPCG(seed, uint64(hosts)))
	f, cancel := newStartingFleet()
	f.startAll(hosts, rng)
	time.Sleep(joinDuration)
	for _, h := range f.hosts {
		h.sentAtStart = h.conn.sent.Load()
	}
	time.Sleep(steadyDuration)
	cancel()
	f.tasks.Wait()
	return f
}

func newStartingFleet() (*startingFleet, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &startingFleet{ctx: ctx, byName: map[string]*startingHost{}, inboxes: map[string]chan datagram{}, tables: map[string]*storeTable{}}
	for _, name := range []string{serverTable, operatorTable, hostTable, quarantineTable} {
		f.tables[name] = newStoreTable()
	}
	f.tables[serverTable].write(manyRows(startServers)...)
	f.tables[operatorTable].write(store.Row{Key: "config", Value: []byte("1")})
	return f, cancel
}

// newHost adds a host that run starts.
func (f *startingFleet) newHost(address string, rng *rand.Rand) *startingHost {
	h := &startingHost{fleet: f, address: address, tableReaders: tableReaders{&Node{incarnation: ident.Incarnation(rng.Uint64())}}}
	h.ctx, h.kill = context.WithCancel(f.ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append(f.hosts, h)
	f.byName[h.n.incarnation.String()] = h
	return h
}

// startAll starts hosts within startSpread.
func (f *startingFleet) startAll(hosts int, rng *rand.Rand) {
	var seeds []string
	for i := range hosts {
		address := fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250)
		if i < 3 {
			seeds = append(seeds, address)
		}
		f.newHost(address, rng)
	}
	for i, h := range f.hosts {
		delay, capacity := time.Duration(rng.Int64N(int64(startSpread))), uint32(192)
		if i%20 == 7 {
			capacity = 1600
		}
		f.tasks.Go(func() {
			time.Sleep(delay)
			h.run(i, capacity, seeds)
		})
	}
}

const (
	hostTable       = "hosts"
	quarantineTable = "quarantine"
)

// run builds the host's Node, as far as it joins and follows tables, and runs it until the fleet ends.
func (h *startingHost) run(i int, capacity uint32, seeds []string) {
	f, n := h.fleet, h.n
	addr := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(h.address))
	h.conn = &memoryConn{fleet: f, addr: addr, inbox: make(chan datagram, 4096), closed: make(chan struct{})}
	f.mu.Lock()
	f.inboxes[h.address] = h.conn.inbox
	f.mu.Unlock()
	n.events = event.NewRecorder(fmt.Sprint("h", i), "i", 16, kitlog.NewNopLogger())
	n.settings = Settings{Host: fmt.Sprint("h", i), IP: addr.IP.String(), PeerPort: addr.Port, Seeds: seeds}
	n.platform = Platform{Tables: h, Writer: h, HostTable: hostTable, QuarantineTable: quarantineTable}
	n.members = member.NewTable(&wire.Member{
		Incarnation: uint64(n.incarnation), Host: n.settings.Host, Zone: fmt.Sprint("zone-", i%5), Capacity: capacity,
		CallerAddress: h.address, ControlAddress: h.address, StartedMs: time.Now().UnixMilli(), State: wire.MemberState_MEMBER_ALIVE,
	}, memberRetention, n.events)
	n.gossip = member.NewGossip(n.members, h.conn, fleetName, member.DefaultTiming(), n.seedAddresses, n.events)
	n.joined = make(chan struct{})
	n.loop = dispatch.NewLoop(sched.DefaultPolicy(), n.events, func([]sched.Decision) {})
	n.quarantined = newQuarantineStore(n.settings.Host, quarantineTable, h, h, n.isHome, n.events)
	list := newServers(decodeState, n.events, func(c serverChanges) { h.listed.Add(int64(len(c.changed) - len(c.removed))) })
	n.relays = store.NewRelays()
	f.tasks.Go(func() { n.gossip.Run(h.ctx) })
	f.tasks.Go(func() { n.join(h.ctx) })
	f.tasks.Go(func() { n.endWaitsOnHomeChange(h.ctx) })
	if h.schedule != nil {
		h.schedule.run(h)
	}
	for table, apply := range map[string]func(store.Update){serverTable: list.update, operatorTable: func(store.Update) {}} {
		w := newWatcher(h, h, n.relays, table, 0, n.events, apply)
		f.tasks.Go(func() {
			<-n.joined
			w.Run(h.ctx)
		})
	}
}

// TestFleetThatStartsTogether guards against hosts that each read the store when a fleet starts, because
// they know so few others that they take themselves for readers: 3,360 calls at 985 hosts where 195 need
// 383. It also bounds what the seeds send to newcomers, and checks that every host knows the servers.
func TestFleetThatStartsTogether(t *testing.T) {
	sizes := []int{30, 250, 500, 1000}
	if os.Getenv("FLEET_START_2000") != "" {
		sizes = append(sizes, 2000)
	}
	for _, hosts := range sizes {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			g := NewWithT(t)
			synctest.Test(t, func(t *testing.T) {
				f := startTogether(hosts, 1)
				var calls, callers, busiest int64
				var steady []int64
				fewest := hosts
				for _, h := range f.hosts {
					n := h.storeCalls.Load()
					calls += n
					if n > 0 {
						callers++
					}
					busiest = max(busiest, h.sentAtStart)
					steady = append(steady, h.conn.sent.Load()-h.sentAtStart)
					fewest = min(fewest, h.n.members.LiveCount())
					g.Expect(h.listed.Load()).To(BeNumerically("==", startServers), "servers known to %s", h.n.settings.Host)
				}
				slices.Sort(steady)
				middle := time.Duration(steady[hosts/2]) * time.Second / steadyDuration
				t.Logf("%d calls to the store by %d hosts; gossip: the busiest sent %d KB at the start, the middle one %d bytes a second then; every host knows %d or more",
					calls, callers, busiest>>10, middle, fewest)
				g.Expect(calls).To(BeNumerically("<=", maxStartCalls))
				g.Expect(busiest).To(BeNumerically("<=", maxStartBytes))
				g.Expect(middle).To(BeNumerically("<=", maxSteadyBytes))
				g.Expect(fewest).To(BeNumerically(">=", min(hosts*95/100, enoughKnown)))
			})
		})
	}
}

const (
	// maxStartCalls is half of the calls to the store that a whole calm day may take, at any size.
	maxStartCalls = 200
	// maxStartBytes is a third of what a link of 20 Mbit/s carries in joinDuration.
	maxStartBytes = 4_000_000
	// maxSteadyBytes is what control may send on a host, in bytes a second.
	maxSteadyBytes = 26_000
	// enoughKnown is how many others a host must know after joinDuration: four times as many as a look-up
	// returns.
	enoughKnown = 4 * maxLookupAddresses
)
