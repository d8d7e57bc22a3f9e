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

var poisonFingerprint = quarantine.NewFingerprint("POST", "h", "/", "account", []byte("fatal"))

// suspectsOf returns the records that a loop knows.
func suspectsOf(l *Loop) (known []quarantine.Record) {
	l.Query(context.Background(), func(s *sched.Scheduler) { known = s.Suspects(time.Hour) })
	return known
}

// suspectWithEnds returns a record of servers that ended under the request.
func suspectWithEnds(servers ...string) *wire.Suspect {
	m := &wire.Suspect{Fingerprint: poisonFingerprint.Bytes(), Service: "svc"}
	for i, server := range servers {
		m.Ends = append(m.Ends, &wire.ServerEnd{Server: server, AgoMs: uint32(10_000 - 2_000*i)})
	}
	return m
}

// readSuspects reads until the home sends records.
func (e *holderEnd) readSuspects() []*wire.Suspect {
	Expect(e.conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	for {
		m := &wire.ToHolder{}
		Expect(wire.Read(e.r, m)).To(Succeed())
		if len(m.Suspects) > 0 {
			return m.Suspects
		}
	}
}

var _ = Describe("a record of a request under which servers ended", func() {
	// The home is lost with its records. The new home must merge the records of the hosts that
	// begin to follow it, each of which knows the runs that it lost itself.
	It("is merged from all hosts that begin to follow a home", func() {
		h, loop := startHome()
		h.Lead(true)
		openLink(h).send(&wire.ToHome{Suspects: []*wire.Suspect{suspectWithEnds("e1")}})
		Eventually(func() []quarantine.Record { return suspectsOf(loop) }).Should(HaveLen(1))
		openLink(h).send(&wire.ToHome{Suspects: []*wire.Suspect{suspectWithEnds("e1", "e2")}})
		Eventually(func() int { return len(suspectsOf(loop)[0].Ends) }).Should(Equal(2))
	})

	It("reaches a host that begins to follow", func() {
		h, loop := startHome()
		h.Lead(true)
		loop.LearnSuspects(decodeSuspects([]*wire.Suspect{suspectWithEnds("e1", "e2")}))
		told := openLink(h).readSuspects()
		Expect(told).To(HaveLen(1))
		Expect(told[0].Ends).To(HaveLen(2))
	})

	// The home learns of a third server that ended under a request, and is lost right after.
	// Hosts that were not notified would continue to send the request.
	It("reaches following hosts at once if it is urgent", func() {
		h, loop := startHome()
		h.Lead(true)
		e := openLink(h)
		Eventually(h.Followers).Should(Equal(1))
		loop.LearnSuspects(decodeSuspects([]*wire.Suspect{suspectWithEnds("e1", "e2", "e3")}))
		Expect(e.readSuspects()[0].Ends).To(HaveLen(3))
	})

	// A host loses a run together with its server, and its home at the same time.
	It("is kept by the host whose run was lost", func() {
		c, loop := startHost(neverLeaving, "a")
		p := &pending{request: &PlacementRequest{Service: "svc", Fingerprint: poisonFingerprint}, server: "a", placedAt: time.Now(), via: nil}
		c.mu.Lock()
		c.learnLoss(p, false)
		c.mu.Unlock()
		Eventually(func() []quarantine.Record { return suspectsOf(loop) }).Should(HaveLen(1))
	})

	It("is encoded completely", func() {
		r := quarantine.Record{
			Fingerprint: poisonFingerprint, Account: "a", Service: "s", Quarantined: true, Age: time.Second, RetryIn: time.Minute, By: "front-1",
			Cleared: true, ClearedAge: time.Hour, Ends: []quarantine.ServerEnd{{Server: "e1", Age: 2 * time.Second, EventSeen: true, Distinct: true}},
		}
		Expect(decodeSuspects(encodeSuspects([]quarantine.Record{r}))).To(Equal([]quarantine.Record{r}))
	})
})
