package node

import (
	"fmt"
	"time"

	kitlog "github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/addresses"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/wire"
)

func hostEntry(i int, zone string, capacity uint32) *wire.Member {
	return &wire.Member{
		Incarnation: uint64(i + 1), Host: fmt.Sprint("host-", i), Zone: zone, Capacity: capacity, StartedMs: int64(i + 1),
		ControlAddress: fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250), CallerAddress: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
		State: wire.MemberState_MEMBER_ALIVE,
	}
}

// newTestDirectory returns the directory of host 0 and the others that entries returns.
func newTestDirectory(hosts int, entry func(i int) *wire.Member) (*directory, *member.Table) {
	members := member.NewTable(entry(0), time.Minute, event.NewRecorder("h", "i", 16, kitlog.NewNopLogger()))
	for i := 1; i < hosts; i++ {
		members.ApplyReport(entry(i))
	}
	return newDirectory(members), members
}

var _ = Describe("the directory of entry hosts", func() {
	inZones := func(i int) *wire.Member { return hostEntry(i, fmt.Sprint("zone-", i%3), 800) }

	It("lists the hosts of the caller's zone", func() {
		d, _ := newTestDirectory(60, inZones)
		list := d.list(time.Unix(1, 0), "zone-1")
		Expect(list).To(HaveLen(20))
		for _, a := range list {
			var i int
			_, err := fmt.Sscanf(a, "10.0.0.%d:1", &i)
			Expect(err).NotTo(HaveOccurred())
			Expect(i % 3).To(Equal(1))
		}
	})

	// In a fleet of equal hosts in one zone the answer must stay a random sample of all.
	It("lists none where all hosts are alike and in one zone", func() {
		d, _ := newTestDirectory(60, func(i int) *wire.Member { return hostEntry(i, "zone", 800) })
		Expect(d.list(time.Unix(1, 0), "zone")).To(BeEmpty())
	})

	// Callers that are sent to a host which has ended lose one of their two attempts.
	It("does not list a host that has died since it was built", func() {
		d, members := newTestDirectory(60, inZones)
		now := time.Unix(1, 0)
		Expect(d.list(now, "zone-1")).To(ContainElement(hostEntry(4, "", 0).CallerAddress))
		members.ProveDead(ident.Incarnation(5), "test")
		Expect(d.list(now, "zone-1")).NotTo(ContainElement(hostEntry(4, "", 0).CallerAddress))
	})

	// A fleet that starts would send all callers to its first few hosts for a second.
	It("learns of new hosts within a tenth of its period", func() {
		d, members := newTestDirectory(10, inZones)
		now := time.Unix(1, 0)
		Expect(d.list(now, "zone-1")).NotTo(BeEmpty())
		for i := 10; i < 60; i++ {
			members.ApplyReport(inZones(i))
		}
		Expect(d.list(now.Add(directoryPeriod/5), "zone-1")).To(HaveLen(20))
	})

	// At 2,000 hosts a look-up that walks or sorts all members takes a millisecond.
	It("is built once in its period, whatever the number of look-ups and hosts", func() {
		for _, hosts := range []int{250, 2000} {
			d, _ := newTestDirectory(hosts, inZones)
			now := time.Unix(1, 0)
			d.list(now, "zone-1")
			before := d.current
			for range 1000 {
				now = now.Add(time.Millisecond)
				Expect(len(d.list(now, "zone-1"))).To(BeNumerically("<=", addresses.MaxEntries))
			}
			Expect(d.current).To(BeIdenticalTo(before))
			now = now.Add(time.Duration(hosts) * directoryPeriodPerHost)
			d.list(now, "zone-1")
			Expect(d.current).NotTo(BeIdenticalTo(before))
		}
	})

	It("knows what hosts carry and how loaded they are", func() {
		d, members := newTestDirectory(60, inZones)
		for i := 1; i < 60; i += 3 {
			m := inZones(i)
			m.Load = 250
			members.RecordContact(m)
		}
		now := time.Now()
		d.list(now, "zone-1")
		Expect(d.zoneShare("zone-1")).To(BeNumerically("<", 1))
		Expect(d.zoneShare("zone-2")).To(BeNumerically("==", 1))
	})
})

var _ = Describe("addresses of hosts that have lost their paths to servers", func() {
	members := func(n, lost int) (list []member.Member) {
		for i := range n {
			list = append(list, member.Member{State: member.Alive, CallerAddress: fmt.Sprint(i), PathsLost: i < lost})
		}
		return list
	}
	DescribeTable("are left out while most hosts have theirs",
		func(n, lost, expected int) { Expect(lookupAddresses(members(n, lost))).To(HaveLen(expected)) },
		Entry("one of seven", 7, 1, 6),
		Entry("three of six", 6, 3, 3),
		Entry("four of seven", 7, 4, 7),
		Entry("all", 7, 7, 7),
		Entry("the only one", 1, 1, 1),
	)
})
