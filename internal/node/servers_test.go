package node

import (
	"fmt"
	"maps"
	"slices"
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

// applyTo returns a function that keeps a list of servers up to date with the published changes.
func applyTo(list *[]sched.Server) func(serverChanges) {
	byID := map[string]sched.Server{}
	return func(c serverChanges) {
		for _, id := range c.removed {
			Expect(byID).To(HaveKey(id), "removed though not listed")
			delete(byID, id)
		}
		for _, srv := range c.changed {
			byID[srv.ID] = srv
		}
		*list = slices.Collect(maps.Values(byID))
	}
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
		s = newServers(decode, event.NewRecorder("h", "i", 16, kitlog.NewNopLogger()), applyTo(&list))
		s.update(store.Update{Rows: rowsOf("a", "b"), Whole: true})
		Expect(list).To(HaveLen(2))
	})

	It("drops a removed server at once", func() {
		s.update(store.Update{Rows: []store.Row{{Key: "a", Deleted: true}}})
		Expect(list).To(ConsistOf(HaveField("ID", "b")))
	})

	It("drops a server that is missing from a full read of the table", func() {
		s.update(store.Update{Rows: rowsOf("b"), Whole: true})
		Expect(list).To(ConsistOf(HaveField("ID", "b")))
	})

	// During a long outage of the store no heartbeat can renew an entry. Right after it the
	// table is empty, though all servers are alive.
	It("keeps servers whose entries expired during an outage until they had time to write them again", func() {
		s.update(store.Update{Whole: true, Gap: 2 * minStoreOutage})
		Expect(list).To(HaveLen(2))
		s.update(store.Update{Rows: rowsOf("a")})
		s.outageEnd = s.outageEnd.Add(-2 * expiredEntryGrace)
		s.tick()
		Expect(list).To(ConsistOf(HaveField("ID", "a")))
	})

	It("keeps the warm-up time that was first reported", func() {
		s.known["a"] = sched.Server{ID: "a", Address: "a", WarmUp: time.Second}
		s.update(store.Update{Rows: rowsOf("a")})
		Expect(s.known["a"].WarmUp).To(Equal(time.Second))
	})
})

var _ = Describe("entries of the server table", func() {
	var list []sched.Server
	var s *servers
	var log strings.Builder
	// row builds a server's entry from its start time and state; "?" cannot be decoded.
	row := func(name, value string) store.Row { return store.Row{Key: name, Value: []byte(value)} }
	decode := func(name string, value []byte) (sched.Server, error) {
		var startedMs int64
		var state string
		if _, err := fmt.Sscan(string(value), &startedMs, &state); err != nil {
			return sched.Server{}, failure.New(failure.BadConfig, "cannot be decoded")
		}
		return sched.Server{ID: fmt.Sprint(name, "@", startedMs), Address: name, StartedMs: startedMs, Draining: state == "draining"}, nil
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
		s = newServers(decode, event.NewRecorder("h", "i", 64, kitlog.NewLogfmtLogger(&log)), applyTo(&list))
		s.update(store.Update{Rows: []store.Row{row("a", "1 ready"), row("b", "1 ready")}, Whole: true})
		Expect(ids()).To(ConsistOf("a@1", "b@1"))
	})

	// A server reports that it is leaving, crashes, and starts again under its name. If the
	// state of its old incarnation counted for the new one, callers would wait forever while
	// a server is idle.
	It("give a new incarnation for a server that starts again under its name", func() {
		s.update(store.Update{Rows: []store.Row{row("a", "1 draining")}})
		Expect(s.Leaving("a@1")).To(BeTrue())
		s.update(store.Update{Rows: []store.Row{row("a", "2 ready")}})
		Expect(ids()).To(ConsistOf("a@2", "b@1"))
		Expect(s.Leaving("a@1")).To(BeTrue(), "placements in flight to the old incarnation are returned")
		Expect(s.Leaving("a@2")).To(BeFalse())
		Expect(s.hasAddress("a@1", "a")).To(BeFalse(), "connections to the old incarnation are closed")
		Expect(s.hasAddress("a@2", "a")).To(BeTrue())
	})

	It("reset the warm-up time when the server starts again", func() {
		s.known["a"] = sched.Server{ID: "a@1", Address: "a", StartedMs: 1, WarmUp: time.Second}
		s.update(store.Update{Rows: []store.Row{row("a", "2 ready")}})
		Expect(s.known["a"].WarmUp).To(BeZero())
	})

	// Another program writes into the table. If an entry that cannot be decoded left the
	// previous one in force, requests would go to a server that the table no longer names.
	It("are ignored when they cannot be decoded, at any position, and the other entries count", func() {
		for _, rows := range [][]store.Row{
			{row("x", "?"), row("a", "1 ready"), row("b", "1 ready")},
			{row("a", "1 ready"), row("x", "?"), row("y", "?"), row("b", "1 ready")},
		} {
			s.update(store.Update{Rows: rows, Whole: true})
			Expect(ids()).To(ConsistOf("a@1", "b@1"))
		}
		s.update(store.Update{Rows: []store.Row{row("a", "?"), row("b", "1 ready")}, Whole: true})
		Expect(ids()).To(ConsistOf("b@1"))
		s.update(store.Update{Rows: []store.Row{row("a", "1 ready")}})
		Expect(ids()).To(ConsistOf("a@1", "b@1"))
		Expect(s.Leaving("a@1")).To(BeFalse())
	})

	It("are logged once for each change, not each time the table is read", func() {
		lines := func() int { return strings.Count(log.String(), "config_refused") }
		for range 3 {
			s.update(store.Update{Rows: []store.Row{row("a", "1 ready"), row("x", "?")}, Whole: true})
		}
		Expect(lines()).To(Equal(1))
		s.update(store.Update{Rows: []store.Row{row("x", "1 ready")}})
		s.update(store.Update{Rows: []store.Row{row("x", "?")}})
		Expect(lines()).To(Equal(2))
	})

	// Valid servers give their start time. An entry of another writer that lacks only that and
	// is read before any valid one would get requests until the next change.
	It("are ignored when they lack a start time that other entries have", func() {
		s.update(store.Update{Rows: []store.Row{row("0", "0 ready"), row("a", "1 ready")}, Whole: true})
		Expect(ids()).To(ConsistOf("a@1"))
		s.update(store.Update{Rows: []store.Row{row("0", "0 ready")}})
		Expect(ids()).To(ConsistOf("a@1"))
	})

	It("count when no entry has a start time", func() {
		s = newServers(decode, event.NewRecorder("h", "i", 16, kitlog.NewNopLogger()), applyTo(&list))
		s.update(store.Update{Rows: []store.Row{row("a", "0 ready"), row("b", "0 ready")}, Whole: true})
		Expect(ids()).To(ConsistOf("a@0", "b@0"))
	})
})

var _ = Describe("a look-up in a large fleet", func() {
	// If 72 hosts are returned in a fixed order and callers keep the first 64, eight hosts
	// never get a caller.
	It("returns every host to some caller, and no more hosts than callers keep", func() {
		var fleet []member.Member
		for i := range 72 {
			fleet = append(fleet, member.Member{State: member.Alive, CallerAddress: fmt.Sprint("10.0.0.", i, ":1")})
		}
		fleet = append(fleet, member.Member{State: member.Dead, CallerAddress: "dead"}, member.Member{State: member.Alive})
		seen := map[string]bool{}
		for range 100 {
			list := lookupAddresses(fleet)
			Expect(list).To(HaveLen(maxLookupAddresses))
			for _, a := range list {
				seen[a] = true
			}
		}
		Expect(seen).To(HaveLen(72))
		Expect(seen).NotTo(HaveKey("dead"))
	})
})
