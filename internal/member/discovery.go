package member

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/charts"
	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/event"
)

// States and events of the chart of discovery.
const (
	Searching  chart.State = "searching"
	Contacting chart.State = "contacting"
	Presumed   chart.State = "presumed"
	Known      chart.State = "known"

	told      chart.Event = "told"
	listed    chart.Event = "listed"
	alone     chart.Event = "alone"
	contacted chart.Event = "contacted"
	expired   chart.Event = "expire"
)

const (
	// contactTimeout is how long a host tries to contact the hosts that the store lists. A home that
	// was lost is replaced in the list within 3.5 s: 3 s until the membership has noticed and half a
	// second until its successor writes its entry.
	contactTimeout = 5 * time.Second
	// presumeTimeout is how long after that listed hosts which did not answer may be scheduling on the
	// other side of a network partition. Partitions usually heal within it.
	presumeTimeout = 10 * time.Second
)

var discoveryChart = charts.MustLoad().Discovery

// ListedHost is an entry of the store's list of hosts.
type ListedHost struct {
	Addresses []string // control addresses of the host that wrote it, and of some that it knew
	Hosts     int      // that it knew
}

// Discovery tells whether a host that has started knows the fleet that it belongs to. mu guards all fields
// below it.
type Discovery struct {
	table   *Table
	events  *event.Recorder
	started time.Time

	mu       sync.Mutex
	machine  chart.Machine
	entered  time.Time // when machine entered its state
	entries  []ListedHost
	reported int // the largest size of the fleet that another host has reported
}

// NewDiscovery returns the Discovery of a host that has just started.
func NewDiscovery(t *Table, events *event.Recorder) *Discovery {
	now := time.Now()
	return &Discovery{table: t, events: events, started: now, machine: discoveryChart.Start(), entered: now}
}

// Told records the size of the fleet that another host knows. Once this host has settled and knows the
// fleet, it relies on its own member list instead.
func (d *Discovery) Told(hosts int) {
	if hosts <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.machine.Final() && time.Since(d.started) > SettleTime {
		return
	}
	d.reported = max(d.reported, hosts)
	d.fire(told)
}

// Listed records the store's list of hosts without this one. own is set if the list had an entry of this
// host, written since it started: another host that starts at the same time then finds it.
func (d *Discovery) Listed(others []ListedHost, own bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.machine.Final() {
		return
	}
	d.entries = others
	if len(others) == 0 && (own || d.table.LiveCount() > 1) {
		d.fire(alone)
		return
	}
	if d.machine.State() == Searching {
		d.fire(listed)
	}
}

// Reported returns the largest size of the fleet that another host has reported, 0 before any report.
func (d *Discovery) Reported() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reported
}

// Fleet is what a host knows of its fleet.
type Fleet struct {
	State chart.State
	// Missing is the number of listed hosts that may be scheduling although they did not answer.
	Missing int
	// Joined is set if another host, which knew the fleet, has told of it: the fleet ran before this host
	// did.
	Joined bool
}

// Known reports whether the host knows enough of the fleet to schedule for others.
func (f Fleet) Known() bool { return f.State == Known || f.State == Presumed }

// Fleet returns what this host knows now.
func (d *Discovery) Fleet() Fleet {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state, since := d.machine.State(), time.Since(d.entered); {
	case (state == Contacting || state == Presumed) && d.contacted():
		d.fire(contacted)
	case state == Contacting && since > contactTimeout, state == Presumed && since > presumeTimeout:
		d.fire(expired)
	}
	f := Fleet{State: d.machine.State(), Joined: d.reported > 0}
	if f.State == Presumed {
		f.Missing = d.listedSize()
	}
	return f
}

// contacted reports whether a host of each entry of the list was found. Hosts that start together need
// SettleTime to find each other, less if they are as many as are listed. The caller holds mu.
func (d *Discovery) contacted() bool {
	if len(d.entries) == 0 {
		return false
	}
	if time.Since(d.started) < SettleTime && float64(d.table.LiveCount()) < completeFraction*float64(d.listedSize()) {
		return false
	}
	return !slices.ContainsFunc(d.entries, func(e ListedHost) bool { return !slices.ContainsFunc(e.Addresses, d.table.LiveAt) })
}

// completeFraction is the fraction of the listed hosts that must be found for the membership of a fleet
// that starts to count as complete. Some hosts may not come back after the outage that stopped the fleet.
const completeFraction = 0.9

func (d *Discovery) listedSize() (hosts int) {
	hosts = len(d.entries)
	for _, e := range d.entries {
		hosts = max(hosts, e.Hosts)
	}
	return hosts
}

// fire takes a transition of the chart, if the state has it. The caller holds mu.
func (d *Discovery) fire(e chart.Event) {
	from := d.machine.State()
	if d.machine.Fire(e) != nil {
		return // known already
	}
	d.entered = time.Now()
	d.events.Record(event.FleetDiscovered, event.Fields{Detail: string(from) + " to " + string(d.machine.State()) + " by " + string(e) +
		" found=" + strconv.Itoa(d.table.LiveCount()) + " listed=" + strconv.Itoa(d.listedSize()) + " reported=" + strconv.Itoa(d.reported)})
}

// LiveAt reports whether another member with the control address is not dead.
func (t *Table) LiveAt(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return address != t.self.ControlAddress && slices.ContainsFunc(t.byAddress[address], func(r *record) bool { return r.machine.State() != Dead })
}
