package sched

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision measures submitting, placing and finishing one request, with different numbers
// of servers and of waiting requests.
func BenchmarkDecision(b *testing.B) { benchmarkDecision(b, DefaultPolicy()) }

// BenchmarkDecisionOverload is BenchmarkDecision with all decisions under overload switched on.
func BenchmarkDecisionOverload(b *testing.B) {
	p := DefaultPolicy()
	if err := p.Set("prefill-steady=1,pause-model=1,account-shares=1,live-load=1,admission-forecast=1,return-booking=1"); err != nil {
		b.Fatal(err)
	}
	benchmarkDecision(b, p)
}

func benchmarkDecision(b *testing.B, p Policy) {
	for _, size := range []struct {
		servers, waiting int
		full             float64 // fraction of the slots that are in use
	}{
		{18, 0, 1}, {18, 200, 1}, {90, 0, 1}, {90, 1000, 1}, {2890, 0, 1}, {2890, 1000, 1}, {90, 0, 0.5}, {2890, 0, 0.5}, {5780, 0, 0.5},
	} {
		b.Run(fmt.Sprintf("servers=%d/waiting=%d/full=%g", size.servers, size.waiting, size.full), func(b *testing.B) {
			s := newScheduler(size.servers, 6)
			s.policy = p
			next := uint64(0)
			submit := func() {
				next++
				r := stream(next, 0, int(next%3))
				r.Deadline = time.Hour
				s.Submit(0, r)
			}
			for range int(float64(size.servers*6)*size.full) + size.waiting {
				submit()
			}
			running := uint64(1)
			for b.Loop() {
				submit()
				for s.runs[Key{Holder: 1, ID: running}] == nil {
					running = running%next + 1
				}
				finish(s, 0, running, OK)
			}
		})
	}
}

// BenchmarkAccounts measures submitting, placing and finishing one request while a thousand wait, with and
// without shares of accounts.
func BenchmarkAccounts(b *testing.B) {
	for _, accounts := range []int{0, 1, 16, 10_000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			s := newScheduler(90, 6)
			s.policy.AccountShares = accounts > 0
			now, next := Time(0), uint64(0)
			submit := func() {
				next++
				r := stream(next, now, int(next%3))
				r.Account = fmt.Sprint(next % uint64(max(1, accounts)))
				r.Deadline = time.Hour
				s.Submit(now, r)
			}
			for range 540 + 1000 {
				submit()
			}
			running := uint64(1)
			for b.Loop() {
				now += time.Millisecond // between two ends of runs
				submit()
				for s.runs[Key{Holder: 1, ID: running}] == nil {
					running = running%next + 1
				}
				finish(s, now, running, OK)
			}
		})
	}
}

// BenchmarkDecisionForecast is BenchmarkDecision without and with forecasts and booked returns, as time passes. Each
// round submits and finishes one request that is placed and one that is refused.
func BenchmarkDecisionForecast(b *testing.B) {
	for i := range 6 {
		waiting, forecasts := []int{100, 1000, 5000}[i/2], i%2 == 1
		b.Run(fmt.Sprintf("waiting=%d/forecasts=%t", waiting, forecasts), func(b *testing.B) {
			s := newScheduler(90, 6)
			s.policy.ForecastAdmission, s.policy.BookReturns = forecasts, forecasts
			next, now := uint64(0), Time(0)
			submit := func(priority int, patience time.Duration) {
				next++
				r := stream(next, now, priority)
				r.LatencyTarget, r.Deadline, r.Fingerprint = now+patience, now+4*patience, fingerprintOf(int(next))
				s.Submit(now, r)
			}
			for range 540 + waiting {
				submit(1, time.Hour)
			}
			running := uint64(1)
			for b.Loop() {
				now += 500 * time.Microsecond
				submit(1, time.Hour)
				submit(2, 400*time.Millisecond)
				for s.runs[Key{Holder: 1, ID: running}] == nil {
					running = running%next + 1
				}
				finish(s, now, running, OK)
				if now%(10*time.Millisecond) == 0 {
					s.Tick(now)
				}
			}
		})
	}
}

// BenchmarkBlockedLane measures submitting, placing and finishing one request while a thousand requests
// of a less urgent priority wait for the quota of their account: each search for a request to place
// passes them.
func BenchmarkBlockedLane(b *testing.B) {
	s := newScheduler(90, 6)
	s.SetAccounts(0, []Account{{Name: "hot", Rate: 1, Burst: 1}})
	next := uint64(0)
	submit := func(now Time, account string, priority int) uint64 {
		next++
		r := stream(next, now, priority)
		r.Account, r.Deadline, r.LatencyTarget, r.Units = account, time.Hour, time.Hour, 1
		s.Submit(now, r)
		return next
	}
	for range 1000 {
		submit(0, "hot", 2)
	}
	now := Time(0)
	for b.Loop() {
		now += 500 * time.Microsecond
		id := submit(now, "", 0)
		finish(s, now, id, OK)
	}
}

// BenchmarkPauseModel measures submitting, placing and finishing one stream with a limit of pauses, by
// the pending prefill and with the pause model.
func BenchmarkPauseModel(b *testing.B) {
	for _, waiting := range []int{0, 1000} {
		for _, learn := range []bool{false, true} {
			b.Run(fmt.Sprintf("waiting=%d/learn=%t", waiting, learn), func(b *testing.B) {
				s := newScheduler(90, 6)
				s.policy.LearnPauses = learn
				next := uint64(0)
				now := Time(0)
				submit := func() {
					next++
					r := stream(next, now, int(next%3))
					r.Deadline, r.LatencyTarget, r.MaxPause = time.Hour, time.Hour, 300*ms
					s.Submit(now, r)
				}
				for range 90*6 + waiting {
					submit()
				}
				running := uint64(1)
				for b.Loop() {
					now += time.Millisecond
					submit()
					for s.runs[Key{Holder: 1, ID: running}] == nil {
						running = running%next + 1
					}
					s.Finish(now, Outcome{Key: Key{Holder: 1, ID: running}, Result: OK, LongestGap: 40 * ms})
				}
			})
		}
	}
}
