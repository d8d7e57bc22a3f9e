package notice

import (
	"maps"
	"sync"
	"time"
)

// Standing is the current notice of a server and the time of its newest answer.
type Standing struct {
	Notice                 // without Rest
	ReceivedAt   time.Time // when the newest answer arrived
	BackoffUntil time.Time // zero if the server has asked for no backoff
}

// Rest returns the remaining backoff that the server asked of this host.
func (s Standing) Rest(now time.Time) time.Duration { return max(0, s.BackoffUntil.Sub(now)) }

// Age returns the time since the server's newest answer.
func (s Standing) Age(now time.Time) time.Duration { return now.Sub(s.ReceivedAt) }

// Record returns the standing in the form that is sent to other hosts.
func (s Standing) Record(server string, now time.Time) Record {
	n := s.Notice
	n.Rest = s.Rest(now)
	return Record{Server: server, Notice: n, Age: s.Age(now)}
}

// Table holds the notices that this host got from servers. Servers that stated nothing are
// not in it. mu guards all fields.
type Table struct {
	mu      sync.Mutex
	servers map[string]Standing
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{servers: map[string]Standing{}} }

// Hear records the notice in an answer. Leaving is permanent, since a leaving server does
// not come back. A backoff is not shortened by a later one that ends sooner, nor ended by
// answers to requests that were sent before it.
func (t *Table) Hear(now time.Time, server string, n Notice) (c Change, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.servers[server]
	n.Leaving = n.Leaving || known.Leaving
	c = Change{Server: server, Before: known.Notice, After: n}
	if !ok && n == (Notice{}) {
		return c, false
	}
	backoffUntil := known.BackoffUntil
	if until := now.Add(n.Rest); n.Rest > 0 && until.After(backoffUntil) {
		backoffUntil = until
	}
	n.Rest = 0
	t.servers[server] = Standing{Notice: n, ReceivedAt: now, BackoffUntil: backoffUntil}
	return c, c.Before != c.After
}

// Of returns the standing of a server.
func (t *Table) Of(server string) Standing {
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
type Counts struct{ Limited, Leaving, Resting int }

// Count counts the servers by what they state.
func (t *Table) Count(now time.Time) (c Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if s.Rest(now) > 0 {
			c.Resting++
		}
		if s.Limit.Named {
			c.Limited++
		}
		if s.Leaving {
			c.Leaving++
		}
	}
	return c
}

// Retain removes the servers that listed does not report and whose newest answer is older
// than KeptUnlisted.
func (t *Table) Retain(now time.Time, listed func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.servers, func(server string, s Standing) bool {
		return s.Age(now) > KeptUnlisted && !listed(server)
	})
}
