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

// The load contains requests that end each engine that starts to run them: nine engines of
// eight slots, ordinary streams that fill half of the slots, and a few fatal requests that
// arrive repeatedly at any host, also while earlier copies wait. An engine that has ended
// refuses connections, stays listed for a while and is replaced after seconds, like an engine
// that a supervisor restarts. A caller whose answer was cut off retries once, under a new ID.
const (
	fatalEngines      = 9
	ordinaryRate      = 20 // per second
	fatalRate         = 6  // per second for each fatal request
	fatalLoadDuration = 20 * time.Second
	listedAfterEnd    = 3600 * ms // after the engine's end
	restartDelay      = 3 * time.Second
	maxFatalDelay     = 400 * ms // from the placement to the engine's end
	// A request that has ended three servers may be sent up to maxLateSends times later than
	// detectionTime after the third end: its detection may need that many ends.
	detectionTime = 3 * time.Second
	maxLateSends  = 3
)

type fatalLoadDriver struct {
	s           *Scheduler
	rng         *rand.Rand
	agenda      eventQueue
	next        uint64
	engines     int
	liveEngines map[string]bool
	listed      []Server
	inFlight    map[Key]*fatalRun
	fatal       []*fatalRequest

	ordinary, served, lostTwice, wronglyRefused int
}

// fatalRequest is a request that ends engines.
type fatalRequest struct {
	fingerprint        quarantine.Fingerprint
	ends               []Time
	sends              []Time
	quarantineRefusals int
}

type fatalRun struct {
	Request
	fatal   *fatalRequest // nil for an ordinary request
	isRetry bool
	server  string
	done    bool
}

func newFatalLoadDriver(seed uint64, fatal int) *fatalLoadDriver {
	d := &fatalLoadDriver{
		s: New(DefaultPolicy()), rng: rand.New(rand.NewPCG(seed, 7)), liveEngines: map[string]bool{}, inFlight: map[Key]*fatalRun{},
	}
	d.s.SetServices(0, []Service{{Name: engine, Engine: true, KVTokens: 200_000, Stride: 3}})
	for range fatalEngines {
		d.startEngine(0)
	}
	for i := range fatal {
		d.fatal = append(d.fatal, &fatalRequest{fingerprint: fingerprintOf(-1 - i)})
	}
	return d
}

func fingerprintOf(n int) quarantine.Fingerprint {
	return quarantine.NewFingerprint("POST", "h", "/", "account", fmt.Append(nil, n))
}

func (d *fatalLoadDriver) at(t Time, do func(Time)) { heap.Push(&d.agenda, simEvent{t, do}) }

func (d *fatalLoadDriver) randomBetween(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(d.rng.Int64N(int64(upper-lower)))
}

func (d *fatalLoadDriver) startEngine(now Time) {
	d.engines++
	id := fmt.Sprintf("e%d", d.engines)
	d.liveEngines[id] = true
	d.listed = append(d.listed, Server{ID: id, Service: engine, Address: id, Slots: loadSlots})
	d.s.SetServers(now, slices.Clone(d.listed))
}

// endEngine ends an engine and all its runs.
func (d *fatalLoadDriver) endEngine(now Time, id string) {
	if !d.liveEngines[id] {
		return
	}
	delete(d.liveEngines, id)
	for k, r := range d.inFlight {
		if r.server != id {
			continue
		}
		if r.fatal != nil {
			r.fatal.ends = append(r.fatal.ends, now)
		}
		r.done = true
		delete(d.inFlight, k)
		d.at(now+d.randomBetween(2*ms, 20*ms), func(at Time) {
			d.apply(at, d.s.Finish(at, Outcome{Key: k, Result: ServerEnded}))
		})
		if r.fatal == nil {
			d.retryOnce(now, r)
		}
	}
	d.at(now+listedAfterEnd, func(at Time) {
		d.listed = slices.DeleteFunc(d.listed, func(s Server) bool { return s.ID == id })
		d.s.SetServers(at, slices.Clone(d.listed))
	})
	d.at(now+restartDelay, d.startEngine)
}

func (d *fatalLoadDriver) retryOnce(now Time, r *fatalRun) {
	if r.isRetry {
		d.lostTwice++
		return
	}
	d.at(now+d.randomBetween(5*ms, 60*ms), func(at Time) { d.submit(at, r.Fingerprint, nil, true) })
}

func (d *fatalLoadDriver) submit(now Time, f quarantine.Fingerprint, fatal *fatalRequest, isRetry bool) {
	d.next++
	r := &fatalRun{fatal: fatal, isRetry: isRetry}
	r.Key, r.Service, r.Fingerprint = Key{Holder: d.next % 7, ID: d.next}, engine, f
	r.PromptTokens, r.OutputTokens = 500, 40+d.rng.IntN(300)
	r.Arrived, r.LatencyTarget, r.Deadline = now, now+800*ms, now+8*time.Second
	d.inFlight[r.Key] = r
	out, _ := d.s.Submit(now, r.Request)
	d.apply(now, out)
}

// apply carries out the scheduler's decisions.
func (d *fatalLoadDriver) apply(now Time, out []Decision) {
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
			if decision.Reason == Quarantined && r.fatal == nil {
				d.wronglyRefused++
			} else if decision.Reason == Quarantined {
				r.fatal.quarantineRefusals++
			}
		}
	}
}

func (d *fatalLoadDriver) finishRevoked(now Time, r *fatalRun) {
	r.done = true
	delete(d.inFlight, r.Key)
	d.at(now+3*ms, func(at Time) { d.apply(at, d.s.Finish(at, Outcome{Key: r.Key, Result: CallerLeft})) })
}

func (d *fatalLoadDriver) startRun(now Time, r *fatalRun, server string) {
	r.server = server
	if !d.liveEngines[server] {
		r.server = ""
		d.at(now+3*ms, func(at Time) {
			d.apply(at, d.s.Finish(at, Outcome{Key: r.Key, Result: Unreachable}))
			delete(d.inFlight, r.Key)
			d.submit(at, r.Fingerprint, r.fatal, r.isRetry)
		})
		return
	}
	if r.fatal != nil {
		r.fatal.sends = append(r.fatal.sends, now)
		d.at(now+d.randomBetween(60*ms, maxFatalDelay), func(at Time) {
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

func (d *fatalLoadDriver) simulate() {
	for t := Time(0); t < fatalLoadDuration; t += time.Second / ordinaryRate {
		d.at(t+d.randomBetween(0, 50*ms), func(at Time) {
			d.ordinary++
			d.submit(at, fingerprintOf(d.ordinary), nil, false)
		})
	}
	for _, f := range d.fatal {
		for t := 2 * time.Second; t < fatalLoadDuration; t += time.Second / fatalRate {
			d.at(t+d.randomBetween(0, 160*ms), func(at Time) { d.submit(at, f.fingerprint, f, false) })
		}
	}
	for t := Time(0); t < fatalLoadDuration+10*time.Second; t += 10 * ms {
		d.at(t, func(at Time) { d.apply(at, d.s.Tick(at)) })
	}
	for len(d.agenda) > 0 {
		next := heap.Pop(&d.agenda).(simEvent)
		next.do(next.at)
	}
}

func (f *fatalRequest) lateSends() (n int) {
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
	// A review request crashes each engine that starts to run it, with up to seven other runs.
	// It is retried at other hosts, several copies at once, so that engine after engine ended
	// and other callers lost their answers twice.
	DescribeTable("are kept from further engines, and no other requests are",
		func(fatal int) {
			for seed := range uint64(20) {
				d := newFatalLoadDriver(seed, fatal)
				d.simulate()
				for _, f := range d.fatal {
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
