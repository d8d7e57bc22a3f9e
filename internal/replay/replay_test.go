package replay_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/replay"
)

func TestReplay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replay")
}

func load(name string) replay.Trace {
	f, err := os.Open(filepath.Join("..", "..", "traces", name+".jsonl"))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = f.Close() }()
	t, err := replay.Read(f)
	Expect(err).NotTo(HaveOccurred())
	return t
}

func ours(t replay.Trace) replay.Result { return replay.Run(t, replay.Core(core.DefaultPolicy())) }

var _ = Describe("the recorded traces", func() {
	DescribeTable("have their stated outcomes, the same on every run", func(name string) {
		t := load(name)
		first := ours(t)
		Expect(first.Differences(t)).To(BeEmpty())
		Expect(ours(t)).To(Equal(first))
	},
		Entry(nil, "overload-burst"), Entry(nil, "slow-server"), Entry(nil, "hot-prefix"),
		Entry(nil, "stale-load-reports"), Entry(nil, "home-loss"), Entry(nil, "flooding-account"),
	)

	// Story: a burst of several times the capacity; glosses must still be
	// answered in time, and readings, which wait longest, are shed first.
	It("keep the urgent tier in an overload burst", func() {
		r := ours(load("overload-burst"))
		Expect(r.Tiers[2].Goodput()).To(BeNumerically(">=", 0.99))
		Expect(r.Tiers[4].Goodput()).To(BeNumerically("<=", r.Tiers[3].Goodput()))
		Expect(r.Wasted()).To(BeNumerically("<", 0.15))
	})

	// Story: reports come five seconds late and count three requests too
	// many; a scheduler that believes them sends everyone to the same server.
	It("lose nothing by stale load reports", func() {
		t := load("stale-load-reports")
		sound := replay.Trace{Lines: t.Lines[1:]}
		Expect(ours(t).Tiers[2].Goodput()).To(BeNumerically(">=", ours(sound).Tiers[2].Goodput()-0.005))
	})

	// Story: the home dies with requests waiting and running; the next one
	// opens a second and a half later and everything goes on.
	It("lose no request with the home", func() {
		for _, tier := range ours(load("home-loss")).Tiers {
			Expect(tier.Goodput()).To(BeNumerically(">=", 0.95))
		}
	})

	// Story: the fastest server slows to a fifth in the middle of its work.
	// What is in it takes five times as long; new work must go elsewhere
	// within two seconds, long before the first slow answer is whole.
	It("move away from a server that slows down", func() {
		t := load("slow-server")
		const slowAt, span = 4 * time.Second, 3 * time.Second
		r, naive := ours(t), replay.Run(t, replay.LeastInFlight)
		before := r.DispatchedBetween("small-03", slowAt-span, slowAt)
		after := r.DispatchedBetween("small-03", slowAt+2*time.Second, slowAt+2*time.Second+span)
		Expect(before).To(BeNumerically(">", 5))
		Expect(after).To(BeNumerically("<", before/2))
		Expect(after).To(BeNumerically("<=", naive.DispatchedBetween("small-03", slowAt+2*time.Second, slowAt+2*time.Second+span)))
		Expect(r.Tiers[2].Goodput()).To(BeNumerically(">=", 0.99))
	})

	// Story: one client account sends twenty times its share of glosses; the
	// glosses of the others must not wait behind them.
	It("shield the other accounts of a tier from a flood", func() {
		r := ours(load("flooding-account"))
		for account, a := range r.Accounts {
			if account != 1 {
				Expect(a.Goodput()).To(BeNumerically(">=", 0.95), "account %d", account)
			}
		}
	})
})

var _ = Describe("a trace", func() {
	It("is refused when a line is damaged", func() {
		_, err := replay.Read(strings.NewReader("{\"kind\":\"arrival\"}\n{\"kind\":"))
		Expect(err).To(MatchError(ContainSubstring("trace line 2")))
	})

	It("does not change when it is generated again", func() {
		f := replay.Qasida()
		Expect(f.Generate(10, 5*time.Second, 3, 9)).To(Equal(f.Generate(10, 5*time.Second, 3, 9)))
	})
})
