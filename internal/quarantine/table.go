// Package quarantine finds the requests that end each server which runs them (queries of
// death), and keeps them from further servers.
//
// What is known is a set of facts: this request ran at that server as it ended. Facts of
// several hosts are joined as sets, so it does not matter in which order they come, or how
// often. Which request is the cause is worked out from them anew each time. A request that succeeds
// anywhere is not one of these, and its facts are dropped.
//
// The package is pure: it reads no clock and does no I/O.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Time is a moment on the monotonic clock of the process that owns the table.
type Time = time.Duration

const (
	// endsToQuarantine is how many servers must have ended under a request. Two may be chance:
	// of the requests beside a poison request some come again beside it.
	endsToQuarantine = 3
	// sameCause is how close ends may be that have one cause, other than a request: a rack
	// or all servers of a service that end together, while a request goes from one to the
	// next. They count once, unless a server that was there before goes on answering.
	sameCause = time.Second
	// sameMoment is how close ends are that come of one failure; hosts notice them within
	// that. otherEnds is how many other servers must have ended in the moment for it to be
	// one: several poison requests may be about, each of which ends one or two servers a second.
	sameMoment = 200 * time.Millisecond
	otherEnds  = 2
	// firstTrial is how long a request stays in quarantine before it is tried once: its
	// servers may have been mended. The time doubles with each trial that ends a server,
	// to trialMost.
	firstTrial = 10 * time.Minute
	trialMost  = 4 * time.Hour
	// memory is how long an end is held against a request that is not in quarantine.
	memory = 10 * time.Minute
	// judgedFor is how long a judgment holds while nothing new is known.
	judgedFor = 50 * time.Millisecond
	// maxEntries bounds the requests in the table, 300 bytes each, maxLosses the ends kept
	// of one, and maxServers the servers whose end is known.
	maxEntries = 2048
	maxLosses  = 8
	maxServers = 4096
)

// Loss is the fact that a request ran at a server as it ended.
type Loss struct {
	Fingerprint Fingerprint
	Account     string
	Service     string
	Server      string // its incarnation
	At          Time
	// Shown is set when the run had shown an event: the server had begun with it before.
	Shown bool
	// Distinct is set when it is known to have another cause than the end before.
	Distinct bool
}

// end is a server's end as one request saw it.
type end struct {
	server   string
	at       Time
	shown    bool
	distinct bool // it has not the cause of the one before
}

// span is the time in which a server ended that ran nothing known here.
type span struct{ from, to Time }

// around reports whether the end may have been in the same moment as another one.
func (s span) around(at Time) bool { return s.from-sameMoment <= at && at <= s.to+sameMoment }

// serverEnd is a server's end and the requests that ran there.
type serverEnd struct {
	name     string
	at       Time
	requests map[Fingerprint]bool
}

// entry is what is known of one request.
type entry struct {
	account string
	service string
	ends    []end // in order of time
	// since is when it was put there, by the host named; retryAt when it may be tried next.
	quarantined bool
	since       Time
	by          string
	retryAt     Time
	trials      int // that ended a server
	// progress is when a run was well on its way last.
	progress Time
	judged   judgment
}

func (e *entry) last() Time {
	if len(e.ends) == 0 {
		return e.since
	}
	return e.ends[len(e.ends)-1].at
}

// Table is what one host knows. It is not safe for concurrent use.
type Table struct {
	host    string // its own name, for those it puts in quarantine
	partial bool   // others know more; see SetPartial
	lapse   Time   // see SetLapse
	entries map[Fingerprint]*entry
	servers map[string]*serverEnd
	idle    map[string]span // ends of servers under which nothing known ran
	// order has the servers by the time of their end, if sorted is set.
	order   []*serverEnd
	sorted  bool
	cleared map[Fingerprint]Time // facts up to then do not count
	news    map[Fingerprint]bool // changed since TakeNews
	changes uint64               // of what is known
}

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{
		entries: map[Fingerprint]*entry{}, servers: map[string]*serverEnd{}, idle: map[string]span{},
		cleared: map[Fingerprint]Time{}, news: map[Fingerprint]bool{}, changes: 1,
	}
}

// SetHost names the host that owns the table.
func (t *Table) SetHost(name string) { t.host = name }

// SetLapse tells how long after a server's end its entry is listed, at most.
func (t *Table) SetLapse(d Time) { t.lapse = d }

// Has reports whether a server has ended under a request. It is quick: asked of each
// request in the queue.
func (t *Table) Has(f Fingerprint) bool {
	if len(t.entries) == 0 {
		return false
	}
	_, ok := t.entries[f]
	return ok
}

// Add takes a fact and reports whether it is new.
func (t *Table) Add(now Time, l Loss) bool {
	if !l.Fingerprint.Known() {
		return false
	}
	if at, ok := t.cleared[l.Fingerprint]; ok && l.At <= at {
		return false
	}
	e := t.entries[l.Fingerprint]
	if e == nil {
		t.makeRoom(now)
		e = &entry{account: l.Account, service: l.Service}
		t.entries[l.Fingerprint] = e
	}
	if i := slices.IndexFunc(e.ends, func(have end) bool { return have.server == l.Server }); i >= 0 {
		e.ends[i].at = min(e.ends[i].at, l.At) // word that comes late tells a later time
		e.ends[i].distinct = e.ends[i].distinct || l.Distinct
		return false
	}
	e.ends = append(e.ends, end{server: l.Server, at: l.At, shown: l.Shown, distinct: l.Distinct})
	slices.SortStableFunc(e.ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	if len(e.ends) > maxLosses {
		t.unlink(l.Fingerprint, e.ends[0].server)
		e.ends = slices.Delete(e.ends, 0, 1)
	}
	t.endUnder(l)
	if e.quarantined && l.At > e.retryAt {
		e.trials++
		e.retryAt = l.At + min(trialMost, firstTrial<<min(e.trials, 8))
	}
	t.changed(l.Fingerprint)
	return true
}

// Clear drops what is known of a request: it has succeeded, or an operator released it.
// It reports whether there was anything.
func (t *Table) Clear(now Time, f Fingerprint) bool {
	if !t.Has(f) {
		return false
	}
	t.drop(f)
	t.setCleared(now, f)
	return true
}

// setCleared notes a success or release. The notes of the last minutes are kept, to
// maxEntries: a fact that comes so late counts as new, and needs two more like it.
func (t *Table) setCleared(at Time, f Fingerprint) {
	if len(t.cleared) >= maxEntries {
		maps.DeleteFunc(t.cleared, func(_ Fingerprint, old Time) bool { return at-old > memory })
	}
	if len(t.cleared) < maxEntries {
		t.cleared[f] = at
	}
	t.changed(f)
}

// changed notes that something else is known of f, and so of those that ran beside it.
func (t *Table) changed(f Fingerprint) {
	t.news[f] = true
	t.changes++
}

func (t *Table) drop(f Fingerprint) {
	if e := t.entries[f]; e != nil {
		for _, lost := range e.ends {
			t.unlink(f, lost.server)
		}
		delete(t.entries, f)
	}
}

func (t *Table) unlink(f Fingerprint, server string) {
	if s := t.servers[server]; s != nil {
		delete(s.requests, f)
	}
}

// endUnder notes that a server ended as it ran a request.
func (t *Table) endUnder(l Loss) {
	ended := t.servers[l.Server]
	if ended == nil {
		if len(t.servers) >= maxServers {
			maps.DeleteFunc(t.servers, func(_ string, s *serverEnd) bool { return len(s.requests) == 0 })
		}
		ended = &serverEnd{name: l.Server, at: l.At, requests: map[Fingerprint]bool{}}
		t.servers[l.Server] = ended
		t.sorted = false
	}
	if l.At < ended.at {
		ended.at = l.At
		t.sorted = false
	}
	ended.requests[l.Fingerprint] = true
	delete(t.idle, l.Server)
}

// EndedIdle notes that a server has ended between two moments, with nothing known running
// there. Told again it narrows the time.
func (t *Table) EndedIdle(server string, from, to Time) {
	if t.servers[server] != nil {
		return
	}
	if have, ok := t.idle[server]; ok {
		from, to = max(from, have.from), min(to, have.to)
	}
	if len(t.idle) >= maxServers {
		maps.DeleteFunc(t.idle, func(_ string, s span) bool { return to-s.to > memory })
	}
	if len(t.idle) < maxServers {
		t.idle[server] = span{from: from, to: to}
		t.changes++
	}
}

// endsAround lists the servers that ended within sameMoment of a moment.
func (t *Table) endsAround(at Time) []*serverEnd {
	if !t.sorted {
		t.sorted = true
		t.order = slices.AppendSeq(t.order[:0], maps.Values(t.servers))
		slices.SortFunc(t.order, func(a, b *serverEnd) int { return cmp.Compare(a.at, b.at) })
	}
	byTime := func(s *serverEnd, at Time) int { return cmp.Compare(s.at, at) }
	from, _ := slices.BinarySearchFunc(t.order, at-sameMoment, byTime)
	to, _ := slices.BinarySearchFunc(t.order, at+sameMoment+1, byTime)
	return t.order[from:to]
}

// makeRoom keeps the table bounded: it drops what is old, and then the oldest of the
// account that has most.
//
// Guard: a caller that changes a byte each time fills the table. It pushes out its own
// requests and not those of others, and so can neither free theirs nor have them refused.
func (t *Table) makeRoom(now Time) {
	if len(t.entries) < maxEntries {
		return
	}
	counts := map[string]int{}
	for f, e := range t.entries {
		if !e.quarantined && now-e.last() > memory {
			t.drop(f)
			continue
		}
		counts[e.account]++
	}
	if len(t.entries) < maxEntries {
		return
	}
	var most string
	for account, n := range counts {
		if n > counts[most] || n == counts[most] && account < most {
			most = account
		}
	}
	var oldest Fingerprint
	for f, e := range t.entries {
		if e.account != most {
			continue
		}
		if old := t.entries[oldest]; old == nil || e.lessThan(old) {
			oldest = f
		}
	}
	t.drop(oldest)
}

// lessThan orders what is dropped first: what is not in quarantine, then what is old.
func (e *entry) lessThan(other *entry) bool {
	if e.quarantined != other.quarantined {
		return !e.quarantined
	}
	return e.last() < other.last()
}
