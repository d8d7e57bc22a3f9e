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

	"github.com/gentianflow/gentianflow/internal/addresses"
	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/entry"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/intake"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/origin"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/reach"
	"github.com/gentianflow/gentianflow/internal/rollout"
	"github.com/gentianflow/gentianflow/internal/routing"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
	"github.com/gentianflow/gentianflow/internal/tunnel"
	"github.com/gentianflow/gentianflow/internal/upstream"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	timelineEvents  = 256
	memberRetention = 60 * time.Second
	// lookupTTL is how long callers may keep addresses. It is short, since callers still try
	// the address of a host that has ended until then.
	lookupTTL = 2 * time.Second
	// shutdownDelay is how long a host that shuts down still accepts new requests: callers keep
	// addresses for lookupTTL, and the platform's limit for requests after SIGTERM is 3 s.
	shutdownDelay = 2500 * time.Millisecond
	// exitMargin is the part of Settings.Grace that is left for the process to exit.
	exitMargin = 300 * time.Millisecond
	// answerMargin is how long before that requests in progress get their final answers.
	answerMargin  = 100 * time.Millisecond
	drainPoll     = 20 * time.Millisecond
	headerTimeout = 5 * time.Second
	// idleTimeout exceeds the longest time that the configuration lets callers keep an idle
	// connection, so that the host does not close a connection while a request arrives.
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 64 << 10
	// plainWriteTimeout bounds the answers to look-ups, readiness checks and requests for metrics.
	plainWriteTimeout = 10 * time.Second
	// memoryShare is the fraction of the memory limit that becomes the garbage collector's soft
	// limit.
	memoryShare = 0.7
	// otherMemory is left for what the collector does not control: the program's own pages, and bytes that
	// sockets have received. On small hosts it is more than the rest of memoryShare.
	otherMemory = 32 << 20
	// bufferShare is the fraction of the memory limit that buffers for the answers of servers may have. The
	// collector frees them with a delay.
	bufferShare = 0.1
)

// Platform is what the platform adapter provides: the store, and the platform's formats of
// header fields, table rows and small HTTP interfaces.
type Platform struct {
	Tables      store.Tables
	Writer      store.Writer
	Conditional store.Conditional
	// SetStoreAddress makes further calls go to another address of the store, and reports whether it differs
	// from the one before.
	SetStoreAddress func(address string) (changed bool)
	Dialect         entry.Dialect
	OperatorTable   string
	ServerTable     string
	HostTable       string
	// QuarantineTable holds the requests in quarantine (requests that are not run, since servers
	// ended under them), so that hosts that start can read them.
	QuarantineTable string
	// VersionTable holds which software versions of each service are listed, since when.
	VersionTable string
	// StatusTable shows operators the progress of their rollout orders. RolloutTable is the
	// scheduler's own record, from which a new home resumes a rollout.
	StatusTable   string
	RolloutTable  string
	DecodeOrder   func(key string, value []byte, version int64) (o rollout.Order, ok bool, err error)
	RolloutStatus func(o rollout.Order, s rollout.State) (key string, value []byte, err error)
	DecodeConfig  func(key string, value []byte) (c routing.Config, ok bool, err error)
	DecodeServer  func(id string, value []byte) (sched.Server, error)
	LookupHandler func(func(zone string) (list []string, ttl time.Duration, ok bool)) http.Handler
	ReadyHandler  func(func() bool) http.Handler
}

// Node is one running entry host.
type Node struct {
	settings    Settings
	platform    Platform
	incarnation ident.Incarnation
	events      *event.Recorder
	metrics     metrics.Registry
	members     *member.Table
	gossip      *member.Gossip
	peers       *peer.Manager
	routes      routing.CurrentTable
	servers     *servers
	loop        *dispatch.Loop
	home        *dispatch.Home
	client      *dispatch.Client
	follower    *dispatch.Follower
	pool        *upstream.Pool
	connector   *reach.Connector
	opener      *tunnel.Opener
	tunnels     *tunnel.Server
	relays      *store.Relays
	entry       *entry.Handler
	intake      *intake.Intake
	traffic     peer.Traffic
	load        *hostLoad  // nil unless Settings.LookupByCapacity
	directory   *directory // the same

	control          net.Listener
	httpServers      []*http.Server
	callerServer     *http.Server
	storedHosts      atomic.Pointer[hostList]
	wroteHostRow     atomic.Bool // since the start
	quarantined      *quarantineStore
	rollouts         *rollouts
	era              atomic.Pointer[storeEra]
	joined           chan struct{} // closed when the wait for other hosts is over and tables may be read
	configRowVersion store.Version // version of the newest configuration row applied; only the watcher uses it
	leaving          atomic.Bool
	share            sched.Share // last passed to the loop; only the follower uses it
	tasks            sync.WaitGroup
}

// New opens the listeners for other hosts and builds the components; Run starts them. It fails
// with BadSetting when an address is taken.
func New(settings Settings, platform Platform, logger log.Logger) (*Node, error) {
	n := &Node{
		settings: settings, platform: platform, incarnation: ident.NewIncarnation(), metrics: metrics.NewRegistry(),
		pool: upstream.NewPool(settings.ConnectServer), relays: store.NewRelays(), joined: make(chan struct{}),
	}
	n.events = event.NewRecorder(settings.Host, n.incarnation.String(), timelineEvents, logger)
	n.intake = intake.New(intakeLimits(settings), intake.Options{
		MaxHead: maxHeaderBytes + intake.HeadSlack, HeadTimeout: headerTimeout, Report: n.reportIntake,
		Refusal: func(_ []byte, code failure.Code, message string) []byte { return entry.FailureBody(code, message) },
	})
	limitMemory(settings.MemoryBytes)
	packets, err := n.listen()
	if err != nil {
		return nil, err
	}
	n.build(packets)
	return n, nil
}

// gcPercent is the heap growth between collections, in percent of the live heap. It is half of
// Go's default: memory is scarce on these hosts, while processors are idle.
const gcPercent = 50

func limitMemory(bytes int64) {
	debug.SetGCPercent(gcPercent)
	if bytes > 0 {
		debug.SetMemoryLimit(softMemoryLimit(bytes))
	}
}

// softMemoryLimit returns the collector's soft limit for a limit of the process's memory in bytes.
func softMemoryLimit(bytes int64) int64 {
	return max(bytes/4, min(int64(float64(bytes)*memoryShare), bytes-otherMemory))
}

func (n *Node) peerAddress() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.PeerPort))
}

func (n *Node) listen() (net.PacketConn, error) {
	packets, err := net.ListenPacket("udp", n.peerAddress())
	if err != nil {
		return nil, failure.Wrap(failure.BadSetting, err, "listen for other hosts on UDP")
	}
	if n.control, err = net.Listen("tcp", n.peerAddress()); err != nil {
		return nil, failure.Wrap(failure.BadSetting, err, "listen for other hosts on TCP")
	}
	if n.settings.WrapPackets != nil {
		packets = n.settings.WrapPackets(packets)
	}
	return packets, nil
}

func (n *Node) build(packets net.PacketConn) {
	self := &wire.Member{
		Incarnation: uint64(n.incarnation), Host: n.settings.Host, Zone: n.settings.AvailabilityZone,
		CallerAddress: n.settings.EntryAddress, ControlAddress: n.peerAddress(),
		Capacity:  uint32(n.settings.ProcessorShare * 1000),
		StartedMs: time.Now().UnixMilli(),
	}
	if n.settings.LookupByCapacity {
		self.LinkMbps = n.settings.LinkMbps
	}
	n.members = member.NewTable(self, memberRetention, n.events)
	n.gossip = member.NewGossip(n.members, packets, fleetName, member.DefaultTiming(), n.seedAddresses, n.events)
	n.peers = peer.NewManager(peer.Identity{Incarnation: n.incarnation, Host: n.settings.Host, Fleet: fleetName},
		n.peerAddress(), n.serveStream, peerObserver{n.members}, n.events, &n.traffic)
	n.peers.SetLocalIP(net.ParseIP(n.settings.IP))
	n.peers.SetDial(n.settings.ConnectHost)
	n.peers.SetProbePeriod(probePeriod(n.settings.DrainTime))
	n.loop = dispatch.NewLoop(n.settings.Policy, n.events, n.deliver)
	n.quarantined = newQuarantineStore(n.settings.Host, n.platform.QuarantineTable, n.platform.Tables, n.platform.Writer, n.isHome, n.events)
	n.loop.OnSuspects(n.publishSuspects)
	n.loop.OnTraits(n.publishTraits)
	n.rollouts = newRollouts(n.settings.Host+" "+n.incarnation.String(), n.platform, n.loop, func() bool { return n.home.Leads() }, n.events)
	n.rollouts.era = n.era.Load
	n.rollouts.announce = func(steps []rollout.Status) { n.home.SendRollouts(steps) }
	n.loop.OnOrigins(func(now sched.Time, records []origin.Record) {
		if n.home.Leads() {
			n.home.SendOrigins(now, records)
		} else {
			n.client.ReportOrigins(now, records)
		}
	})
	n.loop.OnRollouts(func(steps []rollout.Status) {
		n.home.SendRollouts(steps)
		n.rollouts.onSteps(steps)
	})
	n.loop.Do(func(_ sched.Time, s *sched.Scheduler) {
		s.SetOwner(uint64(n.incarnation))
		s.SetHost(n.settings.Host)
		if n.settings.EntryTTL > 0 {
			s.SetEntryTTL(n.settings.EntryTTL)
		}
		s.SetBounds(n.settings.RolloutBounds)
		s.SetListAge(n.servers.Age)
		s.AwaitQuarantine(quarantineWait)
	})
	n.home = dispatch.NewHome(n.loop, func() []uint64 { return dispatch.HomeAndSuccessors(n.members) })
	n.servers = newServers(n.platform.DecodeServer, n.events, n.applyServers)
	n.client = dispatch.NewClient(n.incarnation, n.settings.AvailabilityZone, n.loop, n.servers, n.events)
	n.follower = dispatch.NewFollower(n.client, n.members, n.peers, n.home, n.events, n.knownFleetSize, n.gossip.Discovery().Fleet, n.setShare)
	n.follower.LeadOnceInformed(func() bool { return n.routes.Get() != nil && n.servers.loaded() })
	n.opener = tunnel.NewOpener(n.peers, tunnel.Members{
		Table: n.members, OwnZone: n.settings.AvailabilityZone, ZoneOf: n.servers.zoneOf,
		Home: func() (member.Member, bool) { return dispatch.HomeOf(n.members) },
	})
	n.connector = reach.NewConnector(n.pool, n.opener, n.servers, pathObserver{n}, n.events)
	n.tunnels = tunnel.NewServer(n.connector, n.servers.hasAddress, n.metrics)
	deps := entry.Dependencies{
		Routes: &n.routes, Placer: n.client, Servers: n.connector, Dialect: n.platform.Dialect,
		Events: n.events, Meter: entry.NewMeter(n.metrics),
	}
	if n.settings.LookupByCapacity {
		n.directory = newDirectory(n.members)
		n.load = newHostLoad(n.settings, n.resourceUse(), n.members.SetLoad, n.events)
		deps.Gate = n.load
	}
	n.entry = entry.NewHandler(deps)
	n.entry.LimitBuffers(int64(bufferShare * float64(n.settings.MemoryBytes)))
}

// Sessions that are probed seldom cost the hosts of a large fleet less; their silence is noticed later.
const probesPerDrainTime = 4

// probePeriod returns how long a session between hosts may be idle before it is probed. A host hears from
// its reader over a session, so the time in which its silence is noticed is part of the time in which
// news of the store reach all hosts: docs/design/change-propagation.md has the sum.
func probePeriod(drainTime time.Duration) time.Duration {
	return min(peer.MaxProbePeriod, max(peer.ProbePeriod, drainTime/probesPerDrainTime))
}

// fleetName is announced when sessions open, so that hosts of different fleets do not connect.
// A platform runs one fleet.
const fleetName = "platform"

// peerObserver passes what sessions find out about other hosts to the member table.
type peerObserver struct{ members *member.Table }

// ProveDead implements peer.Observer.
func (p peerObserver) ProveDead(inc ident.Incarnation, how string) { p.members.ProveDead(inc, how) }

// SessionEnded implements peer.Observer. A broken session alone does not prove that the host is
// dead; membership probes decide.
func (p peerObserver) SessionEnded(ident.Incarnation) {}

// pathObserver passes on what the connector finds out about this host's paths to servers.
type pathObserver struct{ n *Node }

// PathsLost implements reach.Observer.
func (o pathObserver) PathsLost(lost bool) {
	o.n.members.SetPathsLost(lost)
	code := event.HostPathsRestored
	if lost {
		code = event.HostPathsLost
	}
	o.n.events.Record(code, event.Fields{})
}

// ServerReached implements reach.Observer.
func (o pathObserver) ServerReached(server string) {
	o.n.client.ServerReached(server)
	o.n.events.Record(event.ServerReached, event.Fields{Server: server})
}

// deliver passes the decisions of one scheduling round to this host's own client and to the
// other holders, the hosts that received the requests.
func (n *Node) deliver(decisions []sched.Decision) {
	var local, remote []sched.Decision
	for _, d := range decisions {
		if d.Holder == uint64(n.incarnation) {
			local = append(local, d)
		} else {
			remote = append(remote, d)
		}
	}
	if len(local) > 0 {
		n.client.DeliverLocal(local)
	}
	if len(remote) > 0 {
		n.home.Deliver(remote)
	}
}

// publishSuspects sends changed records of requests under which servers ended to the other
// hosts and to the store.
func (n *Node) publishSuspects(changed []quarantine.Record, lifted func(quarantine.Fingerprint) bool) {
	n.home.SendSuspects(changed, lifted)
	n.quarantined.applyChanges(changed)
}

// publishTraits sends changed records of traits under which servers ended to the other hosts and to the
// store.
func (n *Node) publishTraits(changed []quarantine.TraitRecord, lifted func(quarantine.Trait) bool) {
	n.home.SendTraits(changed, lifted)
	n.quarantined.applyTraits(changed)
}

func (n *Node) serveStream(st *peer.Stream) {
	switch st.Open.Kind {
	case wire.StreamKind_STREAM_SCHEDULE:
		n.home.Serve(context.Background(), st)
	case wire.StreamKind_STREAM_TUNNEL:
		n.tunnels.Serve(st)
	case wire.StreamKind_STREAM_TABLES:
		n.relays.Serve(context.Background(), st, n.role)
	default:
		_ = st.Close() // unknown stream kind: the host runs another version
	}
}

// setShare sets the share of all servers and quotas that this host's loop may use. Only the
// follower's goroutine calls it.
func (n *Node) setShare(share sched.Share) {
	if share == n.share {
		return
	}
	n.share = share
	metrics.GetOrRegisterGauge("share_servers_permille", n.metrics).Update(int64(1000 * share.Servers))
	metrics.GetOrRegisterGauge("share_quotas_permille", n.metrics).Update(int64(1000 * share.Quotas))
	n.events.Record(event.ShareChanged, event.Fields{Detail: fmt.Sprintf("servers=%.2f limits=%.2f sends=%.2f", share.Servers, share.Quotas, share.RateLimits)})
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

// applyConfig applies rows of the operator's table. Rollout orders come first, since the
// configuration in the same update may be the first to serve an ordered service.
func (n *Node) applyConfig(u store.Update) {
	for _, row := range u.Rows {
		if !row.Deleted {
			n.rollouts.applyOrder(row)
		}
	}
	for _, row := range u.Rows {
		if row.Deleted || row.Version <= n.configRowVersion {
			continue
		}
		c, ok, err := n.platform.DecodeConfig(row.Key, row.Value)
		if err != nil {
			n.events.Record(event.ConfigRefused, event.Fields{Detail: err.Error()})
			continue
		}
		if !ok {
			continue
		}
		n.configRowVersion = row.Version
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

func (n *Node) applyServers(changes serverChanges) {
	n.loop.Do(func(now sched.Time, s *sched.Scheduler) { s.UpdateServers(now, changes.changed, changes.removed) })
	if len(changes.removed) == 0 {
		return
	}
	go func() {
		n.pool.Retain(func(s upstream.Server) bool { return n.servers.hasAddress(s.ID, s.Address) })
		n.client.RetainNotices(n.servers.contains)
		n.connector.Retain(n.servers.contains)
	}()
}

// addresses returns the entry addresses for a look-up from an availability zone and how long callers
// may keep them. ok is false if no host is live.
func (n *Node) addresses(zone string) (list []string, ttl time.Duration, ok bool) {
	if n.directory != nil {
		list = n.directory.list(time.Now(), zone)
	}
	if len(list) == 0 {
		list = lookupAddresses(n.members.SampleAlive(maxLookupAddresses))
	}
	return list, lookupTTL, len(list) > 0
}

// maxLookupAddresses is the maximum number of addresses that a look-up may return.
const maxLookupAddresses = addresses.MaxEntries

// lookupAddresses returns the addresses of up to maxLookupAddresses live hosts, in random
// order. A host that is leaving is not among them.
//
// Callers keep no more than maxLookupAddresses. With a fixed order, 8 hosts of a fleet of 72
// would get no callers, and the others would get more than their share.
func lookupAddresses(members []member.Member) []string {
	var list, withPaths []string
	for _, m := range members {
		if m.State != member.Alive || m.CallerAddress == "" {
			continue
		}
		list = append(list, m.CallerAddress)
		if !m.PathsLost {
			withPaths = append(withPaths, m.CallerAddress)
		}
	}
	if len(withPaths) >= minWithPaths(len(list)) {
		list = withPaths
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxLookupAddresses)]
}

// minWithPaths returns how many of n hosts must have paths to backend servers for look-ups to leave
// the others out. Below half, the others would get more than twice their callers, while hosts
// without paths serve through them.
func minWithPaths(n int) int { return (n + 1) / 2 }

// ready reports whether callers should use this host.
func (n *Node) ready() bool { return !n.leaving.Load() && n.routes.Get() != nil }
