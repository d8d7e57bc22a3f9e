// Package lease implements a time-limited lease on a row of the table service, with a fencing
// number that grows with each change of holder.
//
// Failure cases: the answer to a write is lost (the row is read back, and its nonce shows whose
// write took effect); the holder is paused (the lease time counts from before the call, on the
// holder's own monotonic clock, so the holder sees an expired lease as expired when it resumes;
// an order that is already in flight then carries an old fencing number).
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

// TTL is how long a lease lasts from before the call that acquired it. Another host takes it
// over after it has seen the row unchanged for TTL plus TakeoverMargin on its own clock;
// clocks of two hosts are never compared.
const (
	TTL            = 4 * time.Second
	TakeoverMargin = 1 * time.Second
)

var leaseChart = charts.MustLoad().Lease

const (
	stateHeld     chart.State = "held"
	stateRenewing chart.State = "renewing"
)

// row is the value of a lease row.
type row struct {
	Holder ident.Incarnation `json:"holder"`
	Nonce  ident.RequestID   `json:"nonce"` // of the write, identifies it after a lost answer
	Fence  uint64            `json:"fence"` // grows with each change of holder
}

// Lease is one host's view of a lease row. mu guards the fields below it.
type Lease struct {
	name   string
	self   ident.Incarnation
	table  platform.Table
	events *event.Recorder
	now    platform.Clock

	mu          sync.Mutex
	machine     chart.Machine
	heldUntil   time.Time
	fence       uint64
	seenVersion uint64    // version of the row when last read
	seenAt      time.Time // when that version was first read
}

// New returns a view of the row "lease/<name>"; it does not acquire the lease.
func New(name string, self ident.Incarnation, table platform.Table, events *event.Recorder, now platform.Clock) *Lease {
	return &Lease{name: name, self: self, table: table, events: events, now: now, machine: leaseChart.Start()}
}

func (l *Lease) key() string { return "lease/" + l.name }

// Held returns the fencing number while the lease is held. It must be called right before each
// order.
func (l *Lease) Held() (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	s := l.machine.State()
	return l.fence, s == stateHeld || s == stateRenewing
}

// expire ends a hold whose time is over. The caller holds mu.
func (l *Lease) expire() {
	s := l.machine.State()
	if (s == stateHeld || s == stateRenewing) && !l.now().Before(l.heldUntil) {
		_ = l.machine.Fire("lapse")
		l.events.Record(event.LeaseLost, event.Fields{Service: l.name, Detail: "lapsed"})
	}
}

// AcquireOrRenew acquires the lease or renews it, and reports whether it is held after the call.
// If the call fails, a held lease stays held until it expires.
func (l *Lease) AcquireOrRenew(ctx context.Context) (bool, error) {
	start := l.now()
	current, err := l.table.Get(ctx, l.key())
	if err != nil {
		return l.isHeld(), err
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
	return l.write(ctx, start, current, r)
}

func (l *Lease) isHeld() bool {
	_, ok := l.Held()
	return ok
}

// mayWrite reports whether the row is this host's, free, or unchanged for longer than its
// holder may use it.
func (l *Lease) mayWrite(current platform.Row, r row) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	if current.Version != l.seenVersion || l.seenAt.IsZero() {
		l.seenVersion, l.seenAt = current.Version, l.now()
	}
	if current.Version == 0 || r.Holder == l.self {
		return true
	}
	if s := l.machine.State(); s == stateHeld || s == stateRenewing {
		_ = l.machine.Fire("ask")
		_ = l.machine.Fire("lost")
		l.events.Record(event.LeaseLost, event.Fields{Service: l.name, Detail: "held by " + r.Holder.String()})
	}
	return l.now().Sub(l.seenAt) > TTL+TakeoverMargin
}

func (l *Lease) write(ctx context.Context, start time.Time, current platform.Row, old row) (bool, error) {
	next := row{Holder: l.self, Nonce: ident.NewRequestID(l.self), Fence: old.Fence}
	if old.Holder != l.self || !l.isHeld() {
		next.Fence++ // orders of an earlier hold that are still in flight have an older number
	}
	l.fire("ask")
	value, err := json.Marshal(next)
	if err != nil {
		return false, failure.Wrap(failure.Internal, err, "encode lease row")
	}
	results, err := l.table.Apply(ctx, []platform.Write{{Key: l.key(), Value: value, IfVersion: current.Version}})
	if err != nil {
		return l.readBack(ctx, start, next, err)
	}
	if !results[0].Done {
		l.fire("lost")
		return l.isHeld(), nil
	}
	l.acquired(start, next, results[0].Row.Version)
	return true, nil
}

// readBack determines by the nonce in the row whether a write whose answer was lost took
// effect.
func (l *Lease) readBack(ctx context.Context, start time.Time, wrote row, cause error) (bool, error) {
	current, err := l.table.Get(ctx, l.key())
	var r row
	if err != nil || json.Unmarshal(current.Value, &r) != nil || r.Nonce != wrote.Nonce {
		l.fire("doubt")
		return l.isHeld(), cause
	}
	l.acquired(start, r, current.Version)
	return true, nil
}

func (l *Lease) fire(e chart.Event) {
	l.mu.Lock()
	_ = l.machine.Fire(e) // an event that the chart doesn't allow in this state changes nothing
	l.mu.Unlock()
}

// acquired records that the lease is held. Its time counts from before the call (start), since
// the row may have been written at any time after that.
func (l *Lease) acquired(start time.Time, r row, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newHold := r.Fence != l.fence
	l.heldUntil, l.fence, l.seenVersion, l.seenAt = start.Add(TTL), r.Fence, version, l.now()
	_ = l.machine.Fire("won")
	if newHold {
		l.events.Record(event.LeaseWon, event.Fields{Service: l.name, Detail: "fence " + strconv.FormatUint(r.Fence, 10)})
	}
}
