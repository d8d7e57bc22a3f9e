package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("servers whose answers break", func() {
	// breakEvery runs one stream after the other for 6 s. Every n-th answer of the servers for which bad
	// returns true breaks off. It returns the streams that were served, all, and the fewest usable servers.
	breakEvery := func(n int, bad func(server string) bool) (served, all, fewest int) {
		s := newScheduler(4, 8)
		runs := map[string]int{}
		fewest = 4
		for now := Time(0); now < 6*time.Second; now += 20 * ms {
			all++
			out, _ := s.Submit(now, stream(uint64(all), now, 0))
			if len(placed(out)) == 0 {
				s.Withdraw(now, Key{Holder: 1, ID: uint64(all)})
				continue
			}
			result := OK
			server := out[0].Server
			if runs[server]++; bad(server) && runs[server]%n == 0 {
				result = Broken
			} else {
				served++
			}
			finish(s, now+10*ms, uint64(all), result)
			fewest = min(fewest, s.countUsable(now+10*ms, s.services[engine]))
		}
		return served, all, fewest
	}

	// Guards against a service without a usable server although each of its servers answers.
	It("stay in use where all of them break some", func() {
		for _, n := range []int{2, 3, 5} {
			served, all, fewest := breakEvery(n, func(string) bool { return true })
			Expect(fewest).To(BeNumerically(">=", 2), "every %d. answer breaks", n)
			Expect(float64(served)/float64(all)).To(BeNumerically(">=", 0.95*(1-1/float64(n))), "every %d. answer breaks", n)
		}
	})

	It("are avoided where the others break none", func() {
		served, all, _ := breakEvery(2, func(server string) bool { return server == "e0" })
		Expect(float64(served) / float64(all)).To(BeNumerically(">=", 0.95))
	})
})
