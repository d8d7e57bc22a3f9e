package node

import (
	"context"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/rollout"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
)

const (
	// rolloutPeriod is how often the duty looks whether this host leads.
	rolloutPeriod = 250 * time.Millisecond
	// rolloutRetryMost bounds the pause after calls that fail: a store that is away for
	// seconds gets a few.
	rolloutRetryMost = 2 * time.Second
	// wishLeast is how often operators' wishes are read at most, and wishShare the part of a
	// roll-out's time between two reads: a handful of calls for each roll-out.
	wishLeast = 3 * time.Second
	wishShare = 0.15
)

// rollouts carries the operators' orders out while this host is the home: it takes them up
// from the store, has the scheduler try them, and writes how they end. Its goroutine owns
// carried, wished, retry and notBefore; mu guards read, orders and ended.
type rollouts struct {
	host   string // with its incarnation
	plat   Platform
	loop   *dispatch.Loop
	leads  func() bool
	events *event.Recorder
	wake   chan struct{}

	carried map[string]int64 // by service, the order that this host carries: its row
	wished  time.Time
	// retry is the pause after a failed call, which doubles; nothing is called notBefore.
	retry     time.Duration
	notBefore time.Time

	mu     sync.Mutex
	read   map[string]int64 // rows of the operator's table, by key, with their versions
	orders map[string]rollout.Order
	ended  map[string]rollout.Standing // by service, to be written
}

func newRollouts(host string, plat Platform, loop *dispatch.Loop, leads func() bool, events *event.Recorder) *rollouts {
	return &rollouts{
		host: host, plat: plat, loop: loop, leads: leads, events: events, wake: make(chan struct{}, 1),
		carried: map[string]int64{}, read: map[string]int64{}, orders: map[string]rollout.Order{}, ended: map[string]rollout.Standing{},
	}
}

// order takes a row of the operator's table if it is an order. One that makes no sense
// leaves the order before it in force.
func (r *rollouts) order(row store.Row) {
	o, ok, err := r.plat.DecodeOrder(row.Key, row.Value, row.Version)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.read[row.Key] >= row.Version {
		return
	}
	r.read[row.Key] = row.Version
	if err != nil {
		r.events.Record(event.RolloutRefused, event.Fields{Service: o.Service, Detail: failure.From(err).Message})
		return
	}
	r.orders[o.Service] = o
	r.loop.Do(func(_ sched.Time, s *sched.Scheduler) { s.SetOrder(o) })
	r.wakeUp()
}

// stepped takes the steps of the trials that the scheduler carries. It does not block.
func (r *rollouts) stepped(steps []rollout.Standing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, step := range steps {
		if step.Phase == rollout.Moved || step.Phase == rollout.TakenBack {
			r.ended[step.Order.Service] = step
		}
	}
	r.wakeUp()
}

func (r *rollouts) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *rollouts) run(ctx context.Context) {
	tick := time.NewTicker(rolloutPeriod)
	defer tick.Stop()
	for {
		select {
		case <-r.wake:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if !r.leads() {
			r.lost()
			continue
		}
		if time.Now().Before(r.notBefore) {
			continue
		}
		r.takeUp(ctx)
		r.writeEnds(ctx)
		r.readWishes(ctx)
	}
}

// called notes how a call to the store went, and reports whether it was answered.
func (r *rollouts) called(err error) bool {
	if err == nil || failure.Is(err, failure.Conflict) {
		r.retry = 0
		return err == nil
	}
	r.retry = min(rolloutRetryMost, max(rolloutPeriod, 2*r.retry))
	r.notBefore = time.Now().Add(r.retry)
	return false
}

// lost ends what this host carried: another one leads.
func (r *rollouts) lost() {
	if len(r.carried) == 0 {
		return
	}
	clear(r.carried)
	r.mu.Lock()
	clear(r.ended)
	r.mu.Unlock()
	r.loop.Do(func(_ sched.Time, s *sched.Scheduler) { s.DropTrials() })
}

// open lists the orders that this host does not carry yet.
func (r *rollouts) open() (out []rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, o := range r.orders {
		if o.Check() == "" && r.carried[service] != o.Row {
			out = append(out, o)
		}
	}
	return out
}

func (r *rollouts) takeUp(ctx context.Context) {
	open := r.open()
	if len(open) == 0 {
		return
	}
	rows, storeNow, err := r.plat.Conditional.Rows(ctx, r.plat.RolloutTable)
	if !r.called(err) {
		return
	}
	for _, o := range open {
		r.takeUpOne(ctx, o, find(rows, o.Service), storeNow)
	}
}

func find(rows []store.Row, key string) store.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return store.Row{}
}

// takeUpOne has this host carry an order, or learns that it was carried out.
//
// Guard: the host that carried it before may be alive, cut off, and write its verdict late.
// The row is written anew here, so that its condition does not hold any more.
func (r *rollouts) takeUpOne(ctx context.Context, o rollout.Order, have store.Row, storeNow time.Duration) {
	row, resumed := rollout.Row{Order: o.Row, To: o.To, Phase: rollout.Trying, BegunMs: storeNow.Milliseconds()}, false
	if have.Version != 0 {
		if old, err := rollout.DecodeRow(have.Value); err == nil && old.Order == o.Row {
			if old.Over() {
				r.carried[o.Service] = o.Row
				r.settle(o, old.Phase)
				return
			}
			row.BegunMs, resumed = old.BegunMs, true
		}
	}
	row.By = r.host
	if err := r.write(ctx, o, row, have.Version); err != nil {
		return // read anew at the next look: it may have been done
	}
	r.carried[o.Service] = o.Row
	ago := storeNow - row.Begun()
	r.events.Record(event.RolloutOrdered, event.Fields{Service: o.Service, Detail: "to " + o.To + " within " + (o.Lasts - ago).String()})
	r.loop.Do(func(now sched.Time, s *sched.Scheduler) { s.StartTrial(now, o, ago, resumed) })
}

func (r *rollouts) settle(o rollout.Order, p rollout.Phase) {
	r.loop.Do(func(_ sched.Time, s *sched.Scheduler) { s.SettleOrder(o, p) })
}

// write brings the system's row and the operators' one up to date.
func (r *rollouts) write(ctx context.Context, o rollout.Order, row rollout.Row, version int64) error {
	text, err := row.Encode()
	if err != nil {
		return err
	}
	key, status, err := r.plat.RolloutStatus(o, row.State())
	if err != nil {
		return err
	}
	err = r.plat.Conditional.Commit(ctx, store.Condition{Table: r.plat.RolloutTable, Key: o.Service, Version: version},
		store.Write{Table: r.plat.RolloutTable, Key: o.Service, Value: text},
		store.Write{Table: r.plat.StatusTable, Key: key, Value: status})
	if r.called(err) {
		r.events.Record(event.RolloutWritten, event.Fields{Service: o.Service, Detail: string(row.Phase) + " to " + o.To})
	}
	return err
}

// writeEnds writes how trials ended, until the store has it.
func (r *rollouts) writeEnds(ctx context.Context) {
	r.mu.Lock()
	due := make([]rollout.Standing, 0, len(r.ended))
	for _, one := range r.ended {
		due = append(due, one)
	}
	r.mu.Unlock()
	if len(due) == 0 {
		return
	}
	rows, _, err := r.plat.Conditional.Rows(ctx, r.plat.RolloutTable)
	if !r.called(err) {
		return
	}
	for _, one := range due {
		if r.writeEnd(ctx, one, find(rows, one.Order.Service)) {
			r.forget(one)
		}
	}
}

// writeEnd writes how one trial ended, and reports whether nothing is left to do: it is
// written, or another host carries the order now.
func (r *rollouts) writeEnd(ctx context.Context, one rollout.Standing, have store.Row) bool {
	row, err := rollout.DecodeRow(have.Value)
	if err != nil || row.Order != one.Order.Row || row.By != r.host || row.Over() {
		return true
	}
	row.Phase, row.Why = one.Phase, one.Why
	return r.write(ctx, one.Order, row, have.Version) == nil
}

func (r *rollouts) forget(one rollout.Standing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if have, ok := r.ended[one.Order.Service]; ok && have.Order.Row == one.Order.Row {
		delete(r.ended, one.Order.Service)
	}
}

// readWishes passes operators' wishes on while trials run.
func (r *rollouts) readWishes(ctx context.Context) {
	shortest := r.shortest()
	if shortest == 0 || time.Since(r.wished) < max(wishLeast, time.Duration(wishShare*float64(shortest))) {
		return
	}
	r.wished = time.Now()
	rows, _, err := r.plat.Conditional.Rows(ctx, r.plat.RolloutTable)
	if !r.called(err) {
		return
	}
	for _, row := range rows {
		if service, ok := rollout.WishOf(row.Key); ok {
			wish := rollout.Wish(row.Value)
			r.loop.Do(func(_ sched.Time, s *sched.Scheduler) { s.Hold(service, wish) })
		}
	}
}

// shortest is the least time that a trial which runs here was given, 0 when none does.
func (r *rollouts) shortest() (d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), rolloutPeriod)
	defer cancel()
	if len(r.carried) == 0 {
		return 0
	}
	r.loop.Query(ctx, func(s *sched.Scheduler) {
		for _, one := range s.Rollouts() {
			if running(one.Phase) && (d == 0 || one.Order.Lasts < d) {
				d = one.Order.Lasts
			}
		}
	})
	return d
}

func running(p rollout.Phase) bool {
	return p == rollout.Trying || p == rollout.Paused || p == rollout.Moving
}
