// Package routing holds the configuration in force on a host: the service of a request,
// whether the request may be retried, and who may send it. A Table is an immutable
// snapshot and is replaced as a whole by a newer version; CurrentTable holds the one in force.
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

// Kind classifies requests by whether they may be retried.
type Kind uint8

// The kinds of requests.
const (
	// Unsafe requests run at most once per attempt of the caller.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered with a series of events. They are unsafe unless
	// their route is resumable.
	Streaming
)

// Route configures the requests of a host and path prefix.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // longest that a caller waits
	LatencyTarget  time.Duration // for the first event of a stream or the complete answer of a plain call
	EventGapTarget time.Duration // longest pause between events that is on time
	CallerTimeout  time.Duration // how long a stream's caller waits for an event, 0: until its deadline
	Priority       int           // 0 is the most urgent
	Targets        []Target
	MaxAttempts    int  // maximum number of servers for one attempt of a caller
	Public         bool // needs no account key
	Resumable      bool // a stream may be resumed at another server
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run again, or resume, after a run that was cut
// off.
func (r *Route) Repeatable() bool {
	switch {
	case r.MaxAttempts < 2:
		return false
	case r.Kind == Safe:
		return true
	}
	return r.Kind == Streaming && r.Resumable
}

// PickService chooses the service of one request at random, by weight.
func (r *Route) PickService() string {
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
	Keys         []string
	Priority     int
	HasPriority  bool // Priority is set and takes precedence over that of the route
	InTokens     bool // the quota counts tokens, not requests
	DefaultUnits int  // charged for a request without token counts
}

// Config is a decoded configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []sched.Service
	Accounts []Account
	MaxBody  int64 // maximum bytes in a request's body
}

// Table is a configuration indexed for lookups.
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

// Match returns the route with the longest matching prefix of a path, nil if none matches.
// host may include a port.
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

// HasAccounts reports whether requests on routes that are not public need a key.
func (t *Table) HasAccounts() bool { return len(t.Accounts) > 0 }

// Account returns the account that a key belongs to, nil if there is none.
func (t *Table) Account(key string) *Account { return t.keys[key] }

// CurrentTable holds the table in force. Its version only increases.
type CurrentTable struct {
	table    atomic.Pointer[Table]
	evidence atomic.Pointer[Evidence]
	changed  notify.Set

	mu       sync.Mutex    // serializes Replace, guards firstSet
	firstSet chan struct{} // closed when the first table is set; made by the first waiter
}

// Get returns the table in force, nil before the first.
func (c *CurrentTable) Get() *Table { return c.table.Load() }

// Evidence tells when a host last had evidence that the table in force is the newest, and from whom.
type Evidence struct {
	At     time.Time
	Source string // the host that gave it, empty for the store itself
}

// Confirm records evidence that the table in force is the newest.
func (c *CurrentTable) Confirm(e Evidence) { c.evidence.Store(&e) }

// Evidence returns the newest evidence, the zero value before the first.
func (c *CurrentTable) Evidence() Evidence {
	if e := c.evidence.Load(); e != nil {
		return *e
	}
	return Evidence{}
}

// Subscribe returns a channel that receives after changes.
func (c *CurrentTable) Subscribe() <-chan struct{} { return c.changed.Subscribe() }

// WaitFirst returns the table in force. If there is none yet, it waits for the first one
// until the timeout passes or done closes, and returns nil if none came.
func (c *CurrentTable) WaitFirst(done <-chan struct{}, timeout time.Duration) *Table {
	if t := c.Get(); t != nil {
		return t
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-c.firstTable():
	case <-timer.C:
	case <-done:
	}
	return c.Get()
}

// firstTable returns a channel that closes when the first table is in force.
func (c *CurrentTable) firstTable() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstSet == nil {
		c.firstSet = make(chan struct{})
		if c.table.Load() != nil {
			close(c.firstSet)
		}
	}
	return c.firstSet
}

// Replace puts t in force unless the table in force has the same or a newer version, and
// reports whether it did.
//
// A late answer of the store may contain an older version than the one in force; using it
// would undo an accepted change.
func (c *CurrentTable) Replace(t *Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.table.Load()
	if old != nil && old.Version >= t.Version {
		return false
	}
	c.table.Store(t)
	if old == nil && c.firstSet != nil {
		close(c.firstSet)
	}
	c.changed.Notify()
	return true
}
