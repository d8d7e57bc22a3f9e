package dispatch

import (
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// followerWith makes a follower that has run for age and knows others that
// live and others that fell silent. It returns the share that it sets.
func followerWith(age time.Duration, listed, live, silent int, set func(f *Follower)) sched.Share {
	events := event.NewRecorder("h", "i", 64, log.NewNopLogger())
	members := member.NewTable(&wire.Member{Incarnation: self, Host: "h"}, time.Minute, events)
	for i := range live + silent {
		w := &wire.Member{Incarnation: uint64(100 + i), Host: "o", ControlAddress: string(rune('a' + i))}
		if i >= live {
			w.State = wire.MemberState_MEMBER_DEAD
		}
		members.Learn(w)
	}
	var got sched.Share
	c := NewClient(ident.Incarnation(self), "z", NewLoop(sched.DefaultPolicy(), events, func([]sched.Decision) {}), never, events)
	f := NewFollower(c, members, nil, events, func() int { return listed }, func(s sched.Share) { got = s })
	f.started = time.Now().Add(-age)
	set(f)
	return got
}

var _ = Describe("the share of a host that schedules", func() {
	lead := func(f *Follower) { f.lead() }

	It("is everything for a home that has settled", func() {
		Expect(followerWith(time.Minute, 3, 2, 0, lead)).To(Equal(sched.Share{Servers: 1, Limits: 1}))
	})

	// An account runs more than its quota right after all hosts were killed at
	// once: each comes back knowing only itself, takes itself for the home, and
	// gives out the account's whole quota for the first third of a second.
	It("is a part for one that has just started", func() {
		got := followerWith(100*time.Millisecond, 6, 0, 0, lead)
		Expect(got.Limits).To(BeNumerically("<", 1.0/6))
		Expect(got.Servers).To(BeNumerically("<", 0.5))
	})
	It("is a part even when the store has not told of others yet", func() {
		Expect(followerWith(100*time.Millisecond, 0, 0, 0, lead).Limits).To(BeNumerically("<", 0.5))
	})

	// All of 68 hosts start at once. In the quarter of a second until the store has
	// told them of each other, each took itself for one of six and gave out eight
	// times the quotas together.
	It("is next to nothing of the limits while the number of hosts is not known", func() {
		got := followerWith(100*time.Millisecond, 0, 0, 0, lead)
		Expect(got.Limits).To(BeNumerically("<", 1.0/390))
	})

	// Two of six hosts are cut off from the others, which go on. Both sides
	// have a home, and both gave out the whole quota.
	It("is a part of the limits for the home of the fewer hosts", func() {
		got := followerWith(time.Minute, 6, 1, 4, lead)
		Expect(got.Servers).To(Equal(1.0))
		Expect(got.Limits).To(BeNumerically("~", 2.0/6, 0.01))
	})
	It("is everything for the home of the greater part", func() {
		Expect(followerWith(time.Minute, 6, 3, 2, lead).Limits).To(Equal(1.0))
	})

	// The home freezes a moment after a fleet has started. A parent at a locker is told
	// that the account is over its quota, which it is far from. The host that says so had
	// found the home before it knew how many hosts there are.
	It("is an even part for a host that follows a home since its start, when it knows the fleet", func() {
		var early sched.Share
		late := followerWith(0, 0, 5, 0, func(f *Follower) {
			set := f.setShare
			f.setShare = func(s sched.Share) { early = s }
			f.alone()
			f.setShare = set
			f.started = time.Now().Add(-time.Minute)
			f.keepShare()
		})
		Expect(early.Limits).To(BeNumerically("<", 1.0/390))
		Expect(late.Limits).To(BeNumerically("~", aloneLimits/6, 0.01))
	})
	It("does not change with every host that comes or goes", func() {
		sets := 0
		followerWith(time.Minute, 100, 5, 0, func(f *Follower) {
			f.alone()
			was := f.setShare
			f.setShare = func(s sched.Share) { sets++; was(s) }
			f.listed = func() int { return 105 }
			f.keepShare()
			f.listed = func() int { return 120 }
			f.keepShare()
		})
		Expect(sets).To(Equal(1))
	})

	It("is less than an even part of the limits for a host alone", func() {
		got := followerWith(time.Minute, 6, 5, 0, func(f *Follower) { f.alone() })
		Expect(got.Limits).To(BeNumerically("<", 1.0/6))
	})
})
