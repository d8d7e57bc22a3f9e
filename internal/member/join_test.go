package member

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// newTestGossip returns the Gossip of a host that started some time ago, and its address.
func newTestGossip(inc uint64, age time.Duration, seeds ...string) (g *Gossip, address string) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	address = conn.LocalAddr().String()
	events := event.NewRecorder("h", "i", 64, log.NewNopLogger())
	t := NewTable(&wire.Member{Incarnation: inc, Host: "h", ControlAddress: address}, time.Minute, events)
	g = NewGossip(t, conn, "f", DefaultTiming(), func() []string { return seeds }, events)
	g.started = time.Now().Add(-age)
	return g, address
}

func runGossip(g *Gossip) {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go g.Run(ctx)
}

var _ = Describe("a host that starts in a fleet of 200", func() {
	const fleet = 200
	largest := newMember(fleet, 1, wire.MemberState_MEMBER_ALIVE)
	largest.Capacity = 800

	// Regression: after all hosts of a zone were killed and restarted while the store was
	// unavailable, each knew neither the fleet size, over which quotas are shared, nor the
	// home, since only the store reported them.
	It("learns the largest member and the fleet size from its seed", func() {
		seed, address := newTestGossip(1, time.Minute)
		for i := uint64(2); i < fleet; i++ {
			w := newMember(i, 1, wire.MemberState_MEMBER_ALIVE)
			w.Capacity = 192
			seed.table.RecordContact(w)
		}
		seed.table.RecordContact(largest)
		seed.discovery.Told(fleet)
		runGossip(seed)
		joiner, _ := newTestGossip(1000, 0, address)
		runGossip(joiner)
		Eventually(joiner.ReportedFleetSize).WithTimeout(300 * time.Millisecond).WithPolling(5 * time.Millisecond).Should(BeNumerically(">=", fleet))
		Expect(joiner.table.First("any", 1)).To(ConsistOf(HaveField("Incarnation", ident.Incarnation(fleet))))
		Eventually(joiner.table.LiveCount).WithTimeout(3 * time.Second).Should(BeNumerically(">", fleet/2))
	})

	// Regression: the hosts of a fleet start one after the other. A host whose first ping
	// was sent before its seed was up knew no other member for a probe round and read
	// everything from the store.
	It("learns of a seed that comes up shortly after it", func() {
		seed, address := newTestGossip(1, 0)
		joiner, _ := newTestGossip(1000, 0, address)
		runGossip(joiner)
		time.Sleep(70 * time.Millisecond)
		runGossip(seed)
		Eventually(joiner.table.LiveCount).WithTimeout(200 * time.Millisecond).WithPolling(5 * time.Millisecond).Should(Equal(2))
	})

	It("ignores the fleet size of a host that has just started", func() {
		seed, address := newTestGossip(1, 0)
		runGossip(seed)
		joiner, _ := newTestGossip(1000, 0, address)
		runGossip(joiner)
		Eventually(joiner.table.LiveCount).Should(Equal(2))
		Expect(joiner.ReportedFleetSize()).To(BeZero())
	})

	// Guards against a count of hosts that rests on nothing: two hosts that know only each other would each
	// take the other's count for the size of the fleet.
	It("ignores the fleet size of a host that does not know the fleet, however long it has run", func() {
		seed, address := newTestGossip(1, time.Minute)
		runGossip(seed)
		joiner, _ := newTestGossip(1000, 0, address)
		runGossip(joiner)
		Eventually(joiner.table.LiveCount).Should(Equal(2))
		Consistently(joiner.ReportedFleetSize).WithTimeout(SettleTime).Should(BeZero())
		Expect(joiner.Discovery().Fleet().State).To(Equal(Searching))
	})
})

var _ = Describe("what a host knows of its fleet", func() {
	const home, other = "10.0.0.1:7600", "10.0.0.2:7600"
	fleetOf := func(hosts int, addresses ...string) []ListedHost {
		return []ListedHost{{Addresses: addresses, Hosts: hosts}}
	}
	var d *Discovery
	var t *Table
	find := func(inc uint64, address string) {
		w := newMember(inc, 1, wire.MemberState_MEMBER_ALIVE)
		w.ControlAddress = address
		t.RecordContact(w)
	}
	BeforeEach(func() {
		t = newTable()
		d = NewDiscovery(t, event.NewRecorder("h", "i", 64, log.NewNopLogger()))
		d.started = time.Now().Add(-time.Minute)
	})
	later := func(by time.Duration) { d.entered = d.entered.Add(-by) }

	It("is nothing for as long as neither the store nor a host has told", func() {
		later(time.Hour)
		Expect(d.Fleet().Known()).To(BeFalse())
		find(2, other)
		Expect(d.Fleet().Known()).To(BeFalse(), "a host that knows as little")
	})
	It("is complete once a host that knows the fleet has told", func() {
		d.Told(7)
		Expect(d.Fleet()).To(Equal(Fleet{State: Known, Joined: true}))
	})
	It("is complete once the host that is listed was found", func() {
		d.Listed(fleetOf(7, home, other), false)
		Expect(d.Fleet().Known()).To(BeFalse())
		find(2, other)
		Expect(d.Fleet()).To(Equal(Fleet{State: Known}))
	})
	It("is not complete while one of two entries has no host that was found", func() {
		d.Listed(append(fleetOf(7, home), ListedHost{Addresses: []string{other}, Hosts: 1}), false)
		find(2, other)
		Expect(d.Fleet().Known()).To(BeFalse())
	})
	It("is presumed after the listed hosts kept silent, and complete later", func() {
		d.Listed(fleetOf(7, home), false)
		later(contactTimeout + time.Millisecond)
		Expect(d.Fleet()).To(Equal(Fleet{State: Presumed, Missing: 7}))
		later(presumeTimeout + time.Millisecond)
		Expect(d.Fleet()).To(Equal(Fleet{State: Known}))
	})
	It("is that there are no others if the store lists just this one", func() {
		d.Listed(nil, false)
		Expect(d.Fleet().Known()).To(BeFalse(), "one that starts at the same time has not been listed")
		d.Listed(nil, true)
		Expect(d.Fleet()).To(Equal(Fleet{State: Known}))
	})
	It("is complete at once if as many as are listed were found right after the start", func() {
		d.started = time.Now()
		d.Listed(fleetOf(2, other), false)
		Expect(d.Fleet().Known()).To(BeFalse())
		find(2, other)
		Expect(d.Fleet().Known()).To(BeTrue())
	})
	It("is not complete right after the start if fewer than listed were found", func() {
		d.started = time.Now()
		d.Listed(fleetOf(7, other), false)
		find(2, other)
		Expect(d.Fleet().Known()).To(BeFalse())
	})
})

var _ = Describe("the list of members", func() {
	// Regression: a home with 195 hosts connected spent a tenth of its time on looking up the
	// home, since the list was built and sorted for each call of a host.
	It("is rebuilt only when a member has changed", func() {
		t := newTable()
		for i := uint64(2); i < 50; i++ {
			t.RecordContact(newMember(i, 1, wire.MemberState_MEMBER_ALIVE))
		}
		t.First("s", 5)
		Expect(testing.AllocsPerRun(100, func() { t.First("s", 5) })).To(BeZero(), "allocations")
		before := t.First("s", 1)[0]
		t.miss(before.Incarnation)
		t.expire(time.Now().Add(time.Minute), time.Second)
		Expect(t.First("s", 1)[0].Incarnation).NotTo(Equal(before.Incarnation))
	})
})

var _ = Describe("probes", func() {
	// Regression: the hosts of five availability zones probed all others uniformly, so four
	// fifths of the membership traffic went between zones, more than the messages of the
	// requests.
	It("mostly stay in the availability zone, and leave it often enough", func() {
		t := newTable()
		t.self.Zone = "near"
		for i := uint64(2); i < 202; i++ {
			w := newMember(i, 1, wire.MemberState_MEMBER_ALIVE)
			w.Zone = []string{"near", "a", "b", "c", "d"}[i%5]
			t.RecordContact(w)
		}
		const rounds = 2000
		otherZone := 0
		for range rounds {
			for _, m := range t.targets(2) {
				if m.Zone != "near" {
					otherZone++
				}
			}
		}
		Expect(otherZone).To(BeNumerically("~", 2*rounds/anyZoneOdds*4/5, rounds/10))
	})

	It("reach all hosts from one that is alone in its availability zone", func() {
		t := newTable()
		t.self.Zone = "alone"
		for i := uint64(2); i < 12; i++ {
			w := newMember(i, 1, wire.MemberState_MEMBER_ALIVE)
			w.Zone = "other"
			t.RecordContact(w)
		}
		seen := map[ident.Incarnation]bool{}
		for range 200 {
			for _, m := range t.targets(2) {
				seen[m.Incarnation] = true
			}
		}
		Expect(seen).To(HaveLen(10))
	})
})
