package sched

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an ask that comes again", func() {
	// A holder that lost its link to the home asks again under the same number.
	// The home still has the first ask, waiting or placed; were both counted, the
	// server would never get the first one's place back.
	It("takes the place of one that was placed", func() {
		s := twoPlaces()
		_, waits := s.Submit(0, plainAsk(1))
		Expect(waits).To(BeFalse())
		out, waits := s.Submit(ms, plainAsk(1))
		Expect(waits).To(BeFalse())
		Expect(out).To(HaveLen(1))
		Expect(s.Running()).To(Equal(1))
		s.Finish(2*ms, Outcome{Key: Key{Holder: 1, ID: 1}, Result: OK})
		for id := range uint64(2) {
			out, _ := s.Submit(3*ms, plainAsk(10+id))
			Expect(out).To(HaveLen(1))
			Expect(out[0].Server).NotTo(BeEmpty())
		}
	})

	It("takes the place of one that waits", func() {
		s := twoPlaces()
		for id := range uint64(3) {
			s.Submit(0, plainAsk(id))
		}
		_, waits := s.Submit(ms, plainAsk(2))
		Expect(waits).To(BeTrue())
		Expect(s.Waiting()).To(Equal(1))
	})

	It("ends when its holder reports that it runs elsewhere", func() {
		s := twoPlaces()
		for id := range uint64(3) {
			s.Submit(0, plainAsk(id))
		}
		s.Adopt(ms, Run{Key: Key{Holder: 1, ID: 2}, Service: "plain", Server: "p"})
		Expect(s.Waiting()).To(BeZero())
		Expect(s.Running()).To(Equal(3))
	})
})

// twoPlaces makes a scheduler with one plain server of two places.

func twoPlaces() *Scheduler {
	s := New(DefaultPolicy())
	s.SetServices(0, []Service{{Name: "plain"}})
	s.SetServers(0, []Server{{ID: "p", Service: "plain", Address: "p", Slots: 2}})
	return s
}

func plainAsk(id uint64) Request {
	return Request{Key: Key{Holder: 1, ID: id}, Service: "plain", Aim: 100 * ms, Deadline: 600 * ms}
}

// shared is a stream whose prompt begins with a shared part of 900 tokens.

// An account runs 6% over its bound on the day when all 68 hosts lose power. Each

// comes back with a part of the quota that is smaller than one request, half of it

// ready; half a second later each lets one request pass and leaves a debt, which is

// forgotten when there is a home.

// All hosts of a fleet are alone for a moment, after a loss of power, while servers

// fail. Each had the whole retry budget: 72 hosts sent 1,440 requests once more

// where 184 are allowed, into servers that were failing.
