package notice

import (
	"maps"
	"sync"
	"time"
)

// State is the current notice of a server and the time of its newest answer.
type State struct {
	Notice                 // its Backoff is 0, see BackoffUntil
	ReceivedAt   time.Time // when the newest answer arrived
	BackoffUntil time.Time // zero if the server has asked for no backoff
}

// Backoff returns the remaining backoff that the server asked of this host.
func (s State) Backoff(now time.Time) time.Duration { return max(0, s.BackoffUntil.Sub(now)) }

// Age returns the time since the server's newest answer.
func (s State) Age(now time.Time) time.Duration { return now.Sub(s.ReceivedAt) }

// Record returns the state in the form that is sent to other hosts.
func (s State) Record(server string, now time.Time) Record {
	n := s.Notice
	n.Backoff = s.Backoff(now)
	return Record{Server: server, Notice: n, Age: s.Age(now)}
}

// Table holds the notices that this host got from servers. Servers that stated nothing are
// not in it. mu guards all fields.
type Table struct {
	mu      sync.Mutex
	servers map[string]State
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{servers: map[string]State{}} }

// Update records the notice in an answer and reports whether it differs from the one recorded
// before. Leaving is permanent, since a leaving server does not come back. A backoff is not
// shortened by a later one that ends sooner, nor ended by answers to requests that were sent
// before it.
func (t *Table) Update(now time.Time, server string, n Notice) (c Change, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.servers[server]
	n.Leaving = n.Leaving || known.Leaving
	c = Change{Server: server, Before: known.Notice, After: n}
	if !ok && n == (Notice{}) {
		return c, false
	}
	backoffUntil := known.BackoffUntil
	if until := now.Add(n.Backoff); n.Backoff > 0 && until.After(backoffUntil) {
		backoffUntil = until
	}
	n.Backoff = 0
	t.servers[server] = State{Notice: n, ReceivedAt: now, BackoffUntil: backoffUntil}
	return c, c.Before != c.After
}

// Get returns the state of a server, the zero State if it has stated nothing.
func (t *Table) Get(server string) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers[server]
}

// All returns the records of all servers in the table.
func (t *Table) All(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.servers))
	for server, s := range t.servers {
		out = append(out, s.Record(server, now))
	}
	return out
}

// Counts holds the numbers of servers with a limit, leaving, and in backoff.
type Counts struct{ Limited, Leaving, BackingOff int }

// Count counts the servers by what they state.
func (t *Table) Count(now time.Time) (c Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if s.Backoff(now) > 0 {
			c.BackingOff++
		}
		if s.Limit.Valid {
			c.Limited++
		}
		if s.Leaving {
			c.Leaving++
		}
	}
	return c
}

// Retain removes the servers for which listed returns false and whose newest answer is older
// than UnlistedRetention.
func (t *Table) Retain(now time.Time, listed func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.servers, func(server string, s State) bool {
		return s.Age(now) > UnlistedRetention && !listed(server)
	})
}
