package member

import "math/rand/v2"

// The pools that a record can be in.
const (
	livePool     = iota // not dead
	zonePool            // not dead, of this host's availability zone
	unprovedPool        // dead without proof
	timedPool           // in a state that ends after some time: suspect or dead
	pools
)

// pool is a set of records, from which random ones are drawn at a cost that does not depend on its
// size.
type pool struct {
	kind    int
	records []*record
	drawn   int // records drawn so far
}

// set adds a record to the pool or removes it.
func (p *pool) set(r *record, in bool) {
	pos := r.poolPos[p.kind] - 1
	switch {
	case in && pos < 0:
		p.records = append(p.records, r)
		r.poolPos[p.kind] = len(p.records)
	case !in && pos >= 0:
		last := len(p.records) - 1
		p.swap(pos, last)
		p.records[last] = nil
		p.records = p.records[:last]
		r.poolPos[p.kind] = 0
	}
}

func (p *pool) swap(i, j int) {
	p.records[i], p.records[j] = p.records[j], p.records[i]
	p.records[i].poolPos[p.kind], p.records[j].poolPos[p.kind] = i+1, j+1
}

// draw calls f for different random records until f returns false or all were drawn.
func (p *pool) draw(f func(*record) (more bool)) {
	for i := range p.records {
		p.drawn++
		p.swap(i, i+rand.IntN(len(p.records)-i))
		if !f(p.records[i]) {
			return
		}
	}
}

// place puts a record into the pools and rankings where its state belongs. The caller holds mu.
func (t *Table) place(r *record) {
	known := t.members[r.incarnation()] == r
	state := r.machine.State()
	live := known && state != Dead
	t.pools[livePool].set(r, live)
	t.pools[zonePool].set(r, live && r.wire.Zone == t.self.Zone)
	t.pools[unprovedPool].set(r, known && state == Dead && !r.proved)
	t.pools[timedPool].set(r, known && (state == Dead || state == Suspect))
	for service, ranking := range t.rankings {
		ranking.set(service, r.candidate(), known && mayBeHome(state))
	}
}
