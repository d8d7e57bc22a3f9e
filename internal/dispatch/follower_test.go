package dispatch

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// followerWith makes a follower that has run for age and knows others that
// live and others that fell silent. It returns the share that it sets.
func followerWith(age time.Duration, hosts, live, silent int, set func(f *Follower)) sched.Share {
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
	c := NewClient(ident.Incarnation(self), "z", NewLoop(sched.DefaultPolicy(), events, func([]sched.Decision) {}), listed(never), events)
	f := NewFollower(c, members, nil, NewHome(c.loop, func() []uint64 { return nil }), events, func() int { return hosts }, func(s sched.Share) { got = s })
	f.followers = func() int { return live }
	f.started = time.Now().Add(-age)
	set(f)
	return got
}

var _ = Describe("the share of a host that schedules", func() {
	lead := func(f *Follower) { f.lead(false) }

	It("is everything for a home that has settled", func() {
		Expect(followerWith(time.Minute, 3, 2, 0, lead)).To(Equal(sched.Share{Servers: 1, Limits: 1, Sends: 1}))
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

	// The home loses its power in a burst. Each host decides alone until the membership
	// has found it dead, three seconds later, and a third as many callers are served.
	Context("after the home was lost", func() {
		const hosts = 10
		follow := func(followers int, takesOver bool) sched.Share {
			return followerWith(time.Minute, hosts, hosts-1, 0, func(f *Follower) {
				f.followers = func() int { return followers }
				f.leadsSince = time.Now().Add(-time.Minute)
				f.lead(takesOver)
			})
		}
		It("is that of a host alone while few have turned to it", func() {
			Expect(follow(2, true).Servers).To(Equal(aloneServers / hosts))
		})
		It("is the part of those that have turned to it", func() {
			Expect(follow(7, true)).To(Equal(sched.Share{Servers: 1, Limits: 0.8, Sends: 0.8}))
		})
		It("is everything for a home that has just begun, before others have turned to it", func() {
			got := followerWith(time.Minute, hosts, hosts-1, 0, func(f *Follower) {
				f.followers = func() int { return 0 }
				f.lead(false)
			})
			Expect(got).To(Equal(sched.Share{Servers: 1, Limits: 1, Sends: 1.0 / hosts}))
		})
		It("is the part of the rest for a home that most have left", func() {
			Expect(follow(2, false)).To(Equal(sched.Share{Servers: 0.3, Limits: 0.3, Sends: 0.3}))
		})
	})
})

// However a fleet is split between a home, one that takes over and hosts alone, they give
// out no more of an account's quota than it has and two tenths, which the steps of a part
// may add. The home that was left gives out the whole until it has noticed.
func TestPartsOfQuotas(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 390).Draw(t, "hosts")
		old := rapid.IntRange(1, hosts-1).Draw(t, "with the old home")
		next := rapid.IntRange(1, hosts-old).Draw(t, "with the next")
		limits := func(with int, takesOver bool) float64 {
			return followerWith(time.Minute, hosts, hosts-1, 0, func(f *Follower) {
				f.followers = func() int { return with - 1 }
				f.leadsSince = time.Now().Add(-time.Minute)
				f.lead(takesOver)
			}).Limits
		}
		alone := followerWith(time.Minute, hosts, hosts-1, 0, func(f *Follower) { f.alone() }).Limits
		sum := limits(old, false) + limits(next, true) + float64(hosts-old-next)*alone
		if old*2 >= hosts {
			// The greater part is still with the old home, and what others give out is
			// charged there when they are back.
			sum -= float64(hosts-old) * alone
		}
		if sum > 1.2+1e-9 {
			t.Fatalf("%d hosts, %d with the old home, %d with the next: %.2f of each quota", hosts, old, next, sum)
		}
	})
}

// However a fleet is split, and from the moment of the split, home, next home and hosts alone
// together let no more requests through than 1.4 times the limit that a server names: with
// their bursts that is under the one and a half times at which it is overrun.
func TestPartsOfLimits(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 390).Draw(t, "hosts")
		old := rapid.IntRange(1, hosts-1).Draw(t, "with the old home")
		next := rapid.IntRange(1, hosts-old).Draw(t, "with the next")
		sends := func(with int, takesOver bool) float64 {
			return followerWith(time.Minute, hosts, hosts-1, 0, func(f *Follower) {
				f.followers = func() int { return with - 1 }
				f.lead(takesOver)
			}).Sends
		}
		alone := followerWith(time.Minute, hosts, hosts-1, 0, func(f *Follower) { f.alone() }).Sends
		sum := sends(old, false) + sends(next, true) + float64(hosts-old-next)*alone
		if sum > 1.4 {
			t.Fatalf("%d hosts, %d with the old home, %d with the next: %.2f of a limit", hosts, old, next, sum)
		}
	})
}

var _ = Describe("the home that a host follows", func() {
	It("is the next of the ranking for some seconds after the first was lost", func() {
		followerWith(time.Minute, 0, 3, 0, func(f *Follower) {
			now := time.Now()
			ranked := ReadersOf(f.members)
			lost := ranked[0]
			if lost.Incarnation == ident.Incarnation(self) {
				lost = ranked[1]
			}
			f.distrust.add(now, lost.Incarnation)
			for at := now; at.Before(now.Add(distrustTime)); at = at.Add(distrustTime / 4) {
				want, ok := f.want(at)
				Expect(ok).To(BeTrue())
				Expect(want.Incarnation).NotTo(Equal(lost.Incarnation))
			}
			want, _ := f.want(now.Add(distrustTime))
			Expect(want.Incarnation).To(Equal(ranked[0].Incarnation))
		})
	})

	// A host turns to one that has not lost the home itself yet. What it asks there would
	// wait behind the small part of the servers that a host alone has.
	It("is not asked for places before it leads", func() {
		h, loop := homeFor()
		e := linkTo(h)
		answer := func() *wire.ToHolder {
			m := &wire.ToHolder{}
			Expect(e.conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			Expect(wire.Read(e.r, m)).To(Succeed())
			return m
		}
		e.say(&wire.ToHome{Ping: 1})
		Expect(answer().Leads).To(BeFalse())
		h.Lead(true)
		Expect(answer()).To(And(HaveField("Leads", true), HaveField("Pong", uint32(0))), "told without being asked")

		c, _ := hostOf(never, "a")
		f := &Follower{client: c, events: loop.events}
		l := &homeLink{out: ring.New[*wire.ToHome](8)}
		f.answered(l, false)
		Expect(c.link).To(BeNil())
		f.answered(l, true)
		Expect(c.link).To(Equal(l))
		f.answered(l, false)
		Expect(c.link).To(BeNil())
	})
})
