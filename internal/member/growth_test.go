package member

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	kitlog "github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

func entryOf(i int) *wire.Member {
	return &wire.Member{
		Incarnation: uint64(i + 1), Host: fmt.Sprint("host-", i), Zone: fmt.Sprint("zone-", i%5), Capacity: uint32(i % 7),
		ControlAddress: fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250), StartedMs: int64(i + 1), State: wire.MemberState_MEMBER_ALIVE,
	}
}

func tableOf(hosts int) *Table {
	t := NewTable(entryOf(0), time.Minute, event.NewRecorder("h", "i", 16, kitlog.NewNopLogger()))
	for i := 1; i < hosts; i++ {
		t.ApplyReport(entryOf(i))
	}
	return t
}

// discarded is a packet connection that counts what is written and drops it.
type discarded struct {
	net.PacketConn
	packets int
}

func (d *discarded) WriteTo(b []byte, _ net.Addr) (int, error) { d.packets++; return len(b), nil }

// drawn counts the records drawn from all pools.
func (t *Table) drawn() (n int) {
	for _, p := range t.pools {
		n += p.drawn
	}
	return n
}

var _ = Describe("the cost of membership in a large fleet", func() {
	// Each datagram walked all members up to four times. A host that serves nobody took twice the
	// processor time at 985 hosts that it took at 22, and the seeds of a fleet that starts needed a
	// second for each hundred newcomers.
	It("is the same for each datagram, look-up and probe round up to 2,000 hosts", func() {
		const rounds = 50
		for _, hosts := range []int{250, 500, 1000, 2000} {
			t := tableOf(hosts)
			conn := &discarded{}
			g := NewGossip(t, conn, "fleet", DefaultTiming(), func() []string { return nil }, t.events)
			t.First("scheduler", 15)
			before := t.drawn()
			for i := range rounds {
				g.handle(&wire.Gossip{Kind: wire.GossipKind_GOSSIP_PING, From: entryOf(1 + i%(hosts-1))}, "127.0.0.1:1")
				t.targets(2)
				t.First("scheduler", 15)
				t.SampleAlive(64)
				t.expire(time.Now(), time.Second)
			}
			Expect(conn.packets).To(Equal(rounds))
			Expect(t.drawn()-before).To(BeNumerically("<=", rounds*150), "%d hosts", hosts)
			Expect(t.sorted).To(BeNil(), "the list of all members was built for a datagram")
		}
	})

	// A member that joins far behind the first hosts of the ranking made each host rank all members again.
	It("ranks all members again only when one of the first leaves", func() {
		t := tableOf(500)
		first := t.First("scheduler", maxRanked)
		ranking := t.rankings["scheduler"]
		for i := 500; i < 700; i++ {
			t.ApplyReport(entryOf(i))
		}
		t.ProveDead(ident.Incarnation(entryOf(1).Incarnation), "test") // of capacity 1
		t.First("scheduler", maxRanked)
		Expect(t.rankings["scheduler"]).To(BeIdenticalTo(ranking))
		t.ProveDead(first[0].Incarnation, "test")
		Expect(t.First("scheduler", 1)[0].Incarnation).NotTo(Equal(first[0].Incarnation))
	})
})

// What is kept beside the members, to avoid a walk over them, must not diverge from them.
var _ = Describe("the pools and rankings of the member table", func() {
	for seed := range uint64(4) {
		It(fmt.Sprint("agree with the members after whatever happens to them, seed ", seed), func() {
			rng := rand.New(rand.NewPCG(seed, 5))
			t := tableOf(1)
			for range 2000 {
				i := 1 + rng.IntN(60)
				m := entryOf(i)
				m.Incarnation += uint64(rng.IntN(2)) * 100
				m.StartedMs += int64(m.Incarnation)
				m.Beat = uint32(rng.IntN(4))
				m.Capacity += uint32(rng.IntN(20) / 19)
				m.State = []wire.MemberState{wire.MemberState_MEMBER_ALIVE, wire.MemberState_MEMBER_ALIVE, wire.MemberState_MEMBER_SUSPECT, wire.MemberState_MEMBER_LEAVING, wire.MemberState_MEMBER_DEAD}[rng.IntN(5)]
				switch rng.IntN(6) {
				case 0:
					t.RecordContact(m)
				case 1:
					t.ProveDead(ident.Incarnation(m.Incarnation), "test")
				case 2:
					t.expire(time.Now().Add(time.Duration(rng.IntN(90))*time.Second), time.Second)
				case 3:
					t.updates(sampleSize)
				default:
					t.ApplyReport(m)
				}
				expectConsistent(t)
			}
		})
	}
})

func expectConsistent(t *Table) {
	live, unproved, timed := 0, 0, 0
	for inc, r := range t.members {
		Expect(inc).To(Equal(r.incarnation()))
		Expect(t.byAddress[r.wire.ControlAddress]).To(ContainElement(r))
		switch state := r.machine.State(); {
		case state == Dead && !r.proved:
			unproved++
			timed++
		case state == Dead:
			timed++
		case state == Suspect:
			live++
			timed++
		default:
			live++
		}
	}
	Expect(t.pools[livePool].records).To(HaveLen(live))
	Expect(t.pools[unprovedPool].records).To(HaveLen(unproved))
	Expect(t.pools[timedPool].records).To(HaveLen(timed))
	Expect(t.LiveCount()).To(Equal(live + 1))
	ranked := Rank("scheduler", t.All(), maxRanked)
	Expect(slices.EqualFunc(t.First("scheduler", maxRanked), ranked, func(a, b Member) bool { return a.Incarnation == b.Incarnation })).To(BeTrue())
}

var _ = Describe("a sample of the members", func() {
	// A look-up that named some hosts more often than others would send them more callers.
	It("contains each live member equally often, this host too, and no other", func() {
		const hosts, draws, size = 20, 4000, 5
		t := tableOf(hosts)
		t.ProveDead(ident.Incarnation(entryOf(7).Incarnation), "test")
		seen := map[ident.Incarnation]int{}
		for range draws {
			sample := t.SampleAlive(size)
			Expect(sample).To(HaveLen(size))
			for _, m := range sample {
				seen[m.Incarnation]++
			}
		}
		Expect(seen).To(HaveLen(hosts - 1))
		Expect(seen).NotTo(HaveKey(ident.Incarnation(entryOf(7).Incarnation)))
		for inc, n := range seen {
			Expect(n).To(BeNumerically("~", draws*size/(hosts-1), draws/10), "%v", inc)
		}
		Expect(t.SampleAlive(3 * hosts)).To(HaveLen(hosts - 1))
	})
})
