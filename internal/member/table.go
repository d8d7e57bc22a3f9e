// Package member keeps the list of entry hosts by partial heartbeats: each
// host probes a fixed number of random peers in a period and lets news ride
// on the probes, so the cost of a host does not grow with the fleet. The
// host list of the platform only seeds it.
//
// Failure cases: a process that died refuses connections, which proves its
// end at once; a host that is silent is suspected first, asked for through
// others, and counted as dead without proof; a member wrongly counted as dead
// refutes it with a higher beat.
package member

import (
	"sort"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/charts"
	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/notify"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// Member is one incarnation of an entry host.
type Member struct {
	Incarnation    ident.Incarnation `json:"incarnation"`
	Host           string            `json:"host"`
	Zone           string            `json:"availability_zone"`
	CallerAddress  string            `json:"caller_address"`
	ControlAddress string            `json:"control_address"`
	AdminAddress   string            `json:"admin_address"`
	State          chart.State       `json:"state"`
	ConfigVersion  uint64            `json:"config_version"`
	// Capacity is the host's processor in thousandths of a core, 0 when not
	// known.
	Capacity uint32 `json:"capacity,omitempty"`
	// Proved says that the process is known to have ended.
	Proved bool `json:"proved,omitempty"`
	// Since is when this host saw it enter its state.
	Since time.Time `json:"since"`
}

// The states of the member chart.
const (
	Alive   chart.State = "alive"
	Suspect chart.State = "suspect"
	Leaving chart.State = "leaving"
	Dead    chart.State = "dead"
)

var memberChart = charts.MustLoad().Member

// record is the table's line for a member.
type record struct {
	wire    *wire.Member
	machine chart.Machine
	proved  bool
	since   time.Time // of the current state
	joined  time.Time // when this host first heard of it
	heard   time.Time // when the member itself last spoke to this host
	sends   int       // how often this line still rides along
}

// Table is the membership as one host sees it. mu guards self, members, view and
// ranks.
type Table struct {
	events  *event.Recorder
	horizon time.Duration

	mu      sync.Mutex
	self    *wire.Member
	members map[ident.Incarnation]*record
	// view is what All returned last, nil when a member has changed since; ranks holds
	// the first maxRanked of each service's ranking, as of view. With hundreds of hosts
	// a listing takes 0.1 ms, and a home is asked who the home is with each call for a
	// table.
	view  []Member
	ranks map[string][]Member

	changed notify.Set
}

// NewTable makes a table that holds only the host itself.
func NewTable(self *wire.Member, horizon time.Duration, events *event.Recorder) *Table {
	return &Table{events: events, horizon: horizon, self: self, members: map[ident.Incarnation]*record{}}
}

// Subscribe returns a channel that yields a token after changes.
func (t *Table) Subscribe() <-chan struct{} { return t.changed.Subscribe() }

// Self returns the host's own line.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.selfMember()
}

func (t *Table) selfMember() Member {
	m := fromWire(t.self)
	m.State = Alive
	if t.self.State == wire.MemberState_MEMBER_LEAVING {
		m.State = Leaving
	}
	return m
}

func fromWire(w *wire.Member) Member {
	return Member{
		Incarnation: ident.Incarnation(w.Incarnation), Host: w.Host, Zone: w.Zone,
		CallerAddress: w.CallerAddress, ControlAddress: w.ControlAddress, AdminAddress: w.AdminAddress,
		ConfigVersion: w.ConfigVersion, Capacity: w.Capacity,
	}
}

// All lists every known member including the host itself and the dead ones
// of the horizon, ordered by host name and incarnation. The list is shared by all
// callers, who only read it.
func (t *Table) All() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all()
}

// touch drops what was worked out from the members. The caller holds mu.
func (t *Table) touch() { t.view = nil }

// all is All with mu held.
func (t *Table) all() []Member {
	if t.view == nil {
		t.view, t.ranks = t.list(), map[string][]Member{}
	}
	return t.view
}

func (t *Table) list() []Member {
	out := []Member{t.selfMember()}
	for _, r := range t.members {
		m := fromWire(r.wire)
		m.State = r.machine.State()
		m.Proved, m.Since = r.proved, r.since
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Host != out[j].Host {
			return out[i].Host < out[j].Host
		}
		return out[i].Incarnation < out[j].Incarnation
	})
	return out
}

// Get returns the line of one incarnation.
func (t *Table) Get(inc ident.Incarnation) (Member, bool) {
	for _, m := range t.All() {
		if m.Incarnation == inc {
			return m, true
		}
	}
	return Member{}, false
}

// SetLeaving tells the fleet that this host drains.
func (t *Table) SetLeaving() {
	t.mu.Lock()
	t.self.State = wire.MemberState_MEMBER_LEAVING
	t.self.Beat++
	t.touch()
	t.changed.Notify()
	t.mu.Unlock()
}

// SetConfigVersion tells the fleet which configuration is in force here.
func (t *Table) SetConfigVersion(v uint64) {
	t.mu.Lock()
	t.self.ConfigVersion = v
	t.self.Beat++
	t.touch()
	t.mu.Unlock()
}

// ProveDead records that the process of an incarnation has ended.
func (t *Table) ProveDead(inc ident.Incarnation, how string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.members[inc]; r != nil {
		t.prove(r, how)
	}
}

// prove marks a record as provably ended; the proof spreads with the news of
// the death. The caller holds mu.
func (t *Table) prove(r *record, how string) {
	if r.proved {
		return
	}
	r.proved = true
	t.touch()
	t.fire(r, "die")
	r.sends = t.rounds()
	t.changed.Notify()
	inc := ident.Incarnation(r.wire.Incarnation)
	t.events.Record(event.MemberProvedBy, event.Fields{Peer: r.wire.Host, Detail: inc.String() + ": " + how})
}

// fire moves a record through its chart and records what changed. The caller
// holds mu.
func (t *Table) fire(r *record, e chart.Event) {
	before := r.machine.State()
	if r.machine.Fire(e) != nil || r.machine.State() == before {
		return
	}
	r.since = time.Now()
	r.sends = t.rounds()
	t.touch()
	t.changed.Notify()
	code := map[chart.State]event.Code{
		Alive: event.MemberJoined, Suspect: event.MemberSuspect,
		Leaving: event.MemberLeaving, Dead: event.MemberDead,
	}[r.machine.State()]
	if code != 0 {
		t.events.Record(code, event.Fields{Peer: r.wire.Host, Detail: ident.Incarnation(r.wire.Incarnation).String()})
	}
}

// Heard notes that a member itself spoke.
func (t *Table) Heard(w *wire.Member) {
	if w == nil || w.Incarnation == t.self.Incarnation || w.Incarnation == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.merge(w)
	if !r.proved {
		t.replaceOthersAt(w)
	}
	r.heard = time.Now()
	switch {
	case r.proved:
	case w.State == wire.MemberState_MEMBER_LEAVING:
		t.fire(r, "leave")
	case r.machine.State() == Dead:
		t.fire(r, "refute")
	default:
		t.fire(r, "hear")
	}
}

// Learn takes another host's word about a member.
func (t *Table) Learn(w *wire.Member) {
	if w == nil || w.Incarnation == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.Incarnation == t.self.Incarnation {
		t.refute(w)
		return
	}
	known := t.members[ident.Incarnation(w.Incarnation)]
	if known == nil && w.State == wire.MemberState_MEMBER_DEAD {
		// Not heard of while it lived: kept as dead, for coverage.
		known = t.merge(w)
		known.proved = w.Proved
		t.touch()
		t.fire(known, "die")
		return
	}
	if known != nil && w.Proved {
		t.prove(known, "another host proved it")
		return
	}
	if known != nil && w.Beat < known.wire.Beat {
		return
	}
	if known == nil && !t.succeeds(w) {
		return
	}
	newer := known == nil || w.Beat > known.wire.Beat
	r := t.merge(w)
	t.follow(r, w.State, newer)
}

// succeeds reports whether w, of which others tell, is not the predecessor of a member at its
// address; the members that it succeeds count as dead from now on, without proof.
//
// Guard: words of two incarnations at one address come in any order. A host that starts is
// told of itself, its predecessor and others' in lists of different age.
func (t *Table) succeeds(w *wire.Member) bool {
	if w.ControlAddress != "" && w.ControlAddress == t.self.ControlAddress {
		return false // this host's own predecessor
	}
	for _, other := range t.members {
		if other.wire.ControlAddress != w.ControlAddress || other.machine.State() == Dead {
			continue
		}
		if w.StartedMs <= other.wire.StartedMs {
			return false
		}
		t.fire(other, "die")
	}
	return true
}

// follow applies a reported state. An old beat can only make things worse
// (suspect, dead); only a newer beat, which the member itself raised, makes
// them better.
func (t *Table) follow(r *record, s wire.MemberState, newer bool) {
	if r.proved {
		return
	}
	switch s {
	case wire.MemberState_MEMBER_ALIVE:
		if newer && r.machine.State() == Dead {
			t.fire(r, "refute")
		} else if newer {
			t.fire(r, "hear")
		}
	case wire.MemberState_MEMBER_SUSPECT:
		t.fire(r, "miss")
	case wire.MemberState_MEMBER_LEAVING:
		t.fire(r, "leave")
	case wire.MemberState_MEMBER_DEAD:
		t.fire(r, "die")
	}
}

// refute answers a wrong word about this host with a higher beat.
func (t *Table) refute(w *wire.Member) {
	wrong := w.State == wire.MemberState_MEMBER_SUSPECT || w.State == wire.MemberState_MEMBER_DEAD
	if wrong && w.Beat >= t.self.Beat {
		t.self.Beat = w.Beat + 1
	}
}

// merge stores the newest line of a member.
func (t *Table) merge(w *wire.Member) *record {
	inc := ident.Incarnation(w.Incarnation)
	r := t.members[inc]
	if r == nil {
		r = &record{wire: w, machine: memberChart.Start(), since: time.Now(), joined: time.Now(), sends: t.rounds()}
		t.members[inc] = r
		t.touch()
		if w.State != wire.MemberState_MEMBER_DEAD {
			t.changed.Notify()
			t.events.Record(event.MemberJoined, event.Fields{Peer: w.Host, Detail: inc.String()})
		}
		return r
	}
	if w.Beat >= r.wire.Beat {
		if w.Beat > r.wire.Beat {
			t.touch()
		}
		if w.ConfigVersion > r.wire.ConfigVersion {
			t.changed.Notify()
		}
		if w.Beat > r.wire.Beat {
			r.sends = t.rounds()
		}
		r.wire = w
	}
	return r
}

// replaceOthersAt proves that the incarnations before w at its control address have ended:
// the port was free to bind. Only w itself can tell: what others tell of two incarnations at
// one address comes in any order.
func (t *Table) replaceOthersAt(w *wire.Member) {
	for _, other := range t.members {
		if other.wire.ControlAddress == w.ControlAddress && other.wire.Incarnation != w.Incarnation {
			t.prove(other, "replaced at its address")
		}
	}
}

// miss notes that a member did not answer; after suspicion has lasted, it is
// counted as dead.
func (t *Table) miss(inc ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.members[inc]; r != nil {
		r.wire.State = wire.MemberState_MEMBER_SUSPECT
		t.fire(r, "miss")
	}
}

// age turns long suspicion into death and forgets what passed the horizon.
func (t *Table) age(now time.Time, suspicion time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for inc, r := range t.members {
		switch {
		case r.machine.State() == Suspect && now.Sub(r.since) > suspicion:
			t.fire(r, "die")
		case r.machine.State() == Dead && now.Sub(r.since) > t.horizon:
			delete(t.members, inc)
			t.touch()
			t.events.Record(event.MemberForgot, event.Fields{Peer: r.wire.Host, Detail: inc.String()})
		}
	}
}

// missLeaving counts a leaving member that no longer answers as dead.
func (t *Table) missLeaving(inc ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.members[inc]; r != nil && r.machine.State() == Leaving {
		t.fire(r, "die")
	}
}

// Live is how many hosts live as far as is known, this one included.
func (t *Table) Live() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for _, r := range t.members {
		if r.machine.State() != Dead {
			n++
		}
	}
	return n
}
