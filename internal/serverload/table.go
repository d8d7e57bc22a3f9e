package serverload

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// slowdownStep is the relative change of a slowdown from which on it is sent again. Engines of a
	// service differ by a factor of three, so a smaller change decides no placement.
	slowdownStep = 0.15
	// countStep is the change in the number of requests from which on a report is sent again.
	countStep = 2
	// refreshAge is the age after which a slowdown that persists is sent again, before it has lost a
	// fifth of its weight at the receiver.
	refreshAge = 120 * time.Millisecond
	// retention is how long the last report of a server is kept for the log lines of requests.
	retention = 10 * time.Second
)

// Received is a report and when this host received it; the zero value is no report.
type Received struct {
	Report
	At time.Time
}

// Known reports whether there is a report.
func (r Received) Known() bool { return !r.At.IsZero() }

// entry is the newest report of a server and the one that was sent last.
type entry struct {
	newest Received
	sent   Received
	queued bool // newest is to be compared with sent at the next Take
}

// Table holds the newest reports that this host has received. A restarted server has another name,
// so no report applies to a later incarnation. mu guards all fields.
type Table struct {
	mu       sync.Mutex
	servers  map[string]*entry
	queued   []string // servers with a report since the last Take
	prunedAt time.Time
	received uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{servers: map[string]*entry{}} }

// Update records a report. It reports whether this is the first one since the last Take.
func (t *Table) Update(now time.Time, server string, r Report) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received++
	t.prune(now)
	e := t.servers[server]
	if e == nil {
		e = &entry{}
		t.servers[server] = e
	}
	e.newest = Received{Report: r, At: now}
	if e.queued {
		return false
	}
	e.queued = true
	t.queued = append(t.queued, server)
	return len(t.queued) == 1
}

// prune removes the servers without a report for the retention. The caller holds mu.
func (t *Table) prune(now time.Time) {
	if now.Sub(t.prunedAt) < retention {
		return
	}
	t.prunedAt = now
	maps.DeleteFunc(t.servers, func(_ string, e *entry) bool { return now.Sub(e.newest.At) > retention })
	t.queued = slices.DeleteFunc(t.queued, func(server string) bool { return t.servers[server] == nil })
}

// Get returns the newest report of a server.
func (t *Table) Get(server string) Received {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[server]; e != nil {
		return e.newest
	}
	return Received{}
}

// Take returns the reports since the last Take that others need: those that differ notably from the
// ones returned before and those whose predecessors have aged. Reports that have aged out themselves,
// because this host was frozen, are left out.
func (t *Table) Take(now time.Time) (out []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, server := range t.queued {
		e := t.servers[server]
		e.queued = false
		if now.Sub(e.newest.At) < MaxAge && e.notable(now) {
			e.sent = e.newest
			out = append(out, Record{Server: server, Report: e.newest.Report, Age: now.Sub(e.newest.At)})
		}
	}
	t.queued = t.queued[:0]
	return out
}

// Recent returns all reports that have not aged out, for a receiver that has none.
func (t *Table) Recent(now time.Time) (out []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, e := range t.servers {
		if age := now.Sub(e.newest.At); age < MaxAge {
			out = append(out, Record{Server: server, Report: e.newest.Report, Age: age})
		}
	}
	return out
}

// Forget makes the next reports of the servers count as not sent before, after a message was lost.
func (t *Table) Forget(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if e := t.servers[r.Server]; e != nil {
			e.sent = Received{}
		}
	}
}

// Received returns the number of reports received.
func (t *Table) Received() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received
}

// notable reports whether the newest report is worth sending after the one sent last.
func (e *entry) notable(now time.Time) bool {
	sentAge := now.Sub(e.sent.At)
	if !e.sent.Known() || sentAge >= MaxAge {
		return true
	}
	was, is := e.sent.slowdown(), e.newest.slowdown()
	switch {
	case math.Abs(is-was) >= slowdownStep*min(is, was):
		return true
	case e.sent.Slots != e.newest.Slots || e.sent.Full() != e.newest.Full():
		return true
	case max(e.newest.Requests()-e.sent.Requests(), e.sent.Requests()-e.newest.Requests()) >= countStep:
		return true
	}
	return math.Abs(is-1) >= slowdownStep && sentAge >= refreshAge
}
