package sched

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/notice"
)

// unlikeEngines returns a scheduler with n engines of 4 slots and three speeds, and fills each of
// them with running requests.
func unlikeEngines(n, running int) (s *Scheduler, next uint64) {
	s = newScheduler(n, 4)
	for i := range n {
		s.servers[fmt.Sprint("e", i)].learnTokenTime([]time.Duration{4 * ms, 5 * ms, 13 * ms}[i%3])
	}
	s.groupServers()
	for range n * running {
		next++
		s.Submit(0, patient(next))
	}
	for _, srv := range s.servers {
		srv.prefillFreeAt = 0
	}
	return s, next
}

// patient is a stream that may wait for an hour.
func patient(id uint64) Request {
	r := stream(id, 0, int(id%3))
	r.Key.Holder, r.Deadline, r.LatencyTarget = 1+id%100, time.Hour, time.Hour
	return r
}

// looksPerDecision submits and finishes requests, and returns how many servers were looked at for
// each.
func looksPerDecision(s *Scheduler, next uint64) float64 {
	const decisions = 300
	before := s.services[engine].index.looks
	for range decisions {
		next++
		s.Submit(0, patient(next))
		for k := range s.runs {
			s.Finish(0, Outcome{Key: k, Result: OK, FirstEvent: 60 * ms, TokenTime: 5 * ms})
			break
		}
	}
	return float64(s.services[engine].index.looks-before) / decisions
}

var _ = Describe("a decision in a service of thousands of servers", func() {
	// The home looked at every server for each request: at 2,890 servers and 1,100 requests a second it
	// needed more than a core, and callers waited for it while servers were idle.
	for _, load := range []struct {
		name             string
		running, waiting int
	}{{"idle", 0, 0}, {"half full", 2, 0}, {"full, with 1,000 waiting", 4, 1000}} {
		It("looks at no more servers than in one of 90: "+load.name, func() {
			looks := map[int]float64{}
			for _, n := range []int{90, 360, 1440, 2890, 5780} {
				s, next := unlikeEngines(n, load.running)
				for range load.waiting {
					next++
					s.Submit(0, patient(next))
				}
				looks[n] = looksPerDecision(s, next)
			}
			for n, got := range looks {
				Expect(got).To(BeNumerically("<=", 2*looks[90]), "%d servers; %v", n, looks)
			}
		})
	}

	// With a sample alone, a request would rarely go where its holder has a connection or its prompt
	// is cached, among thousands of servers.
	It("finds the server with the holder's idle connection and the one with the prompt cached", func() {
		s, next := unlikeEngines(2890, 0)
		r := patient(next + 1)
		r.PromptParts = []Part{{Key: 7, Tokens: 900}}
		out, _ := s.Submit(0, r)
		first := out[0].Server
		other := patient(next + 2)
		other.PromptParts = r.PromptParts
		out, _ = s.Submit(time.Second, other)
		Expect(out[0].Server).To(Equal(first), "the prompt is cached there")
		s.Finish(time.Second, Outcome{Key: r.Key, Result: OK})
		again := patient(next + 101)
		Expect(again.Holder).To(Equal(r.Holder))
		out, _ = s.Submit(2*time.Second, again)
		Expect(out[0].Server).To(Equal(first), "its holder has an idle connection there")
	})

	It("costs hardly more than the best of all servers", func() {
		s, next := unlikeEngines(2890, 2)
		svc := s.services[engine]
		rng := rand.New(rand.NewPCG(1, 1))
		var sum, best time.Duration
		for now := Time(0); now < time.Second; now += ms {
			next++
			r := patient(next)
			r.PromptTokens = 200 + rng.IntN(4000)
			r.Arrived, r.LatencyTarget, r.Deadline = now, now+time.Second, now+6*time.Second
			least := time.Hour
			for _, srv := range svc.servers {
				if srv.hasRoom(now, s.concurrencyLimit(svc, srv)) {
					least = min(least, s.cost(now, svc, srv, &r))
				}
			}
			chosen := s.choose(now, svc, s.candidates(now, svc, s.serversWithRoom(now, svc, &r)), &r)
			sum, best = sum+s.cost(now, svc, chosen, &r), best+least
			s.Submit(now, r)
			for k, run := range s.runs {
				if now-run.placed > 400*ms {
					s.Finish(now, Outcome{Key: k, Result: OK, FirstEvent: 60 * ms, TokenTime: time.Duration(float64(run.server.tokenTime) * (0.9 + 0.2*rng.Float64()))})
					break
				}
			}
		}
		Expect(float64(sum) / float64(best)).To(BeNumerically("<", 1.1))
	})
})

// A server that the index loses gets no requests until the list of servers changes.
var _ = Describe("the index of a large service", func() {
	for seed := range uint64(5) {
		It(fmt.Sprint("has every server with room, after whatever happens to them, seed ", seed), func() {
			const servers = 200
			s := newScheduler(servers, 4)
			svc := s.services[engine]
			rng := rand.New(rand.NewPCG(seed, 3))
			results := []Result{OK, OK, OK, CallerLeft, Unreachable, Rejected, ServerError, Broken, Unresponsive, Stalled, Progress, ServerEnded}
			now, next := Time(0), uint64(0)
			for range 4000 {
				now += time.Duration(rng.IntN(20)) * ms
				switch rng.IntN(40) {
				case 0:
					s.SetShare(now, Share{Servers: 0.1 + rng.Float64()*0.9, Quotas: 1, RateLimits: 1})
				case 1:
					s.LearnNotices(now, 1, []notice.Record{limitRecord(fmt.Sprint("e", rng.IntN(servers)), rng.Float64()*5, 0)})
				case 2:
					s.SetServers(now, someServers(rng, servers))
				default:
					next++
					s.Submit(now, stream(next, now, int(next%3)))
				}
				ended := Key{Holder: 1, ID: rng.Uint64N(next + 1)}
				s.Finish(now, Outcome{Key: ended, Result: results[rng.IntN(len(results))], FirstEvent: 50 * ms, TokenTime: time.Duration(1+rng.IntN(30)) * ms})
				index := s.indexOf(now, svc)
				Expect(index).NotTo(BeNil())
				for _, srv := range svc.servers {
					if srv.hasRoom(now, s.concurrencyLimit(svc, srv)) {
						Expect(srv.entry.roomyClass).To(BeNumerically(">=", 0), "%s at %v %+v", srv.ID, now, srv)
					}
					if srv.usable(now) && !srv.pacer.limited() {
						Expect(srv.entry.usableClass).To(BeNumerically(">=", 0), "%s at %v", srv.ID, now)
					}
				}
			}
		})
	}
})

// someServers lists most of the engines of newScheduler, some of them draining.
func someServers(rng *rand.Rand, n int) (list []Server) {
	for i := range n {
		if rng.IntN(20) > 0 {
			list = append(list, Server{ID: fmt.Sprint("e", i), Service: engine, Address: fmt.Sprint("e", i), Slots: 4, Draining: rng.IntN(20) == 0})
		}
	}
	return list
}

// Holders come and go with each restart of a host, and most services are small.
var _ = Describe("what an index remembers of holders and prompts", func() {
	It("is forgotten when the holder is gone, and not gathered for a small service", func() {
		for _, servers := range []int{maxCandidates, maxCandidates + 1} {
			s := newScheduler(servers, 4)
			svc := s.services[engine]
			for id := range uint64(500) {
				r := stream(id, 0, 0)
				r.Key.Holder, r.PromptParts = id, []Part{{Key: id, Tokens: 10}}
				s.Submit(0, r)
				s.Finish(0, Outcome{Key: r.Key, Result: OK, FirstEvent: ms})
			}
			if !svc.large() {
				Expect(svc.index.byHolder).To(BeEmpty())
				Expect(svc.index.byPart.new).To(BeEmpty())
				continue
			}
			Expect(svc.index.byHolder).To(HaveLen(500))
			Expect(len(svc.index.byPart.new)).To(BeNumerically("<=", svc.index.byPart.limit))
			for id := range uint64(500) {
				s.HolderGone(0, id)
			}
			Expect(svc.index.byHolder).To(BeEmpty())
		}
	})
})
