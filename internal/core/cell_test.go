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

// bench is a cell with one holder and a clock of its own.
type bench struct {
	cell *core.Cell
	now  core.Time
	next byte
}

const holder = ident.Incarnation(7)

func newBench(waiting int, servers ...core.ServerSpec) *bench {
	b := &bench{cell: core.NewCell(0, core.DefaultPolicy())}
	b.step(core.Configure{Servers: servers, Waiting: waiting, Horizon: time.Minute})
	b.step(core.Members{Live: []ident.Incarnation{holder}})
	b.step(core.Report{Holder: holder, Stamp: 1})
	return b
}

func (b *bench) step(ev core.Event) []core.Action { return b.cell.Step(b.now, ev, nil) }

// pass lets time go by with the holder's heartbeat.
func (b *bench) pass(d time.Duration) []core.Action {
	b.now = b.now.Add(d)
	out := b.step(core.Heard{Holder: holder, Stamp: core.Stamp(b.now) + 1})
	return append(out, b.step(core.Tick{})...)
}

func (b *bench) ask(tier int, change func(*core.Request)) (ident.RequestID, []core.Action) {
	b.next++
	r := core.Request{
		ID: ident.RequestID{15: b.next}, Holder: holder, Tier: tier, PromptTokens: 100, OutputTokens: 50,
		Deadline: b.now.Add(time.Minute),
	}
	if change != nil {
		change(&r)
	}
	return r.ID, b.step(core.Register{Request: r})
}

func (b *bench) done(id ident.RequestID) []core.Action {
	return b.step(core.Finished{ID: id, Holder: holder, PromptTokens: 100, OutputTokens: 50, FirstToken: time.Millisecond, Total: time.Second})
}

func kinds(actions []core.Action, k core.ActionKind) []ident.RequestID {
	var out []ident.RequestID
	for _, a := range actions {
		if a.Kind == k {
			out = append(out, a.ID)
		}
	}
	return out
}

var one = core.ServerSpec{ID: 1, Speed: 1, MaxSequences: 1, CacheTokens: 60000}

var _ = Describe("the queue of a cell", func() {
	// Story: a burst fills the queue with bulk work; then a caller at a locker
	// asks. It must not be turned away while bulk waits.
	It("sheds the lowest tier first, the newest within it", func() {
		b := newBench(2, one)
		b.ask(4, nil)
		older, _ := b.ask(4, nil)
		newer, _ := b.ask(4, nil)
		urgent, out := b.ask(2, nil)
		Expect(kinds(out, core.Shed)).To(Equal([]ident.RequestID{newer}))
		_, out = b.ask(2, nil)
		Expect(kinds(out, core.Shed)).To(Equal([]ident.RequestID{older}))
		last, out := b.ask(4, nil)
		Expect(kinds(out, core.Shed)).To(Equal([]ident.RequestID{last}), "nothing lower than itself waits")
		Expect(kinds(b.done(ident.RequestID{15: 1}), core.Grant)).To(Equal([]ident.RequestID{urgent}))
	})

	// Story: a request of tier 2 can no longer be answered in time while tier
	// 4 still waits. Turning only tier 2 away would shed the higher tier first.
	It("sheds every lower tier before a late request of a higher one", func() {
		b := newBench(100, one)
		b.ask(2, nil)
		late, _ := b.ask(2, func(r *core.Request) { r.Deadline = b.now.Add(2 * time.Second) })
		bulk, _ := b.ask(4, nil)
		out := b.pass(3 * time.Second)
		Expect(kinds(out, core.Shed)).To(Equal([]ident.RequestID{bulk, late}))
	})

	It("tells a request that can never be in time at once", func() {
		b := newBench(100, one)
		id, out := b.ask(2, func(r *core.Request) { r.Deadline = b.now.Add(time.Millisecond) })
		Expect(kinds(out, core.Shed)).To(Equal([]ident.RequestID{id}))
		Expect(out[0].Reason).To(Equal(failure.Deadline))
		Expect(out[0].RetryAfter).To(BeNumerically(">", 0))
	})

	// Story: one client account floods; the others' callers would wait behind
	// its whole queue. Cause: first come, first served within a tier.
	It("is fair between client accounts by work", func() {
		b := newBench(1000, one)
		b.ask(3, nil)
		for range 20 {
			b.ask(3, func(r *core.Request) { r.Account = 1 })
		}
		other, _ := b.ask(3, func(r *core.Request) { r.Account = 2 })
		first := kinds(b.done(ident.RequestID{15: 1}), core.Grant)
		second := kinds(b.done(first[0]), core.Grant)
		Expect(append(first, second...)).To(ContainElement(other))
	})
})

var _ = Describe("placement", func() {
	// Story: a manuscript's prefix sits in one server's cache; the request
	// goes to another one that looks a little freer, and 30,000 tokens are
	// computed again. Cause: a miss priced at its bare compute.
	It("prefers the holder of the prefix", func() {
		b := newBench(100,
			core.ServerSpec{ID: 1, Speed: 1, MaxSequences: 32, CacheTokens: 60000},
			core.ServerSpec{ID: 2, Speed: 2, MaxSequences: 32, CacheTokens: 60000})
		long := func(r *core.Request) { r.Prefix, r.PrefixTokens, r.PromptTokens = 99, 30000, 30100 }
		_, out := b.ask(3, long)
		first := out[0].Server
		b.pass(2 * time.Second)
		_, out = b.ask(3, long)
		Expect(out[0].Server).To(Equal(first))
	})

	It("lets a freed server pick a request whose prefix it holds", func() {
		b := newBench(100, one)
		a, _ := b.ask(3, func(r *core.Request) { r.Prefix, r.PrefixTokens, r.PromptTokens = 5, 8000, 8100 })
		b.ask(3, func(r *core.Request) { r.Prefix, r.PrefixTokens, r.PromptTokens = 6, 8000, 8100 })
		same, _ := b.ask(3, func(r *core.Request) { r.Prefix, r.PrefixTokens, r.PromptTokens = 5, 8000, 8100 })
		Expect(kinds(b.done(a), core.Grant)).To(Equal([]ident.RequestID{same}))
	})

	// Story: the engine evicted a prefix and the event came a second late,
	// after a newer dispatch had computed it again. Believing the old event
	// would send the next request elsewhere.
	It("ignores an eviction that is older than the last dispatch", func() {
		b := newBench(100, core.ServerSpec{ID: 1, Speed: 1, MaxSequences: 32, CacheTokens: 60000})
		b.ask(3, func(r *core.Request) { r.Prefix, r.PrefixTokens, r.PromptTokens = 99, 30000, 30100 })
		cached := func() int { return b.cell.Servers()[0].CachedTokens }
		before := cached()
		b.pass(2 * time.Second)
		b.step(core.CacheUpdate{Server: 1, Age: 5 * time.Second, Evicted: []prefix.Key{99}})
		Expect(cached()).To(Equal(before))
		b.step(core.CacheUpdate{Server: 1, Evicted: []prefix.Key{99}})
		Expect(cached()).To(Equal(before - 30000))
	})

	// Story: a server slows to a fifth in the middle of its answers; until
	// the first of them is whole, new work kept going there.
	It("moves work away from a server that slows down", func() {
		b := newBench(100,
			core.ServerSpec{ID: 1, Speed: 1, MaxSequences: 32, CacheTokens: 60000},
			core.ServerSpec{ID: 2, Speed: 1, MaxSequences: 32, CacheTokens: 60000})
		for range 8 {
			b.ask(2, nil)
		}
		for range 4 {
			b.step(core.Progress{Server: 1, Tokens: 200, SeqTime: 5 * time.Second})
			b.step(core.Progress{Server: 2, Tokens: 1000, SeqTime: 5 * time.Second})
		}
		for range 4 {
			_, out := b.ask(2, nil)
			Expect(out[0].Server).To(Equal(ident.ServerID(2)))
		}
	})
})

var _ = Describe("servers that leave or fail", func() {
	// Story: an operator marks a server as leaving; a waiting request was
	// granted to it seconds later and was lost with it.
	It("grants nothing to a leaving server and does not wait for its cache", func() {
		two := []core.ServerSpec{one, {ID: 2, Speed: 1, MaxSequences: 1, CacheTokens: 60000}}
		b := newBench(100, two...)
		b.ask(3, nil)
		b.ask(3, nil)
		two[0].Leaving = true
		b.step(core.Configure{Servers: two, Waiting: 100, Horizon: time.Minute})
		waits, _ := b.ask(3, nil)
		Expect(kinds(b.done(ident.RequestID{15: 1}), core.Grant)).To(BeEmpty())
		Expect(kinds(b.done(ident.RequestID{15: 2}), core.Grant)).To(Equal([]ident.RequestID{waits}))
	})

	It("puts a request back that its server refused, and another server takes it", func() {
		b := newBench(100, one, core.ServerSpec{ID: 2, Speed: 0.5, MaxSequences: 1, CacheTokens: 60000})
		id, out := b.ask(3, nil)
		Expect(out[0].Server).To(Equal(ident.ServerID(1)))
		out = b.step(core.Returned{ID: id, Holder: holder, ServerFailed: true})
		Expect(kinds(out, core.Grant)).To(Equal([]ident.RequestID{id}))
		Expect(out[len(out)-1].Server).To(Equal(ident.ServerID(2)))
	})

	It("frees the place of a dead holder's request only at its predicted end", func() {
		b := newBench(100, one)
		b.ask(3, nil)
		b.step(core.Gone{Holder: holder, Proved: true})
		const other = ident.Incarnation(8)
		b.step(core.Report{Holder: other, Stamp: 1})
		b.step(core.Register{Request: core.Request{ID: ident.RequestID{1}, Holder: other, Tier: 2, PromptTokens: 10, OutputTokens: 5, Deadline: b.now.Add(time.Minute)}})
		Expect(b.cell.Running()).To(Equal(1))
		b.now = b.now.Add(10 * time.Second)
		b.step(core.Heard{Holder: other, Stamp: core.Stamp(b.now)})
		Expect(kinds(b.step(core.Tick{}), core.Grant)).To(HaveLen(1))
	})
})

var _ = Describe("an id that its holder registers again", func() {
	// Story: a host no longer has its record of an id that ran, and takes a
	// resend of it as new. It must be told where the answer is, not be left
	// waiting until it says that nothing ran.
	It("is pointed to the server that had it when it ran under an older attempt", func() {
		b := newBench(100, one)
		id, _ := b.ask(3, func(r *core.Request) { r.Attempt = 1 })
		b.done(id)
		out := b.step(core.Register{Request: core.Request{ID: id, Holder: holder, Attempt: 2, Tier: 3, PromptTokens: 10, OutputTokens: 5, Deadline: b.now.Add(time.Minute)}})
		Expect(kinds(out, core.Grant)).To(BeEmpty())
		Expect(kinds(out, core.Attach)).To(Equal([]ident.RequestID{id}))
		Expect(out[0].Server).To(Equal(ident.ServerID(1)))
	})

	It("is not disturbed by a repeated message of the same attempt", func() {
		b := newBench(100, one)
		id, _ := b.ask(3, func(r *core.Request) { r.Attempt = 1 })
		out := b.step(core.Register{Request: core.Request{ID: id, Holder: holder, Attempt: 1, Tier: 3, PromptTokens: 10, OutputTokens: 5, Deadline: b.now.Add(time.Minute)}})
		Expect(out).To(BeEmpty())
	})
})

var _ = Describe("a holder that falls silent", func() {
	// Story: a host is paused with requests waiting. A grant sent now would
	// have run out before it could be used, and would block the server.
	It("is granted nothing until it is heard again, on a fresh stamp", func() {
		b := newBench(100, one)
		first, _ := b.ask(3, nil)
		waits, _ := b.ask(3, nil)
		b.now = b.now.Add(1500 * time.Millisecond)
		Expect(kinds(b.done(first), core.Grant)).To(BeEmpty())
		out := b.step(core.Heard{Holder: holder, Stamp: 5000})
		Expect(kinds(out, core.Grant)).To(Equal([]ident.RequestID{waits}))
		Expect(out[0].ValidUntil).To(Equal(core.Stamp(5000) + core.Stamp(core.GrantTTL)))
	})
})
