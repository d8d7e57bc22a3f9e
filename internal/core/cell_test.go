package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

// fixture is a cell with one holder and its own clock.
type fixture struct {
	cell *core.Cell
	now  core.Time
	next byte
}

const holder = ident.Incarnation(7)

func newFixture(waiting int, servers ...core.ServerSpec) *fixture {
	f := &fixture{cell: core.NewCell(0, core.DefaultPolicy())}
	f.step(core.Configure{Servers: servers, Waiting: waiting, Horizon: time.Minute})
	f.step(core.Members{Live: []ident.Incarnation{holder}})
	f.step(core.Report{Holder: holder, Stamp: 1})
	return f
}

func (f *fixture) step(ev core.Event) []core.Action { return f.cell.Step(f.now, ev, nil) }

// advance moves the clock on and sends the holder's heartbeat and a tick.
func (f *fixture) advance(d time.Duration) []core.Action {
	f.now = f.now.Add(d)
	out := f.step(core.Heartbeat{Holder: holder, Stamp: core.Stamp(f.now) + 1})
	return append(out, f.step(core.Tick{})...)
}

func (f *fixture) register(tier int, change func(*core.Request)) (ident.RequestID, []core.Action) {
	f.next++
	r := core.Request{
		ID: ident.RequestID{15: f.next}, Holder: holder, Tier: tier, PromptTokens: 100, OutputTokens: 50,
		Deadline: f.now.Add(time.Minute),
	}
	if change != nil {
		change(&r)
	}
	return r.ID, f.step(core.Register{Request: r})
}

func (f *fixture) finish(id ident.RequestID) []core.Action {
	return f.step(core.Finished{ID: id, Holder: holder, PromptTokens: 100, OutputTokens: 50, FirstToken: time.Millisecond, Total: time.Second})
}

func idsOfKind(actions []core.Action, k core.ActionKind) []ident.RequestID {
	var out []ident.RequestID
	for _, a := range actions {
		if a.Kind == k {
			out = append(out, a.ID)
		}
	}
	return out
}

var singleSlotServer = core.ServerSpec{ID: 1, Speed: 1, MaxSequences: 1, CacheTokens: 60000}

var _ = Describe("the queue of a cell", func() {
	// Bulk work fills the queue, then a request of a higher tier arrives. It must
	// not be shed while bulk work waits.
	It("sheds the lowest tier first, the newest within it", func() {
		f := newFixture(2, singleSlotServer)
		f.register(4, nil)
		older, _ := f.register(4, nil)
		newer, _ := f.register(4, nil)
		urgent, out := f.register(2, nil)
		Expect(idsOfKind(out, core.Shed)).To(Equal([]ident.RequestID{newer}))
		_, out = f.register(2, nil)
		Expect(idsOfKind(out, core.Shed)).To(Equal([]ident.RequestID{older}))
		last, out := f.register(4, nil)
		Expect(idsOfKind(out, core.Shed)).To(Equal([]ident.RequestID{last}), "no lower tier waits")
		Expect(idsOfKind(f.finish(ident.RequestID{15: 1}), core.Grant)).To(Equal([]ident.RequestID{urgent}))
	})

	// A request of tier 2 misses its deadline while tier 4 still waits. Shedding
	// only the tier 2 request would shed the higher tier first.
	It("sheds every lower tier before a late request of a higher one", func() {
		f := newFixture(100, singleSlotServer)
		f.register(2, nil)
		late, _ := f.register(2, func(r *core.Request) { r.Deadline = f.now.Add(2 * time.Second) })
		bulk, _ := f.register(4, nil)
		out := f.advance(3 * time.Second)
		Expect(idsOfKind(out, core.Shed)).To(Equal([]ident.RequestID{bulk, late}))
	})

	It("sheds a request at once that can never meet its deadline", func() {
		f := newFixture(100, singleSlotServer)
		id, out := f.register(2, func(r *core.Request) { r.Deadline = f.now.Add(time.Millisecond) })
		Expect(idsOfKind(out, core.Shed)).To(Equal([]ident.RequestID{id}))
		Expect(out[0].Reason).To(Equal(failure.Deadline))
		Expect(out[0].RetryAfter).To(BeNumerically(">", 0))
	})

	// One client account floods the queue. With first come, first served within a
	// tier, requests of other accounts would wait behind all of its requests.
	It("shares the servers fairly between client accounts by work", func() {
		f := newFixture(1000, singleSlotServer)
		f.register(3, nil)
		for range 20 {
			f.register(3, func(r *core.Request) { r.Account = 1 })
		}
		other, _ := f.register(3, func(r *core.Request) { r.Account = 2 })
		first := idsOfKind(f.finish(ident.RequestID{15: 1}), core.Grant)
		second := idsOfKind(f.finish(first[0]), core.Grant)
		Expect(append(first, second...)).To(ContainElement(other))
	})
})

var _ = Describe("placement", func() {
	// A prefix is cached at one server. If a miss cost only its compute time, the
	// request would go to a slightly less loaded server and 30,000 tokens would be
	// computed again.
	It("prefers a server that has the prefix cached", func() {
		f := newFixture(100,
			core.ServerSpec{ID: 1, Speed: 1, MaxSequences: 32, CacheTokens: 60000},
			core.ServerSpec{ID: 2, Speed: 2, MaxSequences: 32, CacheTokens: 60000})
		long := func(r *core.Request) { r.Prefix, r.PrefixTokens, r.PromptTokens = 99, 30000, 30100 }
		_, out := f.register(3, long)
		first := out[0].Server
		f.advance(2 * time.Second)
		_, out = f.register(3, long)
		Expect(out[0].Server).To(Equal(first))
	})

	It("lets a freed server pick a request whose prefix it has cached", func() {
		f := newFixture(100, singleSlotServer)
		a, _ := f.register(3, func(r *core.Request) { r.Prefix, r.PrefixTokens, r.PromptTokens = 5, 8000, 8100 })
		f.register(3, func(r *core.Request) { r.Prefix, r.PrefixTokens, r.PromptTokens = 6, 8000, 8100 })
		same, _ := f.register(3, func(r *core.Request) { r.Prefix, r.PrefixTokens, r.PromptTokens = 5, 8000, 8100 })
		Expect(idsOfKind(f.finish(a), core.Grant)).To(Equal([]ident.RequestID{same}))
	})

	// The event of an eviction arrives after a newer dispatch has computed the
	// prefix again. Applying the old event would send the next request elsewhere.
	It("ignores an eviction that is older than the last dispatch", func() {
		f := newFixture(100, core.ServerSpec{ID: 1, Speed: 1, MaxSequences: 32, CacheTokens: 60000})
		f.register(3, func(r *core.Request) { r.Prefix, r.PrefixTokens, r.PromptTokens = 99, 30000, 30100 })
		cached := func() int { return f.cell.Servers()[0].CachedTokens }
		before := cached()
		f.advance(2 * time.Second)
		f.step(core.CacheUpdate{Server: 1, Age: 5 * time.Second, Evicted: []prefix.Key{99}})
		Expect(cached()).To(Equal(before))
		f.step(core.CacheUpdate{Server: 1, Evicted: []prefix.Key{99}})
		Expect(cached()).To(Equal(before - 30000))
	})

	// A server slows down to a fifth of its speed during its answers. Without
	// progress events, it would get new work until the first answer ends.
	It("moves work away from a server that slows down", func() {
		f := newFixture(100,
			core.ServerSpec{ID: 1, Speed: 1, MaxSequences: 32, CacheTokens: 60000},
			core.ServerSpec{ID: 2, Speed: 1, MaxSequences: 32, CacheTokens: 60000})
		for range 8 {
			f.register(2, nil)
		}
		for range 4 {
			f.step(core.Progress{Server: 1, Tokens: 200, StreamTime: 5 * time.Second})
			f.step(core.Progress{Server: 2, Tokens: 1000, StreamTime: 5 * time.Second})
		}
		for range 4 {
			_, out := f.register(2, nil)
			Expect(out[0].Server).To(Equal(ident.ServerID(2)))
		}
	})
})

var _ = Describe("servers that leave or fail", func() {
	// An operator marks a server as leaving. A request granted to it after that
	// would be lost with the server.
	It("grants nothing to a leaving server and does not wait for its cache", func() {
		two := []core.ServerSpec{singleSlotServer, {ID: 2, Speed: 1, MaxSequences: 1, CacheTokens: 60000}}
		f := newFixture(100, two...)
		f.register(3, nil)
		f.register(3, nil)
		two[0].Leaving = true
		f.step(core.Configure{Servers: two, Waiting: 100, Horizon: time.Minute})
		waits, _ := f.register(3, nil)
		Expect(idsOfKind(f.finish(ident.RequestID{15: 1}), core.Grant)).To(BeEmpty())
		Expect(idsOfKind(f.finish(ident.RequestID{15: 2}), core.Grant)).To(Equal([]ident.RequestID{waits}))
	})

	It("requeues a request that its server refused and grants it to another server", func() {
		f := newFixture(100, singleSlotServer, core.ServerSpec{ID: 2, Speed: 0.5, MaxSequences: 1, CacheTokens: 60000})
		id, out := f.register(3, nil)
		Expect(out[0].Server).To(Equal(ident.ServerID(1)))
		out = f.step(core.Returned{ID: id, Holder: holder, ServerFailed: true})
		Expect(idsOfKind(out, core.Grant)).To(Equal([]ident.RequestID{id}))
		Expect(out[len(out)-1].Server).To(Equal(ident.ServerID(2)))
	})

	It("frees the slot of a dead holder's request only at its predicted end", func() {
		f := newFixture(100, singleSlotServer)
		f.register(3, nil)
		f.step(core.HolderLost{Holder: holder, Proved: true})
		const other = ident.Incarnation(8)
		f.step(core.Report{Holder: other, Stamp: 1})
		f.step(core.Register{Request: core.Request{ID: ident.RequestID{1}, Holder: other, Tier: 2, PromptTokens: 10, OutputTokens: 5, Deadline: f.now.Add(time.Minute)}})
		Expect(f.cell.Running()).To(Equal(1))
		f.now = f.now.Add(10 * time.Second)
		f.step(core.Heartbeat{Holder: other, Stamp: core.Stamp(f.now)})
		Expect(idsOfKind(f.step(core.Tick{}), core.Grant)).To(HaveLen(1))
	})
})

var _ = Describe("an id that its holder registers again", func() {
	// A host has lost its record of an id that ran, and accepts a resend of it as
	// a new request. It must learn where the answer is; otherwise it would wait
	// until it reports that nothing ran.
	It("is attached to the server on which an older attempt ran", func() {
		f := newFixture(100, singleSlotServer)
		id, _ := f.register(3, func(r *core.Request) { r.Attempt = 1 })
		f.finish(id)
		out := f.step(core.Register{Request: core.Request{ID: id, Holder: holder, Attempt: 2, Tier: 3, PromptTokens: 10, OutputTokens: 5, Deadline: f.now.Add(time.Minute)}})
		Expect(idsOfKind(out, core.Grant)).To(BeEmpty())
		Expect(idsOfKind(out, core.Attach)).To(Equal([]ident.RequestID{id}))
		Expect(out[0].Server).To(Equal(ident.ServerID(1)))
	})

	It("is not affected by a repeated message of the same attempt", func() {
		f := newFixture(100, singleSlotServer)
		id, _ := f.register(3, func(r *core.Request) { r.Attempt = 1 })
		out := f.step(core.Register{Request: core.Request{ID: id, Holder: holder, Attempt: 1, Tier: 3, PromptTokens: 10, OutputTokens: 5, Deadline: f.now.Add(time.Minute)}})
		Expect(out).To(BeEmpty())
	})
})

var _ = Describe("a holder without heartbeats", func() {
	// A host is paused while its requests wait. A grant sent to it would expire
	// before use and block the server.
	It("is granted nothing until its next heartbeat, and then on the fresh stamp", func() {
		f := newFixture(100, singleSlotServer)
		first, _ := f.register(3, nil)
		waits, _ := f.register(3, nil)
		f.now = f.now.Add(1500 * time.Millisecond)
		Expect(idsOfKind(f.finish(first), core.Grant)).To(BeEmpty())
		out := f.step(core.Heartbeat{Holder: holder, Stamp: 5000})
		Expect(idsOfKind(out, core.Grant)).To(Equal([]ident.RequestID{waits}))
		Expect(out[0].ValidUntil).To(Equal(core.Stamp(5000) + core.Stamp(core.GrantTTL)))
	})
})
