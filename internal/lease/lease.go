// Package lease holds a row of the table service for a time, with a fencing
// number that grows with each holder.
//
// Failure cases: the answer to a write is lost (the row is read back and
// tells by its nonce whose it is); the holder is paused (it measures the
// lease from before its call, on its own monotonic clock, so a lapsed lease
// is seen as lapsed when it wakes; an order that is already on its way then
// carries an old fencing number).
package lease

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/charts"
	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/platform"
)

// TTL is how long a lease lasts from before the call that won it. Another
// host takes it over when it has seen the row unchanged for TTL plus Margin
// on its own clock; clocks of two hosts are never compared.
const (
	TTL    = 4 * time.Second
	Margin = 1 * time.Second
)

var leaseChart = charts.MustLoad().Lease

const (
	stateHeld     chart.State = "held"
	stateRenewing chart.State = "renewing"
)

// row is the value of a lease row.
type row struct {
	Holder ident.Incarnation `json:"holder"`
	Nonce  ident.RequestID   `json:"nonce"` // of the write, settles lost answers
	Fence  uint64            `json:"fence"` // grows with each change of holder
}

// Lease is one host's view of one lease row. mu guards all fields below it.
type Lease struct {
	name   string
	self   ident.Incarnation
	table  platform.Table
	events *event.Recorder
	now    platform.Clock

	mu      sync.Mutex
	machine chart.Machine
	until   time.Time // of our hold
	fence   uint64
	seen    uint64    // version of the row when last read
	seenAt  time.Time // when that version was first read
}

// New makes a view of the row "lease/<name>"; nothing is asked for yet.
func New(name string, self ident.Incarnation, table platform.Table, events *event.Recorder, now platform.Clock) *Lease {
	return &Lease{name: name, self: self, table: table, events: events, now: now, machine: leaseChart.Start()}
}

func (l *Lease) key() string { return "lease/" + l.name }

// Held returns the fencing number while the lease holds. It must be asked
// right before each order.
func (l *Lease) Held() (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapse()
	s := l.machine.State()
	return l.fence, s == stateHeld || s == stateRenewing
}

// lapse ends a hold whose time is over. The caller holds mu.
func (l *Lease) lapse() {
	s := l.machine.State()
	if (s == stateHeld || s == stateRenewing) && !l.now().Before(l.until) {
		_ = l.machine.Fire("lapse")
		l.events.Record(event.LeaseLost, event.Fields{Service: l.name, Detail: "lapsed"})
	}
}

// Try asks for the lease, or renews it. It reports whether it is held after
// the call. A failed call leaves a hold as it was until it lapses.
func (l *Lease) Try(ctx context.Context) (bool, error) {
	before := l.now()
	current, err := l.table.Get(ctx, l.key())
	if err != nil {
		return l.holds(), err
	}
	var r row
	if len(current.Value) > 0 {
		if err := json.Unmarshal(current.Value, &r); err != nil {
			return false, failure.Wrap(failure.LeaseLost, err, "lease row %s", l.name)
		}
	}
	if !l.mayWrite(current, r) {
		return false, nil
	}
	return l.write(ctx, before, current, r)
}

func (l *Lease) holds() bool {
	_, ok := l.Held()
	return ok
}

// mayWrite reports whether the row is ours, free, or was left unchanged for
// longer than its holder may use it.
func (l *Lease) mayWrite(current platform.Row, r row) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapse()
	if current.Version != l.seen || l.seenAt.IsZero() {
		l.seen, l.seenAt = current.Version, l.now()
	}
	if current.Version == 0 || r.Holder == l.self {
		return true
	}
	if s := l.machine.State(); s == stateHeld || s == stateRenewing {
		_ = l.machine.Fire("ask")
		_ = l.machine.Fire("lost")
		l.events.Record(event.LeaseLost, event.Fields{Service: l.name, Detail: "held by " + r.Holder.String()})
	}
	return l.now().Sub(l.seenAt) > TTL+Margin
}

func (l *Lease) write(ctx context.Context, before time.Time, current platform.Row, old row) (bool, error) {
	next := row{Holder: l.self, Nonce: ident.Mint(l.self), Fence: old.Fence}
	if old.Holder != l.self || !l.holds() {
		next.Fence++ // whatever an earlier hold still has on its way is older
	}
	l.step("ask")
	value, err := json.Marshal(next)
	if err != nil {
		return false, failure.Wrap(failure.Internal, err, "encode lease row")
	}
	results, err := l.table.Apply(ctx, []platform.Write{{Key: l.key(), Value: value, IfVersion: current.Version}})
	if err != nil {
		return l.readBack(ctx, before, next, err)
	}
	if !results[0].Done {
		l.step("lost")
		return l.holds(), nil
	}
	l.won(before, next, results[0].Row.Version)
	return true, nil
}

// readBack settles a write whose answer was lost: the nonce tells.
func (l *Lease) readBack(ctx context.Context, before time.Time, wrote row, cause error) (bool, error) {
	current, err := l.table.Get(ctx, l.key())
	var r row
	if err != nil || json.Unmarshal(current.Value, &r) != nil || r.Nonce != wrote.Nonce {
		l.step("doubt")
		return l.holds(), cause
	}
	l.won(before, r, current.Version)
	return true, nil
}

func (l *Lease) step(e chart.Event) {
	l.mu.Lock()
	_ = l.machine.Fire(e) // a step the chart does not know from here changes nothing
	l.mu.Unlock()
}

// won books the hold from before the call, since the row may have been
// written at any moment after it.
func (l *Lease) won(before time.Time, r row, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := r.Fence != l.fence
	l.until, l.fence, l.seen, l.seenAt = before.Add(TTL), r.Fence, version, l.now()
	_ = l.machine.Fire("won")
	if first {
		l.events.Record(event.LeaseWon, event.Fields{Service: l.name, Detail: "fence " + strconv.FormatUint(r.Fence, 10)})
	}
}
