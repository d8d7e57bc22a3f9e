package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	// baseTransmits plus the base-2 logarithm of the fleet size is the number of
	// datagrams that carry an update.
	baseTransmits = 3
	// maxUpdates is the maximum number of updates in a datagram, sampleSize the number
	// of members added to them: a leader and random ones.
	maxUpdates = 8
	sampleSize = 3
	// newcomerPeriod is how long a host counts as a newcomer after it was first seen. A
	// newcomer is answered with newcomerSample random members, a datagram of 2 KB. With
	// sampleSize members, a host that joins a fleet of 200 would know all of them only
	// after 2 s.
	newcomerPeriod = 3 * time.Second
	newcomerSample = 24
	// largeAnswerRate is how many newcomers a second are answered with a large sample, at 4 KB each.
	// Seeds get several pings from each of a thousand hosts that start at once; without a limit the
	// answers would fill a link of 20 Mbit/s for seconds.
	largeAnswerRate = 100
)

// maxTransmits returns how often an update has to be sent to reach the whole fleet.
func (t *Table) maxTransmits() int {
	n := baseTransmits
	for size := len(t.members) + 1; size > 1; size /= 2 {
		n++
	}
	return n
}

// updates selects the entries for the next datagram: recent changes first, then a sample of one leader
// and random members, which make up for lost datagrams.
func (t *Table) updates(sample int) []*wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := t.nextAnnouncements(maxUpdates)
	wanted := len(chosen) + sample
	if leaders := t.leaders(announcedLeaders); len(leaders) > 0 {
		if l := leaders[rand.IntN(len(leaders))]; !slices.Contains(chosen, l) {
			chosen = append(chosen, l)
		}
	}
	t.pools[livePool].draw(func(r *record) (more bool) {
		if len(chosen) < wanted && !slices.Contains(chosen, r) {
			chosen = append(chosen, r)
		}
		return len(chosen) < wanted
	})
	out := make([]*wire.Member, 0, len(chosen))
	for _, r := range chosen {
		out = append(out, r.toWire())
	}
	return out
}

// announcement is an entry that datagrams are still to carry. It is void once number is no longer the
// record's, because a newer one was queued or others have reported the entry often enough.
type announcement struct {
	record *record
	number int
}

// announce lets the next datagrams carry an entry. The caller holds mu.
func (t *Table) announce(r *record) {
	r.announcements++
	r.heard = 0
	t.queueAnnouncement(announcement{r, r.announcements}, 0)
}

// enoughHeard is how many reports of others show that an entry is known to nearly all.
const enoughHeard = 4

// noteHeard counts a report of an entry that this host knows, and ends its announcement when others
// have reported it often enough. Otherwise each of a thousand hosts that start together would carry
// each of the others a dozen times, for two minutes. Entries that are not alive are announced in full.
func (t *Table) noteHeard(r *record) {
	if r.machine.State() != Alive {
		return
	}
	if r.heard++; r.heard == enoughHeard {
		r.announcements++
	}
}

// queueAnnouncement queues an announcement behind those that were carried as often.
func (t *Table) queueAnnouncement(a announcement, transmits int) {
	for len(t.announcements) <= transmits {
		t.announcements = append(t.announcements, nil)
	}
	t.announcements[transmits] = append(t.announcements[transmits], a)
}

// nextAnnouncements returns up to n entries to be carried by a datagram, those that were carried least
// often first: a host that leaves soon after hundreds have started waits only behind those that were
// never carried. Void announcements count among the n. The caller holds mu.
func (t *Table) nextAnnouncements(n int) (next []*record) {
	limit := t.maxTransmits()
	taken := make([][]announcement, len(t.announcements))
	left := n
	for transmits, queue := range t.announcements {
		take := min(left, len(queue))
		taken[transmits], t.announcements[transmits] = queue[:take], queue[take:]
		left -= take
	}
	for transmits, queue := range taken {
		for _, a := range queue {
			if a.number != a.record.announcements {
				continue
			}
			next = append(next, a.record)
			if transmits+1 < limit {
				t.queueAnnouncement(a, transmits+1)
			}
		}
	}
	return next
}

// updatesFor selects the entries for an answer to a host. A newcomer gets a larger sample
// that begins with the leaders, since one of those is the home, the host that runs the
// scheduler.
func (t *Table) updatesFor(inc ident.Incarnation) []*wire.Member {
	if !t.isNewcomer(inc) {
		return t.updates(sampleSize)
	}
	if !t.takeLargeAnswer() {
		return t.leaderEntries()
	}
	return append(t.leaderEntries(), t.updates(newcomerSample)...)
}

func (t *Table) leaderEntries() (out []*wire.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.leaders(maxLeaders) {
		out = append(out, r.toWire())
	}
	return out
}

func (t *Table) isNewcomer(inc ident.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.members[inc]
	return r != nil && time.Since(r.firstSeen) < newcomerPeriod
}

// takeLargeAnswer reports whether largeAnswerRate allows one more large answer, and counts it.
func (t *Table) takeLargeAnswer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	earned := largeAnswerRate * now.Sub(t.largeAnswersAt).Seconds()
	t.largeAnswers, t.largeAnswersAt = min(largeAnswerRate, t.largeAnswers+earned), now
	if t.largeAnswers < 1 {
		return false
	}
	t.largeAnswers--
	return true
}

const (
	// maxLeaders is the number of leaders in an answer to a newcomer.
	maxLeaders = 8
	// announcedLeaders is the number of leaders of which each datagram carries one.
	announcedLeaders = 3
)

// leaders returns the entries of the first n members of each ranking in use, other than this host. Where
// no ranking is in use, those of the largest members.
//
// Every host must know the home and the hosts next to it, long before it knows all others: of 50 hosts
// that are equally large, a host that knows half may not know the home. The caller holds mu.
func (t *Table) leaders(n int) (out []*record) {
	if len(t.rankings) == 0 {
		t.rankingOf(anyService)
	}
	for service := range t.rankings {
		first := t.rankingOf(service).first
		for _, c := range first[:min(n, len(first))] {
			if r := t.members[c.incarnation]; r != nil && !slices.Contains(out, r) {
				out = append(out, r)
			}
		}
	}
	return out
}

// anyService is the service name under which members are ranked where no service is known; it only
// decides the order of members of equal capacity.
const anyService = ""

// toWire returns the member's entry as this host reports it to others.
func (r *record) toWire() *wire.Member {
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
		Load: r.relayedLoad(time.Now()), LinkMbps: w.LinkMbps, PathsLost: w.PathsLost,
	}
}

// selfToWire returns this host's own entry, which each datagram carries.
func (t *Table) selfToWire() *wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.self
	return &wire.Member{
		Incarnation: w.Incarnation, Host: w.Host, Zone: w.Zone, CallerAddress: w.CallerAddress,
		ControlAddress: w.ControlAddress, AdminAddress: w.AdminAddress, Beat: w.Beat,
		ConfigVersion: w.ConfigVersion, Capacity: w.Capacity, StartedMs: w.StartedMs, State: w.State,
		Load: w.Load, LinkMbps: w.LinkMbps, PathsLost: w.PathsLost,
	}
}

// targets selects up to n random members to probe. Now and then it adds a dead
// member without proof of its end, so that a fleet recovers from a network partition.
func (t *Table) targets(n int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen []*record
	choose := func(r *record) (more bool) {
		if len(chosen) < n && !slices.Contains(chosen, r) {
			chosen = append(chosen, r)
		}
		return len(chosen) < n
	}
	if rand.IntN(anyZoneOdds) > 0 {
		t.pools[zonePool].draw(choose)
	}
	t.pools[livePool].draw(choose)
	if unproved := t.pools[unprovedPool].records; len(unproved) > 0 && rand.IntN(deadProbeOdds) == 0 {
		chosen = append(chosen, unproved[rand.IntN(len(unproved))])
	}
	out := make([]Member, 0, len(chosen))
	for _, r := range chosen {
		out = append(out, r.member())
	}
	return out
}

// deadProbeOdds is the mean number of calls of targets for each one that adds a dead member.
const deadProbeOdds = 3

// anyZoneOdds is the mean number of probe rounds for each one that draws from all members
// instead of preferring those of the same availability zone; a host that is alone in its zone always
// draws from all. With it, updates leave or enter
// a zone of 40 hosts 60 times a second, which is enough. Uniform probes would send four
// fifths of their bytes between zones, where traffic is charged.
const anyZoneOdds = 4
