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

func readTrace(name string) replay.Trace {
	f, err := os.Open(filepath.Join("..", "..", "traces", name+".jsonl"))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = f.Close() }()
	t, err := replay.Read(f)
	Expect(err).NotTo(HaveOccurred())
	return t
}

func replayDefault(t replay.Trace) replay.Result {
	return replay.Run(t, replay.Core(core.DefaultPolicy()))
}

var _ = Describe("the recorded traces", func() {
	DescribeTable("have their stated outcomes on every run", func(name string) {
		t := readTrace(name)
		first := replayDefault(t)
		Expect(first.Differences(t)).To(BeEmpty())
		Expect(replayDefault(t)).To(Equal(first))
	},
		Entry(nil, "overload-burst"), Entry(nil, "slow-server"), Entry(nil, "hot-prefix"),
		Entry(nil, "stale-load-reports"), Entry(nil, "home-loss"), Entry(nil, "flooding-account"),
	)

	// In a burst of several times the capacity, glosses (tier 2) must still be answered in time,
	// and readings (tier 4), which have the longest deadline, are shed first.
	It("protect the urgent tier in an overload burst", func() {
		r := replayDefault(readTrace("overload-burst"))
		Expect(r.Tiers[2].Goodput()).To(BeNumerically(">=", 0.99))
		Expect(r.Tiers[4].Goodput()).To(BeNumerically("<=", r.Tiers[3].Goodput()))
		Expect(r.Wasted()).To(BeNumerically("<", 0.15))
	})

	// Load reports are five seconds late and count three requests too many. A scheduler that
	// relies on them sends all requests to the same server.
	It("lose no goodput because of stale load reports", func() {
		t := readTrace("stale-load-reports")
		accurate := replay.Trace{Lines: t.Lines[1:]}
		Expect(replayDefault(t).Tiers[2].Goodput()).To(BeNumerically(">=", replayDefault(accurate).Tiers[2].Goodput()-0.005))
	})

	// The home is lost with requests waiting and running. The next home starts 1.5 seconds later
	// and must continue with them.
	It("keep their goodput when the home is lost", func() {
		for _, tier := range replayDefault(readTrace("home-loss")).Tiers {
			Expect(tier.Goodput()).To(BeNumerically(">=", 0.95))
		}
	})

	// The fastest server slows to a fifth of its speed. Its running requests take five times as
	// long. New requests must go to other servers within two seconds, long before the first slow
	// answer is complete.
	It("send fewer requests to a server that slows down", func() {
		t := readTrace("slow-server")
		const slowAt, window = 4 * time.Second, 3 * time.Second
		r, leastInFlight := replayDefault(t), replay.Run(t, replay.LeastInFlight)
		before := r.DispatchedBetween("small-03", slowAt-window, slowAt)
		after := r.DispatchedBetween("small-03", slowAt+2*time.Second, slowAt+2*time.Second+window)
		Expect(before).To(BeNumerically(">", 5))
		Expect(after).To(BeNumerically("<", before/2))
		Expect(after).To(BeNumerically("<=", leastInFlight.DispatchedBetween("small-03", slowAt+2*time.Second, slowAt+2*time.Second+window)))
		Expect(r.Tiers[2].Goodput()).To(BeNumerically(">=", 0.99))
	})

	// One client account sends twenty times its share of glosses. The glosses of other accounts
	// must not wait behind them.
	It("protect the other accounts of a tier from a flood", func() {
		r := replayDefault(readTrace("flooding-account"))
		for account, a := range r.Accounts {
			if account != 1 {
				Expect(a.Goodput()).To(BeNumerically(">=", 0.95), "account %d", account)
			}
		}
	})
})

var _ = Describe("a trace", func() {
	It("is rejected if a line is malformed", func() {
		_, err := replay.Read(strings.NewReader("{\"kind\":\"arrival\"}\n{\"kind\":"))
		Expect(err).To(MatchError(ContainSubstring("trace line 2")))
	})

	It("is the same each time it is generated", func() {
		f := replay.Qasida()
		Expect(f.Generate(10, 5*time.Second, 3, 9)).To(Equal(f.Generate(10, 5*time.Second, 3, 9)))
	})
})
