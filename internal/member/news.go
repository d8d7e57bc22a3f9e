package member

import (
	"math/rand/v2"
	"time"

	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	// updateSends is how often one piece of news rides on a datagram, times
	// the logarithm of the fleet.
	updateSends = 3
	maxUpdates  = 8
	sampleSize  = 3
	// A host that joined within newcomerTime is answered with newcomerSample members:
	// one that starts in a fleet of 200 would else hear of all after 2 s. It is a
	// datagram of 2 KB.
	newcomerTime   = 3 * time.Second
	newcomerSample = 24
)

// rounds is how often news has to be repeated to reach the whole fleet.
func (t *Table) rounds() int {
	n := updateSends
	for size := len(t.members) + 1; size > 1; size /= 2 {
		n++
	}
	return n
}

// news picks what rides on the next datagram: fresh changes first, then some members at
// random, which repair what was lost.
func (t *Table) news(sample int) []*wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wire.Member
	var rest []*record
	for _, r := range t.members {
		if r.sends > 0 && len(out) < maxUpdates {
			r.sends--
			out = append(out, r.word())
			continue
		}
		if r.machine.State() != Dead {
			rest = append(rest, r)
		}
	}
	for i := 0; i < sample && len(rest) > 0; i++ {
		k := rand.IntN(len(rest))
		out = append(out, rest[k].word())
		rest = append(rest[:k], rest[k+1:]...)
	}
	return out
}

// newsFor is news for an answer to a host: one that has just joined is told of many, of
// the largest first, since one of those is the home.
func (t *Table) newsFor(inc ident.Incarnation) []*wire.Member {
	if !t.newcomer(inc) {
		return t.news(sampleSize)
	}
	out := t.largest()
	return append(out, t.news(newcomerSample)...)
}

func (t *Table) newcomer(inc ident.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.members[inc]
	return r != nil && time.Since(r.joined) < newcomerTime
}

// mostLargest is how many of the largest members a host that joins is told of.
const mostLargest = 8

// largest are the lines of the largest members.
func (t *Table) largest() []*wire.Member {
	var out []*wire.Member
	for _, m := range t.First(anyService, mostLargest) {
		t.mu.Lock()
		if r := t.members[m.Incarnation]; r != nil {
			out = append(out, r.word())
		}
		t.mu.Unlock()
	}
	return out
}

// anyService ranks members of one size in some order.
const anyService = ""

// word is the line as this host would tell it.
func (r *record) word() *wire.Member {
	states := map[chart.State]wire.MemberState{
		Alive: wire.MemberState_MEMBER_ALIVE, Suspect: wire.MemberState_MEMBER_SUSPECT,
		Leaving: wire.MemberState_MEMBER_LEAVING, Dead: wire.MemberState_MEMBER_DEAD,
	}
	w := r.wire
	return &wire.Member{
		Incarnation: w.Incarnation, Host: w.Host, Zone: w.Zone, CallerAddress: w.CallerAddress,
		ControlAddress: w.ControlAddress, AdminAddress: w.AdminAddress, Beat: w.Beat,
		ConfigVersion: w.ConfigVersion, Capacity: w.Capacity, StartedMs: w.StartedMs,
		State: states[r.machine.State()], Proved: r.proved,
	}
}

// selfWord is this host's own line, for the head of each datagram.
func (t *Table) selfWord() *wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.self
	return &wire.Member{
		Incarnation: w.Incarnation, Host: w.Host, Zone: w.Zone, CallerAddress: w.CallerAddress,
		ControlAddress: w.ControlAddress, AdminAddress: w.AdminAddress, Beat: w.Beat,
		ConfigVersion: w.ConfigVersion, Capacity: w.Capacity, StartedMs: w.StartedMs, State: w.State,
	}
}

// targets picks up to n random members to probe. The dead are probed too,
// seldom, so that a parted network finds itself again.
func (t *Table) targets(n int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live, dead []*record
	for _, r := range t.members {
		switch {
		case r.machine.State() != Dead:
			live = append(live, r)
		case !r.proved:
			dead = append(dead, r)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	t.nearFirst(live)
	chosen := live[:min(n, len(live))]
	if len(dead) > 0 && rand.IntN(deadProbeOdds) == 0 {
		chosen = append(chosen, dead[rand.IntN(len(dead))])
	}
	out := make([]Member, 0, len(chosen))
	for _, r := range chosen {
		m := fromWire(r.wire)
		m.State = r.machine.State()
		out = append(out, m)
	}
	return out
}

const deadProbeOdds = 3

// farOdds is how seldom a probe goes to any host rather than to one of the own
// availability zone. News crosses the border of a zone of 40 hosts 60 times a second so,
// which is plenty; with probes to all alike four fifths of their bytes went between zones,
// where they are paid.
const farOdds = 4

// nearFirst puts members of the own availability zone first, in all but one of farOdds
// rounds. A host that is alone in its zone probes all alike. The caller holds mu.
func (t *Table) nearFirst(live []*record) {
	if rand.IntN(farOdds) == 0 {
		return
	}
	near := 0
	for i, r := range live {
		if r.wire.Zone == t.self.Zone {
			live[near], live[i] = live[i], live[near]
			near++
		}
	}
}
