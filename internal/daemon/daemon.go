// Package daemon puts the duties of one entry host together: entry (callers
// and the requests they gave), scheduler (the cells whose home is here),
// member (who is alive, which configuration is newest) and engine side.
package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/gentianflow/gentianflow/internal/admin"
	"github.com/gentianflow/gentianflow/internal/backend"
	"github.com/gentianflow/gentianflow/internal/callerapi"
	"github.com/gentianflow/gentianflow/internal/claim"
	"github.com/gentianflow/gentianflow/internal/configsync"
	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/holder"
	"github.com/gentianflow/gentianflow/internal/home"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/platform/httpplatform"
	"github.com/gentianflow/gentianflow/internal/settings"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	// isolationLimit is how long a host takes new requests with neither the
	// table service nor a peer answering.
	isolationLimit = 5 * time.Second
	hostListPeriod = 2 * time.Second
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	drainPoll      = 50 * time.Millisecond
	memberHorizon  = 150 * time.Second // above the ledger's default horizon
)

// Daemon is one running entry host.
type Daemon struct {
	set      settings.Daemon
	inc      ident.Incarnation
	events   *event.Recorder
	metrics  metrics.Registry
	members  *member.Table
	gossip   *member.Gossip
	config   *configsync.Syncer
	peers    *peer.Manager
	homes    *home.Manager
	holder   *holder.Holder
	claims   *claim.Claimer
	platform *httpplatform.Client
	backends *http.Transport
	traffic  peer.Traffic

	callerServer *http.Server
	adminServer  *http.Server
	control      net.Listener
	callerL      net.Listener
	adminL       net.Listener

	seeds    atomic.Pointer[[]string] // from the host list
	refusing atomic.Bool              // drained past the look-up's time
	isolated atomic.Bool
	drained  chan struct{} // closed when a drain has ended
	drain    sync.Once

	duties sync.WaitGroup
	cancel context.CancelFunc
}

// New opens the listeners and builds the duties; Run starts them. The
// settings must have passed their check. It fails when an address is taken.
func New(set settings.Daemon) (*Daemon, error) {
	d := &Daemon{set: set, inc: ident.NewIncarnation(), drained: make(chan struct{}), metrics: metrics.NewRegistry()}
	d.events = event.NewRecorder(set.Host, d.inc.String(), set.TimelineSize, newLogger(set))
	packets, err := d.listen()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.build(ctx, packets)
	if err := d.buildServers(); err != nil {
		cancel()
		return nil, err
	}
	return d, nil
}

func newLogger(set settings.Daemon) log.Logger {
	w := log.NewSyncWriter(os.Stderr)
	l := log.NewLogfmtLogger(w)
	if set.LogFormat == settings.LogJSON {
		l = log.NewJSONLogger(w)
	}
	return log.With(l, "ts", log.DefaultTimestampUTC, "host", set.Host)
}

// listen opens all sockets first, so that the addresses told to others are
// the real ones even where the port was left to the system.
func (d *Daemon) listen() (net.PacketConn, error) {
	var err error
	if d.callerL, err = net.Listen("tcp", d.set.CallerAddress); err != nil {
		return nil, failure.Wrap(failure.BadSetting, err, "--caller-address")
	}
	if d.adminL, err = net.Listen("tcp", d.set.AdminAddress); err != nil {
		return nil, failure.Wrap(failure.BadSetting, err, "--admin-address")
	}
	packets, err := d.listenControl()
	if err != nil {
		return nil, err
	}
	d.set.CallerAddress = d.callerL.Addr().String()
	d.set.AdminAddress = d.adminL.Addr().String()
	d.set.ControlAddress = d.control.Addr().String()
	if d.set.AdvertiseControl == "" {
		d.set.AdvertiseControl = d.set.ControlAddress
	}
	return packets, nil
}

// listenControl opens one port for TCP and UDP. A port that the system chose
// for TCP can be taken for UDP; then another one is tried.
func (d *Daemon) listenControl() (net.PacketConn, error) {
	const tries = 16
	var err error
	for range tries {
		if d.control, err = net.Listen("tcp", d.set.ControlAddress); err != nil {
			break
		}
		var packets net.PacketConn
		if packets, err = net.ListenPacket("udp", d.control.Addr().String()); err == nil {
			return packets, nil
		}
		_ = d.control.Close()
	}
	return nil, failure.Wrap(failure.BadSetting, err, "--control-address")
}

func (d *Daemon) build(ctx context.Context, packets net.PacketConn) {
	self := &wire.Member{
		Incarnation: uint64(d.inc), Host: d.set.Host, Zone: d.set.AvailabilityZone,
		CallerAddress: d.set.CallerAddress, ControlAddress: d.set.AdvertiseControl, AdminAddress: d.set.AdminAddress,
		StartedMs: time.Now().UnixMilli(),
	}
	d.members = member.NewTable(self, memberHorizon, d.events)
	d.gossip = member.NewGossip(d.members, packets, d.set.Fleet, member.DefaultTiming(), d.seedAddresses, d.events)
	d.platform = httpplatform.New(d.set.Platform, d.control.Addr().(*net.TCPAddr).IP, d.set.PlatformTimeout)
	d.config = configsync.New(d.platform, d.platform, d.configFromPeers, d.events)
	d.claims = claim.New(d.platform, d.events)
	var factory backend.Factory
	factory, d.backends = backend.NewFactory()
	d.homes = home.NewManager(ctx, home.Sources{Members: d.members, Config: d.config, Watch: d.backends, Table: d.platform}, core.DefaultPolicy(), d.events)
	d.holder = holder.New(ctx, d.inc, holder.Sources{
		Members: d.members, Config: d.config, Backends: factory, Claims: d.claims, Events: d.events,
	})
	id := peer.Identity{Incarnation: d.inc, Host: d.set.Host, Fleet: d.set.Fleet}
	d.peers = peer.NewManager(id, d.set.AdvertiseControl, d.serveStream, peerNews{d}, d.events, &d.traffic)
	d.peers.SetLocalIP(d.control.Addr().(*net.TCPAddr).IP)
	d.homes.SetPeers(d.peers)
	d.holder.SetPeers(d.peers)
}

func (d *Daemon) buildServers() error {
	api, err := callerapi.New(callerapi.Sources{
		Config: d.config, Members: d.members, Holder: d.holder, Events: d.events,
		Gate: d.gate, Meter: callerapi.NewMeter(d.metrics),
	})
	if err != nil {
		return err
	}
	d.callerServer = newServer(api.Handler())
	d.adminServer = newServer(admin.New(admin.Sources{
		Config: d.config, Members: d.members, Homes: d.homes, Holder: d.holder, Events: d.events,
		Metrics: d.metrics, Drain: d.StartDrain, Token: d.set.AdminToken,
	}).Handler())
	return nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: callerapi.MaxHeaderBytes,
	}
}

// serveStream hands a stream of another host to the duty it is for.
func (d *Daemon) serveStream(st *peer.Stream) {
	switch st.Open.Kind {
	case wire.StreamKind_STREAM_CELL:
		d.homes.ServeCell(st)
	case wire.StreamKind_STREAM_ATTACH:
		d.holder.ServeAttach(st)
	case wire.StreamKind_STREAM_CONFIG:
		d.serveConfig(st)
	case wire.StreamKind_STREAM_HANDOVER:
		d.homes.ServeHandover(st)
	default:
		_ = st.Close()
	}
}

// Addresses returns what this host listens on: callers, control, admin.
func (d *Daemon) Addresses() (caller, control, admin string) {
	return d.set.CallerAddress, d.set.ControlAddress, d.set.AdminAddress
}

// Incarnation returns the name of this process start.
func (d *Daemon) Incarnation() ident.Incarnation { return d.inc }

// Run serves until ctx ends, which stops the host at once, or until a drain
// has ended.
func (d *Daemon) Run(ctx context.Context) {
	run, stop := context.WithCancel(ctx)
	defer stop()
	d.duties.Go(func() { d.gossip.Run(run) })
	d.duties.Go(func() { d.config.Run(run) })
	d.duties.Go(func() { d.watchConfig(run) })
	d.duties.Go(func() { d.claims.Run(run) })
	d.duties.Go(func() { d.homes.Run(run) })
	d.duties.Go(func() { d.holder.Run(run) })
	d.duties.Go(func() { d.pollHostList(run) })
	d.duties.Go(func() { d.watchIsolation(run) })
	d.duties.Go(func() { d.sampleMetrics(run) })
	d.duties.Go(func() { d.peers.Serve(d.control) })
	d.duties.Go(func() { _ = d.callerServer.Serve(d.callerL) }) // ends with Close below
	d.duties.Go(func() { _ = d.adminServer.Serve(d.adminL) })   // ends with Close below
	d.events.Record(event.ProcessStarted, event.Fields{Detail: "incarnation " + d.inc.String() +
		" callers " + d.set.CallerAddress + " control " + d.set.ControlAddress + " admin " + d.set.AdminAddress})
	select {
	case <-ctx.Done():
	case <-d.drained:
	}
	stop()
	d.close()
}

func (d *Daemon) close() {
	_ = d.callerServer.Close()
	_ = d.adminServer.Close()
	_ = d.control.Close()
	d.cancel()
	d.peers.Close()
	d.platform.Close()
	d.backends.CloseIdleConnections()
	d.duties.Wait()
	d.events.Record(event.ProcessStopped, event.Fields{})
}

// gate tells whether this host takes new requests.
func (d *Daemon) gate() error {
	switch {
	case d.refusing.Load():
		return failure.Retry(failure.Leaving, time.Second, "this host drains; look the service up again")
	case d.isolated.Load():
		return failure.Retry(failure.Isolated, time.Second, "this host reaches neither the table service nor a peer; use another host")
	}
	return nil
}

// watchIsolation notices that this host is cut off from everything that could
// tell it of a newer configuration.
func (d *Daemon) watchIsolation(ctx context.Context) {
	tick := time.NewTicker(isolationLimit / 10)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		newest := d.config.LastStoreAnswer()
		if peers := d.gossip.LastAnswer(); peers.After(newest) {
			newest = peers
		}
		cut := time.Since(newest) > isolationLimit
		if was := d.isolated.Swap(cut); was != cut {
			code := event.HostRejoined
			if cut {
				code = event.HostIsolated
			}
			d.events.Record(code, event.Fields{})
		}
	}
}
