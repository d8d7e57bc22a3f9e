package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("quotas of a host that schedules alone", func() {
	// All hosts are killed and restart. For the half second until they have a home each has a 72nd of
	// every quota, less than one request needs. Callers far below their limits were refused as over their
	// quota, and told to retry after the ten seconds in which a 72nd refills.
	hostWithoutHome := func() *Scheduler {
		s := newScheduler(1, 8)
		s.SetAccounts(0, []Account{{Name: "acc", Rate: 30_000, Burst: 30_000}})
		s.SetShare(0, Share{Servers: 1, Quotas: 0.01})
		return s
	}

	It("let a request wait for the home", func() {
		s := hostWithoutHome()
		s.Submit(0, stream(1, 0, 0)) // more than the whole bucket; it leaves a debt
		Expect(placed(s.Tick(600 * ms))).To(Equal([]uint64{1}))
		out, waits := s.Submit(610*ms, stream(2, 610*ms, 0))
		Expect(out).To(BeEmpty())
		Expect(waits).To(BeTrue())
		Expect(s.Tick(700 * ms)).To(BeEmpty())
		s.SetShare(710*ms, Share{Servers: 1, Quotas: 1})
		Expect(placed(s.Tick(800 * ms))).To(Equal([]uint64{2}))
	})

	It("refuse it after the maximum wait, with a short retry delay", func() {
		s := hostWithoutHome()
		s.Submit(0, stream(1, 0, 0))
		s.Submit(0, stream(2, 0, 0))
		out := s.Tick(2500 * ms) // 0.3 of its 8 s
		Expect(refused(out)).To(Equal(map[uint64]Reason{2: Quota}))
		Expect(out[0].RetryAfter).To(BeNumerically("<", 2*time.Second))
	})
})

var _ = Describe("a home that follows others closely", func() {
	// Guards against homes that are killed one after the other and each give out half of an account's burst and
	// of a service's retry budget.
	It("has nothing left of the bursts, and what accrues from then on", func() {
		const rate = 30_000
		s := newScheduler(1, 1000)
		s.SetShare(0, Share{Servers: 1, Quotas: 0.1})
		s.SetAccounts(0, []Account{{Name: "acc", Rate: rate, Burst: rate}})
		s.SetShare(10*time.Second, Share{Servers: 1, Quotas: 1, BurstsSpent: true})
		r := stream(1, 10*time.Second, 0)
		out, _ := s.Submit(10*time.Second, r)
		Expect(out).To(BeEmpty())
		Expect(placed(s.Tick(10*time.Second+40*ms))).To(Equal([]uint64{1}), "1,060 units are there after 36 ms")
		retry := stream(2, 10*time.Second, 0)
		retry.Account, retry.Retry = "", true
		out, _ = s.Submit(10*time.Second, retry)
		Expect(placed(out)).To(BeEmpty())
	})

	It("keeps what has accrued when its share grows", func() {
		const rate = 30_000
		s := newScheduler(1, 1000)
		s.SetShare(0, Share{Servers: 1, Quotas: 0.7, BurstsSpent: true})
		s.SetAccounts(0, []Account{{Name: "acc", Rate: rate, Burst: rate}})
		s.SetShare(500*ms, Share{Servers: 1, Quotas: 1, BurstsSpent: true})
		out, _ := s.Submit(500*ms, stream(1, 500*ms, 0))
		Expect(placed(out)).To(Equal([]uint64{1}))
	})
})

var _ = Describe("a fleet that restarts", func() {
	// An account ran 6% over its limit when all 68 hosts lost power. Each host restarts with a
	// share of the quota that is smaller than one request, and with half of it available. Half a
	// second later each let one request pass and left its bucket in debt, which is dropped when there
	// is a home.
	It("does not give out an account's quota once for each host", func() {
		const hosts, rate = 68, 30_000
		units := 0.0
		for range hosts {
			s := newScheduler(2, 8)
			s.SetShare(0, Share{Servers: 1, Quotas: 0.7 / hosts})
			s.SetAccounts(0, []Account{{Name: "acc", Rate: rate, Burst: rate}})
			for id := range uint64(4) {
				r := stream(id, 0, 0)
				out, _ := s.Submit(0, r)
				units += float64(len(placed(out))) * r.Units
			}
			units += float64(len(placed(s.Tick(700*ms)))) * 1060
		}
		Expect(units).To(BeNumerically("<=", 0.7*rate))
	})
})

var _ = Describe("retries of hosts that schedule alone", func() {
	// All hosts of a fleet schedule alone for a moment after a loss of power, while servers fail.
	// When each had the whole retry budget, 72 hosts sent 1,440 retries where 184 are allowed, to
	// servers that were failing.
	It("stay within the service's retry budget in total", func() {
		const hosts = 72
		retries := 0
		for range hosts {
			s := newScheduler(1, 1000)
			s.SetShare(0, Share{Servers: 1, Quotas: 1.0 / hosts})
			for id := range uint64(30) {
				r := stream(id, 0, 0)
				r.Retry = true
				out, _ := s.Submit(0, r)
				retries += len(placed(out))
			}
		}
		Expect(retries).To(BeNumerically("<=", DefaultPolicy().RetryBurst))
	})

	It("have the whole budget again at a home", func() {
		s := newScheduler(1, 1000)
		s.SetShare(0, Share{Servers: 1, Quotas: 1.0 / 72})
		s.SetShare(0, Share{Servers: 1, Quotas: 1})
		r := stream(1, 0, 0)
		r.Retry = true
		out, _ := s.Submit(0, r)
		Expect(placed(out)).To(HaveLen(1))
	})
})
