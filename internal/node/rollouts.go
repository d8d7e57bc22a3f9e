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

	handled      map[string]int64 // by service, the row version of the order that this host handles
	commandsRead time.Time
	// retry is the delay after a failed call; it doubles with each further failure. No call is
	// made before notBefore.
	retry     time.Duration
	notBefore time.Time

	mu          sync.Mutex
	rowVersions map[string]store.Version // by key, the newest version read of a row of the operator's table
	orders      map[string]rollout.Order
	outcomes    map[string]rollout.Status // by service, how trials ended; not yet written
}

func newRollouts(host string, platform Platform, loop *dispatch.Loop, leads func() bool, events *event.Recorder) *rollouts {
	return &rollouts{
		host: host, platform: platform, loop: loop, leads: leads, events: events, wake: make(chan struct{}, 1),
		handled: map[string]int64{}, rowVersions: map[string]store.Version{}, orders: map[string]rollout.Order{}, outcomes: map[string]rollout.Status{},
	}
}

// applyOrder applies a row of the operator's table if it is an order. After an invalid
// order, the previous one stays in force.
func (r *rollouts) applyOrder(row store.Row) {
	o, ok, err := r.platform.DecodeOrder(row.Key, row.Value, row.Version.Number())
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
	r.orders[o.Service] = o
	r.loop.Do(func(_ sched.Time, s *sched.Scheduler) { s.SetOrder(o) })
	r.wakeUp()
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
		if !r.leads() {
			r.dropTrials()
			continue
		}
		if time.Now().Before(r.notBefore) {
			continue
		}
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
	if current.Version.Number() != 0 {
		if previous, err := rollout.DecodeRow(current.Value); err == nil && previous.Order == o.RowVersion {
			if previous.Over() {
				r.handled[o.Service] = o.RowVersion
				r.settleOrder(o, previous.Phase)
				return
			}
			row.BegunMs, resumed = previous.BegunMs, true
		}
	}
	row.By = r.host
	if err := r.write(ctx, o, row, current.Version); err != nil {
		return // read again at the next poll: the write may have been applied
	}
	r.handled[o.Service] = o.RowVersion
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
