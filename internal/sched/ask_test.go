package sched

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a request that is submitted again", func() {
	// A holder that lost its connection to the home submits a request again under the same ID, while the
	// home still has the first submission, waiting or placed. If both were counted, the first one's slot
	// would never be freed.
	It("replaces the one that was placed", func() {
		s := twoSlotScheduler()
		_, waits := s.Submit(0, plainRequest(1))
		Expect(waits).To(BeFalse())
		out, waits := s.Submit(ms, plainRequest(1))
		Expect(waits).To(BeFalse())
		Expect(out).To(HaveLen(1))
		Expect(s.Running()).To(Equal(1))
		s.Finish(2*ms, Outcome{Key: Key{Holder: 1, ID: 1}, Result: OK})
		for id := range uint64(2) {
			out, _ := s.Submit(3*ms, plainRequest(10+id))
			Expect(out).To(HaveLen(1))
			Expect(out[0].Server).NotTo(BeEmpty())
		}
	})

	It("replaces the one that waits", func() {
		s := twoSlotScheduler()
		for id := range uint64(3) {
			s.Submit(0, plainRequest(id))
		}
		_, waits := s.Submit(ms, plainRequest(2))
		Expect(waits).To(BeTrue())
		Expect(s.Waiting()).To(Equal(1))
	})

	It("is removed when its holder reports that it runs elsewhere", func() {
		s := twoSlotScheduler()
		for id := range uint64(3) {
			s.Submit(0, plainRequest(id))
		}
		s.Adopt(ms, AdoptedRun{Key: Key{Holder: 1, ID: 2}, Service: "plain", Server: "p"})
		Expect(s.Waiting()).To(BeZero())
		Expect(s.Running()).To(Equal(3))
	})
})

// twoSlotScheduler returns a scheduler with one plain server of two slots.
func twoSlotScheduler() *Scheduler {
	s := New(DefaultPolicy())
	s.SetServices(0, []Service{{Name: "plain"}})
	s.SetServers(0, []Server{{ID: "p", Service: "plain", Address: "p", Slots: 2}})
	return s
}

func plainRequest(id uint64) Request {
	return Request{Key: Key{Holder: 1, ID: id}, Service: "plain", LatencyTarget: 100 * ms, Deadline: 600 * ms}
}
