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

// table is one row of a table service with its faults.
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

// engine takes orders; hold delays the delivery of the next one until
// deliver, as a pause of the sender or the network does.
type engine struct {
	checks bool
	fence  uint64
	state  string
	hold   bool
	late   func() error
}

func (e *engine) State(context.Context) (string, error) { return e.state, nil }

func (e *engine) Order(_ context.Context, fence uint64, state string) error {
	deliver := func() error {
		if e.checks && fence < e.fence {
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
		now    time.Time
		t      *table
		events *event.Recorder
		giver  func(inc ident.Incarnation) *order.Giver
		leases map[ident.Incarnation]*lease.Lease
	)
	BeforeEach(func() {
		now, t = time.Unix(1000, 0), &table{}
		events = event.NewRecorder("a", "1", 100, log.NewNopLogger())
		leases = map[ident.Incarnation]*lease.Lease{}
		giver = func(inc ident.Incarnation) *order.Giver {
			leases[inc] = lease.New("svc", inc, t, events, func() time.Time { return now })
			return order.NewGiver("svc", leases[inc], events)
		}
	})
	wish := func(e *engine, state string) []order.Wish {
		return []order.Wish{{Server: "engine-1", State: state, Orderer: e}}
	}
	ctx := context.Background()
	// takeOver runs the rounds of a second host until it holds the lease.
	takeOver := func(g *order.Giver, e *engine, state string) {
		g.Round(ctx, wish(e, state))
		now = now.Add(lease.TTL + lease.Margin + time.Millisecond)
		g.Round(ctx, wish(e, state))
	}

	// Story: the holder is paused between its last look at the lease and the
	// order on the wire. Another host takes over and orders the new model; the
	// old order arrives after it. Cause: no check can be atomic with a send.
	It("refuses the late order of an old holder at a checking engine", func() {
		e := &engine{checks: true, hold: true}
		giver(1).Round(ctx, wish(e, "old-model"))
		takeOver(giver(2), e, "new-model")
		Expect(e.state).To(Equal("new-model"))
		Expect(failure.Is(e.late(), failure.StaleFence)).To(BeTrue())
		Expect(e.state).To(Equal("new-model"))
	})

	It("repairs an engine that ignores the number, in the next round", func() {
		e := &engine{hold: true}
		giver(1).Round(ctx, wish(e, "old-model"))
		second := giver(2)
		takeOver(second, e, "new-model")
		Expect(e.late()).To(Succeed())
		Expect(e.state).To(Equal("old-model"), "nothing can stop this")
		now = now.Add(order.Period)
		second.Round(ctx, wish(e, "new-model"))
		Expect(e.state).To(Equal("new-model"))
		Expect(events.Events(event.Filter{Server: "engine-1"})).To(ContainElement(HaveField("Code", event.OrderRepaired)))
	})

	// Story: the holder is paused for longer than its lease and wakes. It must
	// see by its own clock that the lease lapsed, before the store says so.
	It("gives no order after a pause in which the lease lapsed", func() {
		e := &engine{}
		first := giver(1)
		first.Round(ctx, wish(e, "a"))
		now = now.Add(lease.TTL)
		_, held := leases[1].Held()
		Expect(held).To(BeFalse())
		t.down = true
		first.Round(ctx, wish(e, "b"))
		Expect(e.state).To(Equal("a"))
	})

	It("counts a hold from before the call", func() {
		l := lease.New("svc", 1, &slowTable{table: t, pass: func() { now = now.Add(3 * time.Second) }}, events, func() time.Time { return now })
		_, err := l.Try(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, held := l.Held()
		Expect(held).To(BeFalse(), "the calls took longer than the lease lasts")
	})

	It("knows its own write although the answer was lost", func() {
		t.loseAnswer = true
		giver(1)
		held, err := leases[1].Try(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(BeTrue())
	})

	It("gives each holder a higher number, and itself after a lapse", func() {
		giver(1)
		giver(2)
		_, _ = leases[1].Try(ctx)
		first, _ := leases[1].Held()
		_, _ = leases[2].Try(ctx)
		now = now.Add(lease.TTL + lease.Margin + time.Millisecond)
		held, _ := leases[2].Try(ctx)
		Expect(held).To(BeTrue())
		second, _ := leases[2].Held()
		Expect(second).To(BeNumerically(">", first))
		now = now.Add(lease.TTL)
		_, _ = leases[2].Try(ctx)
		third, _ := leases[2].Held()
		Expect(third).To(BeNumerically(">", second))
	})
})

// slowTable lets time pass in each call.
type slowTable struct {
	*table
	pass func()
}

func (s *slowTable) Get(ctx context.Context, k string) (platform.Row, error) {
	s.pass()
	return s.table.Get(ctx, k)
}

func (s *slowTable) Apply(ctx context.Context, w []platform.Write) ([]platform.WriteResult, error) {
	s.pass()
	return s.table.Apply(ctx, w)
}
