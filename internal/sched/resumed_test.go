package sched

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/origin"
	"github.com/gentianflow/gentianflow/internal/rollout"
)

// versionServers returns servers of an engine service, by version.
func versionServers(counts map[string]int, slots int) (list []Server) {
	for version, n := range counts {
		for i := range n {
			id := fmt.Sprint(version, "-", i)
			list = append(list, Server{ID: id, Service: engine, Version: version, Address: id, Slots: slots})
		}
	}
	return list
}

func newVersionScheduler(counts map[string]int, slots int) *Scheduler {
	s := New(DefaultPolicy())
	s.SetServices(0, []Service{{Name: engine, Engine: true, KVTokens: 200_000, Stride: 3}})
	s.SetServers(0, versionServers(counts, slots))
	return s
}

const started = origin.Key(77)

// takeUp is a request that goes on with the stream that began as started.
func takeUp(id uint64, now Time) Request {
	r := stream(id, now, 0)
	r.Resumed = &Resumed{From: started}
	return r
}

// serverVersion returns the version of the server of the only placement.
func serverVersion(out []Decision) string {
	Expect(out).To(HaveLen(1))
	Expect(out[0].Reason).To(BeZero(), out[0].Reason.String())
	return out[0].Version
}

var _ = Describe("a request that goes on with a stream", func() {
	both := map[string]int{"v1": 3, "v2": 3}

	// Guards against events of two versions in one stream.
	It("runs at the version that is recorded for the attempt that began it", func() {
		for id := range uint64(12) {
			s := newVersionScheduler(both, 8)
			r := stream(100, 0, 0)
			r.Origin = started
			began := serverVersion(first(s.Submit(0, r)))
			Expect(serverVersion(first(s.Submit(10*ms, takeUp(id, 10*ms))))).To(Equal(began))
		}
	})

	It("runs at the version that its holder knows", func() {
		s := newVersionScheduler(both, 8)
		for id := range uint64(6) {
			r := takeUp(id, 0)
			r.Resumed = &Resumed{Version: "v2", Known: true}
			Expect(serverVersion(first(s.Submit(0, r)))).To(Equal("v2"))
		}
	})

	// Guards against a guess at a host that can't know.
	It("waits for a record and is refused without one", func() {
		s := newVersionScheduler(both, 8)
		for id := range uint64(2) {
			out, waits := s.Submit(0, takeUp(id, 0))
			Expect(out).To(BeEmpty())
			Expect(waits).To(BeTrue())
		}
		Expect(s.Tick(500 * ms)).To(BeEmpty())
		s.Withdraw(500*ms, Key{Holder: 1, ID: 1})
		s.LearnOrigins(500*ms, []origin.Record{{Key: started, Version: "v2", Until: time.Minute}})
		Expect(serverVersion(s.Tick(510 * ms))).To(Equal("v2"))

		other := takeUp(2, 600*ms)
		other.Resumed.From = 0
		s.Submit(600*ms, other)
		Expect(s.Tick(500*ms + resumedWait)).To(BeEmpty())
		Expect(refused(s.Tick(700*ms + resumedWait))).To(Equal(map[uint64]Reason{2: VersionUnknown}))
	})

	It("is refused when no server of its version is left", func() {
		s := newVersionScheduler(both, 8)
		s.LearnOrigins(0, []origin.Record{{Key: started, Version: "v0", Until: time.Minute}})
		s.Submit(0, takeUp(1, 0))
		Expect(refused(s.Tick(100*ms + resumedWait))).To(Equal(map[uint64]Reason{1: VersionGone}))
	})

	// Guards against a run that never began, whose version would bind the caller's next attempt.
	It("is not bound by a placement that was not used", func() {
		s := newVersionScheduler(both, 8)
		r := stream(100, 0, 0)
		r.Origin = started
		s.Submit(0, r)
		finish(s, 10*ms, 100, Rejected)
		_, known := s.origins.Get(20*ms, started)
		Expect(known).To(BeFalse())
	})

	// Guards against a caller that waits behind new streams although it has half of its answer.
	It("goes before those that begin one", func() {
		s := newVersionScheduler(map[string]int{"v1": 1}, 1)
		s.LearnOrigins(0, []origin.Record{{Key: started, Version: "v1", Until: time.Minute}})
		s.Submit(0, stream(1, 0, 0))
		for id := uint64(2); id < 5; id++ {
			s.Submit(10*ms, stream(id, 10*ms, 0))
		}
		s.Submit(20*ms, takeUp(9, 20*ms))
		Expect(placed(finish(s, 60*ms, 1, OK))).To(Equal([]uint64{9}))
	})

	// Guards against streams that can't go on because their version gets no new ones.
	It("runs at servers that get no new streams", func() {
		s := newVersionScheduler(map[string]int{"v1": 4}, 8)
		s.UpdateServers(0, versionServers(map[string]int{"v2": 2}, 8), nil)
		for id := range uint64(8) {
			Expect(serverVersion(first(s.Submit(0, stream(id, 0, 0))))).To(Equal("v1"))
		}
		r := takeUp(20, 0)
		r.Resumed = &Resumed{Version: "v2", Known: true}
		Expect(serverVersion(first(s.Submit(0, r)))).To(Equal("v2"))
	})

	It("runs at a version on trial, but not at one that was rolled back", func() {
		s := newVersionScheduler(map[string]int{"v1": 4}, 8)
		s.UpdateServers(0, versionServers(map[string]int{"v2": 2}, 8), nil)
		order := rollout.Order{Service: engine, To: "v2", RowVersion: 1, Timeout: time.Minute}
		s.SetOrder(order)
		s.StartTrial(0, order, 0, false)
		r := takeUp(1, 0)
		r.Resumed = &Resumed{Version: "v2", Known: true}
		Expect(serverVersion(first(s.Submit(0, r)))).To(Equal("v2"))
		s.SetOrderPhase(order, rollout.PhaseRolledBack)
		r = takeUp(2, 10*ms)
		r.Resumed = &Resumed{Version: "v2", Known: true}
		s.Submit(10*ms, r)
		Expect(refused(s.Tick(100*ms + resumedWait))).To(Equal(map[uint64]Reason{2: VersionGone}))
	})

	Describe("without a record", func() {
		const after = 2 * minTakeUpTime
		resumedAt := func(s *Scheduler, now Time) bool {
			out, _ := s.Submit(now, takeUp(1, now))
			return len(placed(out)) == 1
		}

		It("runs where its service has had one version only for long", func() {
			Expect(resumedAt(newVersionScheduler(map[string]int{"v1": 2}, 8), after)).To(BeTrue())
		})

		// Guards against streams that can't go on after a restart of all hosts, where nothing is recorded.
		It("runs where the store has no other version of its service, or none for long", func() {
			for _, stored := range [][]VersionHistory{
				nil,
				{{Service: engine, Versions: []string{"v1"}}},
				{{Service: engine, Versions: []string{"v1"}, Changed: true, Age: 2 * minTakeUpTime}},
			} {
				s := newVersionScheduler(map[string]int{"v1": 2}, 8)
				s.LearnVersionHistories(time.Second, stored)
				Expect(resumedAt(s, 2*time.Second)).To(BeTrue(), "%+v", stored)
			}
		})
		It("does not where the store has another version, or the last one left lately", func() {
			for _, stored := range [][]VersionHistory{
				{{Service: engine, Versions: []string{"v0"}}},
				{{Service: engine, Versions: []string{"v0", "v1"}}},
				{{Service: engine, Versions: []string{"v1"}, Changed: true, Age: minTakeUpTime / 2}},
				{{Service: engine, Changed: true}},
			} {
				s := newVersionScheduler(map[string]int{"v1": 2}, 8)
				s.LearnVersionHistories(time.Second, stored)
				Expect(resumedAt(s, 2*time.Second)).To(BeFalse(), "%+v", stored)
				Expect(resumedAt(s, 2*minTakeUpTime)).To(BeTrue(), "%+v", stored)
			}
		})
		It("is known to other schedulers from what is stored", func() {
			s := newVersionScheduler(map[string]int{"v1": 2}, 8)
			s.LearnVersionHistories(0, nil)
			Expect(s.VersionHistories(time.Second)).To(Equal([]VersionHistory{{Service: engine, Versions: []string{"v1"}, Age: time.Second}}))
			s.UpdateServers(2*time.Second, versionServers(map[string]int{"v2": 1}, 8), nil)
			Expect(s.VersionHistories(3 * time.Second)).To(Equal([]VersionHistory{{Service: engine, Versions: []string{"v1", "v2"}, Changed: true, Age: time.Second}}))
		})

		// Each guards against a guess at a host that can't know.
		It("does not where a host has just started", func() {
			Expect(resumedAt(newVersionScheduler(map[string]int{"v1": 2}, 8), minTakeUpTime/2)).To(BeFalse())
		})
		It("does not where the list of servers is old", func() {
			s := newVersionScheduler(map[string]int{"v1": 2}, 8)
			s.SetListAge(func() time.Duration { return 2 * maxListAge })
			Expect(resumedAt(s, after)).To(BeFalse())
		})
		It("does not soon after the last server of another version left", func() {
			s := newVersionScheduler(map[string]int{"v1": 2, "v2": 1}, 8)
			s.UpdateServers(after-minTakeUpTime/2, nil, []string{"v2-0"})
			Expect(resumedAt(s, after)).To(BeFalse())
			Expect(resumedAt(s, after+minTakeUpTime)).To(BeTrue())
		})
		// Guards against a guess for a stream that began before the last change and lasts longer than most.
		It("does not as long after the last change as the longest streams last", func() {
			s := newVersionScheduler(map[string]int{"v1": 2, "v2": 1}, 8)
			long := stream(100, 0, 0)
			long.Origin, long.Deadline = 5, 4*minTakeUpTime
			s.Submit(0, long)
			s.UpdateServers(after, nil, []string{"v2-0"})
			Expect(resumedAt(s, after+2*minTakeUpTime)).To(BeFalse())
			Expect(resumedAt(s, after+5*minTakeUpTime)).To(BeTrue())
		})
		It("does not while the last server of another version drains", func() {
			s := newVersionScheduler(map[string]int{"v1": 2}, 8)
			s.UpdateServers(0, []Server{{ID: "d", Service: engine, Version: "v2", Address: "d", Slots: 8, Draining: true}}, nil)
			Expect(resumedAt(s, after)).To(BeFalse())
		})
	})
})

func first(out []Decision, _ bool) []Decision { return out }
