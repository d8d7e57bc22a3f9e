package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

func rowsOf(ids ...string) []store.Row {
	var rows []store.Row
	for _, id := range ids {
		rows = append(rows, store.Row{Key: id, Value: []byte(id)})
	}
	return rows
}

var _ = Describe("the list of backend servers", func() {
	var list []sched.Server
	var s *servers
	BeforeEach(func() {
		decode := func(id string, _ []byte) (sched.Server, error) { return sched.Server{ID: id, Address: id}, nil }
		s = newServers(decode, event.NewRecorder("h", "i", 16, log.NewNopLogger()), func(l []sched.Server) { list = l })
		s.take(store.Update{Rows: rowsOf("a", "b"), Whole: true})
		Expect(list).To(HaveLen(2))
	})

	It("drops a removed server at once", func() {
		s.take(store.Update{Rows: []store.Row{{Key: "a", Deleted: true}}})
		Expect(list).To(ConsistOf(HaveField("ID", "b")))
	})

	It("drops a server that a whole read does not show", func() {
		s.take(store.Update{Rows: rowsOf("b"), Whole: true})
		Expect(list).To(ConsistOf(HaveField("ID", "b")))
	})

	// The store was away for long, and no heartbeat could renew an entry. At
	// its return the table is empty for a moment, though all servers live.
	It("keeps servers whose entries lapsed during an outage until they had time to come back", func() {
		s.take(store.Update{Whole: true, Gap: 2 * storeGap})
		Expect(list).To(HaveLen(2))
		s.take(store.Update{Rows: rowsOf("a")})
		s.returned = s.returned.Add(-2 * lapseGrace)
		s.tick()
		Expect(list).To(ConsistOf(HaveField("ID", "a")))
	})

	It("keeps the time of a cold start as first told", func() {
		s.known["a"] = sched.Server{ID: "a", Address: "a", ColdFor: time.Second}
		s.take(store.Update{Rows: rowsOf("a")})
		Expect(s.known["a"].ColdFor).To(Equal(time.Second))
	})
})

var _ = Describe("a look-up in a large fleet", func() {
	// 72 hosts are told in one order and callers keep the first 64: eight hosts
	// never see a caller.
	It("tells every host to someone, and no more than callers take", func() {
		var fleet []member.Member
		for i := range 72 {
			fleet = append(fleet, member.Member{State: member.Alive, CallerAddress: fmt.Sprint("10.0.0.", i, ":1")})
		}
		fleet = append(fleet, member.Member{State: member.Dead, CallerAddress: "dead"}, member.Member{State: member.Alive})
		told := map[string]bool{}
		for range 100 {
			list := lookupAddresses(fleet)
			Expect(list).To(HaveLen(maxAddresses))
			for _, a := range list {
				told[a] = true
			}
		}
		Expect(told).To(HaveLen(72))
		Expect(told).NotTo(HaveKey("dead"))
	})
})
