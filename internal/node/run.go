package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/entry"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// open starts the HTTP servers.
func (n *Node) open() error {
	n.front = &http.Server{
		Handler: n.entry, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ConnContext: entry.WithConn,
	}
	small := func(h http.Handler) *http.Server {
		return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	}
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", n.writeMetrics)
	for address, srv := range map[string]*http.Server{
		n.set.EntryAddress:  n.front,
		n.set.ReadyAddress:  small(n.plat.ReadyHandler(n.ready)),
		n.set.LookupAddress: small(n.plat.LookupHandler(n.addresses)),
		net.JoinHostPort(n.set.IP, strconv.Itoa(n.set.MetricsPort)): small(metricsMux),
	} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return failure.Wrap(failure.BadSetting, err, "listen at %s", address)
		}
		n.serve = append(n.serve, srv)
		n.duties.Go(func() {
			if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				n.events.Record(event.DutyFailed, event.Fields{Detail: "serve " + address + ": " + err.Error()})
			}
		})
	}
	return nil
}

// Run serves until ctx ends, then shuts down gracefully. It returns when the
// last request has its final answer, or the grace time is used up.
func (n *Node) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.Background())
	defer stop()
	n.duties.Go(func() { n.gossip.Run(run) })
	n.duties.Go(func() { n.peers.Serve(n.control) })
	n.duties.Go(func() { n.loop.Run(run) })
	n.duties.Go(func() { n.follower.Run(run) })
	n.duties.Go(func() { n.home.TeachNext(run) })
	n.duties.Go(func() { n.join(run) })
	n.duties.Go(func() { n.kept.run(run) })
	n.duties.Go(func() { n.rollouts.run(run) })
	n.duties.Go(func() { n.releaseReaders(run) })
	n.watch(run, n.plat.OperatorTable, n.applyConfig)
	n.watch(run, n.plat.ServerTable, n.servers.take)
	n.duties.Go(func() { n.tick(run) })
	if err := n.open(); err != nil {
		return err
	}
	n.events.Record(event.ProcessStarted, event.Fields{Detail: "incarnation " + n.inc.String() + " callers " + n.set.EntryAddress})
	<-ctx.Done()
	n.shutDown()
	return nil
}

// watch follows a table, through those that read the store for all or as one of them.
func (n *Node) watch(ctx context.Context, table string, apply func(store.Update)) {
	w := newWatcher(n.plat.Tables, tableReaders{n}, n.relays, table, n.events, apply)
	n.duties.Go(func() {
		select {
		case <-n.joined:
			w.Run(ctx)
		case <-ctx.Done():
		}
	})
}

// newWatcher makes the watcher of a table that is read through the hosts that read the store
// for all, and told on by the relay of this host.
func newWatcher(direct store.Tables, readers store.Readers, relays *store.Relays, table string, events *event.Recorder, apply func(store.Update)) *store.Watcher {
	relay := relays.Table(table)
	tables := store.NewRelayed(direct, readers, relay.Failed)
	return &store.Watcher{
		Tables: tables, Table: table, Events: events, Failed: relay.Failed,
		Reread: func() time.Duration {
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

// tableReaders are the hosts that read the store, as the tables' readers see them.
type tableReaders struct{ n *Node }

// Order implements store.Readers.
func (t tableReaders) Order() store.Order {
	list, readers := dispatch.StoreOrder(t.n.members)
	o := store.Order{Readers: readers, Self: -1}
	for i, m := range list {
		if m.Incarnation == t.n.inc {
			o.Self = i
		}
		o.Names = append(o.Names, m.Incarnation.String())
	}
	return o
}

// Open implements store.Readers.
func (t tableReaders) Open(ctx context.Context, name string) (*peer.Stream, error) {
	list, _ := dispatch.StoreOrder(t.n.members)
	for _, m := range list {
		if m.Incarnation.String() != name {
			continue
		}
		// A dial to a host that stands still takes all of its time.
		if m.State == member.Suspect {
			return nil, failure.New(failure.PeerSilent, "%s leaves probes unanswered", m.Host)
		}
		to := peer.Target{Address: m.ControlAddress, Incarnation: m.Incarnation}
		return t.n.peers.OpenStream(ctx, to, wire.StreamKind_STREAM_TABLES, "")
	}
	return nil, failure.New(failure.PeerSilent, "%s reads the store no more", name)
}

// Hosts implements store.Readers.
func (t tableReaders) Hosts() int { return max(t.n.members.Live(), t.n.listedHosts()) }

// role tells what this host does for others that follow the tables.
func (n *Node) role() store.Role { return tableReaders{n}.Order().Role() }

// releaseReaders lets those who wait for news here look anew at whom to ask, each time
// that another host has become the home.
func (n *Node) releaseReaders(ctx context.Context) {
	changed := n.members.Subscribe()
	var home member.Member
	for {
		now, _ := dispatch.HomeOf(n.members)
		if now.Incarnation != home.Incarnation {
			n.relays.Release()
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
	return ok && home.Incarnation == n.inc
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

// shutDown leaves without cutting a request off. The order keeps callers
// served: look-ups and readiness checks stop naming this host at once and the
// home moves; callers that still have the address are served for leaveWait,
// each answer closing its connection; then new requests are refused, and the
// process ends with the last request in progress.
func (n *Node) shutDown() {
	begun := time.Now()
	n.events.Record(event.ProcessDraining, event.Fields{})
	n.leaving.Store(true)
	n.members.SetLeaving()
	n.entry.Leave()
	time.Sleep(leaveWait)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(n.set.Grace-exitMargin))
	defer cancel()
	if err := n.front.Shutdown(ctx); err != nil {
		n.events.Record(event.DutyFailed, event.Fields{Detail: "requests in progress at the end of the grace time: " + strconv.Itoa(n.entry.Active())})
	}
	n.events.Record(event.ProcessStopped, event.Fields{})
}

// writeMetrics writes counters, gauges and histograms as lines of text, with
// what this host believes now.
func (n *Node) writeMetrics(w http.ResponseWriter, r *http.Request) {
	gauge := func(name string, v int64) { metrics.GetOrRegisterGauge(name, n.metrics).Update(v) }
	waiting, running := n.client.Pending()
	gauge("requests_waiting", int64(waiting))
	gauge("requests_running", int64(running))
	if t := n.routes.Get(); t != nil {
		gauge("config_version", t.Version)
	}
	ready, draining, missing := n.servers.count()
	gauge("servers_ready", int64(ready))
	gauge("servers_draining", int64(draining))
	gauge("servers_missing", int64(missing))
	said := n.client.CountNotices()
	gauge("servers_limited", int64(said.Limited))
	gauge("servers_leaving_by_answer", int64(said.Leaving))
	gauge("servers_resting", int64(said.Resting))
	gauge("servers_list_age_ms", n.servers.Age().Milliseconds())
	live := 0
	for _, m := range n.members.All() {
		if m.State == member.Alive {
			live++
		}
	}
	gauge("hosts_live", int64(live))
	home := int64(0)
	if n.isHome() {
		home = 1
	}
	gauge("is_home", home)
	n.loop.Query(r.Context(), func(s *sched.Scheduler) {
		gauge("scheduler_waiting", int64(s.Waiting()))
		gauge("scheduler_running", int64(s.Running()))
		gauge("requests_in_quarantine", int64(s.Quarantined()))
		for _, one := range s.Rollouts() {
			of := "rollout." + one.Order.Service + "." + one.Order.To
			gauge(of+".requests_to_service", int64(one.Reached))
			gauge(of+".requests_tried", int64(one.Tried))
			gauge(of+".answers", int64(one.Answers))
			gauge(of+".answers_bad", int64(one.Bad))
		}
	})
	metrics.WriteOnce(n.metrics, w)
}

// Reload is called after SIGHUP with the settings as they stand now. What can
// change while the process runs is the memory limit; addresses stay, since
// callers are connected to them.
func (n *Node) Reload(set Settings, err error) {
	if err != nil {
		n.events.Record(event.ConfigRefused, event.Fields{Detail: "settings: " + err.Error()})
		return
	}
	limitMemory(set.MemoryBytes)
	n.events.Record(event.SettingsRead, event.Fields{})
}
