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

var fatal = quarantine.Of("POST", "h", "/", "account", []byte("fatal"))

// suspectsOf is what the loop of a host knows.
func suspectsOf(l *Loop) (known []quarantine.Record) {
	l.Query(context.Background(), func(s *sched.Scheduler) { known = s.Suspects(time.Hour) })
	return known
}

// endedUnder is word of servers that ended under the request.
func endedUnder(servers ...string) *wire.Suspect {
	m := &wire.Suspect{Fingerprint: fatal.Bytes(), Service: "svc"}
	for i, server := range servers {
		m.Ends = append(m.Ends, &wire.ServerEnd{Server: server, AgoMs: uint32(10_000 - 2_000*i)})
	}
	return m
}

// toldOf reads until the home tells of suspects.
func (e *holderEnd) toldOf() []*wire.Suspect {
	Expect(e.conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	for {
		m := &wire.ToHolder{}
		Expect(wire.Read(e.r, m)).To(Succeed())
		if len(m.Suspects) > 0 {
			return m.Suspects
		}
	}
}

var _ = Describe("word of requests that end servers", func() {
	// Story: the home goes, with what it knew. The hosts that follow the next one had lost
	// the runs; what each of them knows must come together there.
	It("comes together at the home that hosts begin to follow", func() {
		h, loop := homeFor()
		h.Lead(true)
		linkTo(h).say(&wire.ToHome{Suspects: []*wire.Suspect{endedUnder("e1")}})
		Eventually(func() []quarantine.Record { return suspectsOf(loop) }).Should(HaveLen(1))
		linkTo(h).say(&wire.ToHome{Suspects: []*wire.Suspect{endedUnder("e1", "e2")}})
		Eventually(func() int { return len(suspectsOf(loop)[0].Ends) }).Should(Equal(2))
	})

	It("reaches a host that begins to follow", func() {
		h, loop := homeFor()
		h.Lead(true)
		loop.LearnSuspects(decodeSuspects([]*wire.Suspect{endedUnder("e1", "e2")}))
		told := linkTo(h).toldOf()
		Expect(told).To(HaveLen(1))
		Expect(told[0].Ends).To(HaveLen(2))
	})

	// Story: a request's third end is known at the home, which is lost in the next moment.
	// Hosts that did not hear of it would send the request on.
	It("reaches those that follow when it is urgent", func() {
		h, loop := homeFor()
		h.Lead(true)
		e := linkTo(h)
		Eventually(h.Followers).Should(Equal(1))
		loop.LearnSuspects(decodeSuspects([]*wire.Suspect{endedUnder("e1", "e2", "e3")}))
		Expect(e.toldOf()[0].Ends).To(HaveLen(3))
	})

	// Story: a host loses a run with its server, and its home in the same moment.
	It("is kept by the host whose run was lost", func() {
		c, loop := hostOf(never, "a")
		p := &pending{ask: &Ask{Service: "svc", Fingerprint: fatal}, server: "a", placed: time.Now(), via: nil}
		c.mu.Lock()
		c.learnLoss(p, false)
		c.mu.Unlock()
		Eventually(func() []quarantine.Record { return suspectsOf(loop) }).Should(HaveLen(1))
	})

	It("travels whole", func() {
		r := quarantine.Record{
			Fingerprint: fatal, Account: "a", Service: "s", Quarantined: true, Age: time.Second, RetryIn: time.Minute, By: "front-1",
			Cleared: true, ClearedAge: time.Hour, Ends: []quarantine.End{{Server: "e1", Age: 2 * time.Second, Shown: true, Distinct: true}},
		}
		Expect(decodeSuspects(encodeSuspects([]quarantine.Record{r}))).To(Equal([]quarantine.Record{r}))
	})
})
