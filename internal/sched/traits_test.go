package sched

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/rollout"
)

const (
	badPart    = 0xbad0bad0
	systemPart = 0xf0
)

// submitParts submits a new request with shared prompt parts.
func (d *suspectsDriver) submitParts(now Time, parts ...uint64) (Key, []Decision) {
	d.next++
	r := Request{
		Key: Key{Holder: 1, ID: d.next}, Service: engine, Account: "a", Route: "r", Fingerprint: fingerprintOf(int(1000 + d.next)), PromptTokens: 500, OutputTokens: 100,
		Arrived: now, LatencyTarget: now + 800*ms, Deadline: now + 8*time.Second, SharedParts: len(parts),
	}
	for _, p := range parts {
		r.PromptParts = append(r.PromptParts, Part{Key: p, Tokens: 60})
	}
	r.PromptParts = append(r.PromptParts, Part{Key: 1<<40 + d.next, Tokens: 300})
	out, _ := d.Submit(now, r)
	return r.Key, out
}

// crashUnder lets a server end under a new request with these parts, and sound ones be answered after it.
func (d *suspectsDriver) crashUnder(now Time, parts ...uint64) {
	k, out := d.submitParts(now, parts...)
	ExpectWithOffset(1, out).To(ConsistOf(HaveField("Server", Not(BeEmpty()))))
	d.finish(now+100*ms, k, ServerEnded)
	d.listed++
	d.list(now+110*ms, d.listed)
	d.answerSound(now + 200*ms)
}

// answerSound lets sound requests be answered for 0.4 s.
func (d *suspectsDriver) answerSound(from Time) {
	for i := range 20 {
		at := from + time.Duration(i)*20*ms
		k, _ := d.submitParts(at, systemPart)
		d.Finish(at+10*ms, Outcome{Key: k, Result: OK, FirstEvent: 5 * ms})
	}
}

var _ = Describe("a prompt part under which servers ended", func() {
	var d *suspectsDriver
	BeforeEach(func() {
		d = newSuspectsDriver(6)
		d.listed = 6
	})

	// Requests with the part that are sent before the first one has crashed its server crash more.
	It("is on one run at a time until one has begun to be answered", func() {
		d.crashUnder(0, systemPart, badPart)
		first, out := d.submitParts(time.Second, systemPart, badPart)
		Expect(out).To(ConsistOf(And(HaveField("Server", Not(BeEmpty())), HaveField("ReportBegin", true))))
		second, out := d.submitParts(1010*ms, systemPart, badPart)
		Expect(out).To(BeEmpty(), "it waits")
		_, sound := d.submitParts(1020*ms, systemPart)
		Expect(sound).To(ConsistOf(HaveField("Server", Not(BeEmpty()))))
		out = d.Finish(1200*ms, Outcome{Key: first, Result: Progress, FirstEvent: 150 * ms})
		Expect(append(out, d.Tick(1300*ms)...)).To(ConsistOf(And(HaveField("Key", second), HaveField("Server", Not(BeEmpty())))))
	})

	It("is refused at once when it is in quarantine, and its runs without an event are revoked", func() {
		adopt := func(id uint64, server string) Key {
			k := Key{Holder: 2, ID: id}
			d.Adopt(0, AdoptedRun{Key: k, Service: engine, Server: server, Account: "a", Route: "r", SharedParts: []uint64{systemPart, badPart}, Fingerprint: fingerprintOf(int(id)), Priority: -1})
			return k
		}
		begun, waiting := adopt(10, "e5"), adopt(11, "e5")
		d.Finish(50*ms, Outcome{Key: begun, Result: Progress, FirstEvent: 40 * ms})
		var out []Decision
		for i := range uint64(4) {
			d.answerSound(time.Duration(i)*time.Second + 200*ms)
			out = append(out, d.finish(time.Duration(i+1)*time.Second, adopt(i, fmt.Sprint("e", i)), ServerEnded)...)
			out = append(out, d.Tick(time.Duration(i+1)*time.Second+500*ms)...)
		}
		Expect(out).To(ConsistOf(And(HaveField("Key", waiting), HaveField("Reason", QuarantinedPart))))
		_, out = d.submitParts(6*time.Second, systemPart, badPart, 0x30)
		Expect(out).To(ConsistOf(And(HaveField("Reason", QuarantinedPart), HaveField("RetryAfter", BeNumerically(">", 9*time.Minute)),
			HaveField("Detail", ContainSubstring("part=bad0bad0")))))
		_, out = d.submitParts(6*time.Second, systemPart, 0x30)
		Expect(out).To(ConsistOf(HaveField("Server", Not(BeEmpty()))))
	})

	// Hosts without a home each know few of the runs and ends.
	It("is not run by a host that schedules alone once it has crashed two", func() {
		d.crashUnder(0, systemPart, badPart)
		d.crashUnder(time.Second, systemPart, badPart)
		d.SetShare(2*time.Second, Share{Servers: 0.5, Quotas: 0.1})
		_, out := d.submitParts(3*time.Second, systemPart, badPart)
		Expect(out).To(BeEmpty())
		_, out = d.submitParts(3*time.Second, systemPart)
		Expect(out).To(ConsistOf(HaveField("Server", Not(BeEmpty()))))
		Expect(d.QuarantinedTraits()).To(BeZero())
	})

	// The run is adopted by a new home, which must know its traits when it is lost.
	It("is known for runs that another scheduler placed", func() {
		for i := range 2 {
			k := Key{Holder: 2, ID: uint64(i)}
			d.Adopt(0, AdoptedRun{Key: k, Service: engine, Server: fmt.Sprint("e", i), Account: "a", Route: "r", SharedParts: []uint64{badPart}, Fingerprint: fingerprintOf(i), Priority: -1})
			d.finish(time.Duration(i+1)*time.Second, k, ServerEnded)
		}
		Expect(d.Traits(3 * time.Second)).To(ContainElement(And(HaveField("Trait.Part", uint64(badPart)), HaveField("Ends", HaveLen(2)))))
	})
})

var _ = Describe("a host that has just started", func() {
	// All hosts restart at once. The first home led before it had read what is in quarantine, and ran it.
	It("holds requests for engines back until it knows what is in quarantine", func() {
		d := newSuspectsDriver(6)
		d.AwaitQuarantine(time.Second)
		k, out := d.submitParts(100*ms, badPart)
		Expect(out).To(BeEmpty())
		Expect(d.Tick(200 * ms)).To(BeEmpty())
		d.LearnTraits(300*ms, []quarantine.TraitRecord{{Trait: quarantine.Trait{Kind: quarantine.PromptPart, Service: engine, Part: badPart}, Quarantined: true, RetryIn: time.Minute}})
		d.QuarantineKnown()
		Expect(d.Tick(310 * ms)).To(ConsistOf(And(HaveField("Key", k), HaveField("Reason", QuarantinedPart))))
	})
	It("does so for a limited time", func() {
		d := newSuspectsDriver(6)
		d.AwaitQuarantine(time.Second)
		k, _ := d.submitParts(100*ms, badPart)
		Expect(d.Tick(1010 * ms)).To(ConsistOf(And(HaveField("Key", k), HaveField("Server", Not(BeEmpty())))))
	})
})

var _ = Describe("a prompt part with which requests fail wherever they run", func() {
	// Different requests with one part make each server break its answer off or answer with an error. Each
	// server looked faulty, since no request failed at two of them, and was avoided or ejected.
	DescribeTable("does not make servers look faulty",
		func(result Result) {
			d := newSuspectsDriver(3)
			for i := range 60 {
				now := time.Duration(i) * 200 * ms
				for j := range 4 {
					at := now + time.Duration(j)*20*ms
					k, out := d.submitParts(at, systemPart, badPart)
					Expect(out).To(ConsistOf(HaveField("Server", Not(BeEmpty()))))
					d.finish(at+10*ms, k, result)
				}
				k, out := d.submitParts(now+100*ms, systemPart)
				Expect(out).To(ConsistOf(HaveField("Server", Not(BeEmpty()))))
				d.Finish(now+150*ms, Outcome{Key: k, Result: OK, FirstEvent: 20 * ms})
			}
			for _, srv := range d.servers {
				Expect(srv.failureRateAt(12*time.Second)).To(BeNumerically("<", 0.1), srv.ID)
			}
			Expect(d.TakeEjections()).To(BeEmpty())
		},
		Entry("broken answers", Broken),
		Entry("errors", ServerError),
	)
	It("is not identified by failures at one faulty server", func() {
		d := newSuspectsDriver(2)
		for i := range 40 {
			now := time.Duration(i) * 100 * ms
			k, out := d.submitParts(now, systemPart, 0x11)
			if len(out) > 0 && out[0].Server == "e0" {
				d.finish(now+10*ms, k, Broken)
			} else {
				d.finish(now+10*ms, k, OK)
			}
		}
		Expect(d.servers["e0"].failureRate).To(BeNumerically(">", 0.2))
	})
})

var _ = Describe("a prompt part under which a server ended", func() {
	// A new version on trial gets few requests. If those with the part crashed its servers, or broke their
	// answers, the version would be blamed for it.
	DescribeTable("is not tried at servers of a version on trial", func(outputTokens int) {
		d := newVersionDriver()
		d.list(0, map[string]int{"v1": 4, "v2": 4})
		d.SetBounds(rollout.Bounds{Share: 0.5, Slack: 500})
		order := rollout.Order{Service: "app", To: "v2", Timeout: 10 * time.Second, RowVersion: 5}
		d.SetOrder(order)
		d.StartTrial(0, order, 0, false)
		part := quarantine.Trait{Kind: quarantine.PromptPart, Service: "app", Part: badPart}
		d.LearnTraits(0, []quarantine.TraitRecord{{Trait: part, Ends: []quarantine.TraitEnd{{Server: "gone", Age: time.Second}}}})
		used := map[string]int{}
		for i := range uint64(100) {
			now := time.Duration(i) * 20 * ms
			key := Key{Holder: 1, ID: i}
			out, _ := d.Submit(now, Request{
				Key: key, Service: "app", Route: "r", Arrived: now, LatencyTarget: now + 100*ms, Deadline: now + time.Second,
				PromptParts: []Part{{Key: badPart}, {Key: 1 << 40}}, SharedParts: 1, OutputTokens: outputTokens,
			})
			Expect(out).To(ConsistOf(HaveField("Server", Not(BeEmpty()))))
			used[d.servers[out[0].Server].Version]++
			d.Finish(now+10*ms, Outcome{Key: key, Result: CallerLeft})
		}
		Expect(used).To(Equal(map[string]int{"v1": 100}))
	},
		Entry("for the trial's sake", 0),
		Entry("because its answer would outlast the old servers", 1_000_000),
	)
})
