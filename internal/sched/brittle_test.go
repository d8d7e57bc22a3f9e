package sched

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/notice"
)

// brittleServer is a server in virtual time that lets nobody wait and works on for a while for callers
// that have left.
type brittleServer struct {
	slots    int
	busy     []Time // when each occupied slot is free again
	rejected []Time
}

// arrive handles a request that takes d and reports whether it runs.
func (b *brittleServer) arrive(now Time, d time.Duration) bool {
	busy := b.busy[:0]
	for _, end := range b.busy {
		if end > now {
			busy = append(busy, end)
		}
	}
	b.busy = busy
	if len(b.busy) >= b.slots {
		b.rejected = append(b.rejected, now)
		return false
	}
	b.busy = append(b.busy, now+d)
	return true
}

// maxRejected returns the most rejections within a second.
func (b *brittleServer) maxRejected() (most int) {
	for i, at := range b.rejected {
		n := 0
		for _, other := range b.rejected[i:] {
			if other-at <= time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// brittleFleet is a number of schedulers, one home or hosts that schedule alone, before the same brittle
// servers. Callers of a fifth of the runs leave early, and the servers work on for them.
type brittleFleet struct {
	schedulers []*Scheduler
	servers    map[string]*brittleServer
	rng        *rand.Rand
	nextID     uint64
	reports    map[Time][]func(now Time)
	served     int
}

const (
	brittleSlots  = 8
	brittleWork   = 400 * ms
	linger        = 600 * ms
	reportDelay   = 5 * ms
	shareLeaving  = 0.2
	leaveAfter    = 50 * ms
	brittleLength = 10 * time.Second
)

func newBrittleFleet(hosts, servers int, stated notice.Limit) *brittleFleet {
	f := &brittleFleet{servers: map[string]*brittleServer{}, rng: rand.New(rand.NewPCG(1, uint64(hosts))), reports: map[Time][]func(Time){}}
	var list []Server
	var records []notice.Record
	for i := range servers {
		id := fmt.Sprint("b", i)
		f.servers[id] = &brittleServer{slots: brittleSlots}
		list = append(list, Server{ID: id, Service: engine, Address: id, Slots: brittleSlots})
		records = append(records, notice.Record{Server: id, Notice: notice.Notice{MaxRejections: stated}})
	}
	for i := range hosts {
		s := New(DefaultPolicy())
		s.SetOwner(uint64(i + 1))
		s.SetServices(0, []Service{{Name: engine, Engine: true, Stride: 3}})
		s.SetServers(0, list)
		if hosts > 1 {
			even := 1 / float64(hosts)
			s.SetShare(0, Share{Servers: even, Quotas: 0.7 * even, RateLimits: 0.4 * even})
		}
		s.LearnNotices(0, uint64(i+1), records)
		f.schedulers = append(f.schedulers, s)
	}
	return f
}

// run plays brittleLength with the given load, as a multiple of what the servers can do.
func (f *brittleFleet) run(load float64) {
	perSecond := load * float64(len(f.servers)*brittleSlots) / brittleWork.Seconds()
	next := Time(0)
	for now := Time(0); now < brittleLength; now += ms {
		for _, report := range f.reports[now] {
			report(now)
		}
		delete(f.reports, now)
		for ; next <= now; next += time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second)) {
			f.nextID++
			s := f.schedulers[f.rng.IntN(len(f.schedulers))]
			r := stream(f.nextID, now, 0)
			r.Holder, r.Account, r.Units = s.owner, "", 0
			out, _ := s.Submit(now, r)
			f.send(now, s, out)
		}
		if now%(10*ms) == 0 {
			for _, s := range f.schedulers {
				f.send(now, s, s.Tick(now))
			}
		}
	}
}

// send sends the placed requests of a scheduler to their servers.
func (f *brittleFleet) send(now Time, s *Scheduler, out []Decision) {
	for _, d := range out {
		if d.Reason != 0 {
			continue
		}
		d := d
		leaves := f.rng.Float64() < shareLeaving
		took := brittleWork
		if leaves {
			took = leaveAfter + linger
		}
		if !f.servers[d.Server].arrive(now, took) {
			f.report(now+2*reportDelay, s, Outcome{Key: d.Key, Result: Rejected})
			continue
		}
		if leaves {
			f.report(now+leaveAfter, s, Outcome{Key: d.Key, Result: CallerLeft})
			continue
		}
		f.served++
		f.report(now+50*ms+reportDelay, s, Outcome{Key: d.Key, Result: Progress, FirstEvent: 50 * ms})
		f.report(now+brittleWork+reportDelay, s, Outcome{Key: d.Key, Result: OK, FirstEvent: 50 * ms})
	}
}

func (f *brittleFleet) report(at Time, s *Scheduler, o Outcome) {
	f.reports[at] = append(f.reports[at], func(now Time) { f.send(now, s, s.Finish(now, o)) })
}

// overruns counts the servers that had to reject more than n requests within a second.
func (f *brittleFleet) overruns(n int) (count int) {
	for _, b := range f.servers {
		if b.maxRejected() > n {
			count++
		}
	}
	return count
}

var _ = Describe("brittle servers", func() {
	// A server that has to reject more requests a second than it states falls over and is gone for seconds.
	DescribeTable("reject no more requests a second than they state",
		func(hosts, servers, n int) {
			f := newBrittleFleet(hosts, servers, notice.Limit{Valid: true, PerSecond: float64(n)})
			f.run(1.5)
			Expect(f.overruns(n)).To(BeNumerically("<=", 2+servers/10))
		},
		Entry("one home, 2 allowed", 1, 9, 2),
		Entry("one home, 4 allowed", 1, 9, 4),
		Entry("one home, 8 allowed", 1, 9, 8),
		Entry("one home, 4 allowed, 200 servers", 1, 200, 4),
		Entry("six hosts that schedule alone, 4 allowed", 6, 9, 4),
		Entry("58 hosts that schedule alone, 4 allowed", 58, 90, 4),
	)

	It("would reject more if nothing were known of it", func() {
		f := newBrittleFleet(1, 9, notice.Limit{})
		f.run(1.5)
		Expect(f.overruns(4)).To(BeNumerically(">", 2))
	})

	// Fewer rejections must not come from servers that are left idle.
	DescribeTable("serve as many requests as before",
		func(hosts, servers int, load float64) {
			careful := newBrittleFleet(hosts, servers, notice.Limit{Valid: true, PerSecond: 4})
			careful.run(load)
			usual := newBrittleFleet(hosts, servers, notice.Limit{})
			usual.run(load)
			Expect(float64(careful.served)).To(BeNumerically(">=", 0.97*float64(usual.served)))
		},
		Entry("one home, little load", 1, 9, 0.5),
		Entry("one home, overload", 1, 9, 1.5),
		Entry("six hosts that schedule alone", 6, 9, 0.8),
	)

	It("are sent as many requests as others once they no longer state it", func() {
		s := newScheduler(1, 8)
		brittle := func(now Time, stated notice.Limit) {
			s.LearnNotices(now, 1, []notice.Record{{Server: "e0", Notice: notice.Notice{MaxRejections: stated}}})
		}
		brittle(0, notice.Limit{Valid: true, PerSecond: 1})
		Expect(s.BrittleServers()).To(Equal(1))
		s.Submit(0, stream(1, 0, 0))
		s.Submit(0, stream(2, 0, 0))
		Expect(s.Running()).To(Equal(1))
		brittle(10*ms, notice.Limit{})
		s.Tick(10 * ms)
		Expect(s.Running()).To(Equal(2))
		Expect(s.BrittleServers()).To(BeZero())
	})

	It("that bear no rejection get one request at a time until it is known to run", func() {
		s := newScheduler(1, 8)
		s.LearnNotices(0, 1, []notice.Record{{Server: "e0", Notice: notice.Notice{MaxRejections: notice.Limit{Valid: true}}}})
		for id := range uint64(4) {
			s.Submit(0, stream(id, 0, 0))
		}
		Expect(s.Running()).To(Equal(1))
		for now := 10 * ms; now <= 4*settleTime; now += 10 * ms {
			s.Tick(now)
		}
		Expect(s.Running()).To(Equal(4))
	})
})
