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

// seedAddresses lists control addresses from the settings and the host list.
func (d *Daemon) seedAddresses() []string {
	seeds := append([]string(nil), d.set.Seeds...)
	if listed := d.seeds.Load(); listed != nil {
		seeds = append(seeds, *listed...)
	}
	return seeds
}

// pollHostList reads the platform's list of hosts: entry hosts become seeds,
// leaving backend servers get no new work, and when this host itself is
// listed as leaving it drains.
func (d *Daemon) pollHostList(ctx context.Context) {
	tick := time.NewTicker(hostListPeriod)
	defer tick.Stop()
	failed := false
	for {
		hosts, err := d.platform.Hosts(ctx)
		if err != nil && !failed && ctx.Err() == nil {
			d.events.Record(event.HostListFailed, event.Fields{Detail: err.Error()})
		}
		failed = err != nil
		if err == nil {
			d.takeHostList(hosts)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) takeHostList(hosts []platform.Host) {
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

// watchConfig tells the fleet which version is in force here, and looks for a
// newer one as soon as a peer tells of it.
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
		mine := uint64(0)
		if c := d.config.Current(); c != nil {
			mine = c.Version
		}
		if d.members.Self().ConfigVersion != mine {
			d.members.SetConfigVersion(mine)
		}
		if len(d.newerPeers(mine)) > 0 {
			d.config.Wake()
		}
	}
}

// newerPeers lists the members with a version above ours, newest first.
func (d *Daemon) newerPeers(mine uint64) []member.Member {
	var out []member.Member
	for _, m := range d.members.All() {
		if m.Incarnation != d.inc && m.State != member.Dead && m.ConfigVersion > mine {
			out = append(out, m)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].ConfigVersion > out[j].ConfigVersion })
	return out
}

// configTries bounds how many peers are asked for a document in one go.
const (
	configTries   = 3
	configTimeout = 2 * time.Second
)

// configFromPeers implements configsync.FetchFromPeers.
func (d *Daemon) configFromPeers(ctx context.Context, above uint64) (uint64, string, []byte, error) {
	peers := d.newerPeers(above)
	for _, m := range peers[:min(configTries, len(peers))] {
		reply, err := d.askConfig(ctx, m, above)
		if err == nil && reply.Version > above {
			return reply.Version, reply.ChangeId, reply.Document, nil
		}
	}
	return 0, "", nil, failure.New(failure.PeerSilent, "no peer gave a configuration above version %d", above)
}

func (d *Daemon) askConfig(ctx context.Context, m member.Member, above uint64) (*wire.ConfigReply, error) {
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
	_ = wire.Write(st, reply) // the asker tries another peer
}

const metricsPeriod = 1 * time.Second

// sampleMetrics keeps the gauges of what this host holds.
func (d *Daemon) sampleMetrics(ctx context.Context) {
	records := metrics.GetOrRegisterGauge("holder.records", d.metrics)
	open := metrics.GetOrRegisterGauge("holder.in_progress", d.metrics)
	bytes := metrics.GetOrRegisterGauge("holder.bytes", d.metrics)
	members := metrics.GetOrRegisterGauge("member.known", d.metrics)
	version := metrics.GetOrRegisterGauge("config.version", d.metrics)
	sent := metrics.GetOrRegisterGauge("control.sent_bytes", d.metrics)
	received := metrics.GetOrRegisterGauge("control.received_bytes", d.metrics)
	metrics.RegisterRuntimeMemStats(d.metrics)
	tick := time.NewTicker(metricsPeriod)
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
		sent.Update(d.traffic.Sent.Load() + d.gossip.Sent.Load())
		received.Update(d.traffic.Received.Load() + d.gossip.Received.Load())
		members.Update(int64(len(d.members.All())))
		if c := d.config.Current(); c != nil {
			version.Update(int64(c.Version))
		}
	}
}

// peerNews takes what sessions tell about other hosts.
type peerNews struct{ d *Daemon }

// ProveDead implements peer.Observer.
func (n peerNews) ProveDead(inc ident.Incarnation, how string) { n.d.members.ProveDead(inc, how) }

// refuseTries and refuseTimeout bound the look at a host whose session broke.
const (
	refuseTries   = 3
	refusePause   = 30 * time.Millisecond
	refuseTimeout = 300 * time.Millisecond
)

// SessionEnded implements peer.Observer. A process that dies ends its sessions and
// its port refuses; asking the port at once proves the death milliseconds
// after it, before the next probe would notice.
func (n peerNews) SessionEnded(inc ident.Incarnation) {
	m, ok := n.d.members.Get(inc)
	if !ok || m.Proved || inc == n.d.inc {
		return
	}
	for range refuseTries {
		if member.RefusesConnections(m.ControlAddress, refuseTimeout) {
			n.d.members.ProveDead(inc, "its session ended and its port refuses")
			return
		}
		time.Sleep(refusePause)
	}
}
