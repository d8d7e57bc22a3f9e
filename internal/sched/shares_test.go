package sched

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The account load runs on the engines of load_test.go, which serve about 175 requests a second of its
// mix of kinds, with one priority for all kinds and 16 accounts, so that an account's share is 11
// requests a second.
const (
	shareAccounts = 16
	shareRate     = 11.0
	shareLength   = 20 * time.Second
)

// accountLoad is the demand of one account in requests a second between two times.
type accountLoad struct {
	account     string
	rate        float64
	begin, stop Time
}

// accountResult counts the outcomes of an account.
type accountResult struct {
	arrived, inTime, served int
	work                    time.Duration // slot time of the served requests at nominal speed
}

func accountName(i int) string { return fmt.Sprintf("a%02d", i) }

func newShareSimulation(seed uint64, shares bool) *loadSimulation {
	d := newLoadSimulation(seed)
	d.s.policy.AccountShares = shares
	d.length = shareLength
	d.priority = func(int) int { return 1 }
	return d
}

func (d *loadSimulation) addAccount(l accountLoad) {
	var next func(now Time)
	next = func(now Time) {
		if now >= l.begin {
			d.request(now, d.drawKind(), l.account)
		}
		if now = max(now, l.begin) + time.Duration(d.rng.ExpFloat64()*float64(time.Second)/l.rate); now < l.stop {
			d.at(now, next)
		}
	}
	d.at(l.begin, next)
}

// accountsFrom sums the outcomes of the requests that arrived between two times, by account.
func (d *loadSimulation) accountsFrom(begin, end Time) map[string]*accountResult {
	out := map[string]*accountResult{}
	for _, r := range d.all {
		if r.started < begin || r.started >= end {
			continue
		}
		a := out[r.Account]
		if a == nil {
			a = &accountResult{}
			out[r.Account] = a
		}
		a.arrived++
		if r.inTime {
			a.inTime++
		}
		if r.served {
			a.served++
			a.work += time.Duration(2*float64(r.PromptTokens)/39.3*float64(ms)) + time.Duration(r.length)*9*ms
		}
	}
	return out
}

func (a *accountResult) onTime() float64 { return float64(a.inTime) / float64(a.arrived) }

// The bounds come from the aim of docs/design/overload.md: 0.97 of the requests of an account that asks
// for less than its share are in time. Here each of 15 accounts asks for 0.8 of a sixteenth of the engines.
var _ = Describe("one account at ten times its share", func() {
	run := func(seed uint64, shares bool) (others, flooding float64, results map[string]*accountResult) {
		d := newShareSimulation(seed, shares)
		for i := range shareAccounts - 1 {
			d.addAccount(accountLoad{accountName(i), 0.8 * shareRate, 0, shareLength})
		}
		d.addAccount(accountLoad{"flood", 10 * shareRate, 0, shareLength})
		d.play()
		results = d.accountsFrom(0, shareLength)
		others = 1
		for account, r := range results {
			if account != "flood" {
				others = min(others, r.onTime())
			}
		}
		return others, results["flood"].onTime(), results
	}
	for seed := range uint64(3) {
		It(fmt.Sprintf("leaves the others in time (seed %d)", seed), func() {
			before, floodBefore, _ := run(seed, false)
			after, floodAfter, results := run(seed, true)
			fmt.Fprintf(GinkgoWriter, "without %.3f %.3f with %.3f %.3f\n", before, floodBefore, after, floodAfter)
			for k, r := range results {
				fmt.Fprintf(GinkgoWriter, "%s %+v\n", k, *r)
			}
			Expect(before).To(BeNumerically("<", 0.92), "accounts are served alike without shares")
			Expect(after).To(BeNumerically(">=", 0.97))
			Expect(results["flood"].served).To(BeNumerically(">", 0))
		})
	}
})
