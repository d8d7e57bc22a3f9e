package sched

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

// The load of a day on which some requests end each engine that begins to run them: nine
// engines of eight places, ordinary streams that fill half of them, and a few fatal requests
// that come again and again at any host, also while earlier copies wait. An engine that has
// ended refuses connections, is listed for a while, and is replaced after seconds, as was
// seen of engines whose process is started anew by a supervisor. A caller whose answer broke
// off comes again once, under a new id.
const (
	fatalEngines   = 9
	ordinaryRate   = 20 // a second
	fatalRate      = 6  // a second for each fatal request
	fatalTime      = 20 * time.Second
	listedFor      = 3600 * ms // after the end
	restartsAfter  = 3 * time.Second
	fatalAfterMost = 400 * ms // from the place to the engine's end
	// A request that has ended three servers may reach three more later than learnTime
	// after that; so much may be needed to know it.
	learnTime    = 3 * time.Second
	lateSendsMax = 3
)

type fatalDay struct {
	s       *Scheduler
	rng     *rand.Rand
	agenda  eventQueue
	next    uint64
	engines int
	live    map[string]bool
	listed  []Server
	open    map[Key]*fatalRun
	fatal   []*fatalRequest

	ordinary, served, lostTwice, wrongly int
}

// fatalRequest is one request that ends engines.
type fatalRequest struct {
	fingerprint quarantine.Fingerprint
	ends        []Time
	sends       []Time
	told        int // that it is in quarantine
}

type fatalRun struct {
	Request
	fatal  *fatalRequest // nil: an ordinary request
	again  bool
	server string
	over   bool
}

func newFatalDay(seed uint64, fatal int) *fatalDay {
	d := &fatalDay{
		s: New(DefaultPolicy()), rng: rand.New(rand.NewPCG(seed, 7)), live: map[string]bool{}, open: map[Key]*fatalRun{},
	}
	d.s.SetServices(0, []Service{{Name: engine, Engine: true, KVTokens: 200_000, Stride: 3}})
	for range fatalEngines {
		d.start(0)
	}
	for i := range fatal {
		d.fatal = append(d.fatal, &fatalRequest{fingerprint: fingerprintOf(-1 - i)})
	}
	return d
}

func fingerprintOf(n int) quarantine.Fingerprint {
	return quarantine.Of("POST", "h", "/", "account", fmt.Append(nil, n))
}

func (d *fatalDay) at(t Time, do func(Time)) { heap.Push(&d.agenda, simEvent{t, do}) }

func (d *fatalDay) between(least, most time.Duration) time.Duration {
	return least + time.Duration(d.rng.Int64N(int64(most-least)))
}

func (d *fatalDay) start(now Time) {
	d.engines++
	id := fmt.Sprintf("e%d", d.engines)
	d.live[id] = true
	d.listed = append(d.listed, Server{ID: id, Service: engine, Address: id, Slots: loadSlots})
	d.s.SetServers(now, slices.Clone(d.listed))
}

// end ends an engine with all that runs there.
func (d *fatalDay) end(now Time, id string) {
	if !d.live[id] {
		return
	}
	delete(d.live, id)
	for k, r := range d.open {
		if r.server != id {
			continue
		}
		if r.fatal != nil {
			r.fatal.ends = append(r.fatal.ends, now)
		}
		r.over = true
		delete(d.open, k)
		d.at(now+d.between(2*ms, 20*ms), func(at Time) {
			d.take(at, d.s.Finish(at, Outcome{Key: k, Result: Ended}))
		})
		if r.fatal == nil {
			d.comeAgain(now, r)
		}
	}
	d.at(now+listedFor, func(at Time) {
		d.listed = slices.DeleteFunc(d.listed, func(s Server) bool { return s.ID == id })
		d.s.SetServers(at, slices.Clone(d.listed))
	})
	d.at(now+restartsAfter, d.start)
}

func (d *fatalDay) comeAgain(now Time, r *fatalRun) {
	if r.again {
		d.lostTwice++
		return
	}
	d.at(now+d.between(5*ms, 60*ms), func(at Time) { d.submit(at, r.Fingerprint, nil, true) })
}

func (d *fatalDay) submit(now Time, f quarantine.Fingerprint, fatal *fatalRequest, again bool) {
	d.next++
	r := &fatalRun{fatal: fatal, again: again}
	r.Key, r.Service, r.Fingerprint = Key{Holder: d.next % 7, ID: d.next}, engine, f
	r.PromptTokens, r.OutputTokens = 500, 40+d.rng.IntN(300)
	r.Arrived, r.Aim, r.Deadline = now, now+800*ms, now+8*time.Second
	d.open[r.Key] = r
	out, _ := d.s.Submit(now, r.Request)
	d.take(now, out)
}

// take plays what the scheduler decides.
func (d *fatalDay) take(now Time, out []Decision) {
	for _, decision := range out {
		r := d.open[decision.Key]
		switch {
		case r == nil:
		case decision.Reason == 0:
			d.run(now, r, decision.Server)
		case r.server != "":
			d.revoked(now, r)
		default:
			delete(d.open, r.Key)
			if decision.Reason == Quarantined && r.fatal == nil {
				d.wrongly++
			} else if decision.Reason == Quarantined {
				r.fatal.told++
			}
		}
	}
}

func (d *fatalDay) revoked(now Time, r *fatalRun) {
	r.over = true
	delete(d.open, r.Key)
	d.at(now+3*ms, func(at Time) { d.take(at, d.s.Finish(at, Outcome{Key: r.Key, Result: Left})) })
}

func (d *fatalDay) run(now Time, r *fatalRun, server string) {
	r.server = server
	if !d.live[server] {
		r.server = ""
		d.at(now+3*ms, func(at Time) {
			d.take(at, d.s.Finish(at, Outcome{Key: r.Key, Result: Unreachable}))
			delete(d.open, r.Key)
			d.submit(at, r.Fingerprint, r.fatal, r.again)
		})
		return
	}
	if r.fatal != nil {
		r.fatal.sends = append(r.fatal.sends, now)
		d.at(now+d.between(60*ms, fatalAfterMost), func(at Time) {
			if !r.over {
				d.end(at, server)
			}
		})
		return
	}
	took := time.Duration(r.OutputTokens) * 7 * ms
	d.at(now+took, func(at Time) {
		if r.over {
			return
		}
		d.served++
		delete(d.open, r.Key)
		d.take(at, d.s.Finish(at, Outcome{Key: r.Key, Result: OK, First: 100 * ms, Pace: 7 * ms}))
	})
}

func (d *fatalDay) play() {
	for t := Time(0); t < fatalTime; t += time.Second / ordinaryRate {
		d.at(t+d.between(0, 50*ms), func(at Time) {
			d.ordinary++
			d.submit(at, fingerprintOf(d.ordinary), nil, false)
		})
	}
	for _, f := range d.fatal {
		for t := 2 * time.Second; t < fatalTime; t += time.Second / fatalRate {
			d.at(t+d.between(0, 160*ms), func(at Time) { d.submit(at, f.fingerprint, f, false) })
		}
	}
	for t := Time(0); t < fatalTime+10*time.Second; t += 10 * ms {
		d.at(t, func(at Time) { d.take(at, d.s.Tick(at)) })
	}
	for len(d.agenda) > 0 {
		next := heap.Pop(&d.agenda).(simEvent)
		next.do(next.at)
	}
}

func (f *fatalRequest) late() (n int) {
	if len(f.ends) < 3 {
		return 0
	}
	for _, at := range f.sends {
		if at > f.ends[2]+learnTime {
			n++
		}
	}
	return n
}

var _ = Describe("requests that end the engines which run them", func() {
	// Story: a review crashes each engine that begins to run it, with up to seven others. It
	// comes again at other hosts, several at once. Engine after engine ended, and callers
	// beside it lost their answers twice.
	DescribeTable("are kept from further engines, and nobody else is",
		func(fatal int) {
			for seed := range uint64(20) {
				d := newFatalDay(seed, fatal)
				d.play()
				for _, f := range d.fatal {
					Expect(f.late()).To(BeNumerically("<=", lateSendsMax), "seed %d: %d sends, %d ends", seed, len(f.sends), len(f.ends))
					Expect(f.told).To(BeNumerically(">", 0), "seed %d", seed)
				}
				Expect(d.wrongly).To(BeZero(), "seed %d", seed)
				GinkgoWriter.Printf("seed %d: engines ended %d, served %d of %d, lost twice %d\n", seed, d.engines-len(d.live), d.served, d.ordinary, d.lostTwice)
			}
		},
		Entry("one", 1), Entry("two", 2), Entry("five", 5),
	)
})
