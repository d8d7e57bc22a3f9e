package history_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/history"
)

func TestHistory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "history")
}

// validHistory returns a history without violations: two answered requests, one that
// was shed, a configuration, a drain and an order.
func validHistory() []history.Event {
	ms := func(n int64) int64 { return n * int64(time.Millisecond) }
	return []history.Event{
		{At: ms(0), Kind: history.Accepted, Source: "op", Version: 1},
		{At: ms(100), Kind: history.InForce, Source: "a", Version: 1},
		{At: ms(200), Kind: history.Asked, Source: "c", ID: "x", Service: "s", Tier: 2, Attempt: 1},
		{At: ms(210), Kind: history.Asked, Source: "c", ID: "y", Service: "s", Tier: 4, Attempt: 1},
		{At: ms(220), Kind: history.Started, Source: "e1", Server: "e1", ID: "x"},
		{At: ms(150), Kind: history.Asked, Source: "c", ID: "low", Service: "s", Tier: 4, Attempt: 1},
		{At: ms(800), Kind: history.Started, Source: "e1", Server: "e1", ID: "low"},
		{At: ms(890), Kind: history.Made, Source: "e1", Server: "e1", ID: "low", Bytes: 5, Sum: "cc"},
		{At: ms(895), Kind: history.Told, Source: "c", ID: "low", Service: "s", Tier: 4, Outcome: failure.Answered, Bytes: 5, Sum: "cc"},
		{At: ms(900), Kind: history.Told, Source: "c", ID: "y", Service: "s", Tier: 4, Outcome: failure.NotRun, Reason: failure.Overload},
		{At: ms(950), Kind: history.Made, Source: "e1", Server: "e1", ID: "x", Bytes: 10, Sum: "aa"},
		{At: ms(960), Kind: history.Told, Source: "c", ID: "x", Service: "s", Tier: 2, Outcome: failure.Answered, Bytes: 10, Sum: "aa"},
		{At: ms(1000), Kind: history.Leaves, Source: "op", Server: "e1"},
		{At: ms(1000), Kind: history.Draining, Source: "a"},
		{At: ms(1100), Kind: history.Ordered, Source: "e1", Server: "e1", Fence: 2},
	}
}

var _ = Describe("the checker", func() {
	It("finds no violation in a valid history", func() {
		Expect(history.Check(validHistory())).To(BeEmpty())
	})

	DescribeTable("finds the event that breaks a guarantee",
		func(p history.Promise, e history.Event) {
			var broken []history.Promise
			for _, v := range history.Check(append(validHistory(), e)) {
				broken = append(broken, v.Promise)
			}
			Expect(broken).To(ContainElement(p))
		},
		Entry("second start", history.AtMostOnce, history.Event{At: 3e8, Kind: history.Started, Source: "e2", Server: "e2", ID: "x"}),
		Entry("no outcome", history.OneFinalWord, history.Event{At: 3e8, Kind: history.Asked, Source: "c", ID: "z", Service: "s", Tier: 2}),
		Entry("two outcomes", history.OneFinalWord, history.Event{At: 97e7, Kind: history.Told, Source: "c", ID: "x", Outcome: failure.Unknown}),
		Entry("answer of another request", history.WholeAnswer, history.Event{At: 97e7, Kind: history.Told, Source: "c", ID: "x", Outcome: failure.Answered, Bytes: 10, Sum: "bb"}),
		Entry("incomplete answer", history.WholeAnswer, history.Event{At: 97e7, Kind: history.Told, Source: "c", ID: "x", Outcome: failure.Answered, Bytes: 5, Sum: "aa"}),
		Entry("start after not run", history.NotRunIsTrue, history.Event{At: 92e7, Kind: history.Started, Source: "e1", Server: "e1", ID: "y"}),
		Entry("start before not run", history.NotRunIsTrue, history.Event{At: 5e8, Kind: history.Started, Source: "e1", Server: "e1", ID: "y"}),
		Entry("higher tier shed", history.LowerTierFirst, history.Event{At: 4e8, Kind: history.Told, Source: "c", ID: "u", Service: "s", Tier: 1, Outcome: failure.NotRun, Reason: failure.Overload}),
		Entry("new request for a leaving server", history.LeavingServer, history.Event{At: 41e8, Kind: history.Started, Source: "e1", Server: "e1", ID: "w"}),
		Entry("unknown outcome in a drain", history.CleanDrain, history.Event{At: 12e8, Kind: history.Told, Source: "c", ID: "v", Outcome: failure.Unknown}),
		Entry("older configuration version", history.ConfigForward, history.Event{At: 2e8, Kind: history.InForce, Source: "a", Version: 0}),
		Entry("host with an outdated configuration", history.ConfigInTime, history.Event{At: 7e9, Kind: history.InForce, Source: "b", Version: 0}),
		Entry("order with an old fencing token", history.FenceForward, history.Event{At: 2e9, Kind: history.Ordered, Source: "e1", Server: "e1", Fence: 1}),
	)

	It("allows a start after not run if the caller sent another attempt in between", func() {
		again := append(validHistory(),
			history.Event{At: 91e7, Kind: history.Asked, Source: "c", ID: "y", Service: "s", Tier: 4, Attempt: 2},
			history.Event{At: 92e7, Kind: history.Started, Source: "e1", Server: "e1", ID: "y"},
			history.Event{At: 93e7, Kind: history.Told, Source: "c", ID: "y", Service: "s", Tier: 4, Outcome: failure.Unknown},
		)
		for _, v := range history.Check(again) {
			Expect(v.Promise).NotTo(Equal(history.NotRunIsTrue))
		}
	})
})

var _ = Describe("linearizability", func() {
	It("accepts a register changed by compare-and-set", func() {
		Expect(history.RegisterLinearizable([]history.RegisterOp{
			{Client: 0, Call: 0, Return: 10, BaseVersion: 0, Accepted: true},
			{Client: 1, Call: 5, Return: 15, BaseVersion: 0, Accepted: false},
			{Client: 1, Call: 20, Return: 30, BaseVersion: 1, Accepted: true},
			{Client: 2, Call: 31, Return: 32, Read: true, ReadVersion: 2},
		})).To(BeTrue())
	})
	DescribeTable("refuses",
		func(ops ...history.RegisterOp) { Expect(history.RegisterLinearizable(ops)).To(BeFalse()) },
		Entry("two accepted changes based on one version",
			history.RegisterOp{Client: 0, Call: 0, Return: 10, BaseVersion: 0, Accepted: true},
			history.RegisterOp{Client: 1, Call: 5, Return: 15, BaseVersion: 0, Accepted: true}),
		Entry("read of an older version",
			history.RegisterOp{Client: 0, Call: 0, Return: 10, BaseVersion: 0, Accepted: true},
			history.RegisterOp{Client: 2, Call: 20, Return: 30, Read: true, ReadVersion: 0}),
	)
	It("accepts one winner of a claim and rejects two", func() {
		winner := history.ClaimOp{Client: 0, Call: 0, Return: 10, Key: "k", Token: "a", Won: true}
		second := history.ClaimOp{Client: 1, Call: 5, Return: 15, Key: "k", Token: "b"}
		Expect(history.ClaimsLinearizable([]history.ClaimOp{winner, second})).To(BeTrue())
		second.Won = true
		Expect(history.ClaimsLinearizable([]history.ClaimOp{winner, second})).To(BeFalse())
	})
})
