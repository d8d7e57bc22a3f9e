package dispatch

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

var badPart = quarantine.Trait{Kind: quarantine.PromptPart, Service: "svc", Part: 0xbad0bad0}

// traitsOf returns the records of traits that a loop knows.
func traitsOf(l *Loop) (known []quarantine.TraitRecord) {
	l.Query(context.Background(), func(s *sched.Scheduler) { known = s.Traits(time.Hour) })
	return known
}

// traitWithEnds returns a record of servers that ended under requests with the bad part.
func traitWithEnds(servers ...string) quarantine.TraitRecord {
	r := quarantine.TraitRecord{Trait: badPart}
	for i, server := range servers {
		r.Ends = append(r.Ends, quarantine.TraitEnd{Server: server, Age: time.Duration(10-i) * time.Second, Requests: []quarantine.Fingerprint{poisonFingerprint}})
	}
	return r
}

// readTraits reads until the home sends records of traits.
func (e *holderEnd) readTraits() []*wire.SuspectTrait {
	Expect(e.conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	for {
		m := &wire.ToHolder{}
		Expect(wire.Read(e.r, m)).To(Succeed())
		if len(m.Traits) > 0 {
			return m.Traits
		}
	}
}

var _ = Describe("a record of a trait under which servers ended", func() {
	// The home is lost with its records; each host knows the runs that it lost itself.
	It("is merged from all hosts that begin to follow a home", func() {
		h, loop := startHome()
		h.Lead(true)
		openLink(h).send(&wire.ToHome{Traits: encodeTraits([]quarantine.TraitRecord{traitWithEnds("e1")})})
		Eventually(func() []quarantine.TraitRecord { return traitsOf(loop) }).Should(HaveLen(1))
		openLink(h).send(&wire.ToHome{Traits: encodeTraits([]quarantine.TraitRecord{traitWithEnds("e1", "e2")})})
		Eventually(func() int { return len(traitsOf(loop)[0].Ends) }).Should(Equal(2))
	})

	It("reaches a host that begins to follow, and those that follow at once", func() {
		h, loop := startHome()
		h.Lead(true)
		loop.LearnTraits([]quarantine.TraitRecord{traitWithEnds("e1", "e2")})
		e := openLink(h)
		Expect(e.readTraits()[0].Ends).To(HaveLen(2))
		Eventually(h.Followers).Should(Equal(1))
		loop.LearnTraits([]quarantine.TraitRecord{{Trait: badPart, Quarantined: true, RetryIn: time.Minute}})
		Eventually(func() bool { return e.readTraits()[0].Quarantined }).Should(BeTrue())
	})

	// A host loses a run together with its server, and its home at the same time. Without its own answers
	// it would then suspect the system prompt of all requests.
	It("is kept by the host whose run was lost, as are the answers that speak for it", func() {
		c, loop := startHost(neverLeaving, "a")
		request := &PlacementRequest{Service: "svc", Fingerprint: poisonFingerprint, PromptParts: []sched.Part{{Key: badPart.Part}, {Key: 1}}, SharedParts: 1}
		p := &pending{request: request, server: "a", placedAt: time.Now()}
		c.mu.Lock()
		c.learnLoss(p, false)
		c.mu.Unlock()
		Eventually(func() []quarantine.TraitRecord { return traitsOf(loop) }).Should(HaveLen(1))
		Eventually(loop.tracksTraits.Load).Should(BeTrue())
		for range 4 {
			c.mu.Lock()
			c.recordAnswer(&pending{request: request, server: "b", placedAt: time.Now()}, sched.Outcome{Result: sched.OK, FirstEvent: time.Millisecond})
			c.mu.Unlock()
		}
		Eventually(func() []quarantine.TraitRecord { return traitsOf(loop) }).Should(BeEmpty())
	})

	It("is encoded completely", func() {
		r := quarantine.TraitRecord{
			Trait: quarantine.Trait{Kind: quarantine.AccountRoute, Service: "s", Account: "a", Route: "r"}, Begun: 1, Whole: 2,
			Quarantined: true, Age: time.Second, RetryIn: time.Minute, By: "front-1", Accounts: []string{"a"}, With: []quarantine.Trait{badPart},
			Cleared: true, ClearedAge: time.Hour,
			Ends: []quarantine.TraitEnd{{Server: "e1", Age: 2 * time.Second, Begun: true, Requests: []quarantine.Fingerprint{poisonFingerprint}, Accounts: []string{"a"}, Spread: 0.5}},
		}
		Expect(decodeTraits(encodeTraits([]quarantine.TraitRecord{r}))).To(Equal([]quarantine.TraitRecord{r}))
		Expect(decodeTraits([]*wire.SuspectTrait{{Trait: &wire.Trait{Kind: 77}}, {}})).To(HaveEach(HaveField("Trait", quarantine.Trait{})))
	})
})

var _ = Describe("a placement whose request is put in quarantine before it is used", func() {
	// The host was still connecting to the server when the placement was revoked.
	It("is revoked when it is about to be used", func() {
		c, _ := startHost(neverLeaving, "a")
		p := &pending{request: &PlacementRequest{Service: "svc"}, server: "a", placedAt: time.Now(), done: make(chan sched.Decision, 1)}
		c.mu.Lock()
		c.pending[7] = p
		c.applyDecision(sched.Decision{Key: sched.Key{ID: 7}, Reason: sched.QuarantinedPart}, nil)
		c.mu.Unlock()
		var revocation *Refused
		c.OnRevoke(7, func(r *Refused) { revocation = r })
		Expect(revocation).To(HaveField("Reason", sched.QuarantinedPart))
	})
})
