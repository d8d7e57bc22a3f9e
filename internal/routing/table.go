// Package routing holds the configuration in force on a host: which service a
// request goes to, what may be repeated, and who may send it. A Table is an
// immutable snapshot; a newer version replaces it whole.
package routing

import (
	"math/rand/v2"
	"net"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianflow/gentianflow/internal/notify"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds of requests.
const (
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests answer with a series of events. They count as unsafe,
	// unless their route is resumable.
	Streaming
)

// Route is where requests of a host and path prefix go.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest that a caller is kept waiting
	Aim         time.Duration // latency objective
	GapAim      time.Duration // longest pause between events that is on time
	Patience    time.Duration // after which a stream's caller leaves for want of an event, 0: at its deadline
	Priority    int           // 0 is the most urgent
	Targets     []Target
	MaxAttempts int // servers that one attempt of a caller may be sent to
	Public      bool
	Resumable   bool
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run once more, or go on, after a run that was
// cut off.
func (r *Route) Repeatable() bool {
	switch {
	case r.MaxAttempts < 2:
		return false
	case r.Kind == Safe:
		return true
	}
	return r.Kind == Streaming && r.Resumable
}

// Service draws the service of one request.
func (r *Route) Service() string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, t := range r.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return ""
}

// Account is a client account.
type Account struct {
	sched.Account
	Keys       []string
	Priority   int
	Ranked     bool // Priority goes before that of the route
	InTokens   bool // the quota counts tokens, not requests
	PlainUnits int  // charged for a request that does not tell its tokens
}

// Config is a decoded configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []sched.Service
	Accounts []Account
	MaxBody  int64 // bytes that a caller may send
}

// Table is a configuration made ready for look-ups.
type Table struct {
	Config
	hosts map[string][]*Route // longest prefix first
	keys  map[string]*Account
}

// NewTable indexes a configuration.
func NewTable(c Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}, keys: map[string]*Account{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range t.Accounts {
		for _, key := range t.Accounts[i].Keys {
			t.keys[key] = &t.Accounts[i]
		}
	}
	return t
}

// Match returns the route with the longest prefix of a path, nil when none
// matches. host may carry a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasAccounts reports whether requests need a key.
func (t *Table) HasAccounts() bool { return len(t.Accounts) > 0 }

// Account returns the holder of a key, nil when there is none.
func (t *Table) Account(key string) *Account { return t.keys[key] }

// Current holds the table in force. Versions only rise.
type Current struct {
	table   atomic.Pointer[Table]
	changed notify.Set

	mu    sync.Mutex    // serializes Replace, guards known
	known chan struct{} // closed with the first table; made when one waits for it
}

// Get returns the table in force, nil before the first.
func (c *Current) Get() *Table { return c.table.Load() }

// Subscribe returns a channel that yields a token after changes.
func (c *Current) Subscribe() <-chan struct{} { return c.changed.Subscribe() }

// First returns the table in force, and waits up to wait for the first one. It is nil
// when none comes, or done closes.
func (c *Current) First(done <-chan struct{}, wait time.Duration) *Table {
	if t := c.Get(); t != nil {
		return t
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.first():
	case <-timer.C:
	case <-done:
	}
	return c.Get()
}

// first returns a channel that closes when the first table is in force.
func (c *Current) first() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known == nil {
		c.known = make(chan struct{})
		if c.table.Load() != nil {
			close(c.known)
		}
	}
	return c.known
}

// Replace puts t in force unless a version as new or newer is. It reports
// whether it did.
//
// Guard: a late answer of the store may bring an older version than one that
// is in force already; taking it would undo an accepted change.
func (c *Current) Replace(t *Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.table.Load()
	if old != nil && old.Version >= t.Version {
		return false
	}
	c.table.Store(t)
	if old == nil && c.known != nil {
		close(c.known)
	}
	c.changed.Notify()
	return true
}
