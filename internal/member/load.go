package member

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
)

// relayedLoadAge is how old a load figure may be that this host reports about another one. A receiver
// takes a reported figure for this old. The entries carry no time of the figure, so it is reported once
// only, by hosts that have it from the member itself; otherwise old figures would circulate forever.
const relayedLoadAge = 2 * time.Second

// LoadedMember is a live member with the newest load figure known of it.
type LoadedMember struct {
	Member
	Load   uint32    // the part in use of its scarcest resource in 255ths, 0: unknown
	LoadAt time.Time // when it had this load, or later
}

// SetLoad states this host's load figure in its datagrams from now on.
//
// The figure is carried by the sender's own entry, which each datagram contains, and is never
// announced: with an announcement for each change, a fleet whose load rises would fill its datagrams
// with them. For the same reason it does not raise the beat, which also decides between reports about a
// member's state.
func (t *Table) SetLoad(load uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Load = load
}

// learnLoad records a load figure unless a newer one is known. A load of 0 is unknown and ignored.
func (r *record) learnLoad(load uint32, at time.Time) {
	if load > 0 && at.After(r.loadAt) {
		r.load, r.loadAt = load, at
	}
}

// relayedLoad returns the load figure to report about the member to others, 0 if there is none that is
// new enough.
func (r *record) relayedLoad(now time.Time) uint32 {
	if now.Sub(r.loadAt) >= relayedLoadAge {
		return 0
	}
	return r.load
}

// Loads returns all members that are alive, this host included, in no order. It walks all members.
func (t *Table) Loads() []LoadedMember {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := t.pools[livePool].records
	out := make([]LoadedMember, 0, len(records)+1)
	if self := t.selfMember(); self.State == Alive {
		out = append(out, LoadedMember{self, t.self.Load, time.Now()})
	}
	for _, r := range records {
		if r.machine.State() == Alive {
			out = append(out, LoadedMember{r.member(), r.load, r.loadAt})
		}
	}
	return out
}

// IsAlive reports whether a member is alive, this host included.
func (t *Table) IsAlive(inc ident.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if inc == ident.Incarnation(t.self.Incarnation) {
		return t.selfMember().State == Alive
	}
	r := t.members[inc]
	return r != nil && r.machine.State() == Alive
}
