package daemon

import (
	"context"
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/platform"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// seedAddresses returns the control addresses from the settings and the host
// list.
func (d *Daemon) seedAddresses() []string {
	seeds := append([]string(nil), d.set.Seeds...)
	if listed := d.seeds.Load(); listed != nil {
		seeds = append(seeds, *listed...)
	}
	return seeds
}

// pollHostList polls the platform's list of hosts. Entry hosts become seeds of the
// membership, leaving backend servers get no new requests, and this host drains
// when it is itself listed as leaving.
func (d *Daemon) pollHostList(ctx context.Context) {
	tick := time.NewTicker(hostListInterval)
	defer tick.Stop()
	failed := false
	for {
		hosts, err := d.platform.Hosts(ctx)
		if err != nil && !failed && ctx.Err() == nil {
			d.events.Record(event.HostListFailed, event.Fields{Detail: err.Error()})
		}
		failed = err != nil
		if err == nil {
			d.applyHostList(hosts)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) applyHostList(hosts []platform.Host) {
	var seeds []string
	leaving := map[string]bool{}
	for _, h := range hosts {
		switch {
		case h.Kind == platform.BackendHost && h.State == platform.HostLeaving:
			leaving[h.Address] = true
		case h.Kind == platform.EntryHost && h.Address == d.set.AdvertiseControl && h.State == platform.HostLeaving:
			d.StartDrain()
		case h.Kind == platform.EntryHost:
			seeds = append(seeds, h.Address)
		}
	}
	d.seeds.Store(&seeds)
	d.homes.SetLeavingServers(leaving)
}

// watchConfig reports the configuration version in force here to the fleet, and
// requests a newer one as soon as a peer reports it.
func (d *Daemon) watchConfig(ctx context.Context) {
	members := d.members.Subscribe()
	configs := d.config.Subscribe()
	for {
		select {
		case <-members:
		case <-configs:
		case <-ctx.Done():
			return
		}
		version := uint64(0)
		if c := d.config.Current(); c != nil {
			version = c.Version
		}
		if d.members.Self().ConfigVersion != version {
			d.members.SetConfigVersion(version)
		}
		if len(d.newerPeers(version)) > 0 {
			d.config.Wake()
		}
	}
}

// newerPeers returns the members with a configuration version above the given
// one, newest first.
func (d *Daemon) newerPeers(version uint64) []member.Member {
	var out []member.Member
	for _, m := range d.members.All() {
		if m.Incarnation != d.inc && m.State != member.Dead && m.ConfigVersion > version {
			out = append(out, m)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].ConfigVersion > out[j].ConfigVersion })
	return out
}

// maxConfigPeers is the maximum number of peers that one call of configFromPeers
// requests the configuration from; configTimeout limits each request.
const (
	maxConfigPeers = 3
	configTimeout  = 2 * time.Second
)

// configFromPeers implements configsync.FetchFromPeers.
func (d *Daemon) configFromPeers(ctx context.Context, above uint64) (uint64, string, []byte, error) {
	peers := d.newerPeers(above)
	for _, m := range peers[:min(maxConfigPeers, len(peers))] {
		reply, err := d.fetchConfig(ctx, m, above)
		if err == nil && reply.Version > above {
			return reply.Version, reply.ChangeId, reply.Document, nil
		}
	}
	return 0, "", nil, failure.New(failure.PeerSilent, "no peer returned a configuration above version %d", above)
}

func (d *Daemon) fetchConfig(ctx context.Context, m member.Member, above uint64) (*wire.ConfigReply, error) {
	st, err := d.peers.OpenStream(ctx, peer.Target{Address: m.ControlAddress, Incarnation: m.Incarnation}, wire.StreamKind_STREAM_CONFIG, "")
	if err != nil {
		return nil, err
	}
	defer func() { _ = st.Close() }()
	_ = st.SetDeadline(time.Now().Add(configTimeout))
	if err := wire.Write(st, &wire.ConfigRequest{Above: above}); err != nil {
		return nil, err
	}
	var reply wire.ConfigReply
	return &reply, wire.Read(st.Reader, &reply)
}

func (d *Daemon) serveConfig(st *peer.Stream) {
	defer func() { _ = st.Close() }()
	_ = st.SetDeadline(time.Now().Add(configTimeout))
	var req wire.ConfigRequest
	if wire.Read(st.Reader, &req) != nil {
		return
	}
	reply := &wire.ConfigReply{}
	if c, ok := d.config.NewerThan(req.Above); ok {
		reply.Version, reply.ChangeId, reply.Document = c.Version, c.ChangeID, c.Text
	}
	_ = wire.Write(st, reply) // after a failed write, the requesting host tries another peer
}

const metricsInterval = 1 * time.Second

// sampleMetrics updates the gauges of this host.
func (d *Daemon) sampleMetrics(ctx context.Context) {
	records := metrics.GetOrRegisterGauge("holder.records", d.metrics)
	open := metrics.GetOrRegisterGauge("holder.in_progress", d.metrics)
	bytes := metrics.GetOrRegisterGauge("holder.bytes", d.metrics)
	members := metrics.GetOrRegisterGauge("member.known", d.metrics)
	version := metrics.GetOrRegisterGauge("config.version", d.metrics)
	sent := metrics.GetOrRegisterGauge("control.sent_bytes", d.metrics)
	received := metrics.GetOrRegisterGauge("control.received_bytes", d.metrics)
	connections := metrics.GetOrRegisterGauge("client.connections", d.metrics)
	connectionLimit := metrics.GetOrRegisterGauge("client.connections_limit", d.metrics)
	memory := metrics.GetOrRegisterGauge("client.memory_bytes", d.metrics)
	memoryLimit := metrics.GetOrRegisterGauge("client.memory_bytes_limit", d.metrics)
	metrics.RegisterRuntimeMemStats(d.metrics)
	tick := time.NewTicker(metricsInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s := d.holder.Stats()
		records.Update(int64(s.Records))
		open.Update(int64(s.InProgress))
		bytes.Update(int64(s.HeldBytes))
		u := d.intake.Usage()
		connections.Update(int64(u.Connections))
		connectionLimit.Update(int64(u.Limits.Connections))
		memory.Update(u.Memory)
		memoryLimit.Update(u.Limits.Memory)
		sent.Update(d.traffic.Sent.Load() + d.gossip.Sent.Load())
		received.Update(d.traffic.Received.Load() + d.gossip.Received.Load())
		members.Update(int64(len(d.members.All())))
		if c := d.config.Current(); c != nil {
			version.Update(int64(c.Version))
		}
	}
}

// peerObserver forwards what sessions report about other hosts to the membership.
type peerObserver struct{ d *Daemon }

// ProveDead implements peer.Observer.
func (o peerObserver) ProveDead(inc ident.Incarnation, evidence string) {
	o.d.members.ProveDead(inc, evidence)
}

// These limits apply to the check of a host whose session broke.
const (
	portCheckAttempts = 3
	portCheckPause    = 30 * time.Millisecond
	portCheckTimeout  = 300 * time.Millisecond
)

// SessionEnded implements peer.Observer. When a process dies, its sessions end and its
// port refuses connections. Connecting to the port immediately proves the death
// within milliseconds, before the next membership probe would detect it.
func (o peerObserver) SessionEnded(inc ident.Incarnation) {
	m, ok := o.d.members.Get(inc)
	if !ok || m.Proved || inc == o.d.inc {
		return
	}
	for range portCheckAttempts {
		if member.RefusesConnections(m.ControlAddress, portCheckTimeout) {
			o.d.members.ProveDead(inc, "its session ended and its port refuses connections")
			return
		}
		time.Sleep(portCheckPause)
	}
}
