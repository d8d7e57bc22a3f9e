// Package daemon combines the components of one entry host: the callers'
// interface and the requests that the host holds for them, the scheduler with the
// cells (queue and scheduler of one service each) whose home is this host,
// membership and configuration, and the connections to the backend servers.
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
	"github.com/gentianflow/gentianflow/internal/intake"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/platform/httpplatform"
	"github.com/gentianflow/gentianflow/internal/settings"
	"github.com/gentianflow/gentianflow/internal/upstream"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	// isolationLimit is how long a host accepts new requests while neither the
	// table service nor a peer answers.
	isolationLimit    = 5 * time.Second
	hostListInterval  = 2 * time.Second
	headerTimeout     = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	drainPollInterval = 50 * time.Millisecond
	// memberHorizon is how long dead members are remembered. It is above the
	// default horizon, for which a ledger (the record of request ids) keeps its entries.
	memberHorizon = 150 * time.Second
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
	backends upstream.CheckedTransport
	traffic  peer.Traffic

	intake          *intake.Intake
	callerServer    *http.Server
	adminServer     *http.Server
	controlListener net.Listener
	callerListener  *intake.Listener
	adminListener   *intake.Listener

	seeds     atomic.Pointer[[]string] // control addresses from the platform's host list
	refuseNew atomic.Bool              // set during a drain once the lookup TTL has passed
	isolated  atomic.Bool              // set after isolationLimit without an answer
	drained   chan struct{}            // closed at the end of a drain
	drainOnce sync.Once

	goroutines sync.WaitGroup
	cancel     context.CancelFunc
}

// New opens the listeners and creates the components; Run starts them. The
// settings must be valid. New fails if an address is in use.
func New(set settings.Daemon) (*Daemon, error) {
	d := &Daemon{set: set, inc: ident.NewIncarnation(), drained: make(chan struct{}), metrics: metrics.NewRegistry()}
	d.events = event.NewRecorder(set.Host, d.inc.String(), set.TimelineSize, newLogger(set))
	d.intake = intake.New(intakeLimits(set), intake.Options{
		MaxHead: callerapi.MaxHeaderBytes + intake.HeadSlack, HeadTimeout: headerTimeout, Refusal: callerapi.RefusalBody,
		Report: func(r intake.Refusals) { d.events.Record(event.IntakeLimited, event.Fields{Detail: r.String()}) },
	})
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

// listen opens all sockets before the components are created, so that the host
// advertises its actual addresses even if the system chose a port.
func (d *Daemon) listen() (net.PacketConn, error) {
	var err error
	if d.callerListener, err = d.intake.ListenTCP(d.set.CallerAddress, callerConnections); err != nil {
		return nil, failure.Wrap(failure.BadSetting, err, "--caller-address")
	}
	if d.adminListener, err = d.intake.ListenTCP(d.set.AdminAddress, adminConnections); err != nil {
		return nil, failure.Wrap(failure.BadSetting, err, "--admin-address")
	}
	packets, err := d.listenControl()
	if err != nil {
		return nil, err
	}
	d.set.CallerAddress = d.callerListener.Addr().String()
	d.set.AdminAddress = d.adminListener.Addr().String()
	d.set.ControlAddress = d.controlListener.Addr().String()
	if d.set.AdvertiseControl == "" {
		d.set.AdvertiseControl = d.set.ControlAddress
	}
	return packets, nil
}

// listenControl opens one port for TCP and UDP. A port that the system chose for
// TCP may be in use for UDP; listenControl then tries another one.
func (d *Daemon) listenControl() (net.PacketConn, error) {
	const maxAttempts = 16
	var err error
	for range maxAttempts {
		if d.controlListener, err = net.Listen("tcp", d.set.ControlAddress); err != nil {
			break
		}
		var packets net.PacketConn
		if packets, err = net.ListenPacket("udp", d.controlListener.Addr().String()); err == nil {
			return packets, nil
		}
		_ = d.controlListener.Close()
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
	d.platform = httpplatform.New(d.set.Platform, d.controlListener.Addr().(*net.TCPAddr).IP, d.set.PlatformTimeout)
	d.config = configsync.New(d.platform, d.platform, d.configFromPeers, d.events)
	d.claims = claim.New(d.platform, d.events)
	var factory backend.Factory
	factory, d.backends = backend.NewFactory()
	d.homes = home.NewManager(ctx, home.Dependencies{Members: d.members, Config: d.config, ServerTransport: d.backends, Table: d.platform}, core.DefaultPolicy(), d.events)
	d.holder = holder.New(ctx, d.inc, holder.Dependencies{
		Members: d.members, Config: d.config, Backends: factory, Claims: d.claims, Events: d.events,
	})
	id := peer.Identity{Incarnation: d.inc, Host: d.set.Host, Fleet: d.set.Fleet}
	d.peers = peer.NewManager(id, d.set.AdvertiseControl, d.serveStream, peerObserver{d}, d.events, &d.traffic)
	d.peers.SetLocalIP(d.controlListener.Addr().(*net.TCPAddr).IP)
	d.homes.SetPeers(d.peers)
	d.holder.SetPeers(d.peers)
}

func (d *Daemon) buildServers() error {
	api, err := callerapi.New(callerapi.Dependencies{
		Config: d.config, Members: d.members, Holder: d.holder, Events: d.events,
		AdmissionCheck: d.admit, Meter: callerapi.NewMeter(d.metrics),
	})
	if err != nil {
		return err
	}
	d.callerServer = newServer(d.callerListener, api.Handler())
	d.adminServer = newServer(d.adminListener, admin.New(admin.Dependencies{
		Config: d.config, Members: d.members, Homes: d.homes, Holder: d.holder, Events: d.events,
		Metrics: d.metrics, Drain: d.StartDrain, Token: d.set.AdminToken,
	}).Handler())
	return nil
}

func newServer(l *intake.Listener, h http.Handler) *http.Server {
	return &http.Server{
		Handler: l.Handle(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: callerapi.MaxHeaderBytes,
		ConnState: intake.ConnState, ConnContext: intake.WithConn,
	}
}

// serveStream passes a stream from another host to the component for its kind.
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

// Addresses returns the addresses that this host listens on.
func (d *Daemon) Addresses() (caller, control, admin string) {
	return d.set.CallerAddress, d.set.ControlAddress, d.set.AdminAddress
}

// Incarnation returns the random id of this process.
func (d *Daemon) Incarnation() ident.Incarnation { return d.inc }

// Run serves until the end of a drain. If ctx ends, it stops immediately.
func (d *Daemon) Run(ctx context.Context) {
	run, stop := context.WithCancel(ctx)
	defer stop()
	d.goroutines.Go(func() { d.gossip.Run(run) })
	d.goroutines.Go(func() { d.config.Run(run) })
	d.goroutines.Go(func() { d.watchConfig(run) })
	d.goroutines.Go(func() { d.claims.Run(run) })
	d.goroutines.Go(func() { d.homes.Run(run) })
	d.goroutines.Go(func() { d.holder.Run(run) })
	d.goroutines.Go(func() { d.pollHostList(run) })
	d.goroutines.Go(func() { d.watchIsolation(run) })
	d.goroutines.Go(func() { d.sampleMetrics(run) })
	d.goroutines.Go(func() { d.peers.Serve(d.controlListener) })
	d.goroutines.Go(func() { _ = d.callerServer.Serve(d.callerListener) }) // ends with Close below
	d.goroutines.Go(func() { _ = d.adminServer.Serve(d.adminListener) })   // ends with Close below
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
	_ = d.controlListener.Close()
	d.cancel()
	d.peers.Close()
	d.platform.Close()
	d.backends.CloseIdleConnections()
	d.goroutines.Wait()
	d.events.Record(event.ProcessStopped, event.Fields{})
}

// admit returns an error if this host does not accept new requests.
func (d *Daemon) admit() error {
	switch {
	case d.refuseNew.Load():
		return failure.Retry(failure.Leaving, time.Second, "this host drains; look the service up again")
	case d.isolated.Load():
		return failure.Retry(failure.Isolated, time.Second, "this host reaches neither the table service nor a peer; use another host")
	}
	return nil
}

// watchIsolation marks this host as isolated when nothing answers that could
// notify it of a newer configuration.
func (d *Daemon) watchIsolation(ctx context.Context) {
	tick := time.NewTicker(isolationLimit / 10)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		lastAnswer := d.config.LastStoreAnswer()
		if lastPeerAnswer := d.gossip.LastAnswer(); lastPeerAnswer.After(lastAnswer) {
			lastAnswer = lastPeerAnswer
		}
		timedOut := time.Since(lastAnswer) > isolationLimit
		if was := d.isolated.Swap(timedOut); was != timedOut {
			code := event.HostRejoined
			if timedOut {
				code = event.HostIsolated
			}
			d.events.Record(code, event.Fields{})
		}
	}
}
