// Package quarantine detects poison requests (queries of death), which end each server that
// runs them, and keeps them from further servers. A server's end is unplanned: its process has
// crashed, or its host or rack has failed.
//
// The state of a Table is a set of facts of the form "this request was running on that server
// when it ended". Facts from several hosts are merged as sets, so neither their order nor
// duplicates matter. Table.Judge derives the cause from the facts each time. A request that
// succeeds anywhere is no poison request, and its facts are dropped. A Record carries the facts
// about a request to other hosts, a Row those about a quarantined one to the store.
//
// The package is pure: it reads no clock and does no I/O. Each scheduler owns a Table.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Time is a time on the monotonic clock of the process that owns the table.
type Time = time.Duration

const (
	// endsToQuarantine is the number of servers that must have ended under a request. Two may
	// be chance: some ordinary requests that ran on one server with a poison request are
	// retried on the same server as the poison request again.
	endsToQuarantine = 3
	// sameCauseWindow is the interval within which server ends may have one cause other than
	// a request: a rack or all servers of a service fail while a request is retried on one
	// after the other. Such ends count once, unless a server that was known before the first of
	// them has answered since.
	sameCauseWindow = time.Second
	// correlationWindow is the interval within which hosts notice the ends that one failure
	// causes. minOtherEnds is the number of other servers that must have ended within it for
	// the ends to count as correlated: several poison requests may be active, each of which
	// ends one or two servers a second.
	correlationWindow = 200 * time.Millisecond
	minOtherEnds      = 2
	// initialQuarantine is how long a request stays in quarantine before one trial run: the
	// servers may have been fixed. The time doubles with each trial that ends a server, up to
	// maxQuarantine.
	initialQuarantine = 10 * time.Minute
	maxQuarantine     = 4 * time.Hour
	// endRetention is how long a server's end counts against a request that is not in
	// quarantine.
	endRetention = 10 * time.Minute
	// judgmentTTL is how long a judgment is reused while the table does not change.
	judgmentTTL = 50 * time.Millisecond
	// maxEntries bounds the requests in the table, of 300 bytes each, maxEndsPerRequest the
	// ends stored for each of them, and maxServers the servers whose end is known.
	maxEntries        = 2048
	maxEndsPerRequest = 8
	maxServers        = 4096
)

// Loss is the fact that a request was running on a server when the server ended.
type Loss struct {
	Fingerprint Fingerprint
	Account     string
	Service     string
	Server      string // incarnation of the server
	At          Time
	// EventSeen is set when an event of the answer had arrived, so the server had started on the
	// request earlier.
	EventSeen bool
	// Distinct is set when the end is known to have another cause than the previous one.
	Distinct bool
	Traits   []Trait
	Alone    bool // no other request was sent to the server beside it
}

// end is a server's end while it ran a request.
type end struct {
	server    string
	at        Time
	eventSeen bool
	distinct  bool // known to have another cause than the previous end
}

// interval bounds the time at which a server ended while it ran no request known to this host.
type interval struct{ from, to Time }

// mayCoincide reports whether the end may lie within correlationWindow of at.
func (s interval) mayCoincide(at Time) bool {
	return s.from-correlationWindow <= at && at <= s.to+correlationWindow
}

// serverEnd is a server's end and the requests that were running there.
type serverEnd struct {
	name     string
	at       Time
	requests map[Fingerprint]bool
}

// entry holds the facts about one request.
type entry struct {
	account string
	service string
	ends    []end // ordered by time

	quarantined   bool
	quarantinedAt Time
	quarantinedBy string // name of the host
	retryAt       Time   // time of the next trial run
	failedTrials  int    // trial runs that ended a server
	progressAt    Time   // last call of Progress that was recorded
	lastJudgment  judgment
}

// last returns the time of the newest end, or of the quarantine if no end is known.
func (e *entry) last() Time {
	if len(e.ends) == 0 {
		return e.quarantinedAt
	}
	return e.ends[len(e.ends)-1].at
}

// Table holds the facts that one host knows. It is not safe for concurrent use.
type Table struct {
	host     string // name of the owning host, recorded with requests it quarantines
	partial  bool   // see SetPartial
	entryTTL Time   // see SetEntryTTL
	entries  map[Fingerprint]*entry
	servers  map[string]*serverEnd
	idleEnds map[string]interval // ends of servers that ran no known request
	// serversByEnd lists the servers ordered by the time of their end; valid if sorted is set.
	serversByEnd []*serverEnd
	sorted       bool
	cleared      map[Fingerprint]Time // facts up to this time are ignored
	unreported   map[Fingerprint]bool // changed since the last TakeChanges
	revision     uint64               // incremented with each change of the table
	sharedCause  func(server string) bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		entries: map[Fingerprint]*entry{}, servers: map[string]*serverEnd{}, idleEnds: map[string]interval{},
		cleared: map[Fingerprint]Time{}, unreported: map[Fingerprint]bool{}, revision: 1, sharedCause: func(string) bool { return false },
	}
}

// SetHost sets the name of the host that owns the table.
func (t *Table) SetHost(name string) { t.host = name }

// SetSharedCause sets the function that reports whether the end of a server is explained by something
// that different requests share.
func (t *Table) SetSharedCause(f func(server string) bool) { t.sharedCause = f }

// SetEntryTTL sets the longest time for which the store lists a server after its end.
func (t *Table) SetEntryTTL(d Time) { t.entryTTL = d }

// Has reports whether a server has ended under a request. It is cheap, since it is called for
// each request in the queue.
func (t *Table) Has(f Fingerprint) bool {
	if len(t.entries) == 0 {
		return false
	}
	_, ok := t.entries[f]
	return ok
}

// Add adds a fact and reports whether it is new.
func (t *Table) Add(now Time, l Loss) bool {
	if !l.Fingerprint.Known() {
		return false
	}
	if at, ok := t.cleared[l.Fingerprint]; ok && l.At <= at {
		return false
	}
	e := t.entries[l.Fingerprint]
	if e == nil {
		t.evictIfFull(now)
		e = &entry{account: l.Account, service: l.Service}
		t.entries[l.Fingerprint] = e
	}
	if i := slices.IndexFunc(e.ends, func(have end) bool { return have.server == l.Server }); i >= 0 {
		e.ends[i].at = min(e.ends[i].at, l.At) // a delayed report gives a time that is too late
		e.ends[i].distinct = e.ends[i].distinct || l.Distinct
		return false
	}
	e.ends = append(e.ends, end{server: l.Server, at: l.At, eventSeen: l.EventSeen, distinct: l.Distinct})
	slices.SortStableFunc(e.ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	if len(e.ends) > maxEndsPerRequest {
		t.unlink(l.Fingerprint, e.ends[0].server)
		e.ends = slices.Delete(e.ends, 0, 1)
	}
	t.addServerEnd(l)
	if e.quarantined && l.At > e.retryAt {
		e.failedTrials++
		e.retryAt = l.At + min(maxQuarantine, initialQuarantine<<min(e.failedTrials, 8))
	}
	t.markChanged(l.Fingerprint)
	return true
}

// Clear drops the facts about a request that has succeeded or that an operator released.
// It reports whether there were any.
func (t *Table) Clear(now Time, f Fingerprint) bool {
	if !t.Has(f) {
		return false
	}
	t.drop(f)
	t.setCleared(now, f)
	return true
}

// setCleared records a success or release. At most maxEntries are stored, and those older than
// endRetention make room first: a fact that arrives later than that counts as new, and
// quarantine takes two more of them.
func (t *Table) setCleared(at Time, f Fingerprint) {
	if len(t.cleared) >= maxEntries {
		maps.DeleteFunc(t.cleared, func(_ Fingerprint, old Time) bool { return at-old > endRetention })
	}
	if len(t.cleared) < maxEntries {
		t.cleared[f] = at
	}
	t.markChanged(f)
}

// markChanged marks f as changed and invalidates all judgments, since requests that ran on the
// same servers are affected too.
func (t *Table) markChanged(f Fingerprint) {
	t.unreported[f] = true
	t.revision++
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

// addServerEnd records that a server ended while it ran a request.
func (t *Table) addServerEnd(l Loss) {
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
	delete(t.idleEnds, l.Server)
}

// AddIdleEnd records that a server ended between two times while it ran no known request.
// Further calls for the server narrow the interval.
func (t *Table) AddIdleEnd(server string, from, to Time) {
	if t.servers[server] != nil {
		return
	}
	if have, ok := t.idleEnds[server]; ok {
		from, to = max(from, have.from), min(to, have.to)
	}
	if len(t.idleEnds) >= maxServers {
		maps.DeleteFunc(t.idleEnds, func(_ string, s interval) bool { return to-s.to > endRetention })
	}
	if len(t.idleEnds) < maxServers {
		t.idleEnds[server] = interval{from: from, to: to}
		t.revision++
	}
}

// endsAround lists the servers that ended within correlationWindow of at.
func (t *Table) endsAround(at Time) []*serverEnd {
	if !t.sorted {
		t.sorted = true
		t.serversByEnd = slices.AppendSeq(t.serversByEnd[:0], maps.Values(t.servers))
		slices.SortFunc(t.serversByEnd, func(a, b *serverEnd) int { return cmp.Compare(a.at, b.at) })
	}
	byTime := func(s *serverEnd, at Time) int { return cmp.Compare(s.at, at) }
	from, _ := slices.BinarySearchFunc(t.serversByEnd, at-correlationWindow, byTime)
	to, _ := slices.BinarySearchFunc(t.serversByEnd, at+correlationWindow+1, byTime)
	return t.serversByEnd[from:to]
}

// evictIfFull keeps the table bounded: it drops expired entries, and then the oldest entry of
// the account that has most of them.
//
// A caller that changes one byte in each request would otherwise fill the table and evict the
// entries of other accounts. As it is, it evicts its own, so it can neither release the
// requests of others nor have them refused.
func (t *Table) evictIfFull(now Time) {
	if len(t.entries) < maxEntries {
		return
	}
	counts := map[string]int{}
	for f, e := range t.entries {
		if !e.quarantined && now-e.last() > endRetention {
			t.drop(f)
			continue
		}
		counts[e.account]++
	}
	if len(t.entries) < maxEntries {
		return
	}
	var largest string
	for account, n := range counts {
		if n > counts[largest] || n == counts[largest] && account < largest {
			largest = account
		}
	}
	var oldest Fingerprint
	for f, e := range t.entries {
		if e.account != largest {
			continue
		}
		if old := t.entries[oldest]; old == nil || e.evictBefore(old) {
			oldest = f
		}
	}
	t.drop(oldest)
}

// evictBefore reports whether e is evicted before other: entries outside quarantine come
// first, then older ones.
func (e *entry) evictBefore(other *entry) bool {
	if e.quarantined != other.quarantined {
		return !e.quarantined
	}
	return e.last() < other.last()
}
