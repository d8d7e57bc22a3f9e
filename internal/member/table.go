// Package member maintains the list of entry hosts with a SWIM-like gossip
// protocol. Each host probes a fixed number of random peers in a period and
// piggybacks membership updates on the probes, so the cost for a host does not
// grow with the fleet. The host list of the platform only provides seeds.
//
// A process that has died refuses connections, which proves its end at once. A
// silent host is probed through other hosts, then becomes suspect, then counts
// as dead without proof. A member wrongly counted as dead refutes it with a
// higher beat, the version number of its entry.
//
// Table holds the list as one host sees it, and Gossip runs the protocol. Rank and Home derive
// from the list which host is the home of a service, the host that runs its scheduler.
package member

import (
	"math/rand/v2"
	"slices"
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
	// Capacity is the host's CPU in thousandths of a core, 0 if unknown.
	Capacity uint32 `json:"capacity,omitempty"`
	// LinkMbps is the bandwidth of its network link, 0 if unknown.
	LinkMbps uint32 `json:"link_mbps,omitempty"`
	// PathsLost reports whether the host states that it does not reach backend servers that
	// other hosts reach.
	PathsLost bool `json:"paths_lost,omitempty"`
	// Proved reports whether the process is known to have ended.
	Proved bool `json:"proved,omitempty"`
	// Since is when this host saw the member enter its state.
	Since time.Time `json:"since"`
}

// The states of the member chart, a state machine that charts/member.yaml describes.
const (
	Alive   chart.State = "alive"
	Suspect chart.State = "suspect"
	Leaving chart.State = "leaving"
	Dead    chart.State = "dead"
)

var memberChart = charts.MustLoad().Member

// record is the table's entry for a member.
type record struct {
	wire          *wire.Member
	machine       chart.Machine
	proved        bool
	stateSince    time.Time  // start of the current state
	firstSeen     time.Time  // when this host learned of the member
	lastContact   time.Time  // when the member last contacted this host
	announcements int        // number of its newest announcement
	heard         int        // how often others have reported the entry since then
	poolPos       [pools]int // 1 + its position in each pool, 0: not in it
	load          uint32     // its newest load figure, 0: unknown
	loadAt        time.Time  // the earliest time at which the member can have stated load
}

func (r *record) incarnation() ident.Incarnation { return ident.Incarnation(r.wire.Incarnation) }

func (r *record) member() Member {
	m := fromWire(r.wire)
	m.State, m.Proved, m.Since = r.machine.State(), r.proved, r.stateSince
	return m
}

// Table is the membership as one host sees it. mu guards all fields from self to largeAnswersAt.
//
// A host handles some dozen datagrams a second, whatever the size of the fleet. What it does for one
// must not grow with the number of members, so only All walks them, and a ranking of which one of the
// first has left.
type Table struct {
	events  *event.Recorder
	horizon time.Duration // how long dead members are kept

	mu             sync.Mutex
	self           *wire.Member
	members        map[ident.Incarnation]*record
	byAddress      map[string][]*record // by control address
	pools          [pools]pool
	announcements  [][]announcement    // by the number of datagrams that have carried them
	sorted         []Member            // the list that All returns, nil if a member has changed since it was built
	rankings       map[string]*ranking // by service
	largeAnswers   float64             // that largeAnswerRate allows, as of largeAnswersAt
	largeAnswersAt time.Time

	changed notify.Set
}

// NewTable returns a table that contains only this host. Dead members are kept for
// horizon.
func NewTable(self *wire.Member, horizon time.Duration, events *event.Recorder) *Table {
	t := &Table{
		events: events, horizon: horizon, self: self,
		members: map[ident.Incarnation]*record{}, byAddress: map[string][]*record{}, rankings: map[string]*ranking{},
	}
	for kind := range t.pools {
		t.pools[kind].kind = kind
	}
	return t
}

// Subscribe returns a channel that receives a token after changes.
func (t *Table) Subscribe() <-chan struct{} { return t.changed.Subscribe() }

// Self returns this host's own entry.
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
		ConfigVersion: w.ConfigVersion, Capacity: w.Capacity, LinkMbps: w.LinkMbps, PathsLost: w.PathsLost,
	}
}

// All returns all known members, including this host and the dead members that are still
// kept, ordered by host name and incarnation. All callers share the list and must
// not modify it.
func (t *Table) All() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sorted == nil {
		t.sorted = t.buildList()
	}
	return t.sorted
}

// invalidate drops what is cached of the members' entries. The caller holds mu.
func (t *Table) invalidate() {
	t.sorted = nil
	for _, ranking := range t.rankings {
		ranking.members = nil
	}
}

func (t *Table) buildList() []Member {
	out := []Member{t.selfMember()}
	for _, r := range t.members {
		out = append(out, r.member())
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Host != out[j].Host {
			return out[i].Host < out[j].Host
		}
		return out[i].Incarnation < out[j].Incarnation
	})
	return out
}

// Get returns the entry of an incarnation.
func (t *Table) Get(inc ident.Incarnation) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(inc)
}

// get is Get for callers that hold mu.
func (t *Table) get(inc ident.Incarnation) (Member, bool) {
	if inc == ident.Incarnation(t.self.Incarnation) {
		return t.selfMember(), true
	}
	if r := t.members[inc]; r != nil {
		return r.member(), true
	}
	return Member{}, false
}

// SetLeaving announces that this host is draining.
func (t *Table) SetLeaving() {
	t.mu.Lock()
	t.self.State = wire.MemberState_MEMBER_LEAVING
	t.self.Beat++
	t.invalidate()
	clear(t.rankings)
	t.changed.Notify()
	t.mu.Unlock()
}

// SetConfigVersion announces the version of the configuration in force on this host.
func (t *Table) SetConfigVersion(v uint64) {
	t.mu.Lock()
	t.self.ConfigVersion = v
	t.self.Beat++
	t.invalidate()
	t.mu.Unlock()
}

// SetPathsLost announces whether this host does not reach backend servers that other hosts reach.
func (t *Table) SetPathsLost(lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.PathsLost == lost {
		return
	}
	t.self.PathsLost = lost
	t.self.Beat++
	t.invalidate()
	t.changed.Notify()
}

// ProveDead records that the process of an incarnation has ended.
func (t *Table) ProveDead(inc ident.Incarnation, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.members[inc]; r != nil {
		t.recordProof(r, reason)
	}
}

// recordProof marks a member's process as proven to have ended. The proof is sent with
// the update about its death. The caller holds mu.
func (t *Table) recordProof(r *record, reason string) {
	if r.proved {
		return
	}
	r.proved = true
	t.invalidate()
	t.fire(r, "die")
	t.place(r)
	t.announce(r)
	t.changed.Notify()
	inc := ident.Incarnation(r.wire.Incarnation)
	t.events.Record(event.MemberProvedDead, event.Fields{Peer: r.wire.Host, Detail: inc.String() + ": " + reason})
}

// fire passes an event to the state machine of a record and logs a change of state. The
// caller holds mu.
func (t *Table) fire(r *record, e chart.Event) {
	before := r.machine.State()
	if r.machine.Fire(e) != nil || r.machine.State() == before {
		return
	}
	r.stateSince = time.Now()
	t.place(r)
	t.announce(r)
	t.invalidate()
	t.changed.Notify()
	code := map[chart.State]event.Code{
		Alive: event.MemberJoined, Suspect: event.MemberSuspect,
		Leaving: event.MemberLeaving, Dead: event.MemberDead,
	}[r.machine.State()]
	if code != 0 {
		t.events.Record(code, event.Fields{Peer: r.wire.Host, Detail: ident.Incarnation(r.wire.Incarnation).String()})
	}
}

// RecordContact applies a message that the member itself sent.
func (t *Table) RecordContact(w *wire.Member) {
	if w == nil || w.Incarnation == t.self.Incarnation || w.Incarnation == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.merge(w)
	if !r.proved {
		t.replaceOthersAt(w)
	}
	r.lastContact = time.Now()
	r.learnLoad(w.Load, r.lastContact)
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

// ApplyReport applies another host's report about a member.
func (t *Table) ApplyReport(w *wire.Member) {
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
		// Unknown while it was alive: kept as dead, so that a home can check whether it knows
		// everything that was granted to that host.
		known = t.merge(w)
		known.proved = w.Proved
		t.invalidate()
		t.fire(known, "die")
		return
	}
	if known != nil && w.Proved {
		t.recordProof(known, "another host reported the proof")
		return
	}
	if known != nil && w.Beat < known.wire.Beat {
		return
	}
	if known == nil && !t.supersedeAtAddress(w) {
		return
	}
	newer := known == nil || w.Beat > known.wire.Beat
	r := t.merge(w)
	r.learnLoad(w.Load, time.Now().Add(-relayedLoadAge))
	t.applyState(r, w.State, newer)
	if !newer && w.State == wire.MemberState_MEMBER_ALIVE {
		t.noteHeard(r)
	}
}

// supersedeAtAddress marks the older incarnations at the control address of w, a member
// reported by others, as dead without proof. It reports false if w itself is the older one.
//
// Start times decide because reports about two incarnations at one address arrive in any
// order: a starting host receives lists of different age, with its own predecessor and those
// of other hosts among them.
func (t *Table) supersedeAtAddress(w *wire.Member) bool {
	if w.ControlAddress != "" && w.ControlAddress == t.self.ControlAddress {
		return false // this host's own predecessor
	}
	for _, other := range t.byAddress[w.ControlAddress] {
		if other.machine.State() == Dead {
			continue
		}
		if w.StartedMs <= other.wire.StartedMs {
			return false
		}
		t.fire(other, "die")
	}
	return true
}

// applyState applies a reported state. A report with a known beat can only worsen
// the state (suspect, leaving, dead). Only a newer beat, which the member itself
// raised, can improve it.
func (t *Table) applyState(r *record, s wire.MemberState, newer bool) {
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

// refute raises this host's beat above that of a report that calls it suspect or dead.
func (t *Table) refute(w *wire.Member) {
	wrong := w.State == wire.MemberState_MEMBER_SUSPECT || w.State == wire.MemberState_MEMBER_DEAD
	if wrong && w.Beat >= t.self.Beat {
		t.self.Beat = w.Beat + 1
	}
}

// merge stores an entry unless the known one has a higher beat.
func (t *Table) merge(w *wire.Member) *record {
	inc := ident.Incarnation(w.Incarnation)
	r := t.members[inc]
	if r == nil {
		r = &record{wire: w, machine: memberChart.Start(), stateSince: time.Now(), firstSeen: time.Now()}
		t.members[inc] = r
		t.byAddress[w.ControlAddress] = append(t.byAddress[w.ControlAddress], r)
		t.place(r)
		t.announce(r)
		t.invalidate()
		if w.State != wire.MemberState_MEMBER_DEAD {
			t.changed.Notify()
			t.events.Record(event.MemberJoined, event.Fields{Peer: w.Host, Detail: inc.String()})
		}
		return r
	}
	if w.Beat >= r.wire.Beat {
		if w.Beat > r.wire.Beat {
			t.invalidate()
		}
		if w.ConfigVersion > r.wire.ConfigVersion {
			t.changed.Notify()
		}
		if w.Beat > r.wire.Beat {
			t.announce(r)
		}
		t.replaceEntry(r, w)
	}
	return r
}

// replaceEntry replaces what is known of a member by a newer entry of it. The caller holds mu.
func (t *Table) replaceEntry(r *record, w *wire.Member) {
	before := r.wire
	if w.LinkMbps == 0 {
		w.LinkMbps = before.LinkMbps // reported by a host of a build that does not know the field
	}
	r.wire = w
	if before.ControlAddress != w.ControlAddress {
		t.removeAddress(r, before.ControlAddress)
		t.byAddress[w.ControlAddress] = append(t.byAddress[w.ControlAddress], r)
	}
	if before.Capacity != w.Capacity {
		clear(t.rankings)
		t.invalidate()
	}
}

func (t *Table) removeAddress(r *record, address string) {
	others := slices.DeleteFunc(t.byAddress[address], func(other *record) bool { return other == r })
	if len(others) == 0 {
		delete(t.byAddress, address)
		return
	}
	t.byAddress[address] = others
}

// replaceOthersAt records that all other incarnations at the control address of w have
// ended, since w could bind the port. This holds only for a message from w itself: reports
// by others about two incarnations at one address arrive in any order.
func (t *Table) replaceOthersAt(w *wire.Member) {
	for _, other := range t.byAddress[w.ControlAddress] {
		if other.wire.Incarnation != w.Incarnation {
			t.recordProof(other, "replaced by a new incarnation at its address")
		}
	}
}

// miss makes a member that did not answer suspect. expire marks it as dead once the
// suspicion has lasted long enough.
func (t *Table) miss(inc ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.members[inc]; r != nil {
		r.wire.State = wire.MemberState_MEMBER_SUSPECT
		t.fire(r, "miss")
	}
}

// expire marks long suspect members as dead and removes those dead for longer than the
// horizon.
func (t *Table) expire(now time.Time, suspicion time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range slices.Clone(t.pools[timedPool].records) {
		switch {
		case r.machine.State() == Suspect && now.Sub(r.stateSince) > suspicion:
			t.fire(r, "die")
		case r.machine.State() == Dead && now.Sub(r.stateSince) > t.horizon:
			t.forget(r)
		}
	}
}

// forget removes a member. The caller holds mu.
func (t *Table) forget(r *record) {
	delete(t.members, r.incarnation())
	t.removeAddress(r, r.wire.ControlAddress)
	t.place(r)
	t.invalidate()
	t.events.Record(event.MemberForgotten, event.Fields{Peer: r.wire.Host, Detail: r.incarnation().String()})
}

// missLeaving marks a leaving member that no longer answers as dead.
func (t *Table) missLeaving(inc ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.members[inc]; r != nil && r.machine.State() == Leaving {
		t.fire(r, "die")
	}
}

// LiveCount returns the number of members that are not dead, this host included.
func (t *Table) LiveCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return 1 + len(t.pools[livePool].records)
}

// SilentCount returns the number of members that count as dead without proof, and have done so for
// less than a time.
func (t *Table) SilentCount(within time.Duration) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.pools[unprovedPool].records {
		if time.Since(r.stateSince) < within {
			n++
		}
	}
	return n
}

// SampleAlive returns up to n different random members that are alive, this host possibly among
// them.
func (t *Table) SampleAlive(n int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Member, 0, n+1)
	live := &t.pools[livePool]
	live.draw(func(r *record) (more bool) {
		if r.machine.State() == Alive {
			out = append(out, r.member())
		}
		return len(out) < n
	})
	// This host takes the place of one of the others as often as each of them is drawn.
	if self := t.selfMember(); self.State == Alive {
		if at := rand.IntN(len(live.records) + 1); len(out) < n {
			out = append(out, self)
		} else if at < n {
			out[at] = self
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// maxPathDraws bounds the members that SampleWithPaths looks at.
const maxPathDraws = 512

// SampleWithPaths returns up to n different random members that are alive and don't state that they
// have lost their paths to backend servers, without this host.
func (t *Table) SampleWithPaths(n int) (out []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	looked := 0
	t.pools[livePool].draw(func(r *record) (more bool) {
		looked++
		if r.machine.State() == Alive && !r.wire.PathsLost {
			out = append(out, r.member())
		}
		return len(out) < n && looked < maxPathDraws
	})
	return out
}
