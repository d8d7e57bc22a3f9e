package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// Timing holds the parameters of failure detection.
type Timing struct {
	ProbePeriod      time.Duration // time between probe rounds
	ProbesPerRound   int           // members probed in each round
	ProbeTimeout     time.Duration // timeout of a direct probe
	IndirectTimeout  time.Duration // additional timeout of the indirect probes
	SuspicionTimeout time.Duration // time from suspect to dead
}

// DefaultTiming detects a silent host within about 3 s.
func DefaultTiming() Timing {
	return Timing{
		ProbePeriod: 300 * time.Millisecond, ProbesPerRound: 2, ProbeTimeout: 300 * time.Millisecond,
		IndirectTimeout: 400 * time.Millisecond, SuspicionTimeout: 1500 * time.Millisecond,
	}
}

const (
	maxDatagram = 8 << 10 // bytes
	// indirectProbers is the number of members asked for an indirect probe.
	indirectProbers = 2
)

// Gossip sends and answers the probes of one host over UDP.
// mu guards seq, pending and lastAck.
type Gossip struct {
	table   *Table
	conn    net.PacketConn
	fleet   string
	timing  Timing
	seeds   func() []string // control addresses from the settings and the host list
	events  *event.Recorder
	started time.Time
	// discovery tells what this host knows of the fleet since its start.
	discovery *Discovery

	// Sent and Received count datagram bytes.
	Sent     atomic.Int64
	Received atomic.Int64

	mu      sync.Mutex
	seq     uint32
	pending map[uint32]chan struct{}
	lastAck time.Time
}

// NewGossip returns a Gossip that Run starts.
func NewGossip(t *Table, conn net.PacketConn, fleet string, timing Timing, seeds func() []string, events *event.Recorder) *Gossip {
	return &Gossip{
		table: t, conn: conn, fleet: fleet, timing: timing, seeds: seeds, events: events,
		pending: map[uint32]chan struct{}{}, lastAck: time.Now(), started: time.Now(), discovery: NewDiscovery(t, events),
	}
}

// Discovery tells what this host knows of the fleet.
func (g *Gossip) Discovery() *Discovery { return g.discovery }

// Run sends and answers probes until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.receive() })
	wg.Go(func() { g.contactSeeds(ctx) })
	wg.Go(func() { g.probeRounds(ctx) })
	<-ctx.Done()
	_ = g.conn.Close() // ends receive
	wg.Wait()
}

// LastAnswer returns when a peer last answered a probe.
func (g *Gossip) LastAnswer() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastAck
}

func (g *Gossip) probeRounds(ctx context.Context) {
	tick := time.NewTicker(g.timing.ProbePeriod)
	defer tick.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for round := 0; ; round++ {
		targets := g.table.targets(g.timing.ProbesPerRound)
		for _, m := range targets {
			probes.Go(func() { g.probe(ctx, m) })
		}
		switch {
		case len(targets) < g.timing.ProbesPerRound || round%roundsPerSeedPing == 0:
			g.pingSeeds(maxSeeds)
		case g.joining():
			g.pingSeeds(1)
		}
		g.table.expire(time.Now(), g.timing.SuspicionTimeout)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// contactPeriod is the time between pings to the seeds while no other member is known.
const contactPeriod = 50 * time.Millisecond

// contactSeeds pings the seeds until another member is known, for up to joinPeriod.
//
// The hosts of a fleet that starts at once come up over a third of a second. Without
// these pings, a host that pings its seeds before they are up would know no other member
// for a probe round and would read from the store what the seeds can report.
func (g *Gossip) contactSeeds(ctx context.Context) {
	tick := time.NewTicker(contactPeriod)
	defer tick.Stop()
	for time.Since(g.started) < joinPeriod {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if g.table.LiveCount() > 1 {
			return
		}
		g.pingSeeds(maxSeeds)
	}
}

const (
	// roundsPerSeedPing is the number of probe rounds for each ping to the seeds once
	// enough members are known.
	roundsPerSeedPing = 20
	// maxSeeds is the number of seeds pinged at once, drawn from a list that may have
	// hundreds.
	maxSeeds = 4
	// maxSeedsInSearch is the same for a host that does not know the fleet.
	maxSeedsInSearch = 32
	// joinPeriod is how long a host that starts pings a seed in each round. When a whole fleet
	// starts at once, the seeds are the hosts that hear from all others, and a host stops asking
	// them when it knows joinedMembers.
	joinPeriod    = 1500 * time.Millisecond
	joinedMembers = 64
)

// joining reports whether this host has just started and still learns of others from the seeds.
func (g *Gossip) joining() bool {
	fleetRuns := g.ReportedFleetSize() > 0
	return time.Since(g.started) < joinPeriod && (fleetRuns || g.table.LiveCount() < joinedMembers)
}

// ContactSeeds pings the hosts of the settings and of the store's list at once.
func (g *Gossip) ContactSeeds() { g.pingSeeds(maxSeedsInSearch) }

// pingSeeds pings up to n seeds.
func (g *Gossip) pingSeeds(n int) {
	self := g.table.Self().ControlAddress
	seeds := slices.Clone(g.seeds())
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, a := range seeds[:min(n, len(seeds))] {
		if a != self {
			g.send(a, &wire.Gossip{Kind: wire.GossipKind_GOSSIP_PING})
		}
	}
}

// SettleTime is long enough for a starting host to learn of all others through one
// of them.
const SettleTime = 600 * time.Millisecond

// Settled reports whether this host has run long enough to know the fleet.
func (g *Gossip) Settled() bool { return time.Since(g.started) > SettleTime }

// ReportedFleetSize returns the largest fleet size that a host which knows the fleet has reported, or 0
// if none has.
func (g *Gossip) ReportedFleetSize() int { return g.discovery.Reported() }

// probe pings a member, then tries its TCP port, then asks other members to ping
// it. A refused connection proves that the process has ended; silence only makes
// the member suspect.
func (g *Gossip) probe(ctx context.Context, m Member) {
	if g.ping(ctx, m.ControlAddress, &wire.Gossip{Kind: wire.GossipKind_GOSSIP_PING}, g.timing.ProbeTimeout) {
		return
	}
	if RefusesConnections(m.ControlAddress, g.timing.ProbeTimeout) {
		g.table.ProveDead(m.Incarnation, "its port refuses connections")
		return
	}
	for _, prober := range g.table.targets(indirectProbers) {
		if prober.Incarnation != m.Incarnation {
			g.send(prober.ControlAddress, &wire.Gossip{Kind: wire.GossipKind_GOSSIP_PING_REQUEST, Target: m.ControlAddress})
		}
	}
	before := time.Now()
	select {
	case <-time.After(g.timing.IndirectTimeout):
	case <-ctx.Done():
		return
	}
	if g.table.heardSince(m.Incarnation, before) {
		return
	}
	g.table.miss(m.Incarnation)
	g.table.missLeaving(m.Incarnation)
}

// RefusesConnections reports whether an address refuses TCP connections. A timeout does not
// count as a refusal.
func RefusesConnections(address string, timeout time.Duration) bool {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// ping sends a ping and reports whether it was answered before the timeout. It
// reports true when ctx ends, since that says nothing about the member.
func (g *Gossip) ping(ctx context.Context, address string, m *wire.Gossip, timeout time.Duration) bool {
	acked := make(chan struct{}, 1)
	g.mu.Lock()
	g.seq++
	seq := g.seq
	g.pending[seq] = acked
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.pending, seq)
		g.mu.Unlock()
	}()
	m.Seq = seq
	g.send(address, m)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-acked:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return true
	}
}

func (g *Gossip) send(address string, m *wire.Gossip) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return // not an address: settings are checked at startup
	}
	m.Version = wire.Version
	m.Fleet = g.fleet
	m.From = g.table.selfToWire()
	if m.Members == nil {
		m.Members = g.table.updates(sampleSize)
	}
	if g.Settled() && g.discovery.Fleet().State == Known {
		m.Size = uint32(g.table.LiveCount())
	}
	m.Lamport = g.events.Clock()
	b, err := proto.Marshal(m)
	if err != nil || len(b) > maxDatagram {
		return
	}
	g.Sent.Add(int64(len(b)))
	_, _ = g.conn.WriteTo(b, to) // errors are ignored since UDP may lose datagrams anyway
}

func (g *Gossip) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		g.Received.Add(int64(n))
		var m wire.Gossip
		if proto.Unmarshal(buf[:n], &m) != nil || m.Version != wire.Version || m.Fleet != g.fleet || m.From == nil {
			continue // malformed, or from another fleet or protocol version
		}
		g.handle(&m, from.String())
	}
}

func (g *Gossip) handle(m *wire.Gossip, from string) {
	g.events.Witness(m.Lamport)
	g.table.RecordContact(m.From)
	for _, reported := range m.Members {
		g.table.ApplyReport(reported)
	}
	g.discovery.Told(int(m.Size))
	switch m.Kind {
	case wire.GossipKind_GOSSIP_PING:
		updates := g.table.updatesFor(ident.Incarnation(m.From.Incarnation))
		g.send(from, &wire.Gossip{Kind: wire.GossipKind_GOSSIP_ACK, Seq: m.Seq, Members: updates})
	case wire.GossipKind_GOSSIP_PING_REQUEST:
		g.send(m.Target, &wire.Gossip{Kind: wire.GossipKind_GOSSIP_PING})
	case wire.GossipKind_GOSSIP_ACK:
		g.handleAck(m.Seq)
	}
}

func (g *Gossip) handleAck(seq uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastAck = time.Now()
	if c := g.pending[seq]; c != nil {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// heardSince reports whether a member has contacted this host since the given time.
// It reports true for a member that is no longer in the table.
func (t *Table) heardSince(inc ident.Incarnation, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.members[inc]
	return r == nil || r.lastContact.After(at)
}
