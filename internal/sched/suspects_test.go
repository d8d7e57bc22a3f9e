package sched

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

// suspectsDriver drives a scheduler with engines of eight slots.
type suspectsDriver struct {
	*Scheduler
	next   uint64
	listed int // servers
}

func newSuspectsDriver(engines int) *suspectsDriver {
	d := &suspectsDriver{Scheduler: New(DefaultPolicy())}
	d.SetServices(0, []Service{{Name: engine, Engine: true, KVTokens: 200_000, Stride: 3}})
	d.list(0, engines)
	return d
}

func (d *suspectsDriver) list(now Time, engines int) {
	var list []Server
	for i := range engines {
		id := fmt.Sprint("e", i)
		list = append(list, Server{ID: id, Service: engine, Address: id, Slots: 8})
	}
	d.SetServers(now, list)
}

// submitCopy submits a copy of a request and returns its key and the immediate decisions.
func (d *suspectsDriver) submitCopy(now Time, f quarantine.Fingerprint) (Key, []Decision) {
	d.next++
	r := Request{
		Key: Key{Holder: 1, ID: d.next}, Service: engine, Fingerprint: f, PromptTokens: 500, OutputTokens: 100,
		Arrived: now, LatencyTarget: now + 800*ms, Deadline: now + 8*time.Second,
	}
	out, _ := d.Submit(now, r)
	return r.Key, out
}

// mustPlace submits a copy of a request and expects it to be placed at once.
func (d *suspectsDriver) mustPlace(now Time, f quarantine.Fingerprint) (Key, string) {
	k, out := d.submitCopy(now, f)
	ExpectWithOffset(1, out).To(ConsistOf(HaveField("Server", Not(BeEmpty()))))
	return k, out[0].Server
}

func (d *suspectsDriver) finish(now Time, k Key, result Result) []Decision {
	return d.Finish(now, Outcome{Key: k, Result: result})
}

var _ = Describe("a request under which a server ended", func() {
	f := fingerprintOf(1)

	// Several hosts have a copy of the same request. Each copy that is sent before the first
	// one ends its engine ends another engine.
	It("runs one copy at a time until one shows progress", func() {
		d := newSuspectsDriver(6)
		k, _ := d.mustPlace(0, f)
		d.finish(100*ms, k, ServerEnded)
		first, _ := d.mustPlace(200*ms, f)
		second, out := d.submitCopy(210*ms, f)
		Expect(out).To(BeEmpty(), "it waits")
		out = d.Finish(1200*ms, Outcome{Key: first, Result: Progress, FirstEvent: 50 * ms, TokenTime: 7 * ms})
		Expect(append(out, d.Tick(1300*ms)...)).To(ConsistOf(And(HaveField("Key", second), HaveField("Server", Not(BeEmpty())))))
	})

	// Five copies are sent before the first end. After three engines have ended, one after the
	// other, the two copies that still wait at their engines must be revoked.
	It("has its copies revoked when it is in quarantine", func() {
		d := newSuspectsDriver(6)
		keys := map[Key]bool{}
		var running []Key
		for range 5 {
			k, _ := d.mustPlace(0, f)
			running = append(running, k)
		}
		var out []Decision
		for i, k := range running[:3] {
			at := time.Duration(i+1) * 1100 * ms
			out = append(out, d.finish(at, k, ServerEnded)...)
		}
		out = append(out, d.Tick(5*time.Second)...)
		for _, decision := range out {
			Expect(decision.Reason).To(Equal(Quarantined))
			Expect(decision.Detail).To(ContainSubstring("ended:"))
			keys[decision.Key] = true
		}
		Expect(keys).To(And(HaveLen(2), HaveKey(running[3]), HaveKey(running[4])))
	})

	It("is not suspected for servers that were leaving, nor for answers that were merely lost", func() {
		d := newSuspectsDriver(3)
		k, server := d.mustPlace(0, f)
		d.SetServers(time.Second, []Server{{ID: server, Service: engine, Address: server, Slots: 8, Draining: true}, {ID: "other", Service: engine, Address: "other", Slots: 8}})
		d.finish(2*time.Second, k, ServerEnded)
		Expect(d.Suspects(2 * time.Second)).To(BeEmpty())
		k, _ = d.mustPlace(3*time.Second, f)
		d.finish(4*time.Second, k, Broken)
		Expect(d.Suspects(4 * time.Second)).To(BeEmpty())
	})

	// A supervisor restarts an engine at once. The engine accepts connections when it is probed
	// after the broken answer, so the answer looks merely broken.
	It("is suspected for a server whose next incarnation answers", func() {
		d := newSuspectsDriver(3)
		k, server := d.mustPlace(0, f)
		d.finish(100*ms, k, Broken)
		var list []Server
		for i := range 3 {
			if id := fmt.Sprint("e", i); id != server {
				list = append(list, Server{ID: id, Service: engine, Address: id, Slots: 8})
			}
		}
		d.SetServers(time.Second, append(list, Server{ID: "next", Service: engine, Address: server, Slots: 8}))
		Expect(d.Suspects(time.Second)).To(HaveLen(1))
	})

	// The home is lost, and each host knows of two ends under a request. If each host tried the
	// request once more, as many engines would end as there are hosts.
	It("waits for a home when two have ended", func() {
		d := newSuspectsDriver(6)
		for i := range 2 {
			k, _ := d.mustPlace(time.Duration(i)*3*time.Second, f)
			d.finish(time.Duration(i)*3*time.Second+100*ms, k, ServerEnded)
		}
		d.SetShare(5*time.Second, Share{Servers: 0.5, Quotas: 0.1})
		_, out := d.submitCopy(6*time.Second, f)
		Expect(out).To(BeEmpty())
		d.SetShare(7*time.Second, Share{Servers: 1, Quotas: 1})
		Expect(d.Tick(7 * time.Second)).To(ConsistOf(HaveField("Server", Not(BeEmpty()))))
	})

	// A host that follows a home learns of three ends under a request, but not that a whole rack
	// ended each time. It must not quarantine the request and write that to the store.
	It("is not quarantined by a host with partial knowledge", func() {
		d := newSuspectsDriver(6)
		d.SetShare(0, Share{Servers: 0.5, Quotas: 0.1})
		for i := range 4 {
			at := time.Duration(i) * 3 * time.Second
			d.RecordLoss(at, quarantine.Loss{Fingerprint: f, Service: engine, Server: fmt.Sprint("e", i)})
			d.Tick(at + 2*time.Second)
		}
		_, out := d.submitCopy(20*time.Second, f)
		Expect(out).To(BeEmpty())
		Expect(d.QuarantinedRequests()).To(BeZero())
		d.SetShare(21*time.Second, Share{Servers: 1, Quotas: 1})
		Expect(d.Tick(21 * time.Second)).To(ConsistOf(HaveField("Reason", Quarantined)))
	})

	// A caller whose engine was ended by a poison request retries, and so does the poison
	// request. At the same engine the caller would lose its answer again.
	It("is kept apart from the others that were lost with it", func() {
		d := newSuspectsDriver(3)
		other := fingerprintOf(2)
		for i := range 2 {
			at := time.Duration(i) * 3 * time.Second
			k, _ := d.mustPlace(at, f)
			o, _ := d.mustPlace(at, other)
			d.finish(at+100*ms, k, ServerEnded)
			d.finish(at+100*ms, o, ServerEnded)
		}
		_, where := d.mustPlace(10*time.Second, f)
		_, out := d.submitCopy(10*time.Second+minRecurrentInterval, other)
		for _, decision := range out {
			Expect(decision.Server).NotTo(Equal(where))
		}
	})
})

var _ = Describe("a request that fails wherever it runs", func() {
	// One caller sends a body that makes every engine cut off its answer, a few times per second.
	// Each engine looked faulty after a few of them and was ejected for seconds, and other
	// callers were refused because no server was usable.
	It("does not cause servers to be ejected", func() {
		d := newSuspectsDriver(3)
		for i := range 60 {
			now := time.Duration(i) * 200 * ms
			for j := range 4 {
				at := now + time.Duration(j)*20*ms
				k, _ := d.mustPlace(at, fingerprintOf(1))
				d.finish(at+10*ms, k, Broken)
			}
			other, _ := d.mustPlace(now+100*ms, fingerprintOf(1000+i))
			d.finish(now+150*ms, other, OK)
		}
	})
	It("is not identified by failures at one faulty server", func() {
		d := newSuspectsDriver(2)
		for i := range 20 {
			now := time.Duration(i) * 100 * ms
			if k, out := d.submitCopy(now, fingerprintOf(i)); len(out) > 0 && out[0].Server == "e0" {
				d.finish(now+10*ms, k, Broken)
			} else {
				d.finish(now+10*ms, k, OK)
			}
		}
		Expect(d.servers["e0"].failureRate).To(BeNumerically(">", 0.2))
	})
})
