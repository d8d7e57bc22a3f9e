package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/entry"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/intake"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/routing"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// startHTTP starts the HTTP servers.
func (n *Node) startHTTP() error {
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", n.writeMetrics)
	for _, s := range []struct {
		address string
		share   float64
		handler http.Handler
	}{
		{n.settings.EntryAddress, callerConnections, n.entry},
		{n.settings.ReadyAddress, readyConnections, n.platform.ReadyHandler(n.ready)},
		{n.settings.LookupAddress, lookupConnections, n.platform.LookupHandler(n.addresses)},
		{net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.MetricsPort)), metricsConnections, metricsMux},
	} {
		listener, err := n.intake.ListenTCP(s.address, s.share)
		if err != nil {
			return failure.Wrap(failure.BadSetting, err, "listen at %s", s.address)
		}
		srv := newHTTPServer(listener.Handle(s.handler))
		if s.handler == n.entry {
			n.callerServer = srv
		} else {
			srv.WriteTimeout = plainWriteTimeout
		}
		n.httpServers = append(n.httpServers, srv)
		n.tasks.Go(func() {
			if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				n.events.Record(event.DutyFailed, event.Fields{Detail: "serve " + s.address + ": " + err.Error()})
			}
		})
	}
	return nil
}

// newHTTPServer returns a server for the connections of a listener of the intake.
func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: intake.ConnState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return intake.WithConn(entry.WithCallerConn(ctx, c), c)
		},
	}
}

// Run serves until ctx ends, then shuts down gracefully. It returns when the last request is
// answered or the grace time has run out.
func (n *Node) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.Background())
	defer stop()
	n.tasks.Go(func() { n.gossip.Run(run) })
	n.tasks.Go(func() { n.peers.Serve(n.control) })
	n.tasks.Go(func() { n.loop.Run(run) })
	n.tasks.Go(func() { n.follower.Run(run) })
	n.tasks.Go(func() { n.home.SendEstimates(run) })
	n.tasks.Go(func() { n.connector.Run(run) })
	if n.settings.Policy.LearnPauses {
		n.tasks.Go(func() { n.entry.WatchPauses(run) })
	}
	n.tasks.Go(func() { n.join(run) })
	n.tasks.Go(func() { n.quarantined.run(run) })
	n.tasks.Go(func() { n.loadAtStart(run) })
	n.tasks.Go(func() { n.rollouts.run(run) })
	n.tasks.Go(func() { n.endWaitsOnHomeChange(run) })
	n.watch(run, n.platform.OperatorTable, n.applyConfig)
	n.watch(run, n.platform.ServerTable, n.servers.update)
	n.tasks.Go(func() { n.tick(run) })
	if n.load != nil {
		n.tasks.Go(func() { n.load.run(run) })
	}
	if err := n.startHTTP(); err != nil {
		return err
	}
	n.events.Record(event.ProcessStarted, event.Fields{Detail: "incarnation " + n.incarnation.String() + " callers " + n.settings.EntryAddress})
	<-ctx.Done()
	n.shutDown()
	n.closeListeners()
	return nil
}

// closeListeners closes the listeners and connections that are left after the shutdown.
func (n *Node) closeListeners() {
	for _, srv := range n.httpServers {
		_ = srv.Close()
	}
	_ = n.control.Close()
	n.peers.Close()
}

// watch follows a table. Whether this host reads the store itself or follows one of the readers
// depends on its rank.
func (n *Node) watch(ctx context.Context, table string, apply func(store.Update)) {
	w := newWatcher(n.platform.Tables, tableReaders{n}, n.relays, table, n.settings.PropagationBound(), n.events, func(u store.Update) {
		n.noteEra(u.Version.Era())
		apply(u)
		if table == n.platform.OperatorTable {
			n.routes.Confirm(routing.Evidence{At: u.AsOf, Source: u.Reader})
		}
	})
	n.tasks.Go(func() {
		select {
		case <-n.joined:
			w.Run(ctx)
		case <-ctx.Done():
		}
	})
}

// storeEra is the highest era of the store that this host has read of, from the store or a relay.
type storeEra struct {
	number   int64
	since    time.Time
	restored bool // there was an earlier one
}

// noteEra records the era of an update.
func (n *Node) noteEra(number int64) {
	for {
		known := n.era.Load()
		if known != nil && known.number >= number || n.era.CompareAndSwap(known, &storeEra{number, time.Now(), known != nil}) {
			return
		}
	}
}

// newWatcher returns a watcher for a table. It gets updates from the hosts that read the store
// for all, or from the store if this host is one of them, and forwards them through this host's
// relay.
func newWatcher(direct store.Tables, readers store.Readers, relays *store.Relays, table string, bound time.Duration, events *event.Recorder, apply func(store.Update)) *store.Watcher {
	relay := relays.Table(table)
	tables := store.NewRelayedTables(direct, readers, bound, relay.StoreFailed)
	return &store.Watcher{
		Tables: tables, Table: table, Events: events, OnFailure: relay.StoreFailed, Digest: relay.Digest,
		RereadInterval: func() time.Duration {
			if tables.Reader() == "" {
				return store.RereadStore
			}
			return store.RereadRelay
		},
		Apply: func(u store.Update) {
			relay.Apply(u)
			apply(u)
		},
	}
}

// tableReaders implements store.Readers with the hosts that read the store for all.
type tableReaders struct{ n *Node }

// ReaderOrder implements store.Readers.
//
// A host that has just started knows only some of the others, and among those it often ranks as a
// reader. It leaves the store to them until it has settled, unless it ranks first: if each of a
// thousand hosts that start together read the store, that would take thousands of calls.
func (t tableReaders) ReaderOrder() store.ReaderOrder {
	list, readers := dispatch.StoreReaders(t.n.members)
	o := store.ReaderOrder{Readers: readers, Self: -1}
	for i, m := range list {
		if m.Incarnation == t.n.incarnation {
			if i > 0 && !t.n.gossip.Settled() {
				continue
			}
			o.Self = i
		}
		o.Names = append(o.Names, m.Incarnation.String())
	}
	o.Readers = min(o.Readers, len(o.Names))
	return o
}

// Open implements store.Readers.
func (t tableReaders) Open(ctx context.Context, name string) (*peer.Stream, error) {
	list, _ := dispatch.StoreReaders(t.n.members)
	for _, m := range list {
		if m.Incarnation.String() != name {
			continue
		}
		// A dial to a host that hangs would block until its timeout.
		if m.State == member.Suspect {
			return nil, failure.New(failure.PeerSilent, "host %s does not answer probes", m.Host)
		}
		to := peer.Target{Address: m.ControlAddress, Incarnation: m.Incarnation}
		return t.n.peers.OpenStream(ctx, to, wire.StreamKind_STREAM_TABLES, "")
	}
	return nil, failure.New(failure.PeerSilent, "host %s no longer reads the store", name)
}

// unsettledFleetSize is the number of hosts among which a host that has not settled shares the
// calls to the store: it knows too few of them to count.
const unsettledFleetSize = 2000

// Hosts implements store.Readers.
func (t tableReaders) Hosts() int {
	known := max(t.n.members.LiveCount(), t.n.knownFleetSize())
	if known > 1 && !t.n.gossip.Settled() {
		return max(known, unsettledFleetSize)
	}
	return known
}

// role is this host's role in reading the tables for others.
func (n *Node) role() store.Role { return tableReaders{n}.ReaderOrder().Role() }

// endWaitsOnHomeChange makes hosts that wait for updates from this one choose their reader again
// whenever another host becomes the home.
func (n *Node) endWaitsOnHomeChange(ctx context.Context) {
	changed := n.members.Subscribe()
	var home member.Member
	for {
		now, _ := dispatch.HomeOf(n.members)
		if now.Incarnation != home.Incarnation {
			n.relays.EndWaits()
		}
		home = now
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) isHome() bool {
	home, ok := dispatch.HomeOf(n.members)
	return ok && home.Incarnation == n.incarnation
}

func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(sweepPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			n.servers.tick()
		case <-ctx.Done():
			return
		}
	}
}

// shutDown stops the host without cutting off requests. Look-ups and readiness checks stop
// naming this host at once, and if it is the home, another host becomes the home. Callers that
// still have the address are served for shutdownDelay, and each answer closes its connection.
// Then requests that no server has got are refused, unless their deadlines leave time enough, and shutDown
// waits for those in progress, but no longer than Settings.Grace less exitMargin.
func (n *Node) shutDown() {
	start := time.Now()
	n.events.Record(event.ProcessDraining, event.Fields{})
	n.leaving.Store(true)
	n.members.SetLeaving()
	n.entry.CloseConnections()
	time.Sleep(shutdownDelay)
	stop := start.Add(n.settings.Grace - exitMargin)
	end := stop.Add(-answerMargin)
	n.entry.RefuseRequests(end)
	defer time.AfterFunc(time.Until(end), n.entry.EndRequests).Stop()
	ctx, cancel := context.WithDeadline(context.Background(), stop)
	defer cancel()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.events.Record(event.DutyFailed, event.Fields{Detail: "requests in progress at the end of the grace time: " + strconv.Itoa(n.entry.Active())})
	}
	n.tunnels.Wait(ctx)
	n.events.Record(event.ProcessStopped, event.Fields{})
}

// writeMetrics writes counters, gauges and histograms as lines of text, after setting the
// gauges to the current state of this host.
func (n *Node) writeMetrics(w http.ResponseWriter, r *http.Request) {
	gauge := func(name string, v int64) { metrics.GetOrRegisterGauge(name, n.metrics).Update(v) }
	waiting, running := n.client.Pending()
	gauge("requests_waiting", int64(waiting))
	gauge("requests_running", int64(running))
	if t := n.routes.Get(); t != nil {
		gauge("config_version", t.Version)
	}
	if e := n.routes.Evidence(); !e.At.IsZero() {
		gauge("config_evidence_age_ms", time.Since(e.At).Milliseconds())
		gauge("config_from_store", boolGauge(e.Source == ""))
	}
	ready, draining, missing := n.servers.count()
	gauge("servers_ready", int64(ready))
	gauge("servers_draining", int64(draining))
	gauge("servers_missing", int64(missing))
	notices := n.client.CountNotices()
	gauge("servers_limited", int64(notices.Limited))
	gauge("servers_leaving_by_answer", int64(notices.Leaving))
	gauge("servers_resting", int64(notices.BackingOff))
	lost, cut := n.connector.LostPaths()
	gauge("paths_lost", int64(lost))
	gauge("paths_lost_all", boolGauge(cut))
	gauge("tunnels_open", int64(n.opener.Active()))
	gauge("tunnels_carried", int64(n.tunnels.Active()))
	gauge("server_loads_received", int64(n.client.LoadReports()))
	gauge("servers_list_age_ms", n.servers.Age().Milliseconds())
	if era := n.era.Load(); era != nil {
		gauge("store_era", era.number)
		gauge("store_era_age_ms", time.Since(era.since).Milliseconds())
	}
	live := 0
	for _, m := range n.members.All() {
		if m.State == member.Alive {
			live++
		}
	}
	gauge("hosts_live", int64(live))
	gauge("is_home", boolGauge(n.home.Leads()))
	gauge("follows_home", boolGauge(n.client.FollowsHome()))
	gauge("hosts_reported", int64(n.knownFleetSize()))
	n.gaugeLoad(gauge)
	n.gaugeIntake(gauge)
	n.loop.Query(r.Context(), func(s *sched.Scheduler) {
		gauge("scheduler_waiting", int64(s.Waiting()))
		gauge("scheduler_running", int64(s.Running()))
		gauge("requests_in_quarantine", int64(s.QuarantinedRequests()))
		gauge("traits_in_quarantine", int64(s.QuarantinedTraits()))
		gauge("servers_brittle", int64(s.BrittleServers()))
		gauge("servers_ejected", int64(s.CountEjected()))
		gauge("stream_origins", int64(s.CountOrigins()))
		shares := s.ShareStats()
		gauge("share_accounts", int64(shares.Accounts))
		gauge("share_accounts_waiting", int64(shares.Waiting))
		gauge("share_accounts_over", int64(shares.Over))
		gauge("share_error_ms", shares.Error.Milliseconds())
		for _, c := range s.SizeClassStats() {
			prefix := fmt.Sprintf("sizes.%s.priority_%d.class_%d", c.Service, c.Priority, c.Class)
			gauge(prefix+".requests", int64(c.Requests))
			gauge(prefix+".served_permille", int64(1000*c.Served))
		}
		load := s.LoadStats()
		gauge("server_loads_used", int64(load.Received))
		gauge("servers_slowed", int64(load.Slowed))
		gauge("servers_with_fewer_slots", int64(load.Reduced))
		gauge("server_load_oldest_used_ms", load.OldestUsed.Milliseconds())
		gauge("placements_moved_by_load", int64(load.MovedAway))
		forecasts := s.ForecastStats()
		gauge("forecast.refused", int64(forecasts.Refused))
		gauge("forecast.right", int64(forecasts.Right))
		gauge("forecast.wrong", int64(forecasts.Wrong))
		gauge("forecast.mean_error_ms", forecasts.MeanError.Milliseconds())
		gauge("returns.booked", int64(forecasts.Bookings))
		gauge("returns.kept", int64(forecasts.Kept))
		gauge("returns.early", int64(forecasts.Early))
		gauge("returns.late", int64(forecasts.Late))
		for _, p := range s.PauseStats() {
			prefix := "pauses." + p.Service
			gauge(prefix+".bound_permille", int64(1000*p.Bound))
			gauge(prefix+".classes_learned", int64(p.Classes))
			gauge(prefix+".runs_learned", p.Samples)
			gauge(prefix+".runs_ignored", p.Ignored)
		}
		for _, status := range s.Rollouts() {
			prefix := "rollout." + status.Order.Service + "." + status.Order.To
			gauge(prefix+".requests_to_service", int64(status.Reached))
			gauge(prefix+".requests_tried", int64(status.Tried))
			gauge(prefix+".answers", int64(status.Answers))
			gauge(prefix+".answers_bad", int64(status.Bad))
		}
	})
	metrics.WriteOnce(n.metrics, w)
}

// boolGauge returns the value of a gauge that states a condition.
func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// Reload applies settings that were read again. The memory limit and the store's address can change while
// the process runs; this host's own addresses stay, since callers are connected to them.
func (n *Node) Reload(settings Settings, err error) {
	if err != nil {
		n.events.Record(event.ConfigRefused, event.Fields{Detail: "settings: " + err.Error()})
		return
	}
	limitMemory(settings.MemoryBytes)
	n.intake.SetLimits(intakeLimits(settings))
	n.entry.LimitBuffers(int64(bufferShare * float64(settings.MemoryBytes)))
	if n.load != nil {
		n.load.setMemoryLimit(settings.MemoryBytes)
	}
	detail := ""
	if n.platform.SetStoreAddress(settings.Store) {
		detail = "store at " + settings.Store
	}
	n.events.Record(event.SettingsRead, event.Fields{Detail: detail})
}
