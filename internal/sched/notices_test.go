package sched

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/notice"
)

// limitRecord is a notice of a server that states a rate limit.
func limitRecord(server string, perSecond float64, age time.Duration) notice.Record {
	return notice.Record{Server: server, Age: age, Notice: notice.Notice{Limit: notice.Limit{Valid: true, PerSecond: perSecond}}}
}

// newOneServerScheduler returns the scheduler of a host with one plain server of 8 slots.
func newOneServerScheduler(host uint64, share Share) *Scheduler {
	s := New(DefaultPolicy())
	s.SetOwner(host)
	s.SetShare(0, share)
	s.SetServices(0, []Service{{Name: plain}})
	s.SetServers(0, []Server{{ID: "a", Service: plain, Address: "a", Slots: 8}})
	return s
}

// sendsUnderLoad keeps requests waiting at s between two times, with runs that take no time,
// and appends the times of the placements to sends.
func sendsUnderLoad(s *Scheduler, from, to, step Time, sends []Time) []Time {
	for now := from; now < to; now += step {
		r := call(uint64(now), now)
		out, _ := s.Submit(now, r)
		for _, d := range append(out, s.Tick(now)...) {
			if d.Reason == 0 {
				sends = append(sends, now)
				s.Finish(now, Outcome{Key: d.Key, Result: OK, FirstEvent: ms})
			}
		}
	}
	return sends
}

// maxInSpan returns the largest number of sends within any window of length span.
func maxInSpan(span time.Duration, sends []Time) (highest int) {
	for _, from := range sends {
		n := 0
		for _, at := range sends {
			if at >= from && at < from+span {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

const limitSpan = 4 * time.Second

// maxSendsInSpan is the largest number of requests that a server may get in limitSpan.
func maxSendsInSpan(perSecond float64) int { return int(1.5*perSecond*limitSpan.Seconds()) + 5 }

var _ = Describe("a server that states a limit of requests per second", func() {
	home := Share{Servers: 1, Quotas: 1, RateLimits: 1}

	DescribeTable("gets requests from a home at that rate, evenly spaced",
		func(perSecond float64) {
			s := newOneServerScheduler(1, home)
			s.LearnNotices(0, 1, []notice.Record{limitRecord("a", perSecond, 0)})
			sends := sendsUnderLoad(s, 0, 20*time.Second, 2*ms, nil)
			Expect(maxInSpan(limitSpan, sends)).To(BeNumerically("<=", 4*perSecond*1.1+1))
			Expect(len(sends)).To(BeNumerically(">=", int(20*perSecond*0.9)-1))
		},
		Entry("one per second", 1.0),
		Entry("one and a tenth", 1.1),
		Entry("ten", 10.0),
		Entry("a hundred", 100.0),
	)

	// Hundreds of hosts that lose their home at once must not each have a send saved up, and
	// together with a slow home that goes on scheduling they must not use the limit twice.
	DescribeTable("gets no more from hosts that all start to schedule alone at once, beside a home",
		func(hosts int) {
			for _, perSecond := range []float64{1, 10, 50} {
				slow := newOneServerScheduler(5, home)
				slow.LearnNotices(0, 1, []notice.Record{limitRecord("a", perSecond, 0)})
				sends := sendsUnderLoad(slow, 30*time.Second, 50*time.Second, 10*ms, nil)
				sentAlone := -len(sends)
				for host := range hosts {
					s := newOneServerScheduler(uint64(host)*7919, Share{Servers: 1 / float64(hosts), Quotas: 0.7 / float64(hosts), RateLimits: 0.4 / float64(hosts)})
					s.LearnNotices(time.Second, 1, []notice.Record{limitRecord("a", perSecond, 0)})
					sends = sendsUnderLoad(s, 30*time.Second, 50*time.Second, 50*ms, sends)
				}
				Expect(maxInSpan(limitSpan, sends)).To(BeNumerically("<=", maxSendsInSpan(perSecond)), fmt.Sprint(perSecond))
				Expect(sentAlone+len(sends)).To(BeNumerically(">", int(20*perSecond*0.4*0.6)), fmt.Sprint(perSecond))
			}
		},
		Entry("6", 6), Entry("60", 60), Entry("195", 195), Entry("390", 390),
	)

	// The limit must still hold after the home is lost.
	It("gets no more when another host takes over and learns the limit only then", func() {
		first, next := newOneServerScheduler(1, home), newOneServerScheduler(2, Share{Servers: 0.1, Quotas: 0.1, RateLimits: 0.1})
		first.LearnNotices(0, 1, []notice.Record{limitRecord("a", 1, 0)})
		sends := sendsUnderLoad(first, 0, 10*time.Second, 10*ms, nil)
		next.SetShare(10*time.Second, home)
		next.LearnNotices(10*time.Second, 1, []notice.Record{limitRecord("a", 1, 8*time.Second)})
		sends = sendsUnderLoad(next, 10*time.Second, 20*time.Second, 10*ms, sends)
		Expect(maxInSpan(limitSpan, sends)).To(BeNumerically("<=", 6))
	})

	It("counts recent placements by other schedulers", func() {
		s := newOneServerScheduler(1, home)
		s.LearnNotices(0, 1, []notice.Record{limitRecord("a", 1, 0)})
		for id := range uint64(3) {
			s.Adopt(0, AdoptedRun{Key: Key{Holder: 2, ID: id}, Service: plain, Server: "a"})
		}
		s.Adopt(0, AdoptedRun{Key: Key{Holder: 2, ID: 9}, Service: plain, Server: "a", Elapsed: 5 * time.Second})
		Expect(len(sendsUnderLoad(s, 0, 3*time.Second, 10*ms, nil))).To(BeZero())
		Expect(len(sendsUnderLoad(s, 3*time.Second, 5*time.Second, 10*ms, nil))).To(BeNumerically(">", 0))
	})

	It("is sent an occasional request when its limit is 0, since only its answers can raise the limit", func() {
		s := newOneServerScheduler(1, home)
		s.LearnNotices(0, 1, []notice.Record{limitRecord("a", 0, 0)})
		sends := sendsUnderLoad(s, 0, 30*time.Second, 10*ms, nil)
		Expect(len(sends)).To(BeNumerically("~", 6, 1))
		Expect(maxInSpan(limitSpan, sends)).To(Equal(1))
	})

	It("gets all its slots back as soon as a newer answer states no limit, whatever older ones say", func() {
		s := newOneServerScheduler(1, home)
		s.LearnNotices(time.Second, 1, []notice.Record{limitRecord("a", 1, 0)})
		Expect(s.LimitedServers()).To(Equal(1))
		changes := s.LearnNotices(3*time.Second, 1, []notice.Record{{Server: "a", Age: time.Second}})
		Expect(changes).To(HaveLen(1))
		Expect(s.LearnNotices(3*time.Second, 1, []notice.Record{limitRecord("a", 1, 1500*ms)})).To(BeEmpty())
		Expect(len(sendsUnderLoad(s, 3*time.Second, 4*time.Second, 10*ms, nil))).To(BeNumerically(">", 90))
	})

	It("is limited when it is listed after its notice", func() {
		s := newOneServerScheduler(1, home)
		s.LearnNotices(0, 1, []notice.Record{limitRecord("b", 1, 0)})
		s.SetServers(time.Second, []Server{{ID: "b", Service: plain, Address: "b", Slots: 8}})
		Expect(s.LimitedServers()).To(Equal(1))
	})

	// Callers must not wait for a server limited to one request per second while others are idle.
	It("is not waited for while a slower server is idle", func() {
		s := newScheduler(2, 8)
		s.LearnNotices(0, 1, []notice.Record{limitRecord("e0", 1, 0)})
		s.ImportLearned(0, []Learned{{Server: "e0", TokenTime: 2 * ms}, {Server: "e1", TokenTime: 100 * ms}})
		for id := range uint64(4) {
			out, _ := s.Submit(0, stream(id, 0, 0))
			Expect(placed(out)).To(Equal([]uint64{id}))
		}
	})
})

var _ = Describe("a server that announces that it is leaving", func() {
	leavingRecords := func(server string, age time.Duration) []notice.Record {
		return []notice.Record{{Server: server, Age: age, Notice: notice.Notice{Leaving: true}}}
	}

	// A leaving server must not stay in use because the store's list still has it as ready.
	It("gets no more requests, whatever the list or other answers say", func() {
		s := newOneServerScheduler(1, Share{Servers: 1, Quotas: 1, RateLimits: 1})
		s.LearnNotices(0, 1, leavingRecords("a", 0))
		s.LearnNotices(time.Second, 1, []notice.Record{{Server: "a"}})
		s.SetServers(time.Second, []Server{{ID: "a", Service: plain, Address: "a", Slots: 8}})
		out, _ := s.Submit(time.Second, call(1, time.Second))
		Expect(refused(append(out, s.Tick(2*time.Second)...))).To(Equal(map[uint64]Reason{1: NoServer}))
	})

	It("gets no more requests although its notice is older than another one", func() {
		s := newOneServerScheduler(1, Share{Servers: 1, Quotas: 1, RateLimits: 1})
		s.LearnNotices(time.Second, 1, []notice.Record{limitRecord("a", 5, 0)})
		Expect(s.LearnNotices(2*time.Second, 1, leavingRecords("a", 2*time.Second))).To(HaveLen(1))
		Expect(sendsUnderLoad(s, 2*time.Second, 4*time.Second, 10*ms, nil)).To(BeEmpty())
		Expect(s.LimitedServers()).To(Equal(1))
	})

	// Callers must not be refused while servers of a newer version are listed and the old ones
	// have announced that they are leaving, which the list does not show yet.
	It("is replaced by servers of another version when no others are left", func() {
		s := newOneServerScheduler(1, Share{Servers: 1, Quotas: 1, RateLimits: 1})
		s.SetServers(0, []Server{{ID: "a", Service: plain, Address: "a", Version: "v1", Slots: 8}})
		s.SetServers(0, []Server{{ID: "a", Service: plain, Address: "a", Version: "v1", Slots: 8}, {ID: "b", Service: plain, Address: "b", Version: "v2", Slots: 8}})
		s.LearnNotices(0, 1, leavingRecords("a", 0))
		out, _ := s.Submit(0, call(1, 0))
		Expect(out[0].Server).To(Equal("b"))
	})

	It("gets no requests when it is listed after its notice", func() {
		s := newOneServerScheduler(1, Share{Servers: 1, Quotas: 1, RateLimits: 1})
		s.SetServers(0, nil)
		s.LearnNotices(0, 1, leavingRecords("a", 0))
		s.SetServers(time.Second, []Server{{ID: "a", Service: plain, Address: "a", Slots: 8}})
		Expect(sendsUnderLoad(s, time.Second, 2*time.Second, 10*ms, nil)).To(BeEmpty())
	})
})

var _ = Describe("a server that asks for a backoff", func() {
	backoffRecords := func(server string, d time.Duration) []notice.Record {
		return []notice.Record{{Server: server, Notice: notice.Notice{Backoff: d}}}
	}
	callFrom := func(holder, id uint64, now Time) Request {
		r := call(id, now)
		r.Holder = holder
		return r
	}

	// A host must not send to a server that asked it to back off, and must not be kept from a
	// server that accepts its requests.
	It("gets nothing from the host that it asked until the backoff ends, and requests from others", func() {
		s := newScheduler(2, 8)
		s.LearnNotices(0, 1, backoffRecords("p0", 3*time.Second))
		for id := range uint64(4) {
			out, _ := s.Submit(0, callFrom(1, id, 0))
			Expect(out[0].Server).To(Equal("p1"))
		}
		out, _ := s.Submit(0, callFrom(2, 9, 0))
		Expect(out[0].Server).To(Equal("p0"))
		s.LearnNotices(time.Second, 1, backoffRecords("p0", time.Second)) // ends before the first does
		for id := uint64(10); id < 14; id++ {
			out, _ := s.Submit(2900*ms, callFrom(1, id, 2900*ms))
			Expect(out[0].Server).To(Equal("p1"))
		}
		out, _ = s.Submit(3*time.Second, callFrom(1, 20, 3*time.Second))
		Expect(out[0].Server).To(Equal("p0"))
	})

	// A caller must not wait at a host that all servers have asked to back off.
	It("has that host's requests refused at once when all servers have asked it to back off", func() {
		s := newScheduler(2, 8)
		s.LearnNotices(0, 1, append(backoffRecords("p0", 3*time.Second), backoffRecords("p1", 2*time.Second)...))
		out, waits := s.Submit(0, callFrom(1, 1, 0))
		Expect(waits).To(BeFalse())
		Expect(refused(out)).To(Equal(map[uint64]Reason{1: Overload}))
		Expect(out[0].RetryAfter).To(BeNumerically("<", time.Second))
		_, waits = s.Submit(1900*ms, callFrom(1, 2, 1900*ms)) // the first backoff ends soon
		Expect(waits).To(BeTrue())
		Expect(placed(s.Tick(2*time.Second + ms))).To(Equal([]uint64{2}))
	})

	It("is not waited for while a slower server accepts requests", func() {
		s := newScheduler(2, 8)
		s.ImportLearned(0, []Learned{{Server: "e0", TokenTime: 2 * ms}, {Server: "e1", TokenTime: 100 * ms}})
		s.LearnNotices(0, 1, backoffRecords("e0", 3*time.Second))
		out, _ := s.Submit(0, stream(1, 0, 0))
		Expect(placed(out)).To(Equal([]uint64{1}))
	})

	It("gets five minutes at most, and expired backoffs are dropped", func() {
		s := newScheduler(1, 8)
		for holder := range uint64(300) {
			s.LearnNotices(0, holder, backoffRecords("p0", time.Second))
		}
		s.LearnNotices(2*time.Second, 1, backoffRecords("p0", 1e6*time.Second))
		Expect(s.servers["p0"].backoffs).To(Equal(map[uint64]Time{1: 2*time.Second + notice.MaxBackoff}))
	})
})
