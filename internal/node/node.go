package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/entry"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/rollout"
	"github.com/gentianflow/gentianflow/internal/routing"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
	"github.com/gentianflow/gentianflow/internal/upstream"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	timelineEvents = 256
	memberHorizon  = 60 * time.Second
	// lookupTTL is how long callers may keep addresses. Short, since a host
	// that ends is still tried until then.
	lookupTTL = 2 * time.Second
	// leaveWait is how long a host that shuts down takes new requests: callers
	// keep addresses for the look-up's time, and the platform's bound on
	// requests after SIGTERM is 3 s.
	leaveWait = 2500 * time.Millisecond
	// exitMargin is left of the grace time to end the process itself.
	exitMargin    = 300 * time.Millisecond
	drainPoll     = 20 * time.Millisecond
	headerTimeout = 5 * time.Second
	// idleTimeout is above the longest that the configuration lets callers
	// keep an idle connection, so that none is closed as a request comes in.
	idleTimeout = 30 * time.Second
	maxHeader   = 64 << 10
	// memoryShare is the part of the memory limit at which the collector
	// works harder.
	memoryShare = 0.7
)

// Platform is what the adapter gives: the store, and the dialects of header
// fields, tables and the small HTTP interfaces.
type Platform struct {
	Tables        store.Tables
	Writer        store.Writer
	Conditional   store.Conditional
	Dialect       entry.Dialect
	OperatorTable string
	ServerTable   string
	HostTable     string
	// QuarantineTable keeps the requests in quarantine for hosts that start.
	QuarantineTable string
	// StatusTable tells operators how far their orders got, RolloutTable is the system's own
	// for hosts that take one up.
	StatusTable   string
	RolloutTable  string
	DecodeOrder   func(key string, value []byte, version int64) (o rollout.Order, ok bool, err error)
	RolloutStatus func(o rollout.Order, s rollout.State) (key string, value []byte, err error)
	DecodeConfig  func(key string, value []byte) (c routing.Config, ok bool, err error)
	DecodeServer  func(id string, value []byte) (sched.Server, error)
	LookupHandler func(func() (list []string, ttl time.Duration, ok bool)) http.Handler
	ReadyHandler  func(func() bool) http.Handler
}

// Node is one running entry host.
type Node struct {
	set      Settings
	plat     Platform
	inc      ident.Incarnation
	events   *event.Recorder
	metrics  metrics.Registry
	members  *member.Table
	gossip   *member.Gossip
	peers    *peer.Manager
	routes   routing.Current
	servers  *servers
	loop     *dispatch.Loop
	home     *dispatch.Home
	client   *dispatch.Client
	follower *dispatch.Follower
	pool     *upstream.Pool
	relays   *store.Relays
	entry    *entry.Handler
	traffic  peer.Traffic

	control   net.Listener
	serve     []*http.Server
	front     *http.Server
	listed    atomic.Pointer[hostList]
	kept      *quarantineStore
	rollouts  *rollouts
	joined    chan struct{} // closed when this host may know whom to ask for tables
	configRow int64         // version of the newest row decoded; the watcher owns it
	leaving   atomic.Bool
	share     sched.Share // of the loop; the follower owns it
	duties    sync.WaitGroup
}

// New opens the listeners and builds the duties; Run starts them. It fails
// with BadSetting when an address is taken.
func New(set Settings, plat Platform, logger log.Logger) (*Node, error) {
	n := &Node{
		set: set, plat: plat, inc: ident.NewIncarnation(), metrics: metrics.NewRegistry(),
		pool: upstream.NewPool(), relays: store.NewRelays(), joined: make(chan struct{}),
	}
	n.events = event.NewRecorder(set.Host, n.inc.String(), timelineEvents, logger)
	limitMemory(set.MemoryBytes)
	packets, err := n.listen()
	if err != nil {
		return nil, err
	}
	n.build(packets)
	return n, nil
}

// gcPercent is how much garbage may gather, as a part of what lives. Memory is
// dear on these hosts and processors are idle, so the collector runs twice as often as
// it would.
const gcPercent = 50

func limitMemory(bytes int64) {
	debug.SetGCPercent(gcPercent)
	if bytes > 0 {
		debug.SetMemoryLimit(int64(float64(bytes) * memoryShare))
	}
}

func (n *Node) peerAddress() string { return net.JoinHostPort(n.set.IP, strconv.Itoa(n.set.PeerPort)) }

func (n *Node) listen() (net.PacketConn, error) {
	packets, err := net.ListenPacket("udp", n.peerAddress())
	if err != nil {
		return nil, failure.Wrap(failure.BadSetting, err, "listen for hosts")
	}
	if n.control, err = net.Listen("tcp", n.peerAddress()); err != nil {
		return nil, failure.Wrap(failure.BadSetting, err, "listen for hosts")
	}
	return packets, nil
}

func (n *Node) build(packets net.PacketConn) {
	self := &wire.Member{
		Incarnation: uint64(n.inc), Host: n.set.Host, Zone: n.set.AvailabilityZone,
		CallerAddress: n.set.EntryAddress, ControlAddress: n.peerAddress(),
		Capacity:  uint32(n.set.ProcessorShare * 1000),
		StartedMs: time.Now().UnixMilli(),
	}
	n.members = member.NewTable(self, memberHorizon, n.events)
	n.gossip = member.NewGossip(n.members, packets, fleet, member.DefaultTiming(), n.seedAddresses, n.events)
	n.peers = peer.NewManager(peer.Identity{Incarnation: n.inc, Host: n.set.Host, Fleet: fleet},
		n.peerAddress(), n.serveStream, peerNews{n.members}, n.events, &n.traffic)
	n.peers.DialFrom(net.ParseIP(n.set.IP))
	n.loop = dispatch.NewLoop(n.set.Policy, n.events, n.deliver)
	n.kept = newQuarantineStore(n.set.Host, n.plat.QuarantineTable, n.plat.Tables, n.plat.Writer, n.isHome, n.events)
	n.loop.OnSuspects(n.spreadSuspects)
	n.rollouts = newRollouts(n.set.Host+" "+n.inc.String(), n.plat, n.loop, func() bool { return n.home.Leads() }, n.events)
	n.loop.OnRollouts(func(steps []rollout.Standing) {
		n.home.TellRollouts(steps)
		n.rollouts.stepped(steps)
	})
	n.loop.Do(func(_ sched.Time, s *sched.Scheduler) {
		s.SetOwner(uint64(n.inc))
		s.SetHost(n.set.Host)
		if n.set.EntryLapse > 0 {
			s.SetLapse(n.set.EntryLapse)
		}
		s.SetBounds(n.set.Rollouts)
	})
	n.home = dispatch.NewHome(n.loop, func() []uint64 { return dispatch.NextHomes(n.members) })
	n.servers = newServers(n.plat.DecodeServer, n.events, n.applyServers)
	n.client = dispatch.NewClient(n.inc, n.set.AvailabilityZone, n.loop, n.servers, n.events)
	n.follower = dispatch.NewFollower(n.client, n.members, n.peers, n.home, n.events, n.listedHosts, n.setShare)
	n.entry = entry.NewHandler(entry.Sources{
		Routes: &n.routes, Places: n.client, Pool: n.pool, Dialect: n.plat.Dialect,
		Events: n.events, Meter: entry.NewMeter(n.metrics),
	})
}

// fleet keeps the sessions of different systems apart; a platform runs one.
const fleet = "platform"

// peerNews passes on what sessions tell about other hosts.
type peerNews struct{ members *member.Table }

// ProveDead implements peer.Observer.
func (p peerNews) ProveDead(inc ident.Incarnation, how string) { p.members.ProveDead(inc, how) }

// Broke implements peer.Observer. A broken session alone proves nothing;
// probes find out.
func (p peerNews) Broke(ident.Incarnation) {}

// deliver takes the decisions of one round of the loop.
func (n *Node) deliver(out []sched.Decision) {
	var here, others []sched.Decision
	for _, d := range out {
		if d.Holder == uint64(n.inc) {
			here = append(here, d)
		} else {
			others = append(others, d)
		}
	}
	if len(here) > 0 {
		n.client.DeliverLocal(here)
	}
	if len(others) > 0 {
		n.home.Deliver(others)
	}
}

// spreadSuspects tells the other hosts and the store what has changed of requests that end
// servers.
func (n *Node) spreadSuspects(news []quarantine.Record, lifted func(quarantine.Fingerprint) bool) {
	n.home.TellSuspects(news, lifted)
	n.kept.note(news)
}

func (n *Node) serveStream(st *peer.Stream) {
	switch st.Open.Kind {
	case wire.StreamKind_STREAM_SCHEDULE:
		n.home.Serve(context.Background(), st)
	case wire.StreamKind_STREAM_TABLES:
		n.relays.Serve(context.Background(), st, n.role)
	default:
		_ = st.Close() // a host of another build
	}
}

// setShare gives the loop its part of all servers and quotas. Only the
// follower's goroutine calls it.
func (n *Node) setShare(share sched.Share) {
	if share == n.share {
		return
	}
	n.share = share
	n.events.Record(event.ShareChanged, event.Fields{Detail: fmt.Sprintf("servers=%.2f limits=%.2f sends=%.2f", share.Servers, share.Limits, share.Sends)})
	n.loop.Do(func(now sched.Time, s *sched.Scheduler) { s.SetShare(now, share) })
}

func accounts(t *routing.Table) []sched.Account {
	if t == nil {
		return nil
	}
	out := make([]sched.Account, 0, len(t.Accounts))
	for _, a := range t.Accounts {
		out = append(out, a.Account)
	}
	return out
}

// applyConfig takes rows of the operator's table: orders first, since a service may begin to
// be served with the configuration behind them.
func (n *Node) applyConfig(u store.Update) {
	for _, row := range u.Rows {
		if !row.Deleted {
			n.rollouts.order(row)
		}
	}
	for _, row := range u.Rows {
		if row.Deleted || row.Version <= n.configRow {
			continue
		}
		c, ok, err := n.plat.DecodeConfig(row.Key, row.Value)
		if err != nil {
			n.events.Record(event.ConfigRefused, event.Fields{Detail: err.Error()})
			continue
		}
		if !ok {
			continue
		}
		n.configRow = row.Version
		t := routing.NewTable(c)
		if !n.routes.Replace(t) {
			continue
		}
		n.events.Record(event.ConfigInForce, event.Fields{Detail: "version " + strconv.FormatInt(c.Version, 10)})
		n.loop.Do(func(now sched.Time, s *sched.Scheduler) {
			s.SetServices(now, t.Services)
			s.SetAccounts(now, accounts(t))
		})
	}
}

func (n *Node) applyServers(list []sched.Server) {
	n.loop.Do(func(now sched.Time, s *sched.Scheduler) { s.SetServers(now, list) })
	go func() {
		n.pool.Retain(func(s upstream.Server) bool { return n.servers.has(s.ID, s.Address) })
		n.client.KeepNotices(n.servers.lists)
	}()
}

// addresses lists the entry addresses for a look-up, and how long they hold.
func (n *Node) addresses() (list []string, ttl time.Duration, ok bool) {
	list = lookupAddresses(n.members.All())
	return list, lookupTTL, len(list) > 0
}

// maxAddresses is the most that a look-up may tell.
const maxAddresses = 64

// lookupAddresses draws the hosts that a caller is told: those that answer, and
// not this one when it leaves.
//
// Guard: callers take no more than maxAddresses. Told in the same order, a fleet
// of 72 would leave the last 8 without callers and the others with more.
func lookupAddresses(members []member.Member) []string {
	var list []string
	for _, m := range members {
		if m.State == member.Alive && m.CallerAddress != "" {
			list = append(list, m.CallerAddress)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxAddresses)]
}

// ready reports whether callers should come here.
func (n *Node) ready() bool { return !n.leaving.Load() && n.routes.Get() != nil }
