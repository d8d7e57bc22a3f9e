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

// gossiper runs the probes of a host that knows others of a fleet.
func gossiper(inc uint64, age time.Duration, seeds ...string) (g *Gossip, address string) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	address = conn.LocalAddr().String()
	events := event.NewRecorder("h", "i", 64, log.NewNopLogger())
	t := NewTable(&wire.Member{Incarnation: inc, Host: "h", ControlAddress: address}, time.Minute, events)
	g = NewGossip(t, conn, "f", DefaultTiming(), func() []string { return seeds }, events)
	g.begun = time.Now().Add(-age)
	return g, address
}

func run(g *Gossip) {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go g.Run(ctx)
}

var _ = Describe("a host that starts in a fleet of 200", func() {
	const fleet = 200
	home := line(fleet, 1, wire.MemberState_MEMBER_ALIVE)
	home.Capacity = 800

	// All hosts of a zone are killed and come back. Each knew neither how many share the
	// quotas nor who schedules for all until the store had told it, and the store was
	// away.
	It("hears from its seed who the largest is and how many there are", func() {
		seed, address := gossiper(1, time.Minute)
		for i := uint64(2); i < fleet; i++ {
			w := line(i, 1, wire.MemberState_MEMBER_ALIVE)
			w.Capacity = 192
			seed.table.Heard(w)
		}
		seed.table.Heard(home)
		run(seed)
		late, _ := gossiper(1000, 0, address)
		run(late)
		Eventually(late.Told).WithTimeout(300 * time.Millisecond).WithPolling(5 * time.Millisecond).Should(BeNumerically(">=", fleet))
		Expect(late.table.First("any", 1)).To(ConsistOf(HaveField("Incarnation", ident.Incarnation(fleet))))
		Eventually(late.table.Live).WithTimeout(3 * time.Second).Should(BeNumerically(">", fleet/2))
	})

	// The hosts of a fleet start one after the other. One whose first ping came before its
	// seed was up knew nobody for a round of probes, and asked the store for everything.
	It("hears from a seed that is up a moment later", func() {
		seed, address := gossiper(1, 0)
		late, _ := gossiper(1000, 0, address)
		run(late)
		time.Sleep(70 * time.Millisecond)
		run(seed)
		Eventually(late.table.Live).WithTimeout(200 * time.Millisecond).WithPolling(5 * time.Millisecond).Should(Equal(2))
	})

	It("does not take the word of one that has just started for the fleet's size", func() {
		seed, address := gossiper(1, 0)
		run(seed)
		late, _ := gossiper(1000, 0, address)
		run(late)
		Eventually(late.table.Live).Should(Equal(2))
		Expect(late.Told()).To(BeZero())
	})
})

var _ = Describe("the list of members", func() {
	// A home of 195 hosts was busy for a tenth of its time with who the home is: the list
	// was made and sorted anew for each call that a host made.
	It("is made anew only when a member has changed", func() {
		t := newTable()
		for i := uint64(2); i < 50; i++ {
			t.Heard(line(i, 1, wire.MemberState_MEMBER_ALIVE))
		}
		t.First("s", 5)
		Expect(testing.AllocsPerRun(100, func() { t.First("s", 5) })).To(BeZero(), "allocations")
		before := t.First("s", 1)[0]
		t.miss(before.Incarnation)
		t.age(time.Now().Add(time.Minute), time.Second)
		Expect(t.First("s", 1)[0].Incarnation).NotTo(Equal(before.Incarnation))
	})
})

var _ = Describe("probes", func() {
	// Hosts of five availability zones probed all others alike: four fifths of the bytes of
	// the membership went between zones, more than the requests' own messages.
	It("stay in the availability zone for the most part, and leave it often enough", func() {
		t := newTable()
		t.self.Zone = "near"
		for i := uint64(2); i < 202; i++ {
			w := line(i, 1, wire.MemberState_MEMBER_ALIVE)
			w.Zone = []string{"near", "a", "b", "c", "d"}[i%5]
			t.Heard(w)
		}
		const rounds = 2000
		far := 0
		for range rounds {
			for _, m := range t.targets(2) {
				if m.Zone != "near" {
					far++
				}
			}
		}
		Expect(far).To(BeNumerically("~", 2*rounds/farOdds*4/5, rounds/10))
	})

	It("reach all hosts from one that is alone in its availability zone", func() {
		t := newTable()
		t.self.Zone = "alone"
		for i := uint64(2); i < 12; i++ {
			w := line(i, 1, wire.MemberState_MEMBER_ALIVE)
			w.Zone = "other"
			t.Heard(w)
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
