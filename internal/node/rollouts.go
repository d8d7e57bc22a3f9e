package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/rollout"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
)

const (
	// rolloutPollPeriod is how often run checks whether this host leads.
	rolloutPollPeriod = 250 * time.Millisecond
	// maxRolloutRetry is the longest delay after failed calls, so that an outage of the store
	// of a few seconds costs few calls.
	maxRolloutRetry = 2 * time.Second
	// minCommandInterval is the shortest time between two reads of operators' commands (to
	// pause, resume or roll back a rollout). commandIntervalShare is that time as a fraction of the
	// rollout's duration, so that each rollout takes a handful of calls.
	minCommandInterval   = 3 * time.Second
	commandIntervalShare = 0.15
	// rewriteWindow is how long after a restore of the store an operator may write an order again that the
	// restore took away. An equal order that comes later is a new one.
	rewriteWindow = 10 * time.Second
	// announceDelay is how long after a restore the home tells all hosts again how far orders are: by then
	// they know the orders by their new row versions.
	announceDelay = 2 * time.Second
)

// rollouts carries out the operators' rollout orders while this host is the home: it claims
// them in the store, has the scheduler run the trials, and writes the outcomes. handled,
// commandsRead, retry and notBefore belong to the goroutine of run; mu guards the fields below
// it.
type rollouts struct {
	host     string // name and incarnation of this host
	platform Platform
	loop     *dispatch.Loop
	leads    func() bool
	events   *event.Recorder
	wake     chan struct{}
	era      func() *storeEra             // of the store, nil before the first read
	announce func(steps []rollout.Status) // sends the progress of orders to all hosts

	restored     restoreCheck
	rewrite      atomic.Bool      // rows of orders are to be written again, since the store was restored
	announceAt   time.Time        // when to call announce, zero: not
	handled      map[string]int64 // by service, the row version of the order that this host handles
	commandsRead time.Time
	// retry is the delay after a failed call; it doubles with each further failure. No call is
	// made before notBefore.
	retry     time.Duration
	notBefore time.Time

	mu          sync.Mutex
	rowVersions map[string]store.Version // by key, the newest version read of a row of the operator's table
	orders      map[string]rollout.Order
	past        map[string][]rollout.Order // by service, orders that newer ones have replaced
	renumbered  map[string][]int64         // by service, earlier row versions of the order in force
	outcomes    map[string]rollout.Status  // by service, how trials ended; not yet written
}

func newRollouts(host string, platform Platform, loop *dispatch.Loop, leads func() bool, events *event.Recorder) *rollouts {
	return &rollouts{
		host: host, platform: platform, loop: loop, leads: leads, events: events, wake: make(chan struct{}, 1),
		handled: map[string]int64{}, rowVersions: map[string]store.Version{}, orders: map[string]rollout.Order{}, past: map[string][]rollout.Order{},
		renumbered: map[string][]int64{}, outcomes: map[string]rollout.Status{},
	}
}

// applyOrder applies a row of the operator's table if it is an order. After an invalid
// order, the previous one stays in force.
//
// After a restore of the store the row may be that of the order in force, from the copy or written again, and so
// not a new order; or that of an order that it has replaced.
func (r *rollouts) applyOrder(row store.Row) {
	o, ok, err := r.platform.DecodeOrder(row.Key, row.Value, int64(row.Version))
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rowVersions[row.Key] >= row.Version {
		return
	}
	r.rowVersions[row.Key] = row.Version
	if err != nil {
		r.events.Record(event.RolloutRefused, event.Fields{Service: o.Service, Detail: failure.From(err).Message})
		return
	}
	if r.isPast(o) {
		return
	}
	known, ok := r.orders[o.Service]
	r.orders[o.Service] = o
	if ok && r.isWrittenAgain(known, o) {
		r.rewrite.Store(true)
		r.renumbered[o.Service] = append(r.renumbered[o.Service], known.RowVersion)
		r.loop.Do(func(_ sched.Time, s *sched.Scheduler) { s.RenumberOrder(o) })
		return
	}
	if ok {
		past := append(r.past[o.Service], known)
		r.past[o.Service] = past[max(0, len(past)-maxPastOrders):]
	}
	delete(r.renumbered, o.Service)
	r.loop.Do(func(_ sched.Time, s *sched.Scheduler) { s.SetOrder(o) })
	r.wakeUp()
}

// maxPastOrders is the number of replaced orders of a service that are remembered.
const maxPastOrders = 8

// isPast reports whether an order is one that a newer one has replaced, from a copy of the store. The caller
// holds mu.
func (r *rollouts) isPast(o rollout.Order) bool {
	return slices.ContainsFunc(r.past[o.Service], func(p rollout.Order) bool { return isRestored(p, o) })
}

// isRestored reports whether o is a known order, in the row that it had in an earlier era.
func isRestored(known, o rollout.Order) bool {
	before, now := store.Version(known.RowVersion), store.Version(o.RowVersion)
	return known.SameContent(o) && before.Era() < now.Era() && before.Number() == now.Number()
}

// isWrittenAgain reports whether o is the order in force in its row after a restore. The caller holds mu.
func (r *rollouts) isWrittenAgain(known, o rollout.Order) bool {
	if isRestored(known, o) {
		return true
	}
	era := r.era()
	restored := era != nil && era.restored && time.Since(era.since) < rewriteWindow
	return known.SameContent(o) && restored
}

// onSteps receives the progress of the scheduler's trials. It does not block.
func (r *rollouts) onSteps(steps []rollout.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, step := range steps {
		if step.Phase == rollout.Moved || step.Phase == rollout.PhaseRolledBack {
			r.outcomes[step.Order.Service] = step
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
	tick := time.NewTicker(rolloutPollPeriod)
	defer tick.Stop()
	for {
		select {
		case <-r.wake:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if r.restored.check(r.era()) {
			r.rewrite.Store(true)
		}
		if !r.leads() {
			r.dropTrials()
			continue
		}
		if time.Now().Before(r.notBefore) {
			continue
		}
		r.rewriteOrders(ctx)
		r.claimOrders(ctx)
		r.writeOutcomes(ctx)
		r.readCommands(ctx)
	}
}

// callSucceeded reports whether a call to the store succeeded, and sets the delay before the
// next one.
func (r *rollouts) callSucceeded(err error) bool {
	if err == nil || failure.Is(err, failure.Conflict) {
		r.retry = 0
		return err == nil
	}
	r.retry = min(maxRolloutRetry, max(rolloutPollPeriod, 2*r.retry))
	r.notBefore = time.Now().Add(r.retry)
	return false
}

// dropTrials stops this host's trials, because another host leads now.
func (r *rollouts) dropTrials() {
	if len(r.handled) == 0 {
		return
	}
	clear(r.handled)
	r.mu.Lock()
	clear(r.outcomes)
	r.mu.Unlock()
	r.loop.Do(func(_ sched.Time, s *sched.Scheduler) { s.DropTrials() })
}

// unhandledOrders lists the valid orders that this host does not handle yet.
func (r *rollouts) unhandledOrders() (out []rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, o := range r.orders {
		if slices.Contains(r.renumbered[service], r.handled[service]) {
			r.handled[service] = o.RowVersion
		}
		if o.Check() == "" && r.handled[service] != o.RowVersion {
			out = append(out, o)
		}
	}
	return out
}

// claimOrders claims the orders that this host does not handle yet.
func (r *rollouts) claimOrders(ctx context.Context) {
	unhandledOrders := r.unhandledOrders()
	if len(unhandledOrders) == 0 {
		return
	}
	rows, version, storeNow, err := r.platform.Conditional.Rows(ctx, r.platform.RolloutTable)
	if !r.callSucceeded(err) {
		return
	}
	for _, o := range unhandledOrders {
		r.claimOrder(ctx, o, findRow(rows, version, o.Service), storeNow)
	}
}

// phases returns how far the orders are, by service, as far as this host's scheduler knows. ok is false if the
// scheduler did not answer.
func (r *rollouts) phases(ctx context.Context) (out map[string]rollout.Status, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, rolloutPollPeriod)
	defer cancel()
	answer := make(chan map[string]rollout.Status, 1)
	r.loop.Query(ctx, func(s *sched.Scheduler) {
		phases := map[string]rollout.Status{}
		for _, status := range s.OrderPhases() {
			phases[status.Order.Service] = status
		}
		answer <- phases
	})
	select {
	case out = <-answer:
		return out, true
	default:
		return nil, false
	}
}

// rewriteOrders writes how far orders are after a restore of the store, which may have taken that away, and later
// announces it to all hosts. The new rows also make a write fail that was on its way during the restore.
func (r *rollouts) rewriteOrders(ctx context.Context) {
	if !r.announceAt.IsZero() && time.Now().After(r.announceAt) {
		r.announceAt = time.Time{}
		if phases, ok := r.phases(ctx); ok {
			r.announce(slices.Collect(maps.Values(phases)))
		}
	}
	if !r.rewrite.CompareAndSwap(true, false) {
		return
	}
	if !r.rewriteRows(ctx) {
		r.rewrite.Store(true) // at the next poll
		return
	}
	r.announceAt = time.Now().Add(announceDelay)
}

func (r *rollouts) rewriteRows(ctx context.Context) (done bool) {
	phases, ok := r.phases(ctx)
	if !ok || len(phases) == 0 {
		return ok
	}
	rows, version, storeNow, err := r.platform.Conditional.Rows(ctx, r.platform.RolloutTable)
	if !r.callSucceeded(err) {
		return false
	}
	for service, status := range phases {
		current := findRow(rows, version, service)
		row := rollout.Row{
			Order: int64(store.Version(status.Order.RowVersion).InEra(version.Era())), To: status.Order.To, Phase: status.Phase, By: r.host,
			BegunMs: storeNow.Milliseconds(), Why: "written again after a restore of the store",
		}
		if previous, err := rollout.DecodeRow(current.Value); err == nil && r.isRowOf(previous, status.Order) {
			row.BegunMs = min(row.BegunMs, previous.BegunMs)
			if previous.Over() {
				row.Phase, row.Why = previous.Phase, previous.Why // this host may have missed its end
				r.settleOrder(status.Order, previous.Phase)
			}
		}
		if r.write(ctx, status.Order, row, current.Version) != nil {
			return false
		}
	}
	return true
}

// isRowOf reports whether a row is of an order, under the version that the order's row has now or had before a
// restore of the store.
func (r *rollouts) isRowOf(row rollout.Row, o rollout.Order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, now := store.Version(row.Order), store.Version(o.RowVersion)
	return row.To == o.To && (known == now || known.Era() < now.Era() && known.Number() == now.Number() ||
		slices.Contains(r.renumbered[o.Service], row.Order))
}

// mayBeRowOf is isRowOf for a host that doesn't know the order from before: a row of an earlier era is of the order
// if it names the same version to move to.
func mayBeRowOf(row rollout.Row, o rollout.Order) bool {
	return row.To == o.To && (row.Order == o.RowVersion || store.Version(row.Order).Era() < store.Version(o.RowVersion).Era())
}

// findRow returns the row with a key of a table that was read at a version. A row that does not exist has
// the number 0.
func findRow(rows []store.Row, version store.Version, key string) store.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return store.Row{Key: key, Version: version.Start()}
}

// claimOrder makes this host handle an order, unless the store shows that it has been carried
// out.
//
// The host that handled it before may be alive behind a network partition, and write its
// outcome late. This host writes the row again, so that the version condition of such a write
// fails.
func (r *rollouts) claimOrder(ctx context.Context, o rollout.Order, current store.Row, storeNow time.Duration) {
	row, resumed := rollout.Row{Order: o.RowVersion, To: o.To, Phase: rollout.Trying, BegunMs: storeNow.Milliseconds()}, false
	phases, _ := r.phases(ctx)
	known, isKnown := phases[o.Service]
	isKnown = isKnown && known.Order.RowVersion == o.RowVersion
	if current.Version.Number() != 0 {
		if previous, err := rollout.DecodeRow(current.Value); err == nil && (r.isRowOf(previous, o) || !isKnown && mayBeRowOf(previous, o)) {
			if previous.Over() {
				if previous.Order != o.RowVersion {
					// From now on an order to the same version is a new one.
					previous.Order, previous.By = o.RowVersion, r.host
					if r.write(ctx, o, previous, current.Version) != nil {
						return
					}
				}
				r.handled[o.Service] = o.RowVersion
				r.settleOrder(o, previous.Phase)
				return
			}
			row.BegunMs, resumed = min(row.BegunMs, previous.BegunMs), true
		}
	}
	if isKnown {
		resumed = true // the row is lost, or from before the store was restored
		if known.Phase == rollout.Moved || known.Phase == rollout.PhaseRolledBack {
			row.Phase = known.Phase
		}
	}
	row.By = r.host
	if err := r.write(ctx, o, row, current.Version); err != nil {
		return // read again at the next poll: the write may have been applied
	}
	r.handled[o.Service] = o.RowVersion
	if row.Over() {
		return
	}
	elapsed := storeNow - row.Begun()
	r.events.Record(event.RolloutOrdered, event.Fields{Service: o.Service, Detail: "to " + o.To + " within " + (o.Timeout - elapsed).String()})
	r.loop.Do(func(now sched.Time, s *sched.Scheduler) { s.StartTrial(now, o, elapsed, resumed) })
}

// settleOrder passes the final phase of an order to the scheduler.
func (r *rollouts) settleOrder(o rollout.Order, p rollout.Phase) {
	r.loop.Do(func(_ sched.Time, s *sched.Scheduler) { s.SetOrderPhase(o, p) })
}

// write updates the scheduler's own row and the status shown to operators in one commit.
func (r *rollouts) write(ctx context.Context, o rollout.Order, row rollout.Row, version store.Version) error {
	encoded, err := row.Encode()
	if err != nil {
		return err
	}
	key, status, err := r.platform.RolloutStatus(o, row.State())
	if err != nil {
		return err
	}
	err = r.platform.Conditional.Commit(ctx, store.Condition{Table: r.platform.RolloutTable, Key: o.Service, Version: version},
		store.Write{Table: r.platform.RolloutTable, Key: o.Service, Value: encoded},
		store.Write{Table: r.platform.StatusTable, Key: key, Value: status})
	if r.callSucceeded(err) {
		r.events.Record(event.RolloutWritten, event.Fields{Service: o.Service, Detail: string(row.Phase) + " to " + o.To})
	}
	return err
}

// writeOutcomes writes how trials ended. An outcome whose write failed is kept for the next call.
func (r *rollouts) writeOutcomes(ctx context.Context) {
	r.mu.Lock()
	unwritten := make([]rollout.Status, 0, len(r.outcomes))
	for _, status := range r.outcomes {
		unwritten = append(unwritten, status)
	}
	r.mu.Unlock()
	if len(unwritten) == 0 {
		return
	}
	rows, version, _, err := r.platform.Conditional.Rows(ctx, r.platform.RolloutTable)
	if !r.callSucceeded(err) {
		return
	}
	for _, status := range unwritten {
		if r.writeOutcome(ctx, status, findRow(rows, version, status.Order.Service)) {
			r.forgetOutcome(status)
		}
	}
}

// writeOutcome writes how one trial ended. It reports whether nothing is left to do: the
// outcome is written, or another host handles the order now.
func (r *rollouts) writeOutcome(ctx context.Context, status rollout.Status, current store.Row) bool {
	row, err := rollout.DecodeRow(current.Value)
	if err != nil || row.Order != status.Order.RowVersion || row.By != r.host || row.Over() {
		return true
	}
	row.Phase, row.Why = status.Phase, status.Why
	return r.write(ctx, status.Order, row, current.Version) == nil
}

func (r *rollouts) forgetOutcome(status rollout.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current, ok := r.outcomes[status.Order.Service]; ok && current.Order.RowVersion == status.Order.RowVersion {
		delete(r.outcomes, status.Order.Service)
	}
}

// readCommands passes operators' commands to the scheduler while trials run.
func (r *rollouts) readCommands(ctx context.Context) {
	shortestTrial := r.shortestTrial()
	if shortestTrial == 0 || time.Since(r.commandsRead) < max(minCommandInterval, time.Duration(commandIntervalShare*float64(shortestTrial))) {
		return
	}
	r.commandsRead = time.Now()
	rows, _, _, err := r.platform.Conditional.Rows(ctx, r.platform.RolloutTable)
	if !r.callSucceeded(err) {
		return
	}
	for _, row := range rows {
		if service, ok := rollout.ServiceOfCommandKey(row.Key); ok {
			command := rollout.Command(row.Value)
			r.loop.Do(func(_ sched.Time, s *sched.Scheduler) { s.ApplyCommand(service, command) })
		}
	}
}

// shortestTrial is the shortest duration of the trials that run here, 0 if there is none.
func (r *rollouts) shortestTrial() (d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), rolloutPollPeriod)
	defer cancel()
	if len(r.handled) == 0 {
		return 0
	}
	r.loop.Query(ctx, func(s *sched.Scheduler) {
		for _, status := range s.Rollouts() {
			if isRunning(status.Phase) && (d == 0 || status.Order.Timeout < d) {
				d = status.Order.Timeout
			}
		}
	})
	return d
}

func isRunning(p rollout.Phase) bool {
	return p == rollout.Trying || p == rollout.Paused || p == rollout.Moving
}
