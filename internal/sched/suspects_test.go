package sched

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

// suspectsDay is a scheduler with engines of eight places.
type suspectsDay struct {
	*Scheduler
	next uint64
}

func newSuspectsDay(engines int) *suspectsDay {
	d := &suspectsDay{Scheduler: New(DefaultPolicy())}
	d.SetServices(0, []Service{{Name: engine, Engine: true, KVTokens: 200_000, Stride: 3}})
	d.list(0, engines)
	return d
}

func (d *suspectsDay) list(now Time, engines int) {
	var list []Server
	for i := range engines {
		id := fmt.Sprint("e", i)
		list = append(list, Server{ID: id, Service: engine, Address: id, Slots: 8})
	}
	d.SetServers(now, list)
}

// ask submits a copy of a request and returns its key and what was decided at once.
func (d *suspectsDay) ask(now Time, f quarantine.Fingerprint) (Key, []Decision) {
	d.next++
	r := Request{
		Key: Key{Holder: 1, ID: d.next}, Service: engine, Fingerprint: f, PromptTokens: 500, OutputTokens: 100,
		Arrived: now, Aim: now + 800*ms, Deadline: now + 8*time.Second,
	}
	out, _ := d.Submit(now, r)
	return r.Key, out
}

// place asks for a place that is to be had.
func (d *suspectsDay) place(now Time, f quarantine.Fingerprint) (Key, string) {
	k, out := d.ask(now, f)
	ExpectWithOffset(1, out).To(ConsistOf(HaveField("Server", Not(BeEmpty()))))
	return k, out[0].Server
}

func (d *suspectsDay) finish(now Time, k Key, result Result) []Decision {
	return d.Finish(now, Outcome{Key: k, Result: result})
}

var _ = Describe("a request under which a server ended", func() {
	f := fingerprintOf(1)

	// Story: the same request stands at several hosts. Each copy that is sent before the
	// first has ended its engine ends another one.
	It("runs one copy at a time, until one is well on its way", func() {
		d := newSuspectsDay(6)
		k, _ := d.place(0, f)
		d.finish(100*ms, k, Ended)
		first, _ := d.place(200*ms, f)
		second, out := d.ask(210*ms, f)
		Expect(out).To(BeEmpty(), "it waits")
		out = d.Finish(1200*ms, Outcome{Key: first, Result: Pace, First: 50 * ms, Pace: 7 * ms})
		Expect(append(out, d.Tick(1300*ms)...)).To(ConsistOf(And(HaveField("Key", second), HaveField("Server", Not(BeEmpty())))))
	})

	// Story: five copies were sent before the first end. Three engines end, one after the
	// other; the two copies that still wait at theirs must be taken back.
	It("has its copies revoked when it is in quarantine", func() {
		d := newSuspectsDay(6)
		keys := map[Key]bool{}
		var running []Key
		for range 5 {
			k, _ := d.place(0, f)
			running = append(running, k)
		}
		var out []Decision
		for i, k := range running[:3] {
			at := time.Duration(i+1) * 1100 * ms
			out = append(out, d.finish(at, k, Ended)...)
		}
		out = append(out, d.Tick(5*time.Second)...)
		for _, decision := range out {
			Expect(decision.Reason).To(Equal(Quarantined))
			Expect(decision.Detail).To(ContainSubstring("ended:"))
			keys[decision.Key] = true
		}
		Expect(keys).To(And(HaveLen(2), HaveKey(running[3]), HaveKey(running[4])))
	})

	It("is not held for servers that were to leave, nor for answers that were only lost", func() {
		d := newSuspectsDay(3)
		k, server := d.place(0, f)
		d.SetServers(time.Second, []Server{{ID: server, Service: engine, Address: server, Slots: 8, Draining: true}, {ID: "other", Service: engine, Address: "other", Slots: 8}})
		d.finish(2*time.Second, k, Ended)
		Expect(d.Suspects(2 * time.Second)).To(BeEmpty())
		k, _ = d.place(3*time.Second, f)
		d.finish(4*time.Second, k, Broken)
		Expect(d.Suspects(4 * time.Second)).To(BeEmpty())
	})

	// Story: a supervisor starts an engine again at once. It accepts connections when it is
	// asked after the broken answer, so the answer looks lost and nothing more.
	It("is held for a server whose next incarnation answers", func() {
		d := newSuspectsDay(3)
		k, server := d.place(0, f)
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

	// Story: the home is lost. Each host alone knows two ends of a request; were each to try
	// it once more, as many engines would end as there are hosts.
	It("waits for a home when two have ended", func() {
		d := newSuspectsDay(6)
		for i := range 2 {
			k, _ := d.place(time.Duration(i)*3*time.Second, f)
			d.finish(time.Duration(i)*3*time.Second+100*ms, k, Ended)
		}
		d.SetShare(5*time.Second, Share{Servers: 0.5, Limits: 0.1})
		_, out := d.ask(6*time.Second, f)
		Expect(out).To(BeEmpty())
		d.SetShare(7*time.Second, Share{Servers: 1, Limits: 1})
		Expect(d.Tick(7 * time.Second)).To(ConsistOf(HaveField("Server", Not(BeEmpty()))))
	})

	// Story: a host that follows a home hears of three ends under a request, but not that a
	// rack ended each time. It put the request in quarantine, and told the store.
	It("is not put in quarantine by a host that knows a part", func() {
		d := newSuspectsDay(6)
		d.SetShare(0, Share{Servers: 0.5, Limits: 0.1})
		for i := range 4 {
			at := time.Duration(i) * 3 * time.Second
			d.LearnLoss(at, quarantine.Loss{Fingerprint: f, Service: engine, Server: fmt.Sprint("e", i)})
			d.Tick(at + 2*time.Second)
		}
		_, out := d.ask(20*time.Second, f)
		Expect(out).To(BeEmpty())
		Expect(d.Quarantined()).To(BeZero())
		d.SetShare(21*time.Second, Share{Servers: 1, Limits: 1})
		Expect(d.Tick(21 * time.Second)).To(ConsistOf(HaveField("Reason", Quarantined)))
	})

	// Story: a caller whose engine ended with the poison request comes again, and so does the
	// poison. On the same engine it would be lost once more.
	It("keeps apart from the others that were lost with it", func() {
		d := newSuspectsDay(3)
		other := fingerprintOf(2)
		for i := range 2 {
			at := time.Duration(i) * 3 * time.Second
			k, _ := d.place(at, f)
			o, _ := d.place(at, other)
			d.finish(at+100*ms, k, Ended)
			d.finish(at+100*ms, o, Ended)
		}
		_, where := d.place(10*time.Second, f)
		_, out := d.ask(10*time.Second+trialSpace, other)
		for _, decision := range out {
			Expect(decision.Server).NotTo(Equal(where))
		}
	})
})

var _ = Describe("a request that fails wherever it runs", func() {
	// Story: one caller sends a body that every engine breaks off, a few times a second.
	// Each engine looked faulty after a few of them and was taken out for seconds; other
	// callers were told that no server was usable.
	It("has no server taken out", func() {
		d := newSuspectsDay(3)
		for i := range 60 {
			now := time.Duration(i) * 200 * ms
			for j := range 4 {
				at := now + time.Duration(j)*20*ms
				k, _ := d.place(at, fingerprintOf(1))
				d.finish(at+10*ms, k, Broken)
			}
			other, _ := d.place(now+100*ms, fingerprintOf(1000+i))
			d.finish(now+150*ms, other, OK)
		}
	})
	It("is not known by one faulty server", func() {
		d := newSuspectsDay(2)
		for i := range 20 {
			now := time.Duration(i) * 100 * ms
			if k, out := d.ask(now, fingerprintOf(i)); len(out) > 0 && out[0].Server == "e0" {
				d.finish(now+10*ms, k, Broken)
			} else {
				d.finish(now+10*ms, k, OK)
			}
		}
		Expect(d.servers["e0"].failing).To(BeNumerically(">", 0.2))
	})
})
