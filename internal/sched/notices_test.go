package sched

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/notice"
)

// limitOf is word of a server that names a limit.
func limitOf(server string, perSecond float64, age time.Duration) notice.Record {
	return notice.Record{Server: server, Age: age, Notice: notice.Notice{Limit: notice.Limit{Named: true, PerSecond: perSecond}}}
}

// oneServer is the scheduler of a host, before one plain server of 8 slots.
func oneServer(host uint64, share Share) *Scheduler {
	s := New(DefaultPolicy())
	s.SetOwner(host)
	s.SetShare(0, share)
	s.SetServices(0, []Service{{Name: plain}})
	s.SetServers(0, []Server{{ID: "a", Service: plain, Address: "a", Slots: 8}})
	return s
}

// pressed has requests wait at s all the time from one moment to another, each run taking no
// time, and adds when they were placed to sends.
func pressed(s *Scheduler, from, to, step Time, sends []Time) []Time {
	for now := from; now < to; now += step {
		r := call(uint64(now), now)
		out, _ := s.Submit(now, r)
		for _, d := range append(out, s.Tick(now)...) {
			if d.Reason == 0 {
				sends = append(sends, now)
				s.Finish(now, Outcome{Key: d.Key, Result: OK, First: ms})
			}
		}
	}
	return sends
}

// mostIn is the most sends in any span.
func mostIn(span time.Duration, sends []Time) (most int) {
	for _, from := range sends {
		n := 0
		for _, at := range sends {
			if at >= from && at < from+span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

const limitSpan = 4 * time.Second

// overLimit is the most that a server may get in limitSpan.
func overLimit(perSecond float64) int { return int(1.5*perSecond*limitSpan.Seconds()) + 5 }

var _ = Describe("a server that names a limit of requests a second", func() {
	home := Share{Servers: 1, Limits: 1, Sends: 1}

	DescribeTable("gets that many of a home, evenly",
		func(perSecond float64) {
			s := oneServer(1, home)
			s.LearnNotices(0, 1, []notice.Record{limitOf("a", perSecond, 0)})
			sends := pressed(s, 0, 20*time.Second, 2*ms, nil)
			Expect(mostIn(limitSpan, sends)).To(BeNumerically("<=", 4*perSecond*1.1+1))
			Expect(len(sends)).To(BeNumerically(">=", int(20*perSecond*0.9)-1))
		},
		Entry("one a second", 1.0),
		Entry("one and a tenth", 1.1),
		Entry("ten", 10.0),
		Entry("a hundred", 100.0),
	)

	// Guards against each of hundreds of hosts that lose their home at once having a send saved
	// up, and against these and a slow home, which goes on, giving out the limit twice.
	DescribeTable("gets no more of hosts that all decide alone from one moment to the next, beside a home",
		func(hosts int) {
			for _, perSecond := range []float64{1, 10, 50} {
				slow := oneServer(5, home)
				slow.LearnNotices(0, 1, []notice.Record{limitOf("a", perSecond, 0)})
				sends := pressed(slow, 30*time.Second, 50*time.Second, 10*ms, nil)
				alone := -len(sends)
				for host := range hosts {
					s := oneServer(uint64(host)*7919, Share{Servers: 1 / float64(hosts), Limits: 0.7 / float64(hosts), Sends: 0.4 / float64(hosts)})
					s.LearnNotices(time.Second, 1, []notice.Record{limitOf("a", perSecond, 0)})
					sends = pressed(s, 30*time.Second, 50*time.Second, 50*ms, sends)
				}
				Expect(mostIn(limitSpan, sends)).To(BeNumerically("<=", overLimit(perSecond)), fmt.Sprint(perSecond))
				Expect(alone+len(sends)).To(BeNumerically(">", int(20*perSecond*0.4*0.6)), fmt.Sprint(perSecond))
			}
		},
		Entry("6", 6), Entry("60", 60), Entry("195", 195), Entry("390", 390),
	)

	// Guards against a limit that is forgotten with the home.
	It("gets no more when another host takes over that is told only then", func() {
		first, next := oneServer(1, home), oneServer(2, Share{Servers: 0.1, Limits: 0.1, Sends: 0.1})
		first.LearnNotices(0, 1, []notice.Record{limitOf("a", 1, 0)})
		sends := pressed(first, 0, 10*time.Second, 10*ms, nil)
		next.SetShare(10*time.Second, home)
		next.LearnNotices(10*time.Second, 1, []notice.Record{limitOf("a", 1, 8*time.Second)})
		sends = pressed(next, 10*time.Second, 20*time.Second, 10*ms, sends)
		Expect(mostIn(limitSpan, sends)).To(BeNumerically("<=", 6))
	})

	It("counts what others placed there lately", func() {
		s := oneServer(1, home)
		s.LearnNotices(0, 1, []notice.Record{limitOf("a", 1, 0)})
		for id := range uint64(3) {
			s.Adopt(0, Run{Key: Key{Holder: 2, ID: id}, Service: plain, Server: "a"})
		}
		s.Adopt(0, Run{Key: Key{Holder: 2, ID: 9}, Service: plain, Server: "a", Elapsed: 5 * time.Second})
		Expect(len(pressed(s, 0, 3*time.Second, 10*ms, nil))).To(BeZero())
		Expect(len(pressed(s, 3*time.Second, 5*time.Second, 10*ms, nil))).To(BeNumerically(">", 0))
	})

	It("is asked now and then when it takes none, since only its answers tell that it takes more", func() {
		s := oneServer(1, home)
		s.LearnNotices(0, 1, []notice.Record{limitOf("a", 0, 0)})
		sends := pressed(s, 0, 30*time.Second, 10*ms, nil)
		Expect(len(sends)).To(BeNumerically("~", 6, 1))
		Expect(mostIn(limitSpan, sends)).To(Equal(1))
	})

	It("has all its places again as soon as a newer answer names none, whatever older ones say", func() {
		s := oneServer(1, home)
		s.LearnNotices(time.Second, 1, []notice.Record{limitOf("a", 1, 0)})
		Expect(s.Limited()).To(Equal(1))
		changes := s.LearnNotices(3*time.Second, 1, []notice.Record{{Server: "a", Age: time.Second}})
		Expect(changes).To(HaveLen(1))
		Expect(s.LearnNotices(3*time.Second, 1, []notice.Record{limitOf("a", 1, 1500*ms)})).To(BeEmpty())
		Expect(len(pressed(s, 3*time.Second, 4*time.Second, 10*ms, nil))).To(BeNumerically(">", 90))
	})

	It("is known when its entry comes after its word", func() {
		s := oneServer(1, home)
		s.LearnNotices(0, 1, []notice.Record{limitOf("b", 1, 0)})
		s.SetServers(time.Second, []Server{{ID: "b", Service: plain, Address: "b", Slots: 8}})
		Expect(s.Limited()).To(Equal(1))
	})

	// Guards against callers who wait for a server that may take one a second while others are idle.
	It("does not have requests wait for it beside an idle server that is slower", func() {
		s := newScheduler(2, 8)
		s.LearnNotices(0, 1, []notice.Record{limitOf("e0", 1, 0)})
		s.Teach([]Learned{{Server: "e0", TokenTime: 2 * ms}, {Server: "e1", TokenTime: 100 * ms}})
		for id := range uint64(4) {
			out, _ := s.Submit(0, stream(id, 0, 0))
			Expect(placed(out)).To(Equal([]uint64{id}))
		}
	})
})

var _ = Describe("a server that says that it leaves", func() {
	leaves := func(server string, age time.Duration) []notice.Record {
		return []notice.Record{{Server: server, Age: age, Notice: notice.Notice{Leaving: true}}}
	}

	// Guards against a server that is used on because the store's list says that it is ready.
	It("gets nothing more, whatever the list or other answers say", func() {
		s := oneServer(1, Share{Servers: 1, Limits: 1, Sends: 1})
		s.LearnNotices(0, 1, leaves("a", 0))
		s.LearnNotices(time.Second, 1, []notice.Record{{Server: "a"}})
		s.SetServers(time.Second, []Server{{ID: "a", Service: plain, Address: "a", Slots: 8}})
		out, _ := s.Submit(time.Second, call(1, time.Second))
		Expect(refused(append(out, s.Tick(2*time.Second)...))).To(Equal(map[uint64]Reason{1: NoServer}))
	})

	It("gets nothing more although the word is older than another one", func() {
		s := oneServer(1, Share{Servers: 1, Limits: 1, Sends: 1})
		s.LearnNotices(time.Second, 1, []notice.Record{limitOf("a", 5, 0)})
		Expect(s.LearnNotices(2*time.Second, 1, leaves("a", 2*time.Second))).To(HaveLen(1))
		Expect(pressed(s, 2*time.Second, 4*time.Second, 10*ms, nil)).To(BeEmpty())
		Expect(s.Limited()).To(Equal(1))
	})

	// Guards against callers who are refused while servers of a newer version are there: the old
	// ones have said that they leave, and the list does not tell yet.
	It("makes room for servers of another version when no others are left", func() {
		s := oneServer(1, Share{Servers: 1, Limits: 1, Sends: 1})
		s.SetServers(0, []Server{{ID: "a", Service: plain, Address: "a", Version: "v1", Slots: 8}})
		s.SetServers(0, []Server{{ID: "a", Service: plain, Address: "a", Version: "v1", Slots: 8}, {ID: "b", Service: plain, Address: "b", Version: "v2", Slots: 8}})
		s.LearnNotices(0, 1, leaves("a", 0))
		out, _ := s.Submit(0, call(1, 0))
		Expect(out[0].Server).To(Equal("b"))
	})

	It("gets nothing when its entry comes after its word", func() {
		s := oneServer(1, Share{Servers: 1, Limits: 1, Sends: 1})
		s.SetServers(0, nil)
		s.LearnNotices(0, 1, leaves("a", 0))
		s.SetServers(time.Second, []Server{{ID: "a", Service: plain, Address: "a", Slots: 8}})
		Expect(pressed(s, time.Second, 2*time.Second, 10*ms, nil)).To(BeEmpty())
	})
})

var _ = Describe("a server that asks for rest", func() {
	rest := func(server string, d time.Duration) []notice.Record {
		return []notice.Record{{Server: server, Notice: notice.Notice{Rest: d}}}
	}
	from := func(holder, id uint64, now Time) Request {
		r := call(id, now)
		r.Holder = holder
		return r
	}

	// Guards against a host that goes on to a server which wants nothing from it, and against
	// one that is kept from a server which takes its requests.
	It("gets nothing from the host that it has asked, until its time, and all from others", func() {
		s := newScheduler(2, 8)
		s.LearnNotices(0, 1, rest("p0", 3*time.Second))
		for id := range uint64(4) {
			out, _ := s.Submit(0, from(1, id, 0))
			Expect(out[0].Server).To(Equal("p1"))
		}
		out, _ := s.Submit(0, from(2, 9, 0))
		Expect(out[0].Server).To(Equal("p0"))
		s.LearnNotices(time.Second, 1, rest("p0", time.Second)) // ends before the first does
		for id := uint64(10); id < 14; id++ {
			out, _ := s.Submit(2900*ms, from(1, id, 2900*ms))
			Expect(out[0].Server).To(Equal("p1"))
		}
		out, _ = s.Submit(3*time.Second, from(1, 20, 3*time.Second))
		Expect(out[0].Server).To(Equal("p0"))
	})

	// Guards against a caller that waits in vain at a host which all servers have turned away.
	It("leaves a request of that host to others at once when all have asked it", func() {
		s := newScheduler(2, 8)
		s.LearnNotices(0, 1, append(rest("p0", 3*time.Second), rest("p1", 2*time.Second)...))
		out, waits := s.Submit(0, from(1, 1, 0))
		Expect(waits).To(BeFalse())
		Expect(refused(out)).To(Equal(map[uint64]Reason{1: Overload}))
		Expect(out[0].RetryAfter).To(BeNumerically("<", time.Second))
		_, waits = s.Submit(1900*ms, from(1, 2, 1900*ms)) // the first rest ends soon
		Expect(waits).To(BeTrue())
		Expect(placed(s.Tick(2*time.Second + ms))).To(Equal([]uint64{2}))
	})

	It("is not waited for beside one that is slower and takes requests", func() {
		s := newScheduler(2, 8)
		s.Teach([]Learned{{Server: "e0", TokenTime: 2 * ms}, {Server: "e1", TokenTime: 100 * ms}})
		s.LearnNotices(0, 1, rest("e0", 3*time.Second))
		out, _ := s.Submit(0, stream(1, 0, 0))
		Expect(placed(out)).To(Equal([]uint64{1}))
	})

	It("is given five minutes at most, and keeps no rest that is over", func() {
		s := newScheduler(1, 8)
		for holder := range uint64(300) {
			s.LearnNotices(0, holder, rest("p0", time.Second))
		}
		s.LearnNotices(2*time.Second, 1, rest("p0", 1e6*time.Second))
		Expect(s.servers["p0"].rests).To(Equal(map[uint64]Time{1: 2*time.Second + notice.MaxRest}))
	})
})
