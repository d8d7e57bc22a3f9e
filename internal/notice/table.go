package notice

import (
	"maps"
	"sync"
	"time"
)

// Standing is what a server says of itself, and since when that is known.
type Standing struct {
	Notice              // without Rest
	Heard     time.Time // in the newest answer that says so
	RestsTill time.Time // zero: it has asked for no rest
}

// Rest is for how much longer the server wants nothing from this host.
func (s Standing) Rest(now time.Time) time.Duration { return max(0, s.RestsTill.Sub(now)) }

// Age is how long ago the server said so last.
func (s Standing) Age(now time.Time) time.Duration { return now.Sub(s.Heard) }

// Record is the standing as it is told to others.
func (s Standing) Record(server string, now time.Time) Record {
	n := s.Notice
	n.Rest = s.Rest(now)
	return Record{Server: server, Notice: n, Age: s.Age(now)}
}

// Table is what servers have said to this host. Those that have said nothing are not in it.
// mu guards all fields.
type Table struct {
	mu      sync.Mutex
	servers map[string]Standing
}

// NewTable makes an empty table.
func NewTable() *Table { return &Table{servers: map[string]Standing{}} }

// Hear takes what an answer says. A server that leaves does not come back: it says so for
// good. A rest is not ended by another one that is shorter, nor by answers to what was sent
// before.
func (t *Table) Hear(now time.Time, server string, n Notice) (c Change, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.servers[server]
	n.Leaving = n.Leaving || known.Leaving
	c = Change{Server: server, Before: known.Notice, After: n}
	if !ok && n == (Notice{}) {
		return c, false
	}
	till := known.RestsTill
	if rests := now.Add(n.Rest); n.Rest > 0 && rests.After(till) {
		till = rests
	}
	n.Rest = 0
	t.servers[server] = Standing{Notice: n, Heard: now, RestsTill: till}
	return c, c.Before != c.After
}

// Of returns what a server has said last.
func (t *Table) Of(server string) Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers[server]
}

// All lists what servers have said.
func (t *Table) All(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.servers))
	for server, s := range t.servers {
		out = append(out, s.Record(server, now))
	}
	return out
}

// Counts tells how many servers say what of themselves.
type Counts struct{ Limited, Leaving, Resting int }

// Count counts what servers say of themselves.
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

// Retain forgets the servers that have said nothing for KeptUnlisted and that listed does not
// report.
func (t *Table) Retain(now time.Time, listed func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.servers, func(server string, s Standing) bool {
		return s.Age(now) > KeptUnlisted && !listed(server)
	})
}
