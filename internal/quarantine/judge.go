package quarantine

import "slices"

// Verdict says how the scheduler must treat a request.
type Verdict uint8

const (
	// Unrestricted requests run as any other.
	Unrestricted Verdict = iota
	// Suspect requests were running on a server that ended, as other requests may have been.
	// They still run, but only one copy of the same request at a time.
	Suspect
	// Isolated requests were the most suspect ones at two ends or more, or their quarantine
	// has expired. One copy runs at a time, separately from other suspects.
	Isolated
	// Undecided requests have seen as many ends as isolated ones, but the cause of the newest
	// end is not clear yet. They wait until it is.
	Undecided
	// Quarantined requests are the proven cause of several ends. They do not run.
	Quarantined
)

// ServiceServers reports on the servers of a request's service.
type ServiceServers interface {
	// AnsweredSince reports whether a server that was known before the given time has answered
	// after it and has not ended.
	AnsweredSince(since Time) bool
	// UndetectedEnds counts the servers that may have ended at a time without this being noticed
	// yet, because they ran no request that would have failed.
	UndetectedEnds(at Time) int
}

// SetPartial sets whether the table may lack facts that other hosts know.
//
// A host other than the home (the host that runs the scheduler) receives the ends under a
// request from the home, but not every other server that ended at the same time. If it judged
// by these alone, an ordinary request would be refused everywhere because a rack failed.
func (t *Table) SetPartial(partial bool) {
	if t.partial != partial {
		t.partial = partial
		t.revision++
	}
}

// Judge returns how a request must be treated now. It puts the request in quarantine when the
// facts suffice and are complete.
func (t *Table) Judge(now Time, f Fingerprint, servers ServiceServers) Verdict {
	e := t.entries[f]
	if e == nil {
		return Unrestricted
	}
	if !e.lastJudgment.stale(now, t.revision) {
		return e.lastJudgment.verdict
	}
	verdict := t.judge(now, f, e, servers)
	e.lastJudgment = judgment{verdict: verdict, at: now, revision: t.revision}
	return verdict
}

// judgment is a cached result of Judge.
type judgment struct {
	verdict  Verdict
	at       Time
	revision uint64 // of the table
}

// stale reports whether new facts or the passage of time may change the judgment. The scheduler
// judges each waiting suspect in each round; without the cache this was half of its work in a
// burst with five poison requests.
func (j judgment) stale(now Time, revision uint64) bool {
	return j.revision != revision || now-j.at >= judgmentTTL
}

func (t *Table) judge(now Time, f Fingerprint, e *entry, servers ServiceServers) Verdict {
	if e.quarantined {
		if now >= e.retryAt {
			return Isolated
		}
		return Quarantined
	}
	if now-e.last() > endRetention {
		t.drop(f)
		return Unrestricted
	}
	ends, separateCauses := t.attributedEnds(f, e, servers)
	if len(ends) < 2 {
		if e.progressAt > e.last() {
			return Unrestricted
		}
		return Suspect
	}
	last := ends[len(ends)-1].at
	if now-last < correlationWindow || now-last < sameCauseWindow && !servers.AnsweredSince(last) {
		return Undecided
	}
	if separateCauses < endsToQuarantine {
		return Isolated
	}
	// When all servers of a service end together, the ends of idle ones are noticed only when
	// their entries in the store expire. Before that, a request that ran on the busy ones would
	// look like the only cause.
	if t.partial || t.mayProveCorrelated(now, ends, servers) {
		return Undecided
	}
	e.quarantined, e.quarantinedAt, e.quarantinedBy = true, now, t.host
	e.retryAt = now + initialQuarantine
	t.markChanged(f)
	return Quarantined
}

// attributedEnds lists the ends that are attributed to a request, and counts the separate causes
// among them.
//
// Ordinary requests run next to a poison request in the other slots of its server, and some of
// their retries run next to it again. The poison request is present at each of these ends, so the
// more ends it has seen, the fewer of them are attributed to others. Servers also end for other
// reasons: racks fail one after the other, with hundreds of requests, a few of which are present
// each time.
func (t *Table) attributedEnds(f Fingerprint, e *entry, servers ServiceServers) (list []end, separateCauses int) {
	for i := range e.ends {
		lost := &e.ends[i]
		if t.correlated(f, lost) || t.hasStrongerSuspect(f, e, lost) || t.sharedCause(lost.server) {
			continue
		}
		n := len(list)
		if !lost.distinct && (n == 0 || lost.at-list[n-1].at >= sameCauseWindow || servers.AnsweredSince(list[n-1].at)) {
			lost.distinct = true
			t.unreported[f] = true // another home could not tell which servers answered then
		}
		if lost.distinct {
			separateCauses++
		}
		list = append(list, *lost)
	}
	return list, separateCauses
}

// correlated reports whether several servers that did not run the request ended within
// correlationWindow of lost, so that a common failure is the likely cause.
func (t *Table) correlated(f Fingerprint, lost *end) bool {
	others := 0
	for _, s := range t.endsAround(lost.at) {
		if s.name != lost.server && !s.requests[f] {
			others++
		}
	}
	for _, idle := range t.idleEnds {
		if idle.mayCoincide(lost.at) {
			others++
		}
	}
	return others >= minOtherEnds
}

// mayProveCorrelated reports whether one of the ends may prove to be correlated with ends of idle
// servers whose entries in the store have yet to expire.
func (t *Table) mayProveCorrelated(now Time, ends []end, servers ServiceServers) bool {
	return slices.ContainsFunc(ends, func(e end) bool {
		return now-e.at < t.entryTTL && servers.UndetectedEnds(e.at) >= minOtherEnds
	})
}

// suspicion returns how suspect a request is, compared with others that ran on the same server:
// its number of uncorrelated ends, and more if it is in quarantine.
func (t *Table) suspicion(f Fingerprint, e *entry) int {
	n := 0
	for i := range e.ends {
		if !t.correlated(f, &e.ends[i]) {
			n++
		}
	}
	if e.quarantined {
		n += maxEndsPerRequest
	}
	return n
}

// hasStrongerSuspect reports whether another request that ran on the lost server is more suspect:
// it has seen more ends, or as many and none of its events had arrived from there while one of f
// had.
func (t *Table) hasStrongerSuspect(f Fingerprint, e *entry, lost *end) bool {
	own := t.suspicion(f, e)
	for other := range t.servers[lost.server].requests {
		if other == f {
			continue
		}
		o := t.entries[other]
		suspicion := t.suspicion(other, o)
		if suspicion > own || suspicion == own && lost.eventSeen && !o.eventSeenAt(lost.server) {
			return true
		}
	}
	return false
}

func (e *entry) eventSeenAt(server string) bool {
	i := slices.IndexFunc(e.ends, func(lost end) bool { return lost.server == server })
	return i >= 0 && e.ends[i].eventSeen
}

// Progress records that a run of a request makes good progress.
//
// Identical requests are common and legitimate, short checks as well as long streams. After the
// end of one server they must not run one at a time until the first of them has completed, so
// progress of the first one lifts the restriction for the others. Progress does not clear the
// request: a poison request that ends its servers after some seconds would be cleared each time.
func (t *Table) Progress(now Time, f Fingerprint) {
	if e := t.entries[f]; e != nil && e.progressAt <= e.last() {
		e.progressAt = now
		t.revision++
	}
}

// Recurrent reports whether more than one server has ended under a request.
func (t *Table) Recurrent(f Fingerprint) bool {
	e := t.entries[f]
	return e != nil && (e.quarantined || len(e.ends) > 1)
}

// RetryIn returns how long a request remains in quarantine.
func (t *Table) RetryIn(now Time, f Fingerprint) Time {
	if e := t.entries[f]; e != nil && e.quarantined {
		return max(0, e.retryAt-now)
	}
	return 0
}

// Explain describes the facts about a request; empty if there are none.
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
