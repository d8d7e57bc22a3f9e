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

// The load on nine engines of eight slots consists of ordinary streams that fill half of the
// slots and of a few poison requests, which end each engine that starts to run them and arrive
// repeatedly at any host, also while earlier copies wait. An engine that has ended
// refuses connections, stays listed for a while and is replaced after seconds, like an engine
// that a supervisor restarts. A caller whose answer was cut off retries once, under a new ID.
const (
	poisonLoadEngines  = 9
	ordinaryRate       = 20 // per second
	poisonRate         = 6  // per second for each poison request
	poisonLoadDuration = 20 * time.Second
	listedAfterEnd     = 3600 * ms // after the engine's end
	restartDelay       = 3 * time.Second
	maxPoisonDelay     = 400 * ms // from the placement to the engine's end
	// detectionTime is the time until a request that has ended three servers must be detected;
	// maxLateSends is how often it may still be sent later than that, as its detection may need
	// that many more ends.
	detectionTime = 3 * time.Second
	maxLateSends  = 3
)

// poisonLoadDriver plays the load against a scheduler on a simulated clock.
type poisonLoadDriver struct {
	s           *Scheduler
	rng         *rand.Rand
	events      eventQueue
	next        uint64
	engines     int
	liveEngines map[string]bool
	listed      []Server
	inFlight    map[Key]*sentRequest
	poison      []*poisonRequest

	ordinary, served, lostTwice, wronglyRefused int
}

// poisonRequest is a request that ends each engine that runs it.
type poisonRequest struct {
	fingerprint        quarantine.Fingerprint
	ends               []Time
	sends              []Time
	quarantineRefusals int
}

// sentRequest is one attempt of a caller.
type sentRequest struct {
	Request
	poison  *poisonRequest // nil for an ordinary request
	isRetry bool
	server  string
	done    bool
}

func newPoisonLoadDriver(seed uint64, poison int) *poisonLoadDriver {
	d := &poisonLoadDriver{
		s: New(DefaultPolicy()), rng: rand.New(rand.NewPCG(seed, 7)), liveEngines: map[string]bool{}, inFlight: map[Key]*sentRequest{},
	}
	d.s.SetServices(0, []Service{{Name: engine, Engine: true, KVTokens: 200_000, Stride: 3}})
	for range poisonLoadEngines {
		d.startEngine(0)
	}
	for i := range poison {
		d.poison = append(d.poison, &poisonRequest{fingerprint: fingerprintOf(-1 - i)})
	}
	return d
}

func fingerprintOf(n int) quarantine.Fingerprint {
	return quarantine.NewFingerprint("POST", "h", "/", "account", fmt.Append(nil, n))
}

func (d *poisonLoadDriver) at(t Time, do func(Time)) { heap.Push(&d.events, simEvent{t, do}) }

func (d *poisonLoadDriver) randomBetween(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(d.rng.Int64N(int64(upper-lower)))
}

func (d *poisonLoadDriver) startEngine(now Time) {
	d.engines++
	id := fmt.Sprintf("e%d", d.engines)
	d.liveEngines[id] = true
	d.listed = append(d.listed, Server{ID: id, Service: engine, Address: id, Slots: loadSlots})
	d.s.SetServers(now, slices.Clone(d.listed))
}

// endEngine ends an engine and all its runs.
func (d *poisonLoadDriver) endEngine(now Time, id string) {
	if !d.liveEngines[id] {
		return
	}
	delete(d.liveEngines, id)
	for k, r := range d.inFlight {
		if r.server != id {
			continue
		}
		if r.poison != nil {
			r.poison.ends = append(r.poison.ends, now)
		}
		r.done = true
		delete(d.inFlight, k)
		d.at(now+d.randomBetween(2*ms, 20*ms), func(at Time) {
			d.apply(at, d.s.Finish(at, Outcome{Key: k, Result: ServerEnded}))
		})
		if r.poison == nil {
			d.retryOnce(now, r)
		}
	}
	d.at(now+listedAfterEnd, func(at Time) {
		d.listed = slices.DeleteFunc(d.listed, func(s Server) bool { return s.ID == id })
		d.s.SetServers(at, slices.Clone(d.listed))
	})
	d.at(now+restartDelay, d.startEngine)
}

func (d *poisonLoadDriver) retryOnce(now Time, r *sentRequest) {
	if r.isRetry {
		d.lostTwice++
		return
	}
	d.at(now+d.randomBetween(5*ms, 60*ms), func(at Time) { d.submit(at, r.Fingerprint, nil, true) })
}

func (d *poisonLoadDriver) submit(now Time, f quarantine.Fingerprint, poison *poisonRequest, isRetry bool) {
	d.next++
	r := &sentRequest{poison: poison, isRetry: isRetry}
	r.Key, r.Service, r.Fingerprint = Key{Holder: d.next % 7, ID: d.next}, engine, f
	r.PromptTokens, r.OutputTokens = 500, 40+d.rng.IntN(300)
	r.Arrived, r.LatencyTarget, r.Deadline = now, now+800*ms, now+8*time.Second
	d.inFlight[r.Key] = r
	out, _ := d.s.Submit(now, r.Request)
	d.apply(now, out)
}

// apply carries out the scheduler's decisions.
func (d *poisonLoadDriver) apply(now Time, out []Decision) {
	for _, decision := range out {
		r := d.inFlight[decision.Key]
		switch {
		case r == nil:
		case decision.Reason == 0:
			d.startRun(now, r, decision.Server)
		case r.server != "":
			d.finishRevoked(now, r)
		default:
			delete(d.inFlight, r.Key)
			if decision.Reason == Quarantined && r.poison == nil {
				d.wronglyRefused++
			} else if decision.Reason == Quarantined {
				r.poison.quarantineRefusals++
			}
		}
	}
}

func (d *poisonLoadDriver) finishRevoked(now Time, r *sentRequest) {
	r.done = true
	delete(d.inFlight, r.Key)
	d.at(now+3*ms, func(at Time) { d.apply(at, d.s.Finish(at, Outcome{Key: r.Key, Result: CallerLeft})) })
}

func (d *poisonLoadDriver) startRun(now Time, r *sentRequest, server string) {
	r.server = server
	if !d.liveEngines[server] {
		r.server = ""
		d.at(now+3*ms, func(at Time) {
			d.apply(at, d.s.Finish(at, Outcome{Key: r.Key, Result: Unreachable}))
			delete(d.inFlight, r.Key)
			d.submit(at, r.Fingerprint, r.poison, r.isRetry)
		})
		return
	}
	if r.poison != nil {
		r.poison.sends = append(r.poison.sends, now)
		d.at(now+d.randomBetween(60*ms, maxPoisonDelay), func(at Time) {
			if !r.done {
				d.endEngine(at, server)
			}
		})
		return
	}
	took := time.Duration(r.OutputTokens) * 7 * ms
	d.at(now+took, func(at Time) {
		if r.done {
			return
		}
		d.served++
		delete(d.inFlight, r.Key)
		d.apply(at, d.s.Finish(at, Outcome{Key: r.Key, Result: OK, FirstEvent: 100 * ms, TokenTime: 7 * ms}))
	})
}

func (d *poisonLoadDriver) simulate() {
	for t := Time(0); t < poisonLoadDuration; t += time.Second / ordinaryRate {
		d.at(t+d.randomBetween(0, 50*ms), func(at Time) {
			d.ordinary++
			d.submit(at, fingerprintOf(d.ordinary), nil, false)
		})
	}
	for _, f := range d.poison {
		for t := 2 * time.Second; t < poisonLoadDuration; t += time.Second / poisonRate {
			d.at(t+d.randomBetween(0, 160*ms), func(at Time) { d.submit(at, f.fingerprint, f, false) })
		}
	}
	for t := Time(0); t < poisonLoadDuration+10*time.Second; t += 10 * ms {
		d.at(t, func(at Time) { d.apply(at, d.s.Tick(at)) })
	}
	for len(d.events) > 0 {
		next := heap.Pop(&d.events).(simEvent)
		next.do(next.at)
	}
}

func (f *poisonRequest) lateSends() (n int) {
	if len(f.ends) < 3 {
		return 0
	}
	for _, at := range f.sends {
		if at > f.ends[2]+detectionTime {
			n++
		}
	}
	return n
}

var _ = Describe("requests that end the engines that run them", func() {
	// A poison request crashes each engine that starts to run it, with up to seven other runs.
	// It is retried at other hosts, several copies at once. Without quarantine, engine after
	// engine ended and other callers lost their answers twice.
	DescribeTable("are kept from further engines, and no other requests are",
		func(poison int) {
			for seed := range uint64(20) {
				d := newPoisonLoadDriver(seed, poison)
				d.simulate()
				for _, f := range d.poison {
					Expect(f.lateSends()).To(BeNumerically("<=", maxLateSends), "seed %d: %d sends, %d ends", seed, len(f.sends), len(f.ends))
					Expect(f.quarantineRefusals).To(BeNumerically(">", 0), "seed %d", seed)
				}
				Expect(d.wronglyRefused).To(BeZero(), "seed %d", seed)
				GinkgoWriter.Printf("seed %d: engines ended %d, served %d of %d, lost twice %d\n", seed, d.engines-len(d.liveEngines), d.served, d.ordinary, d.lostTwice)
			}
		},
		Entry("one", 1), Entry("two", 2), Entry("five", 5),
	)
})
