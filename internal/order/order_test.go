package order_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/lease"
	"github.com/gentianflow/gentianflow/internal/order"
	"github.com/gentianflow/gentianflow/internal/platform"
)

func TestOrder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "order")
}

// table is one row of a table service with injected faults.
type table struct {
	row        platform.Row
	loseAnswer bool
	down       bool
}

func (t *table) Get(context.Context, string) (platform.Row, error) {
	if t.down {
		return platform.Row{}, failure.New(failure.StoreDown, "down")
	}
	return t.row, nil
}

func (t *table) Apply(_ context.Context, w []platform.Write) ([]platform.WriteResult, error) {
	if t.down {
		return nil, failure.New(failure.StoreDown, "down")
	}
	done := t.row.Version == w[0].IfVersion
	if done {
		t.row = platform.Row{Value: w[0].Value, Version: t.row.Version + 1}
	}
	if t.loseAnswer {
		t.loseAnswer = false
		return nil, failure.New(failure.StoreDown, "answer lost")
	}
	return []platform.WriteResult{{Done: done, Row: t.row}}, nil
}

// engine is a backend server that accepts orders. If hold is set, the next order is delivered
// only when late is called, as after a pause of the sender or in a slow network.
type engine struct {
	checksFence bool
	fence       uint64
	state       string
	hold        bool
	late        func() error
}

func (e *engine) State(context.Context) (string, error) { return e.state, nil }

func (e *engine) Order(_ context.Context, fence uint64, state string) error {
	deliver := func() error {
		if e.checksFence && fence < e.fence {
			return failure.New(failure.StaleFence, "old")
		}
		e.fence, e.state = max(e.fence, fence), state
		return nil
	}
	if e.hold {
		e.hold, e.late = false, deliver
		return nil
	}
	return deliver()
}

var _ = Describe("orders under a lease", func() {
	var (
		now           time.Time
		t             *table
		events        *event.Recorder
		newReconciler func(incarnation ident.Incarnation) *order.Reconciler
		leases        map[ident.Incarnation]*lease.Lease
	)
	BeforeEach(func() {
		now, t = time.Unix(1000, 0), &table{}
		events = event.NewRecorder("a", "1", 100, log.NewNopLogger())
		leases = map[ident.Incarnation]*lease.Lease{}
		newReconciler = func(incarnation ident.Incarnation) *order.Reconciler {
			leases[incarnation] = lease.New("svc", incarnation, t, events, func() time.Time { return now })
			return order.NewReconciler("svc", leases[incarnation], events)
		}
	})
	desiredState := func(e *engine, state string) []order.DesiredState {
		return []order.DesiredState{{Server: "engine-1", State: state, ServerClient: e}}
	}
	ctx := context.Background()
	// takeOver runs rounds of a second host until it holds the lease.
	takeOver := func(r *order.Reconciler, e *engine, state string) {
		r.Reconcile(ctx, desiredState(e, state))
		now = now.Add(lease.TTL + lease.TakeoverMargin + time.Millisecond)
		r.Reconcile(ctx, desiredState(e, state))
	}

	// The holder is paused between its last check of the lease and the sending of the order,
	// which can't be atomic. Another host takes over and orders the new model, and the old
	// order arrives afterwards.
	It("refuses a delayed order of an old holder at an engine that checks the fencing number", func() {
		e := &engine{checksFence: true, hold: true}
		newReconciler(1).Reconcile(ctx, desiredState(e, "old-model"))
		takeOver(newReconciler(2), e, "new-model")
		Expect(e.state).To(Equal("new-model"))
		Expect(failure.Is(e.late(), failure.StaleFence)).To(BeTrue())
		Expect(e.state).To(Equal("new-model"))
	})

	It("repairs an engine that ignores the fencing number in the next round", func() {
		e := &engine{hold: true}
		newReconciler(1).Reconcile(ctx, desiredState(e, "old-model"))
		second := newReconciler(2)
		takeOver(second, e, "new-model")
		Expect(e.late()).To(Succeed())
		Expect(e.state).To(Equal("old-model"), "an engine that ignores the number accepts the delayed order")
		now = now.Add(order.ReconcilePeriod)
		second.Reconcile(ctx, desiredState(e, "new-model"))
		Expect(e.state).To(Equal("new-model"))
		Expect(events.Events(event.Filter{Server: "engine-1"})).To(ContainElement(HaveField("Code", event.OrderRepaired)))
	})

	// The holder is paused for longer than its lease. When it resumes it must see by its own
	// clock that the lease has expired, before the store reports it.
	It("sends no order after a pause in which the lease expired", func() {
		e := &engine{}
		first := newReconciler(1)
		first.Reconcile(ctx, desiredState(e, "a"))
		now = now.Add(lease.TTL)
		_, held := leases[1].Held()
		Expect(held).To(BeFalse())
		t.down = true
		first.Reconcile(ctx, desiredState(e, "b"))
		Expect(e.state).To(Equal("a"))
	})

	It("counts the lease time from before the call", func() {
		l := lease.New("svc", 1, &slowTable{table: t, advance: func() { now = now.Add(3 * time.Second) }}, events, func() time.Time { return now })
		_, err := l.AcquireOrRenew(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, held := l.Held()
		Expect(held).To(BeFalse(), "the calls took longer than the lease lasts")
	})

	It("recognizes its own write after the answer was lost", func() {
		t.loseAnswer = true
		newReconciler(1)
		held, err := leases[1].AcquireOrRenew(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(BeTrue())
	})

	It("gives a higher number to each new holder, and to the same holder after expiry", func() {
		newReconciler(1)
		newReconciler(2)
		_, _ = leases[1].AcquireOrRenew(ctx)
		first, _ := leases[1].Held()
		_, _ = leases[2].AcquireOrRenew(ctx)
		now = now.Add(lease.TTL + lease.TakeoverMargin + time.Millisecond)
		held, _ := leases[2].AcquireOrRenew(ctx)
		Expect(held).To(BeTrue())
		second, _ := leases[2].Held()
		Expect(second).To(BeNumerically(">", first))
		now = now.Add(lease.TTL)
		_, _ = leases[2].AcquireOrRenew(ctx)
		third, _ := leases[2].Held()
		Expect(third).To(BeNumerically(">", second))
	})
})

// slowTable advances the clock in each call.
type slowTable struct {
	*table
	advance func()
}

func (s *slowTable) Get(ctx context.Context, k string) (platform.Row, error) {
	s.advance()
	return s.table.Get(ctx, k)
}

func (s *slowTable) Apply(ctx context.Context, w []platform.Write) ([]platform.WriteResult, error) {
	s.advance()
	return s.table.Apply(ctx, w)
}
