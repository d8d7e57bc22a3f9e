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

// Timing holds the intervals of the probes.
type Timing struct {
	Period    time.Duration // between rounds of probes
	Peers     int           // probed in each round
	Answer    time.Duration // deadline for a direct answer
	Indirect  time.Duration // further deadline when others are asked to probe
	Suspicion time.Duration // from suspicion to death
}

// DefaultTiming finds a silent host within about 3 s.
func DefaultTiming() Timing {
	return Timing{
		Period: 300 * time.Millisecond, Peers: 2, Answer: 300 * time.Millisecond,
		Indirect: 400 * time.Millisecond, Suspicion: 1500 * time.Millisecond,
	}
}

const (
	maxDatagram    = 8 << 10
	indirectHelper = 2
)

// Gossip runs the probes of one host over UDP.
// mu guards seq, waiting and lastAnswer.
type Gossip struct {
	table  *Table
	conn   net.PacketConn
	fleet  string
	timing Timing
	seeds  func() []string // control addresses from settings and host list
	events *event.Recorder
	begun  time.Time

	// Sent and Received count the bytes of the datagrams.
	Sent     atomic.Int64
	Received atomic.Int64

	mu         sync.Mutex
	seq        uint32
	waiting    map[uint32]chan struct{}
	lastAnswer time.Time
	// told is the largest size of the fleet that another host has told.
	told int
}

// NewGossip makes the duty; Run starts it.
func NewGossip(t *Table, conn net.PacketConn, fleet string, timing Timing, seeds func() []string, events *event.Recorder) *Gossip {
	return &Gossip{
		table: t, conn: conn, fleet: fleet, timing: timing, seeds: seeds, events: events,
		waiting: map[uint32]chan struct{}{}, lastAnswer: time.Now(), begun: time.Now(),
	}
}

// Run probes and answers until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { g.receive() })
	duties.Go(func() { g.knock(ctx) })
	duties.Go(func() { g.probeRounds(ctx) })
	<-ctx.Done()
	_ = g.conn.Close() // ends receive
	duties.Wait()
}

// LastAnswer is when any peer last answered a probe.
func (g *Gossip) LastAnswer() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastAnswer
}

func (g *Gossip) probeRounds(ctx context.Context) {
	tick := time.NewTicker(g.timing.Period)
	defer tick.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for round := 0; ; round++ {
		targets := g.table.targets(g.timing.Peers)
		for _, m := range targets {
			probes.Go(func() { g.probe(ctx, m) })
		}
		if len(targets) < g.timing.Peers || round%seedRounds == 0 || time.Since(g.begun) < joinTime {
			g.pingSeeds()
		}
		g.table.age(time.Now(), g.timing.Suspicion)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// knockPeriod is how often a host that has heard of nobody asks its seeds, for joinTime.
const knockPeriod = 50 * time.Millisecond

// knock asks the seeds until somebody is heard of.
//
// Guard: the hosts of a fleet that starts at once are up one after the other within a
// third of a second. A host whose first ping came before its seeds were up would go on
// alone for a round of probes, and ask the store for all that others could tell it.
func (g *Gossip) knock(ctx context.Context) {
	tick := time.NewTicker(knockPeriod)
	defer tick.Stop()
	for time.Since(g.begun) < joinTime && g.table.Live() == 1 {
		g.pingSeeds()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

const (
	// seedRounds is how seldom seeds are pinged once enough members are known.
	seedRounds = 20
	// maxSeeds bounds the seeds pinged in a round: a list of hundreds is drawn from.
	maxSeeds = 4
	// joinTime is how long a host that starts asks its seeds in each round: they are
	// the ones that hear of all others of a fleet that starts at once.
	joinTime = 1500 * time.Millisecond
)

func (g *Gossip) pingSeeds() {
	self := g.table.Self().ControlAddress
	seeds := slices.Clone(g.seeds())
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, a := range seeds[:min(maxSeeds, len(seeds))] {
		if a != self {
			g.send(a, &wire.Gossip{Kind: wire.GossipKind_GOSSIP_PING})
		}
	}
}

// SettleTime is enough for a host that starts to hear of all others by way of one.
const SettleTime = 600 * time.Millisecond

// Settled reports whether this host has run for long enough to know the fleet.
func (g *Gossip) Settled() bool { return time.Since(g.begun) > SettleTime }

// Told is the largest size of the fleet that a settled host has told, 0 while none has.
func (g *Gossip) Told() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.told
}

// probe asks one member, then others to ask it, then its TCP port. A port
// that refuses proves that the process ended; silence only makes suspect.
func (g *Gossip) probe(ctx context.Context, m Member) {
	if g.ask(ctx, m.ControlAddress, &wire.Gossip{Kind: wire.GossipKind_GOSSIP_PING}, g.timing.Answer) {
		return
	}
	if Refuses(m.ControlAddress, g.timing.Answer) {
		g.table.ProveDead(m.Incarnation, "its port refuses")
		return
	}
	for _, helper := range g.table.targets(indirectHelper) {
		if helper.Incarnation != m.Incarnation {
			g.send(helper.ControlAddress, &wire.Gossip{Kind: wire.GossipKind_GOSSIP_PING_REQUEST, Target: m.ControlAddress})
		}
	}
	before := time.Now()
	select {
	case <-time.After(g.timing.Indirect):
	case <-ctx.Done():
		return
	}
	if g.table.heardSince(m.Incarnation, before) {
		return
	}
	g.table.miss(m.Incarnation)
	g.table.missLeaving(m.Incarnation)
}

// Refuses reports whether the address actively refuses TCP connections.
func Refuses(address string, timeout time.Duration) bool {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// ask sends a ping and waits for its answer.
func (g *Gossip) ask(ctx context.Context, address string, m *wire.Gossip, wait time.Duration) bool {
	done := make(chan struct{}, 1)
	g.mu.Lock()
	g.seq++
	seq := g.seq
	g.waiting[seq] = done
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.waiting, seq)
		g.mu.Unlock()
	}()
	m.Seq = seq
	g.send(address, m)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
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
		return // a seed that is no address; settings are checked at start
	}
	m.Version = wire.Version
	m.Fleet = g.fleet
	m.From = g.table.selfWord()
	if m.Members == nil {
		m.Members = g.table.news(sampleSize)
	}
	if g.Settled() {
		m.Size = uint32(g.table.Live())
	}
	m.Lamport = g.events.Clock()
	b, err := proto.Marshal(m)
	if err != nil || len(b) > maxDatagram {
		return
	}
	g.Sent.Add(int64(len(b)))
	_, _ = g.conn.WriteTo(b, to) // a lost datagram is the normal case of UDP
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
			continue // not of this fleet or version: as if never sent
		}
		g.handle(&m, from.String())
	}
}

func (g *Gossip) handle(m *wire.Gossip, from string) {
	g.events.Witness(m.Lamport)
	g.table.Heard(m.From)
	for _, w := range m.Members {
		g.table.Learn(w)
	}
	g.sized(int(m.Size))
	switch m.Kind {
	case wire.GossipKind_GOSSIP_PING:
		news := g.table.newsFor(ident.Incarnation(m.From.Incarnation))
		g.send(from, &wire.Gossip{Kind: wire.GossipKind_GOSSIP_ACK, Seq: m.Seq, Members: news})
	case wire.GossipKind_GOSSIP_PING_REQUEST:
		g.send(m.Target, &wire.Gossip{Kind: wire.GossipKind_GOSSIP_PING})
	case wire.GossipKind_GOSSIP_ACK:
		g.answered(m.Seq)
	}
}

// sized notes the size of the fleet that another host tells, while this one has just
// started; after that its own list tells.
func (g *Gossip) sized(n int) {
	if g.Settled() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.told = max(g.told, n)
}

func (g *Gossip) answered(seq uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastAnswer = time.Now()
	if c := g.waiting[seq]; c != nil {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// heardSince reports whether a member was heard of as alive after a moment.
func (t *Table) heardSince(inc ident.Incarnation, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.members[inc]
	return r == nil || r.heard.After(at)
}
