package member

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

func loadOf(t *Table, i int) uint32 {
	for _, m := range t.Loads() {
		if m.Incarnation == ident.Incarnation(entryOf(i).Incarnation) {
			return m.Load
		}
	}
	return 0
}

// counted is a packet connection that counts the bytes and entries written to it.
type counted struct {
	net.PacketConn
	bytes, entries int
}

func (c *counted) WriteTo(b []byte, _ net.Addr) (int, error) {
	var m wire.Gossip
	Expect(proto.Unmarshal(b, &m)).To(Succeed())
	c.bytes += len(b)
	c.entries += len(m.Members)
	return len(b), nil
}

var _ = Describe("load figures", func() {
	withLoad := func(i int, load uint32) *wire.Member {
		m := entryOf(i)
		m.Load = load
		return m
	}

	It("are taken from the member itself and from hosts that have them from it", func() {
		t := tableOf(3)
		t.RecordContact(withLoad(1, 80))
		t.ApplyReport(withLoad(2, 90))
		Expect([]uint32{loadOf(t, 1), loadOf(t, 2)}).To(Equal([]uint32{80, 90}))
		t.ApplyReport(withLoad(1, 40)) // older than what the member itself said
		Expect(loadOf(t, 1)).To(Equal(uint32(80)))
		t.ApplyReport(entryOf(1)) // from a host that knows none
		Expect(loadOf(t, 1)).To(Equal(uint32(80)))
	})

	// A figure that each receiver passes on as if it were new never vanishes from the fleet, and
	// overwrites newer ones.
	It("are passed on once and only while they are new", func() {
		t := tableOf(3)
		t.RecordContact(withLoad(1, 80))
		t.ApplyReport(withLoad(2, 90))
		first, second := t.members[ident.Incarnation(entryOf(1).Incarnation)], t.members[ident.Incarnation(entryOf(2).Incarnation)]
		Expect(first.toWire().Load).To(Equal(uint32(80)))
		Expect(second.toWire().Load).To(BeZero())
		first.loadAt = first.loadAt.Add(-relayedLoadAge)
		Expect(first.toWire().Load).To(BeZero())
	})

	// Load changes every second. If each change were announced, or raised the beat, datagrams would
	// grow several times under load, and reports of a member's death would count as out of date.
	It("cost a few bytes in each entry and no entry more, whatever they do", func() {
		const hosts, rounds = 500, 300
		run := func(load uint32) *counted {
			t := tableOf(hosts)
			for range 2 * hosts {
				t.updates(sampleSize) // carries the announcements of the start
			}
			conn := &counted{}
			g := NewGossip(t, conn, "fleet", DefaultTiming(), func() []string { return nil }, t.events)
			for _, r := range t.members {
				r.firstSeen = time.Now().Add(-time.Minute)
			}
			beat := t.self.Beat
			for i := range rounds {
				m := entryOf(1 + i%(hosts-1))
				if load > 0 {
					m.Load, m.LinkMbps = 1+(load+uint32(i)*37)%254, 200
					t.SetLoad(1 + uint32(i)%254)
				}
				g.handle(&wire.Gossip{Kind: wire.GossipKind_GOSSIP_PING, From: m}, "127.0.0.1:1")
			}
			Expect(t.self.Beat).To(Equal(beat))
			return conn
		}
		without, with := run(0), run(20)
		Expect(with.entries).To(Equal(without.entries))
		Expect(float64(with.bytes) / float64(without.bytes)).To(BeNumerically("<", 1.08))
		GinkgoWriter.Printf("bytes of a datagram: %d without load figures, %d with\n", without.bytes/rounds, with.bytes/rounds)
	})

	It("of the own host are those it states", func() {
		t := tableOf(1)
		t.SetLoad(7)
		Expect(loadOf(t, 0)).To(Equal(uint32(7)))
		Expect(t.selfToWire().Load).To(Equal(uint32(7)))
		t.SetLeaving()
		Expect(t.Loads()).To(BeEmpty())
	})

	It("do not hide that a member is dead", func() {
		t := tableOf(3)
		t.RecordContact(withLoad(1, 80))
		Expect(t.IsAlive(ident.Incarnation(entryOf(1).Incarnation))).To(BeTrue())
		t.ProveDead(ident.Incarnation(entryOf(1).Incarnation), "test")
		Expect(t.IsAlive(ident.Incarnation(entryOf(1).Incarnation))).To(BeFalse())
		Expect(t.Loads()).To(HaveLen(2))
	})
})

var _ = Describe("hosts that have lost their paths to backend servers", func() {
	It("are learned from their own entries, reported on, and left out of samples", func() {
		t, other := tableOf(3), tableOf(3)
		lost := entryOf(1)
		lost.Beat, lost.PathsLost = lost.Beat+1, true
		t.RecordContact(lost)
		Expect(t.SampleWithPaths(10)).To(HaveLen(1))
		m, _ := t.Get(ident.Incarnation(lost.Incarnation))
		Expect(m.PathsLost).To(BeTrue())
		other.ApplyReport(t.members[ident.Incarnation(lost.Incarnation)].toWire())
		Expect(other.SampleWithPaths(10)).To(HaveLen(1))
	})

	// A host whose paths are back must be asked again, also by hosts that it doesn't probe itself.
	It("announce with a new beat when they have them again", func() {
		t := tableOf(1)
		before := t.selfToWire().Beat
		t.SetPathsLost(true)
		t.SetPathsLost(true)
		Expect(t.selfToWire().Beat).To(Equal(before + 1))
		Expect(t.selfToWire().PathsLost).To(BeTrue())
		t.SetPathsLost(false)
		Expect(t.selfToWire().Beat).To(Equal(before + 2))
		Expect(t.Self().PathsLost).To(BeFalse())
	})
})
