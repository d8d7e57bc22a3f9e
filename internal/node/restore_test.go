package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	kitlog "github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
)

var _ = Describe("the list of servers after a restore of the store", func() {
	var list []sched.Server
	var s *servers
	// row builds an entry from its sequence, state and service; "?" cannot be decoded.
	row := func(name, value string) store.Row { return store.Row{Key: name, Value: []byte(value)} }
	decode := func(name string, value []byte) (sched.Server, error) {
		var sequence int
		var state string
		if _, err := fmt.Sscan(string(value), &sequence, &state); err != nil {
			return sched.Server{}, failure.New(failure.BadConfig, "cannot be decoded")
		}
		return sched.Server{ID: name, Address: name, Slots: 8, Draining: state == "draining"}, nil
	}
	usable := func() (out []string) {
		for _, srv := range list {
			if !srv.Draining && !srv.Unlisted {
				out = append(out, srv.ID)
			}
		}
		return out
	}
	listed := func() (out []string) {
		for _, srv := range list {
			out = append(out, srv.ID)
		}
		return out
	}
	restored := func(rows ...store.Row) { s.update(store.Update{Rows: rows, Whole: true, Restored: true}) }
	BeforeEach(func() {
		s = newServers(decode, event.NewRecorder("h", "i", 64, kitlog.NewNopLogger()), applyTo(&list))
		s.update(store.Update{Rows: []store.Row{row("a", "1 ready"), row("b", "1 ready"), row("c", "1 ready")}, Whole: true})
		Expect(usable()).To(ConsistOf("a", "b", "c"))
	})

	// The copy is older than the server's word. It is not repeated if the server has gone since.
	It("doesn't use a server that has left, whose entry is back, until the entry changes", func() {
		s.update(store.Update{Rows: []store.Row{{Key: "c", Deleted: true}}})
		restored(row("a", "1 ready"), row("b", "1 ready"), row("c", "1 ready"))
		Expect(usable()).To(ConsistOf("a", "b"))
		Expect(s.Leaving("c")).To(BeTrue())
		s.update(store.Update{Rows: []store.Row{row("a", "1 ready"), row("b", "1 ready"), row("c", "1 ready")}, Whole: true})
		Expect(usable()).To(ConsistOf("a", "b"))
		s.update(store.Update{Rows: []store.Row{row("c", "2 ready")}})
		Expect(usable()).To(ConsistOf("a", "b", "c"), "the server writes its entry")
		Expect(s.Leaving("c")).To(BeFalse())
	})

	It("doesn't use it in a relay's changes either", func() {
		s.update(store.Update{Rows: []store.Row{{Key: "c", Deleted: true}}})
		s.update(store.Update{Rows: []store.Row{row("c", "1 ready")}, Restored: true})
		Expect(usable()).To(ConsistOf("a", "b"))
	})

	It("uses a server that lapsed before and writes its entry again", func() {
		s.update(store.Update{Rows: []store.Row{{Key: "c", Deleted: true}}})
		restored(row("a", "1 ready"), row("b", "1 ready"))
		s.update(store.Update{Rows: []store.Row{row("c", "9 ready")}})
		Expect(usable()).To(ConsistOf("a", "b", "c"))
	})

	It("doesn't use a draining server that is ready in the copy", func() {
		s.update(store.Update{Rows: []store.Row{row("c", "2 draining")}})
		restored(row("a", "1 ready"), row("b", "1 ready"), row("c", "1 ready"))
		s.update(store.Update{Rows: []store.Row{row("c", "3 ready")}})
		Expect(usable()).To(ConsistOf("a", "b"))
		Expect(s.Leaving("c")).To(BeTrue())
	})

	// It may have been lost with the copy, or removed since: in that case it must get no request.
	It("gives no requests to a server without an entry until it writes one", func() {
		restored(row("a", "1 ready"), row("b", "1 ready"))
		Expect(usable()).To(ConsistOf("a", "b"))
		Expect(listed()).To(ConsistOf("a", "b", "c"), "its runs go on")
		Expect(s.Leaving("c")).To(BeFalse(), "requests that were placed there are sent")
		s.update(store.Update{Rows: []store.Row{row("c", "2 ready")}})
		Expect(usable()).To(ConsistOf("a", "b", "c"))
	})

	It("keeps it out of use in a relay's changes too", func() {
		s.update(store.Update{Rows: []store.Row{{Key: "c", Deleted: true}}, Restored: true})
		Expect(usable()).To(ConsistOf("a", "b"))
		Expect(listed()).To(ConsistOf("a", "b", "c"))
	})

	It("drops it if no entry comes", func() {
		restored(row("a", "1 ready"), row("b", "1 ready"))
		s.update(store.Update{Rows: []store.Row{row("a", "1 ready"), row("b", "1 ready")}, Whole: true})
		Expect(listed()).To(ConsistOf("a", "b", "c"))
		s.lost["c"] = time.Now().Add(-expiredEntryGrace)
		s.tick()
		Expect(listed()).To(ConsistOf("a", "b"))
		Expect(s.Leaving("c")).To(BeTrue())
	})

	It("drops it at once if its entry is removed after the restore", func() {
		restored(row("a", "1 ready"), row("b", "1 ready"), row("c", "1 ready"))
		s.update(store.Update{Rows: []store.Row{{Key: "c", Deleted: true}}})
		Expect(listed()).To(ConsistOf("a", "b"))
	})

	// The copy may be from before most servers started. Without them sound requests would be refused.
	It("goes on with all servers of a service if most of them lack an entry", func() {
		restored(row("a", "1 ready"))
		Expect(usable()).To(ConsistOf("a", "b", "c"))
		s.update(store.Update{Rows: []store.Row{row("b", "2 ready")}})
		Expect(usable()).To(ConsistOf("a", "b"), "most have one again")
		s.update(store.Update{Rows: []store.Row{row("c", "2 ready")}})
		Expect(usable()).To(ConsistOf("a", "b", "c"))
	})

	It("drops a draining server without an entry", func() {
		s.update(store.Update{Rows: []store.Row{row("c", "2 draining")}})
		restored(row("a", "1 ready"), row("b", "1 ready"))
		Expect(listed()).To(ConsistOf("a", "b"))
	})

	It("counts the time for an entry from the newest of several restores", func() {
		restored(row("a", "1 ready"), row("b", "1 ready"))
		s.lost["c"] = time.Now().Add(-expiredEntryGrace)
		restored(row("a", "1 ready"), row("b", "1 ready"))
		Expect(listed()).To(ConsistOf("a", "b", "c"))
	})
})

// TestChangesAroundARestore checks that a restore of the store hides no change: servers that leave before
// it, in it and after it, and configurations. Servers that started after the copy write their entries
// again.
func TestChangesAroundARestore(t *testing.T) {
	for _, away := range []time.Duration{0, 600 * time.Millisecond, 4 * time.Second} {
		for _, hosts := range fleetSizes {
			t.Run(fmt.Sprintf("%d hosts away for %v", hosts, away), func(t *testing.T) {
				var delays propagationDelays
				synctest.Test(t, func(t *testing.T) { delays = changesAroundARestore(NewWithT(t), hosts, away) })
				delays.check(t, "all hosts", hosts)
			})
		}
	}
}

// changesAroundARestore returns the delays of all hosts.
func changesAroundARestore(g Gomega, hosts int, away time.Duration) (delays propagationDelays) {
	const servers, started = 40, 3
	f := startFleet(g, hosts, servers, uint64(hosts))
	defer f.stop()
	entries, configs := f.tables[serverTable], f.tables[operatorTable]
	oldEntries, oldConfigs := entries.copied(), configs.copied()
	time.Sleep(time.Second)
	for i := range started {
		entries.write(readyRow(serverName(servers + i)))
	}
	time.Sleep(time.Second)
	var left []time.Time
	leave := func() {
		f.stopServer(len(left))
		left = append(left, time.Now())
		f.writeConfig(len(left))
	}
	leave()
	leave()
	time.Sleep(time.Second)
	for _, h := range f.hosts {
		if away > 0 {
			h.setAvailability(refused)
		}
	}
	time.Sleep(away)
	configs.restore(oldConfigs)
	entries.restore(oldEntries, deletedRow(serverName(3)), drainingRow(serverName(2)))
	left = append(left, time.Now(), time.Now())
	f.writeConfig(4)
	for _, h := range f.hosts {
		h.setAvailability(present)
	}
	time.Sleep(1200 * time.Millisecond) // until heartbeats renew the entries that were lost
	for i := range started {
		entries.write(readyRow(serverName(servers + i)))
	}
	for range 6 {
		time.Sleep(500 * time.Millisecond)
		leave()
	}
	time.Sleep(8 * time.Second)
	for i, at := range left {
		for _, h := range f.hosts {
			delays.add(h, i, at)
		}
	}
	for _, h := range f.hosts {
		g.Expect(h.countUsable()).To(Equal(servers+started-len(left)), "host %d", h.index)
	}
	return delays
}
