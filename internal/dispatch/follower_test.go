package dispatch

import (
	"context"
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

func knownFleet() member.Fleet { return member.Fleet{State: member.Known} }

// shareSetBy creates a follower that has run for age, knows live and silent (unresponsive)
// other hosts and finds hosts as the listed number, calls act and returns the share that the
// follower has set last.
func shareSetBy(age time.Duration, hosts, live, silent int, act func(f *Follower)) sched.Share {
	events := event.NewRecorder("h", "i", 64, log.NewNopLogger())
	members := member.NewTable(&wire.Member{Incarnation: self, Host: "h"}, time.Minute, events)
	for i := range live + silent {
		w := &wire.Member{Incarnation: uint64(100 + i), Host: "o", ControlAddress: string(rune('a' + i))}
		if i >= live {
			w.State = wire.MemberState_MEMBER_DEAD
		}
		members.ApplyReport(w)
	}
	var got sched.Share
	c := NewClient(ident.Incarnation(self), "z", NewLoop(sched.DefaultPolicy(), events, func([]sched.Decision) {}), serverListFunc(neverLeaving), events)
	f := NewFollower(c, members, nil, NewHome(c.loop, func() []uint64 { return nil }), events, func() int { return hosts }, knownFleet, func(s sched.Share) { got = s })
	f.followers = func() int { return live }
	f.started = time.Now().Add(-age)
	act(f)
	return got
}

var _ = Describe("the share of a host's loop", func() {
	lead := func(f *Follower) { f.lead(false) }

	It("is everything for a home that has run for a while", func() {
		Expect(shareSetBy(time.Minute, 3, 2, 0, lead)).To(Equal(sched.Share{Servers: 1, Quotas: 1, RateLimits: 1}))
	})

	// After all hosts were killed at once, each restarts knowing only itself. If it acted as
	// the home, every host would use the whole quota of an account for the first third of a
	// second.
	It("has the bursts after one change of the home, and not after further ones that follow closely", func() {
		changed := func(age time.Duration, homes ...time.Duration) bool {
			return shareSetBy(age, 3, 2, 0, func(f *Follower) {
				f.homes.note(time.Now().Add(-age), 1)
				for i, ago := range homes {
					f.homes.note(time.Now().Add(-ago), ident.Incarnation(2+i))
				}
				f.lead(false)
			}).BurstsSpent
		}
		Expect(changed(time.Minute)).To(BeFalse())
		Expect(changed(time.Minute, 0)).To(BeFalse())
		Expect(changed(time.Minute, 2*burstMemory, 0)).To(BeFalse())
		Expect(changed(time.Minute, burstMemory/2, 0)).To(BeTrue())
	})

	// Guards against a home that has just started: it can't know how often the home before it has changed.
	It("has no bursts for a home that has just joined a running fleet", func() {
		joined := func(age time.Duration) bool {
			return shareSetBy(age, 3, 2, 0, func(f *Follower) {
				f.fleet = func() member.Fleet { return member.Fleet{State: member.Known, Joined: true} }
				f.lead(false)
			}).BurstsSpent
		}
		Expect(joined(time.Second)).To(BeTrue())
		Expect(joined(2 * burstMemory)).To(BeFalse())
	})

	It("is next to nothing of the limits for a host that nobody has told of its fleet, however long it has run", func() {
		for _, others := range []int{0, 1} {
			got := shareSetBy(time.Minute, 0, others, 0, func(f *Follower) {
				f.fleet = func() member.Fleet { return member.Fleet{State: member.Searching} }
				f.lead(false)
			})
			Expect(got.Quotas).To(BeNumerically("<", 1.0/390))
			Expect(got.Servers).To(BeNumerically("<", 0.5))
		}
	})

	It("is the part of the hosts that were found while the listed ones keep silent", func() {
		got := shareSetBy(time.Minute, 7, 2, 0, func(f *Follower) {
			f.fleet = func() member.Fleet { return member.Fleet{State: member.Presumed, Missing: 7} }
			f.lead(false)
		})
		Expect(got.Quotas).To(BeNumerically("~", 3.0/10, 0.001))
	})

	// Guards against a home that knows no services and refuses the requests of all hosts.
	It("is a fraction for a home that does not know the configuration yet", func() {
		informed, leads := false, false
		got := shareSetBy(time.Minute, 3, 2, 0, func(f *Follower) {
			f.LeadOnceInformed(func() bool { return informed })
			f.setLeading = func(l bool) { leads = l }
			f.lead(false)
			Expect(leads).To(BeFalse())
		})
		Expect(got.Quotas).To(BeNumerically("<", 1.0/3))
		informed = true
		got = shareSetBy(time.Minute, 3, 2, 0, func(f *Follower) {
			f.LeadOnceInformed(func() bool { return informed })
			f.lead(false)
		})
		Expect(got.Quotas).To(Equal(1.0))
	})

	It("is a fraction for a host that has just started", func() {
		got := shareSetBy(100*time.Millisecond, 6, 0, 0, lead)
		Expect(got.Quotas).To(BeNumerically("<", 1.0/6))
		Expect(got.Servers).To(BeNumerically("<", 0.5))
	})
	It("is a fraction even if the store has not reported other hosts yet", func() {
		Expect(shareSetBy(100*time.Millisecond, 0, 0, 0, lead).Quotas).To(BeNumerically("<", 0.5))
	})

	// 68 hosts start at once. If each assumed a fleet of six in the quarter of a second until
	// the store has reported the other hosts, they would use eight times the quotas together.
	It("is a minimal share of the limits while the number of hosts is unknown", func() {
		got := shareSetBy(100*time.Millisecond, 0, 0, 0, lead)
		Expect(got.Quotas).To(BeNumerically("<", 1.0/390))
	})

	// A network partition separates two of six hosts. Each side has a home, and both homes
	// would use the whole quota.
	It("is a fraction of the limits for the home of the smaller side of a partition", func() {
		got := shareSetBy(time.Minute, 6, 1, 4, lead)
		Expect(got.Servers).To(Equal(1.0))
		Expect(got.Quotas).To(BeNumerically("~", 2.0/6, 0.01))
	})
	It("is everything for the home of the larger side", func() {
		Expect(shareSetBy(time.Minute, 6, 3, 2, lead).Quotas).To(Equal(1.0))
	})

	// The home freezes shortly after a fleet has started. A host that found the home before it
	// knew the number of hosts would still have the minimal share, and would refuse requests
	// of accounts that are far below their quotas.
	It("is updated to an even share for a host that has followed a home since its start", func() {
		var early sched.Share
		late := shareSetBy(0, 0, 5, 0, func(f *Follower) {
			set := f.setShare
			f.setShare = func(s sched.Share) { early = s }
			f.goStandalone()
			f.setShare = set
			f.started = time.Now().Add(-time.Minute)
			f.refreshStandaloneShare()
		})
		Expect(early.Quotas).To(BeNumerically("<", 1.0/390))
		Expect(late.Quotas).To(BeNumerically("~", standaloneQuotaShare/6, 0.01))
	})
	It("does not change with every host that joins or leaves", func() {
		sets := 0
		shareSetBy(time.Minute, 100, 5, 0, func(f *Follower) {
			f.goStandalone()
			original := f.setShare
			f.setShare = func(s sched.Share) { sets++; original(s) }
			f.listedHosts = func() int { return 105 }
			f.refreshStandaloneShare()
			f.listedHosts = func() int { return 120 }
			f.refreshStandaloneShare()
		})
		Expect(sets).To(Equal(1))
	})

	It("is less than an even share of the limits for a standalone host", func() {
		got := shareSetBy(time.Minute, 6, 5, 0, func(f *Follower) { f.goStandalone() })
		Expect(got.Quotas).To(BeNumerically("<", 1.0/6))
	})

	// The home loses its power during a burst. If each host scheduled locally until the
	// membership detects the loss three seconds later, only a third as many callers would
	// be served.
	Context("after the home was lost", func() {
		const hosts = 10
		follow := func(followers int, takesOver bool) sched.Share {
			return shareSetBy(time.Minute, hosts, hosts-1, 0, func(f *Follower) {
				f.followers = func() int { return followers }
				f.leadsSince = time.Now().Add(-time.Minute)
				f.lead(takesOver)
			})
		}
		It("is the standalone share while few hosts follow", func() {
			Expect(follow(2, true).Servers).To(Equal(standaloneServerShare / hosts))
		})
		It("is the fraction of the hosts that follow, once most do", func() {
			Expect(follow(7, true)).To(Equal(sched.Share{Servers: 1, Quotas: 0.8, RateLimits: 0.8}))
		})
		It("is everything for a home that has just started to lead, before others follow", func() {
			got := shareSetBy(time.Minute, hosts, hosts-1, 0, func(f *Follower) {
				f.followers = func() int { return 0 }
				f.lead(false)
			})
			Expect(got).To(Equal(sched.Share{Servers: 1, Quotas: 1, RateLimits: 1.0 / hosts}))
		})
		It("is the fraction of the remaining hosts for a home that most hosts have left", func() {
			Expect(follow(2, false)).To(Equal(sched.Share{Servers: 0.3, Quotas: 0.3, RateLimits: 0.3}))
		})
	})
})

// TestPartsOfQuotas checks for every split of a fleet between a home, a host that takes over and
// standalone hosts that their shares of an account's quota add up to at most the quota plus two
// tenths, which rounding the shares may add. The old home uses the whole quota until it notices
// that hosts have left it.
func TestPartsOfQuotas(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 390).Draw(t, "hosts")
		old := rapid.IntRange(1, hosts-1).Draw(t, "with the old home")
		next := rapid.IntRange(1, hosts-old).Draw(t, "with the next")
		limits := func(following int, takesOver bool) float64 {
			return shareSetBy(time.Minute, hosts, hosts-1, 0, func(f *Follower) {
				f.followers = func() int { return following - 1 }
				f.leadsSince = time.Now().Add(-time.Minute)
				f.lead(takesOver)
			}).Quotas
		}
		standalone := shareSetBy(time.Minute, hosts, hosts-1, 0, func(f *Follower) { f.goStandalone() }).Quotas
		sum := limits(old, false) + limits(next, true) + float64(hosts-old-next)*standalone
		if old*2 >= hosts {
			// Most hosts still follow the old home; the others' placements are charged
			// there when they return.
			sum -= float64(hosts-old) * standalone
		}
		if sum > 1.2+1e-9 {
			t.Fatalf("%d hosts, %d with the old home, %d with the next: %.2f of each quota", hosts, old, next, sum)
		}
	})
}

// TestPartsOfLimits checks for every split of a fleet that, from the moment of the split, the home,
// the next home and the standalone hosts together send at most 1.4 times the rate limit that a
// server states. With their bursts this stays below one and a half times the limit, at which a
// server is overloaded.
func TestPartsOfLimits(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 390).Draw(t, "hosts")
		old := rapid.IntRange(1, hosts-1).Draw(t, "with the old home")
		next := rapid.IntRange(1, hosts-old).Draw(t, "with the next")
		sends := func(following int, takesOver bool) float64 {
			return shareSetBy(time.Minute, hosts, hosts-1, 0, func(f *Follower) {
				f.followers = func() int { return following - 1 }
				f.lead(takesOver)
			}).RateLimits
		}
		standalone := shareSetBy(time.Minute, hosts, hosts-1, 0, func(f *Follower) { f.goStandalone() }).RateLimits
		sum := sends(old, false) + sends(next, true) + float64(hosts-old-next)*standalone
		if sum > 1.4 {
			t.Fatalf("%d hosts, %d with the old home, %d with the next: %.2f of a limit", hosts, old, next, sum)
		}
	})
}

var _ = Describe("the followed home", func() {
	It("is the next of the ranking for some seconds after the first one was lost", func() {
		shareSetBy(time.Minute, 0, 3, 0, func(f *Follower) {
			now := time.Now()
			ranked := ReadersOf(f.members)
			lost := ranked[0]
			if lost.Incarnation == ident.Incarnation(self) {
				lost = ranked[1]
			}
			f.lostHomes.add(now, lost.Incarnation)
			for at := now; at.Before(now.Add(lostHomeTimeout)); at = at.Add(lostHomeTimeout / 4) {
				desiredHome, ok := f.desiredHome(at)
				Expect(ok).To(BeTrue())
				Expect(desiredHome.Incarnation).NotTo(Equal(lost.Incarnation))
			}
			desiredHome, _ := f.desiredHome(now.Add(lostHomeTimeout))
			Expect(desiredHome.Incarnation).To(Equal(ranked[0].Incarnation))
		})
	})

	// A host connects to the next home before that one has noticed the loss of the old home.
	// Placement requests sent to it would wait for the small share of the servers that a
	// standalone host has.
	It("receives no placement requests before it leads", func() {
		h, loop := startHome()
		e := openLink(h)
		answer := func() *wire.ToHolder {
			m := &wire.ToHolder{}
			Expect(e.conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			Expect(wire.Read(e.r, m)).To(Succeed())
			return m
		}
		e.send(&wire.ToHome{Ping: 1})
		Expect(answer().Leads).To(BeFalse())
		h.Lead(true)
		Expect(answer()).To(And(HaveField("Leads", true), HaveField("Pong", uint32(0))), "reported without a ping")

		c, _ := startHost(neverLeaving, "a")
		f := &Follower{client: c, events: loop.events}
		l := &homeLink{out: ring.New[*wire.ToHome](8)}
		f.updateLeading(l, false)
		Expect(c.link).To(BeNil())
		f.updateLeading(l, true)
		Expect(c.link).To(Equal(l))
		f.updateLeading(l, false)
		Expect(c.link).To(BeNil())
	})
})

var _ = Describe("the watch of a link to the home", func() {
	// Every host checked its link 50 times a second, also those of which nobody asked anything: a
	// twentieth of the processor time of a fleet of a thousand hosts.
	It("checks often only while something waits for the home", func() {
		c, _ := startHost(neverLeaving, "a")
		l := &homeLink{out: ring.New[*wire.ToHome](8), used: make(chan struct{}, 1), openedAt: time.Now()}
		w := newLinkWatch(c, l)
		Expect(w.period()).To(Equal(watchPeriod), "the home may begin to lead at any time")
		l.leading.Store(true)
		c.follow(l)
		Expect(w.period()).To(Equal(idleWatchPeriod))
		w.check(time.Now())
		Expect(w.period()).To(Equal(watchPeriod), "a ping is outstanding")
		l.lastPong.Store(w.ping)
		Expect(w.period()).To(Equal(idleWatchPeriod))
		go func() { _, _ = c.Acquire(context.Background(), request()) }()
		Eventually(l.used).Should(Receive(), "a request wakes the watch")
		Expect(w.period()).To(Equal(watchPeriod))
	})
})
