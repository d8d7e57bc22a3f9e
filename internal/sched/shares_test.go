package sched

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/fairshare"
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
	work                    time.Duration // slot time of the requests placed in that time, at nominal speed
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
		}
		if r.placed && r.at >= begin && r.at < end {
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

// inTimeOf returns the lowest fraction of requests in time of the accounts whose names have the prefix
// "a", and of those that have not.
func inTimeOf(results map[string]*accountResult) (within, over float64) {
	within, over = 1, 1
	for account, r := range results {
		if strings.HasPrefix(account, "a") {
			within = min(within, r.onTime())
		} else {
			over = min(over, r.onTime())
		}
	}
	return within, over
}

var _ = Describe("three accounts over their share at once", func() {
	run := func(seed uint64, shares bool) map[string]*accountResult {
		d := newShareSimulation(seed, shares)
		for i := range shareAccounts - 3 {
			d.addAccount(accountLoad{accountName(i), 0.7 * shareRate, 0, shareLength})
		}
		for i, factor := range []float64{3, 6, 9} {
			d.addAccount(accountLoad{fmt.Sprint("over", i), factor * shareRate, 0, shareLength})
		}
		d.play()
		return d.accountsFrom(0, shareLength)
	}
	// Reasons for the bounds: what the others leave, 2.3 shares for each of the three, is divided evenly by
	// work, whatever each of them asks for; the expected work differs from the slot time, since engines differ
	// in speed.
	for seed := range uint64(3) {
		It(fmt.Sprintf("get the same and leave the others in time (seed %d)", seed), func() {
			before, _ := inTimeOf(run(seed, false))
			results := run(seed, true)
			after, _ := inTimeOf(results)
			least, most := results["over0"].work, results["over0"].work
			for i := range 3 {
				r := results[fmt.Sprint("over", i)]
				least, most = min(least, r.work), max(most, r.work)
				fmt.Fprintf(GinkgoWriter, "over%d %+v\n", i, *r)
			}
			fmt.Fprintf(GinkgoWriter, "without %.3f with %.3f\n", before, after)
			Expect(before).To(BeNumerically("<", 0.9), "accounts are served alike without shares")
			Expect(after).To(BeNumerically(">=", 0.97))
			Expect(float64(most)).To(BeNumerically("<", 1.25*float64(least)))
		})
	}
})

var _ = Describe("a burst of the same from each account", func() {
	run := func(seed uint64, accounts int, shares bool) (served int, results [3]loadResult) {
		d := newLoadSimulation(seed)
		d.s.policy.AccountShares = shares
		d.lengths = d.estimatedLength
		next := 0
		var arrive func(now Time)
		arrive = func(now Time) {
			next++
			d.request(now, d.drawKind(), accountName(next%accounts))
			if now < burstLength {
				d.at(now+time.Duration(d.rng.ExpFloat64()*float64(time.Second)/burstRate), arrive)
			}
		}
		d.at(0, arrive)
		d.play()
		for _, r := range d.results {
			served += r.inTime + r.late
		}
		return served, d.results
	}
	// Guards against shares that cost callers where no account asks for more than the others. Reasons for the
	// bounds: the order of one account is as without shares. Of 16 accounts each waits for its own turn, so
	// that short answers overtake fewer long ones; the burst is twice what the engines can serve.
	for seed := range uint64(3) {
		It(fmt.Sprintf("serves nearly as many with shares (seed %d)", seed), func() {
			without, before := run(seed, 16, false)
			one, _ := run(seed, 1, true)
			with, after := run(seed, 16, true)
			fmt.Fprintf(GinkgoWriter, "served %d without, %d one account, %d with\n%+v\n%+v\n", without, one, with, before, after)
			Expect(float64(one)).To(BeNumerically(">", 0.97*float64(without)))
			Expect(float64(with)).To(BeNumerically(">", 0.93*float64(without)))
			Expect(after[0].onTime()).To(BeNumerically(">", 0.95))
		})
	}
})

// checkShares compares the counters of the shares with what waits.
func checkShares(s *Scheduler) {
	GinkgoHelper()
	for _, svc := range s.services {
		for _, pq := range svc.queue.priorityQueues {
			if pq.shares != nil {
				checkQueueShares(pq)
			}
		}
	}
}

func checkQueueShares(pq *priorityQueue) {
	GinkgoHelper()
	x := pq.shares
	cost, late, requests := map[*accountQueue]float64{}, map[*accountQueue]float64{}, map[*accountQueue]int{}
	pending, overQuota := 0, 0
	for i, list := range [...][]*waiting{pq.onTime, pq.late} {
		for _, w := range list {
			q := w.share.queue
			cost[q] += w.share.cost
			requests[q]++
			if i == 1 {
				late[q] += w.share.cost
			}
			if w.share.pending {
				pending++
			}
			if q.overQuota {
				overQuota++
			}
		}
	}
	Expect(x.pending).To(Equal(pending))
	Expect(x.overQuota).To(Equal(overQuota))
	Expect(x.queues).To(HaveLen(len(cost)))
	weight := 0.0
	for _, q := range x.queues {
		waitingCost, n := q.flow.Waiting()
		Expect(waitingCost).To(BeNumerically("~", cost[q], 1e-6))
		Expect(n).To(Equal(requests[q]))
		Expect(q.late).To(BeNumerically("~", late[q], 1e-6))
		if !q.overQuota {
			weight += q.weight
		}
	}
	Expect(x.weight).To(BeNumerically("~", weight, 1e-6))
	if x.pending > 0 && len(pq.late) > 0 {
		Expect(slices.IsSortedFunc(pq.late, compareRank)).To(BeTrue())
	}
}

var _ = Describe("random loads of accounts", func() {
	// Guards against a share that holds a slot back, an account that gets nothing, and charges that are
	// not refunded when a request is refused, withdrawn, demoted, over its quota or lost with its holder.
	for seed := range uint64(6) {
		It(fmt.Sprintf("leave no slot idle, starve no account and keep the charges (seed %d)", seed), func() {
			d := newShareSimulation(seed, true)
			d.s.policy.QuotaWeights = seed%2 == 1
			d.length = 8 * time.Second
			d.priority = func(kind int) int { return kind % (1 + int(seed%3)) }
			var accounts []Account
			for i := range 3 + d.rng.IntN(20) {
				account := accountName(i)
				if d.rng.Float64() < 0.3 {
					rate := 2000 + 30_000*d.rng.Float64()
					accounts = append(accounts, Account{Name: account, Rate: rate, Burst: rate})
				}
				d.addAccount(accountLoad{account, 40 * d.rng.ExpFloat64(), Time(d.rng.Float64() * float64(3*time.Second)), d.length})
			}
			d.s.SetAccounts(0, accounts)
			var idleSince Time
			lastCheck := Time(-1)
			d.after = func(now Time) {
				if now-lastCheck < 5*ms {
					return
				}
				lastCheck = now
				checkShares(d.s)
				if !d.s.slotWasted(now) {
					idleSince = now
				}
				Expect(now-idleSince).To(BeNumerically("<=", 20*ms), "a slot is idle while a request that may take it waits")
			}
			d.play()
			Expect(d.s.Waiting()).To(BeZero())
			// With three requests a second of each kind there is always one that counts.
			for account, r := range d.accountsFrom(0, d.length) {
				if r.arrived >= 30 {
					Expect(r.served).To(BeNumerically(">", 0), account)
				}
			}
		})
	}
})

// slotWasted reports whether a request waits that a server with room may take now.
func (s *Scheduler) slotWasted(now Time) (wasted bool) {
	for _, svc := range s.services {
		free := s.serversWithRoom(now, svc, nil)
		if len(free) == 0 {
			continue
		}
		c := s.candidates(now, svc, free)
		svc.queue.each(func(w *waiting) (drop, stop bool) {
			wasted = s.quotaWait(now, &w.Request) == 0 && s.choose(now, svc, c, &w.Request) != nil
			return false, wasted
		})
	}
	return wasted
}

// accountStream is a stream of an account with one priority.
func accountStream(id uint64, now Time, account string) Request {
	r := stream(id, now, 1)
	r.Account = account
	return r
}

// newShareScheduler returns a scheduler with accounts' shares, one engine and one slot, which is in use.
func newShareScheduler() *Scheduler {
	p := DefaultPolicy()
	p.AccountShares = true
	s := New(p)
	s.SetServices(0, []Service{{Name: engine, Engine: true, KVTokens: 200_000, Stride: 3}})
	s.SetServers(0, []Server{{ID: "e0", Service: engine, Address: "e0", Slots: 1}})
	s.Submit(0, accountStream(1000, 0, "running"))
	return s
}

// order ends the running request again and again and returns the requests in the order in which they are
// placed.
func order(s *Scheduler, now Time, running uint64) (ids []uint64) {
	for {
		out := placed(finish(s, now, running, OK))
		if len(out) == 0 {
			return ids
		}
		running = out[0]
		ids = append(ids, running)
	}
}

func sharesOf(s *Scheduler) *accountShares { return s.services[engine].queue.priorityQueue(1).shares }

var _ = Describe("the order of accounts", func() {
	It("is the order of arrival while nobody is over its share", func() {
		s := newShareScheduler()
		for id := range uint64(8) {
			s.Submit(Time(id)*ms, accountStream(id+1, Time(id)*ms, accountName(int(id))))
		}
		Expect(order(s, 20*ms, 1000)).To(Equal([]uint64{1, 2, 3, 4, 5, 6, 7, 8}))
	})

	// Guards against a flooding account that is served by arrival, and one that is not served at all.
	It("alternates between an account with many requests and those that come later", func() {
		s := newShareScheduler()
		for id := range uint64(6) {
			s.Submit(0, accountStream(id+1, 0, "flood"))
		}
		s.Submit(ms, accountStream(11, ms, "a"))
		s.Submit(ms, accountStream(12, ms, "b"))
		s.Submit(ms, accountStream(13, ms, "a"))
		got := order(s, 20*ms, 1000)
		Expect(got[:3]).To(ConsistOf(uint64(1), uint64(11), uint64(12)))
		Expect(got[3:5]).To(ConsistOf(uint64(2), uint64(13)))
		Expect(got[5:]).To(Equal([]uint64{3, 4, 5, 6}))
	})

	It("is the same among requests that can't be on time any more", func() {
		s := newShareScheduler()
		for id := range uint64(6) {
			s.Submit(0, accountStream(id+1, 0, "flood"))
		}
		s.Submit(ms, accountStream(11, ms, "a"))
		s.Tick(900 * ms)
		pq := s.services[engine].queue.priorityQueue(1)
		pq.demoteLate(900*ms, 0)
		Expect(pq.late).To(HaveLen(7))
		checkShares(s)
		Expect(order(s, 910*ms, 1000)[:2]).To(ContainElement(uint64(11)))
	})

	It("follows the weights, and changes of them at run time", func() {
		s := newShareScheduler()
		s.policy.QuotaWeights = true
		s.SetAccounts(0, []Account{{Name: "large", Rate: 3e6, Burst: 3e6}, {Name: "small", Rate: 1e6, Burst: 1e6}})
		submit := func(now Time, from uint64) {
			for id := range uint64(8) {
				s.Submit(now, accountStream(from+id, now, "large"))
				s.Submit(now, accountStream(from+100+id, now, "small"))
			}
		}
		submit(0, 1)
		count := 0
		for _, id := range order(s, 20*ms, 1000)[:8] {
			if id < 100 {
				count++
			}
		}
		Expect(count).To(BeNumerically("~", 6, 1))
		s = newShareScheduler()
		s.policy.QuotaWeights = true
		s.SetAccounts(0, []Account{{Name: "large", Rate: 3e6, Burst: 3e6}, {Name: "small", Rate: 1e6, Burst: 1e6}})
		submit(0, 1)
		s.SetAccounts(ms, []Account{{Name: "small", Rate: 1e6, Burst: 1e6}}) // "large" is removed and waits
		checkShares(s)
		Expect(sharesOf(s).queues["large"].weight).To(Equal(1.0))
		Expect(order(s, 20*ms, 1000)).To(HaveLen(16))
	})
})

var _ = Describe("the charge of an account", func() {
	charged := func(s *Scheduler, account string) float64 {
		f := sharesOf(s).queues[account]
		if f == nil {
			return 0
		}
		return f.flow.Finish() - sharesOf(s).flows.VirtualTime()
	}

	It("is refunded for requests that are withdrawn, refused or lost with their holder", func() {
		s := newShareScheduler()
		submit := func(now Time) {
			for id := range uint64(20) {
				s.Submit(now, accountStream(id+1, now, "a"))
			}
		}
		submit(0)
		s.Submit(0, accountStream(999, 0, "b"))
		Expect(charged(s, "a")).To(BeNumerically(">", 0))
		for id := range uint64(20) {
			s.Withdraw(0, Key{Holder: 1, ID: id + 1})
		}
		Expect(sharesOf(s).queues).To(HaveLen(1))
		submit(0)
		Expect(refused(s.Tick(2500 * ms))).To(HaveLen(21))
		Expect(sharesOf(s).queues).To(BeEmpty())
		submit(2600 * ms)
		s.HolderGone(2600*ms, 1)
		Expect(sharesOf(s).queues).To(BeEmpty())
		checkShares(s)
	})

	// The tag of an account whose requests are refused must not run away: it would get nothing for as long as
	// it had asked for more than its share.
	It("does not grow while the account's requests are refused", func() {
		s := newShareScheduler()
		for id := range uint64(5000) {
			now := Time(id) * ms
			s.Submit(now, accountStream(id+1, now, "flood"))
			s.Tick(now)
		}
		s.Tick(20 * time.Second) // all are refused by now
		Expect(sharesOf(s).queues).To(BeEmpty())
		Expect(sharesOf(s).flows.Len()).To(BeNumerically("<=", 1), "the run at the engine")
	})

	It("is settled by the output tokens of the run, and refunded if it didn't run", func() {
		for _, o := range []Outcome{{Result: OK, OutputTokens: 6}, {Result: OK, OutputTokens: 600}, {Result: OK}, {Result: Rejected}} {
			s := newShareScheduler()
			svc := s.services[engine]
			request := accountStream(1000, 0, "running")
			expected := svc.work(&request).Seconds()
			s.Submit(0, accountStream(1, 0, "other"))
			flow := s.runs[Key{Holder: 1, ID: 1000}].charge.flow
			Expect(flow.Finish()).To(BeNumerically("~", expected, 1e-9))
			o.Key = Key{Holder: 1, ID: 1000}
			if o.OutputTokens > 0 {
				request.OutputTokens = o.OutputTokens
			}
			used := svc.work(&request).Seconds()
			if o.Result == Rejected {
				used = 0
			}
			s.Finish(ms, o)
			Expect(flow.Finish()).To(BeNumerically("~", used, 1e-9))
		}
	})

	It("includes the rest of runs that holders report", func() {
		s := newShareScheduler()
		a := AdoptedRun{Key: Key{Holder: 1, ID: 5}, Service: engine, Server: "e0", PromptTokens: 1000, OutputTokens: 60, Account: "a", Priority: 1}
		s.Adopt(0, a)
		whole := s.runs[a.Key].charge.cost
		a.ID, a.Elapsed = 6, 200*ms
		s.Adopt(0, a)
		Expect(s.runs[a.Key].charge.cost).To(And(BeNumerically(">", 0), BeNumerically("<", whole)))
		a.ID, a.Priority = 7, -1 // a host of another build
		s.Adopt(0, a)
		Expect(s.runs[a.Key].charge.shares).To(BeNil())
	})
})

var _ = Describe("accounts that always have requests waiting", func() {
	// Guards against an account that gets more or less than the others by the sizes of its requests, by wrong
	// expectations of its answers or by requests that it withdraws. At most one run more or less for each of two
	// accounts, and what is served within turnTolerance.
	for seed := range uint64(5) {
		It(fmt.Sprintf("use the same but for one run of each (seed %d)", seed), func() {
			s := newShareScheduler()
			svc := s.services[engine]
			rng := rand.New(rand.NewPCG(seed, 9))
			const accounts = 5
			used := make([]float64, accounts)
			waits := make([][]uint64, accounts)
			requests := map[uint64]Request{}
			next, now, largest := uint64(2000), Time(0), 0.0
			refill := func() {
				for i := range accounts {
					for len(waits[i]) < 2+i {
						next++
						r := accountStream(next, now, accountName(i))
						r.PromptTokens, r.OutputTokens = rng.IntN(500*(i+1)), 1+rng.IntN(400/(i+1))
						r.Deadline, r.LatencyTarget = now+time.Hour, now+time.Hour
						requests[next] = r
						waits[i] = append(waits[i], next)
						s.Submit(now, r)
					}
				}
			}
			refill()
			running := uint64(1000)
			for range 1500 {
				now += 30 * ms
				o := Outcome{Key: Key{Holder: 1, ID: running}, Result: OK}
				if r, mine := requests[running]; mine {
					r.OutputTokens = 1 + int(2*rng.Float64()*float64(r.OutputTokens))
					o.OutputTokens = r.OutputTokens
					work := svc.work(&r).Seconds()
					largest = max(largest, work)
					used[slices.Index(accountNames(accounts), r.Account)] += work
					delete(requests, running)
				}
				running = placed(s.Finish(now, o))[0]
				for i := range waits {
					waits[i] = slices.DeleteFunc(waits[i], func(id uint64) bool { return id == running })
					if last := len(waits[i]) - 1; last > 0 && rng.Float64() < 0.05 {
						s.Withdraw(now, Key{Holder: 1, ID: waits[i][last]})
						delete(requests, waits[i][last])
						waits[i] = waits[i][:last]
					}
				}
				refill()
				Expect(slices.Max(used) - slices.Min(used)).To(BeNumerically("<=", 2*largest+turnTolerance.Seconds()))
			}
			checkShares(s)
		})
	}
})

func accountNames(n int) (names []string) {
	for i := range n {
		names = append(names, accountName(i))
	}
	return names
}

var _ = Describe("an account over its quota", func() {
	// Guards against accounts that are refused early because of requests that may not run now.
	It("doesn't count as ahead of others, nor as pressure", func() {
		s := newShareScheduler()
		s.SetAccounts(0, []Account{{Name: "capped", Rate: 2000, Burst: 2000}})
		for id := range uint64(60) {
			r := accountStream(id+1, 0, "capped")
			r.Deadline = time.Minute
			s.Submit(0, r)
		}
		pq := s.services[engine].queue.priorityQueue(1)
		queued := len(pq.onTime)
		Expect(queued).To(BeNumerically(">", 5))
		out, waits := s.Submit(ms, accountStream(100, ms, "a"))
		Expect(out).To(BeEmpty())
		Expect(waits).To(BeTrue())
		w := pq.onTime[slices.IndexFunc(pq.onTime, func(w *waiting) bool { return w.ID == 100 })]
		Expect(pq.ahead(w)).To(BeZero())
		Expect(pq.waitingWithinQuota()).To(Equal(1))
		Expect(pq.arrivalRate.valueAt(ms)).To(BeNumerically("<", 3*1/rateDecay.Seconds()))
		checkShares(s)
	})
})

var _ = Describe("a refusal", func() {
	It("states the account's backlog and turn", func() {
		s := newShareScheduler()
		for id := range uint64(3) {
			s.Submit(0, accountStream(id+1, 0, "a"))
		}
		out := s.Tick(2500 * ms)
		Expect(out[0].Detail).To(MatchRegexp(`backlog=\d+\.\d+s/3 turn=\S+ share=\d+\.\d+/s accounts=1`))
	})
})

var _ = Describe("changes of accounts over their share", func() {
	It("are reported once a second for each account, and not without bound", func() {
		d := newShareSimulation(1, true)
		d.length = 6 * time.Second
		for i := range 4 {
			d.addAccount(accountLoad{accountName(i), 0.5 * shareRate, 0, d.length})
		}
		d.addAccount(accountLoad{"flood", 40 * shareRate, time.Second, 4 * time.Second})
		var changes []ShareChange
		at := map[string]Time{}
		d.after = func(now Time) {
			for _, c := range d.s.TakeShareChanges() {
				changes = append(changes, c)
				fmt.Fprintln(GinkgoWriter, now, c)
				if last, known := at[c.Account]; known {
					Expect(now - last).To(BeNumerically(">=", time.Second))
				}
				at[c.Account] = now
				if c.Account == "flood" && c.Over {
					Expect(now).To(BeNumerically("<", 2*time.Second))
					Expect(c.Asked).To(BeNumerically(">", c.Share))
					Expect(d.s.ShareStats().Over).To(BeNumerically(">=", 1))
				}
			}
		}
		d.play()
		var flood []bool
		for _, c := range changes {
			if c.Account == "flood" {
				flood = append(flood, c.Over)
			}
		}
		Expect(flood[0]).To(BeTrue())
		Expect(flood[len(flood)-1]).To(BeFalse())
		Expect(d.s.ShareStats()).To(Equal(ShareStats{}))
	})

	It("are bounded in all", func() {
		s := newShareScheduler()
		for i := range 500 {
			for id := range 3 {
				r := accountStream(uint64(1+i*3+id), 0, accountName(i))
				r.Retry = false
				s.Submit(0, r)
			}
		}
		n := 0
		for now := Time(0); now < time.Second; now += 10 * ms {
			s.Tick(now)
			n += len(s.TakeShareChanges())
		}
		Expect(n).To(BeNumerically("<=", 2*maxShareChanges))
		Expect(len(sharesOf(s).over)).To(BeNumerically("<=", maxOverShare))
	})
})

// resubmit moves all requests of the simulation that wait to another scheduler, and reports the runs to it.
func (d *loadSimulation) resubmit(now Time, to *Scheduler, of func(r *loadRequest) bool) {
	ids := slices.Sorted(maps.Keys(d.outstanding))
	for _, id := range ids {
		if r := d.outstanding[id]; of(r) && r.placed {
			r.via = to
			to.Adopt(now, AdoptedRun{
				Key: r.Key, Service: engine, Server: r.server, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
				Elapsed: now - r.at, Account: r.Account, Priority: r.Priority,
			})
		}
	}
	for _, id := range ids {
		if r := d.outstanding[id]; r != nil && of(r) && !r.placed {
			r.via = to
			out, _ := to.Submit(now, r.Request)
			d.apply(now, out)
		}
	}
}

var _ = Describe("a host that takes over as home in an overload", func() {
	// Guards against a home that favours an account because its state is empty or half learned: the shares of
	// three accounts that ask for more in the 4 s after the change, and what the others have in time.
	for seed := range uint64(3) {
		It(fmt.Sprintf("favours nobody (seed %d)", seed), func() {
			const takeover = 8 * time.Second
			d := newShareSimulation(seed, true)
			d.length = 16 * time.Second
			for i := range shareAccounts - 3 {
				d.addAccount(accountLoad{accountName(i), 0.7 * shareRate, 0, d.length})
			}
			for i := range 3 {
				d.addAccount(accountLoad{fmt.Sprint("over", i), 6 * shareRate, Time(i) * 3 * time.Second, d.length})
			}
			d.at(takeover, func(now Time) {
				p := d.s.policy
				d.s = d.newScheduler(now, p, 1)
				d.resubmit(now, d.s, func(*loadRequest) bool { return true })
			})
			d.play()
			results := d.accountsFrom(takeover, takeover+4*time.Second)
			inTime, arrived := 0, 0
			least, most := results["over0"].work, results["over0"].work
			for account, r := range results {
				fmt.Fprintf(GinkgoWriter, "%s %+v\n", account, *r)
				if strings.HasPrefix(account, "a") {
					inTime, arrived = inTime+r.inTime, arrived+r.arrived
				} else {
					least, most = min(least, r.work), max(most, r.work)
				}
			}
			fmt.Fprintf(GinkgoWriter, "in time %.3f least %.0f most %.0f\n", float64(inTime)/float64(arrived), least.Seconds(), most.Seconds())
			Expect(float64(inTime)).To(BeNumerically(">=", 0.97*float64(arrived)))
			Expect(float64(most)).To(BeNumerically("<", 1.5*float64(least)))
		})
	}
})

var _ = Describe("a host that schedules alone for ten seconds", func() {
	// One request in eight arrives at the host that is alone. It orders only its own requests, with its part of
	// the slots; when it is back, the home adopts its runs. Guards against accounts that lose or win by that.
	for seed := range uint64(2) {
		It(fmt.Sprintf("keeps the shares of its own requests, and the home those of all when it is back (seed %d)", seed), func() {
			const begin, end = 4 * time.Second, 14 * time.Second
			const part = 1.0 / 8
			d := newShareSimulation(seed, true)
			for i := range shareAccounts - 1 {
				d.addAccount(accountLoad{accountName(i), 0.6 * shareRate, 0, shareLength})
			}
			d.addAccount(accountLoad{"flood", 10 * shareRate, 0, shareLength})
			own := func(r *loadRequest) bool { return r.ID%8 == 0 }
			host := d.newScheduler(0, d.s.policy, part)
			d.alone = []*Scheduler{host}
			d.scheduler = func(now Time, r *loadRequest) *Scheduler {
				if own(r) && now >= begin && now < end {
					return host
				}
				return d.s
			}
			d.at(begin, func(now Time) {
				d.s.HolderGone(now, 2) // the home drops what waits there; here all requests have holder 1
				for _, id := range slices.Sorted(maps.Keys(d.outstanding)) {
					if r := d.outstanding[id]; own(r) && !r.placed {
						d.apply(now, d.s.Withdraw(now, r.Key))
						r.via = host
						out, _ := host.Submit(now, r.Request)
						d.apply(now, out)
					}
				}
			})
			d.at(end, func(now Time) {
				for _, id := range slices.Sorted(maps.Keys(d.outstanding)) {
					if r := d.outstanding[id]; r.via == host && !r.placed {
						d.apply(now, host.Withdraw(now, r.Key))
					}
				}
				d.resubmit(now, d.s, func(r *loadRequest) bool { return r.via == host })
				checkShares(d.s)
			})
			d.play()
			alone, back := [2]int{}, [2]int{}
			for _, r := range d.all {
				count := &back
				switch {
				case r.Account == "flood" || r.started < begin:
					continue
				case r.started < end && own(r):
					count = &alone
				case r.started < end:
					continue
				}
				count[0]++
				if r.inTime {
					count[1]++
				}
			}
			fmt.Fprintf(GinkgoWriter, "alone %v back %v\n", alone, back)
			// The host has 18 of the 144 slots, one at each engine, so that bursts fill them more often.
			Expect(float64(alone[1])).To(BeNumerically(">=", 0.85*float64(alone[0])))
			Expect(float64(back[1])).To(BeNumerically(">=", 0.97*float64(back[0])))
			Expect(d.s.Waiting() + host.Waiting()).To(BeZero())
			Expect(d.s.ShareStats().Accounts).To(BeZero())
		})
	}
})

var _ = Describe("ten thousand accounts", func() {
	// Guards against decisions whose cost grows with the accounts. Swaps of the heaps are counted, since times
	// differ from machine to machine; their number grows with the logarithm of the accounts that wait.
	swaps := func(accounts int) (perDecision float64, state int) {
		s := newShareScheduler()
		s.policy.EarlyRejectionMinQueue = 1e6
		next, running := uint64(0), uint64(1000)
		submit := func() {
			next++
			r := accountStream(1000+next, 0, fmt.Sprint(next%uint64(accounts)))
			r.Deadline = time.Hour
			s.Submit(0, r)
		}
		for range 2000 {
			submit()
		}
		const decisions = 20_000
		before := sharesOf(s).flows.Swaps()
		for range decisions {
			submit()
			running = placed(finish(s, 0, running, OK))[0]
		}
		state = s.ShareStats().Accounts
		return float64(sharesOf(s).flows.Swaps()-before) / decisions, state
	}
	It("cost about as much for each decision as sixteen, with bounded state", func() {
		few, _ := swaps(16)
		many, state := swaps(10_000)
		fmt.Fprintf(GinkgoWriter, "swaps per decision: %.1f with 16 accounts, %.1f with 10,000; state of %d accounts\n", few, many, state)
		Expect(many).To(BeNumerically("<", 40))
		Expect(state).To(BeNumerically("<=", 2000+1+fairshare.MaxIdle), "2,000 requests wait and one runs")
	})
})

var _ = Describe("shares by quota", func() {
	// Guards against equal shares where the operator has granted one account more: it has a quota of five
	// others and asks for five and a half shares, while two more accounts take whatever they get.
	run := func(seed uint64, weights bool) (large, small float64) {
		d := newShareSimulation(seed, true)
		d.s.policy.QuotaWeights = weights
		accounts := []Account{{Name: "large", Rate: 5e6, Burst: 5e6}}
		for i := range shareAccounts - 3 {
			accounts = append(accounts, Account{Name: accountName(i), Rate: 1e6, Burst: 1e6})
			d.addAccount(accountLoad{accountName(i), 0.5 * shareRate, 0, shareLength})
		}
		for i := range 2 {
			accounts = append(accounts, Account{Name: fmt.Sprint("over", i), Rate: 1e6, Burst: 1e6})
			d.addAccount(accountLoad{fmt.Sprint("over", i), 10 * shareRate, 0, shareLength})
		}
		d.addAccount(accountLoad{"large", 5.5 * shareRate, 0, shareLength})
		d.s.SetAccounts(0, accounts)
		d.play()
		results := d.accountsFrom(0, shareLength)
		small, _ = inTimeOf(results)
		return results["large"].onTime(), small
	}
	for seed := range uint64(2) {
		It(fmt.Sprintf("serve the account with the large quota in time (seed %d)", seed), func() {
			equal, smallEqual := run(seed, false)
			weighted, small := run(seed, true)
			fmt.Fprintf(GinkgoWriter, "weights: equal %.3f %.3f by quota %.3f %.3f\n", equal, smallEqual, weighted, small)
			Expect(equal).To(BeNumerically("<", 0.95))
			Expect(weighted).To(BeNumerically(">=", 0.97))
			Expect(small).To(BeNumerically(">=", 0.95))
		})
	}
})

var _ = Describe("a plain service with one account at ten times its share", func() {
	// Four servers with six slots serve 400 calls of 60 ms a second, of eight accounts.
	run := func(shares bool) (others, flooding float64) {
		const rate, length = 50.0, 10 * time.Second
		p := DefaultPolicy()
		p.AccountShares = shares
		s := New(p)
		s.SetServices(0, []Service{{Name: plain}})
		var list []Server
		for i := range 4 {
			list = append(list, Server{ID: fmt.Sprint("p", i), Service: plain, Slots: 6})
		}
		s.SetServers(0, list)
		rng := rand.New(rand.NewPCG(3, 3))
		var events eventQueue
		at := func(t Time, do func(Time)) { heap.Push(&events, simEvent{t, do}) }
		calls := map[uint64]*Request{}
		arrived, inTime := map[string]int{}, map[string]int{}
		var apply func(now Time, out []Decision)
		apply = func(now Time, out []Decision) {
			for _, o := range out {
				r := calls[o.ID]
				delete(calls, o.ID)
				if o.Reason != 0 {
					continue
				}
				took := time.Duration((0.5 + rng.Float64()) * float64(60*ms))
				if now+took <= r.LatencyTarget {
					inTime[r.Account]++
				}
				at(now+took, func(now Time) {
					apply(now, s.Finish(now, Outcome{Key: r.Key, Result: OK, FirstEvent: took}))
				})
			}
		}
		next := uint64(0)
		var arrive func(account string, rate float64) func(now Time)
		arrive = func(account string, rate float64) func(now Time) {
			return func(now Time) {
				next++
				r := call(next, now)
				r.Account, r.LatencyTarget, r.Deadline = account, now+300*ms, now+1500*ms
				calls[next] = &r
				arrived[account]++
				out, _ := s.Submit(now, r)
				apply(now, out)
				if now += time.Duration(rng.ExpFloat64() * float64(time.Second) / rate); now < length {
					at(now, arrive(account, rate))
				}
			}
		}
		for i := range 7 {
			at(0, arrive(accountName(i), 0.7*rate))
		}
		at(0, arrive("flood", 10*rate))
		for t := 10 * ms; t < length+2*time.Second; t += 10 * ms {
			at(t, func(now Time) { apply(now, s.Tick(now)) })
		}
		for events.Len() > 0 {
			e := heap.Pop(&events).(simEvent)
			e.do(e.at)
		}
		others = 1
		for account, n := range arrived {
			if account != "flood" {
				others = min(others, float64(inTime[account])/float64(n))
			}
		}
		return others, float64(inTime["flood"]) / float64(arrived["flood"])
	}
	It("serves the others in time", func() {
		before, _ := run(false)
		after, flooding := run(true)
		fmt.Fprintf(GinkgoWriter, "plain: without %.3f with %.3f, flooding %.3f\n", before, after, flooding)
		Expect(before).To(BeNumerically("<", 0.9))
		Expect(after).To(BeNumerically(">=", 0.97))
		Expect(flooding).To(BeNumerically(">", 0.1))
	})
})
