package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	kitlog "github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
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
		s = newServers(decode, event.NewRecorder("h", "i", 16, kitlog.NewNopLogger()), func(l []sched.Server) { list = l })
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

var _ = Describe("entries of the table of servers", func() {
	var list []sched.Server
	var s *servers
	var log strings.Builder
	// entry writes a row as a server does: its start, its state; "?" cannot be read.
	row := func(name, value string) store.Row { return store.Row{Key: name, Value: []byte(value)} }
	decode := func(name string, value []byte) (sched.Server, error) {
		var born int64
		var state string
		if _, err := fmt.Sscan(string(value), &born, &state); err != nil {
			return sched.Server{}, failure.New(failure.BadConfig, "cannot be read")
		}
		return sched.Server{ID: fmt.Sprint(name, "@", born), Address: name, Born: born, Draining: state == "draining"}, nil
	}
	ids := func() []string {
		var out []string
		for _, srv := range list {
			out = append(out, srv.ID)
		}
		return out
	}
	BeforeEach(func() {
		log.Reset()
		s = newServers(decode, event.NewRecorder("h", "i", 64, kitlog.NewLogfmtLogger(&log)), func(l []sched.Server) { list = l })
		s.take(store.Update{Rows: []store.Row{row("a", "1 ready"), row("b", "1 ready")}, Whole: true})
		Expect(ids()).To(ConsistOf("a@1", "b@1"))
	})

	// A server reports that it leaves, crashes, and starts again under its name. Its
	// callers wait beside an idle server: what was believed of the one before was
	// held against the new one for ever.
	It("take a server that starts again under its name for a new one", func() {
		s.take(store.Update{Rows: []store.Row{row("a", "1 draining")}})
		Expect(s.Leaving("a@1")).To(BeTrue())
		s.take(store.Update{Rows: []store.Row{row("a", "2 ready")}})
		Expect(ids()).To(ConsistOf("a@2", "b@1"))
		Expect(s.Leaving("a@1")).To(BeTrue(), "places on their way to the one before are given back")
		Expect(s.Leaving("a@2")).To(BeFalse())
		Expect(s.has("a@1", "a")).To(BeFalse(), "its connections are closed")
		Expect(s.has("a@2", "a")).To(BeTrue())
	})

	It("count the time of a cold start anew for a new start", func() {
		s.known["a"] = sched.Server{ID: "a@1", Address: "a", Born: 1, ColdFor: time.Second}
		s.take(store.Update{Rows: []store.Row{row("a", "2 ready")}})
		Expect(s.known["a"].ColdFor).To(BeZero())
	})

	// Somebody else writes into the table. A row that cannot be read left the one
	// before in force, so callers were sent to a server that the table did not name.
	It("name no server when they cannot be read, wherever they stand; the others hold", func() {
		for _, rows := range [][]store.Row{
			{row("x", "?"), row("a", "1 ready"), row("b", "1 ready")},
			{row("a", "1 ready"), row("x", "?"), row("y", "?"), row("b", "1 ready")},
		} {
			s.take(store.Update{Rows: rows, Whole: true})
			Expect(ids()).To(ConsistOf("a@1", "b@1"))
		}
		s.take(store.Update{Rows: []store.Row{row("a", "?"), row("b", "1 ready")}, Whole: true})
		Expect(ids()).To(ConsistOf("b@1"))
		s.take(store.Update{Rows: []store.Row{row("a", "1 ready")}})
		Expect(ids()).To(ConsistOf("a@1", "b@1"))
		Expect(s.Leaving("a@1")).To(BeFalse())
	})

	It("are logged once for each change, not each time that the table is read", func() {
		lines := func() int { return strings.Count(log.String(), "config_refused") }
		for range 3 {
			s.take(store.Update{Rows: []store.Row{row("a", "1 ready"), row("x", "?")}, Whole: true})
		}
		Expect(lines()).To(Equal(1))
		s.take(store.Update{Rows: []store.Row{row("x", "1 ready")}})
		s.take(store.Update{Rows: []store.Row{row("x", "?")}})
		Expect(lines()).To(Equal(2))
	})

	// Sound servers tell their start. An entry of another writer that looks sound but
	// for that, read before any sound one, would get callers until the next change.
	It("name no server when they alone do not tell a start", func() {
		s.take(store.Update{Rows: []store.Row{row("0", "0 ready"), row("a", "1 ready")}, Whole: true})
		Expect(ids()).To(ConsistOf("a@1"))
		s.take(store.Update{Rows: []store.Row{row("0", "0 ready")}})
		Expect(ids()).To(ConsistOf("a@1"))
	})

	It("hold where no server tells its start", func() {
		s = newServers(decode, event.NewRecorder("h", "i", 16, kitlog.NewNopLogger()), func(l []sched.Server) { list = l })
		s.take(store.Update{Rows: []store.Row{row("a", "0 ready"), row("b", "0 ready")}, Whole: true})
		Expect(ids()).To(ConsistOf("a@0", "b@0"))
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
