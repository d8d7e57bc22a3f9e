package quarantine

import "slices"

// Standing is how a request is to be treated.
type Standing uint8

const (
	// Free: nothing is held against it.
	Free Standing = iota
	// Suspect: it ran at a server that ended. So did others there; it goes on, but for
	// copies of it, one at a time.
	Suspect
	// Isolated: it was the most suspect at two ends or more, or its time in quarantine is
	// over. One copy at a time runs, apart from other suspects.
	Isolated
	// Wait: as Isolated, but the cause of its newest end is not plain yet.
	Wait
	// Quarantined: it has ended servers until no doubt was left. It is not run.
	Quarantined
)

// Peers tells of the servers of a request's service.
type Peers interface {
	// Well reports whether one that was there before a moment has answered since, and has
	// not ended.
	Well(since Time) bool
	// Unseen counts those that may have ended at a moment without being missed yet: nothing
	// ran there whose end would have told.
	Unseen(at Time) int
}

// SetPartial tells whether the table lacks what others know.
//
// Guard: a host that does not schedule for all hears of ends under a request from the home,
// but not of every other server that ended in the same moment. Were it to judge by that, an
// ordinary request would be refused everywhere for a rack that ended.
func (t *Table) SetPartial(partial bool) {
	if t.partial != partial {
		t.partial = partial
		t.changes++
	}
}

// Judge tells how a request is to be treated now. It puts the request in quarantine when the
// facts are enough and nothing is missing.
func (t *Table) Judge(now Time, f Fingerprint, peers Peers) Standing {
	e := t.entries[f]
	if e == nil {
		return Free
	}
	if !e.judged.stale(now, t.changes) {
		return e.judged.standing
	}
	standing := t.judge(now, f, e, peers)
	e.judged = judgment{standing: standing, at: now, changes: t.changes}
	return standing
}

// judgment is how a request was judged last.
type judgment struct {
	standing Standing
	at       Time
	changes  uint64 // of the table, until then
}

// stale reports whether new facts, or time, may change the judgment. Each suspect that
// waits is judged in each round of the scheduler: in a burst with five poison requests about that
// was half of its work.
func (j judgment) stale(now Time, changes uint64) bool {
	return j.changes != changes || now-j.at >= judgedFor
}

func (t *Table) judge(now Time, f Fingerprint, e *entry, peers Peers) Standing {
	if e.quarantined {
		if now >= e.retryAt {
			return Isolated
		}
		return Quarantined
	}
	if now-e.last() > memory {
		t.drop(f)
		return Free
	}
	ends, apart := t.attributed(f, e, peers)
	if len(ends) < 2 {
		if e.progress > e.last() {
			return Free
		}
		return Suspect
	}
	last := ends[len(ends)-1].at
	if now-last < sameMoment || now-last < sameCause && !peers.Well(last) {
		return Wait
	}
	if apart < endsToQuarantine {
		return Isolated
	}
	// Guard: when all servers of a service end together, those that were idle are missed
	// only when their entries lapse. Were the request that was at the busy ones judged
	// before that, it alone would look like the cause.
	if t.partial || t.unsettled(now, ends, peers) {
		return Wait
	}
	e.quarantined, e.since, e.by = true, now, t.host
	e.retryAt = now + firstTrial
	t.changed(f)
	return Quarantined
}

// attributed lists the ends that are held against a request, and counts those that have each
// a cause of their own.
//
// Guard: up to a server's places of ordinary requests run beside the poison request, and some of
// them come again beside it. The poison request is there each time, so the more ends it has seen
// the less of them is held against others. And servers end for reasons of their own: a rack
// at a time, again and again, with hundreds of requests, of which a few are there each time.
func (t *Table) attributed(f Fingerprint, e *entry, peers Peers) (list []end, apart int) {
	for i := range e.ends {
		lost := &e.ends[i]
		if t.common(f, lost) || t.outweighed(f, e, lost) {
			continue
		}
		n := len(list)
		if !lost.distinct && (n == 0 || lost.at-list[n-1].at >= sameCause || peers.Well(list[n-1].at)) {
			lost.distinct = true
			t.news[f] = true // another home would not know who was well then
		}
		if lost.distinct {
			apart++
		}
		list = append(list, *lost)
	}
	return list, apart
}

// common reports whether other servers, where the request was not, ended in the same
// moment.
func (t *Table) common(f Fingerprint, lost *end) bool {
	others := 0
	for _, s := range t.endsAround(lost.at) {
		if s.name != lost.server && !s.requests[f] {
			others++
		}
	}
	for _, idle := range t.idle {
		if idle.around(lost.at) {
			others++
		}
	}
	return others >= otherEnds
}

// unsettled reports whether entries that lapse may yet show that one of the ends was of a
// moment in which others ended too.
func (t *Table) unsettled(now Time, ends []end, peers Peers) bool {
	return slices.ContainsFunc(ends, func(e end) bool {
		return now-e.at < t.lapse && peers.Unseen(e.at) >= otherEnds
	})
}

// weight orders the requests that ran at one server by how suspect they are.
func (t *Table) weight(f Fingerprint, e *entry) int {
	n := 0
	for i := range e.ends {
		if !t.common(f, &e.ends[i]) {
			n++
		}
	}
	if e.quarantined {
		n += maxLosses
	}
	return n
}

// outweighed reports whether another request that ran at the server is more suspect: it
// has seen more ends, or as many, and had shown nothing there while this one had.
func (t *Table) outweighed(f Fingerprint, e *entry, lost *end) bool {
	mine := t.weight(f, e)
	for other := range t.servers[lost.server].requests {
		if other == f {
			continue
		}
		o := t.entries[other]
		weight := t.weight(other, o)
		if weight > mine || weight == mine && lost.shown && !o.shownAt(lost.server) {
			return true
		}
	}
	return false
}

func (e *entry) shownAt(server string) bool {
	i := slices.IndexFunc(e.ends, func(lost end) bool { return lost.server == server })
	return i >= 0 && e.ends[i].shown
}

// Progress notes that a run of a request is well on its way.
//
// Guard: requests that are alike in all come legitimately often, checks as well as long
// streams. One server's end must not put them in a line, one at a time, until the first of
// them has ended; the first that gets on frees the others. It does not clear the request:
// one that ends its servers after seconds would be cleared each time.
func (t *Table) Progress(now Time, f Fingerprint) {
	if e := t.entries[f]; e != nil && e.progress <= e.last() {
		e.progress = now
		t.changes++
	}
}

// Recurrent reports whether more than one server has ended under a request.
func (t *Table) Recurrent(f Fingerprint) bool {
	e := t.entries[f]
	return e != nil && (e.quarantined || len(e.ends) > 1)
}

// RetryIn is how long a request stays in quarantine.
func (t *Table) RetryIn(now Time, f Fingerprint) Time {
	if e := t.entries[f]; e != nil && e.quarantined {
		return max(0, e.retryAt-now)
	}
	return 0
}

// Explain tells what is held against a request, empty when there is nothing.
func (t *Table) Explain(now Time, f Fingerprint) string {
	if !t.Has(f) {
		return ""
	}
	r := t.Record(now, f)
	return r.Explain()
}

// Quarantined counts the requests in quarantine.
func (t *Table) Quarantined() (n int) {
	for _, e := range t.entries {
		if e.quarantined {
			n++
		}
	}
	return n
}
