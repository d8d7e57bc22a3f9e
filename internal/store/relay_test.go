package store_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/store"
)

func wholeTable(version store.Version, keys ...string) store.Update {
	u := store.Update{Whole: true, Version: version}
	for _, k := range keys {
		u.Rows = append(u.Rows, store.Row{Key: k, Version: 1})
	}
	return u
}

var _ = Describe("the home's relay", func() {
	ctx := context.Background()
	It("returns the table and its changes", func() {
		r := store.NewRelay()
		r.Apply(wholeTable(5, "a", "b"))
		rows, version, err := r.Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(2))
		go func() {
			time.Sleep(10 * time.Millisecond)
			r.Apply(store.Update{Rows: []store.Row{{Key: "a", Version: 6, Deleted: true}}, Version: 6})
		}()
		rows, version, err = r.Changes(ctx, version, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(BeNumerically("==", 6))
		Expect(rows).To(ConsistOf(And(HaveField("Key", "a"), HaveField("Deleted", true))))
	})

	// The store loses its history and the home reads the whole table. A server that left in
	// between is only missing from it; other hosts must still get its removal.
	It("reports rows that are missing from a whole read as deleted", func() {
		r := store.NewRelay()
		r.Apply(wholeTable(5, "a", "b"))
		r.Apply(wholeTable(9, "b"))
		rows, version, err := r.Changes(ctx, 5, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(BeNumerically("==", 9))
		Expect(rows).To(ConsistOf(And(HaveField("Key", "a"), HaveField("Deleted", true))))
	})

	It("makes hosts that are too far behind read the whole table", func() {
		r := store.NewRelay()
		r.Apply(wholeTable(5, "a"))
		_, _, err := r.Changes(ctx, 3, time.Second)
		Expect(failure.Is(err, failure.HistoryLost)).To(BeTrue())
	})

	// The home is partitioned from the store. Its data becomes stale, and the other hosts,
	// including those that wait at it, must read the store themselves at once.
	It("ends all calls when the store does not answer it", func() {
		r := store.NewRelay()
		r.Apply(wholeTable(5, "a"))
		left := make(chan error, 1)
		go func() {
			_, _, err := r.Changes(ctx, 5, 10*time.Second)
			left <- err
		}()
		Consistently(left, "20ms").ShouldNot(Receive())
		r.StoreFailed()
		Eventually(left).Should(Receive(Satisfy(func(err error) bool { return failure.Is(err, failure.StoreDown) })))
		_, _, err := r.Snapshot(ctx)
		Expect(err).To(HaveOccurred())
	})
})

// fixedStore is the store itself, with one row and a version.
type fixedStore struct{ version store.Version }

func (d fixedStore) Snapshot(context.Context, string) ([]store.Row, store.Version, error) {
	return []store.Row{{Key: "direct"}}, d.version, nil
}

func (d fixedStore) Changes(_ context.Context, _ string, after store.Version, _ time.Duration) ([]store.Row, store.Version, error) {
	return []store.Row{{Key: "direct"}}, max(after, d.version), nil
}

// byteCounter counts the bytes written to it.
type byteCounter struct{ n *int }

func (c byteCounter) Write(p []byte) (int, error) {
	*c.n += len(p)
	return len(p), nil
}

// fakeHome is a home that serves relays over pipes. Its name may change during a test.
type fakeHome struct {
	relays     *store.Relays
	isHome     func() bool // whether the host at the other end is the home
	name       string      // empty if this host is the home
	nextReader *fakeHome   // the next reader
	hosts      int
	opened     int
	bytesRead  int
}

func (h *fakeHome) ReaderOrder() store.ReaderOrder {
	o := store.ReaderOrder{Self: -1}
	for r := h; r != nil; r = r.nextReader {
		if r.name == "" {
			o.Self = len(o.Names)
		}
		o.Names = append(o.Names, r.name)
		o.Readers++
	}
	return o
}

func (h *fakeHome) role() store.Role {
	if h.isHome() {
		return store.Reader
	}
	return store.Follower
}

func (h *fakeHome) Hosts() int { return h.hosts }

func (h *fakeHome) Open(_ context.Context, name string) (*peer.Stream, error) {
	for h.name != name {
		h = h.nextReader
	}
	h.opened++
	a, b := net.Pipe()
	go h.relays.Serve(context.Background(), &peer.Stream{Conn: b, Reader: bufio.NewReader(b)}, h.role)
	return &peer.Stream{Conn: a, Reader: bufio.NewReader(io.TeeReader(a, byteCounter{&h.bytesRead}))}, nil
}

func always() bool { return true }

// answerPeriod is how often the store answers a relay that keepAnswered serves.
const answerPeriod = 100 * time.Millisecond

// keepAnswered lets the store answer a relay without changes until the function that it returns is called.
func keepAnswered(r *store.Relay) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(answerPeriod):
				r.Apply(store.Update{})
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

var _ = Describe("reading through the relay", func() {
	ctx := context.Background()
	It("asks the relay and not the store", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(wholeTable(5, "relayed"))
		r := store.NewRelayedTables(fixedStore{1}, &fakeHome{relays: relays, isHome: always, name: "h"}, 0, nil)
		rows, version, err := r.Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(BeNumerically("==", 5))
		Expect(rows).To(ConsistOf(HaveField("Key", "relayed")))
	})

	// After a change of home the new one may have read an older table than this host, in which
	// a server that has left is still listed.
	It("does not return to an older table", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(wholeTable(5, "relayed"))
		home := false
		r := store.NewRelayedTables(fixedStore{9}, &fakeHome{relays: relays, isHome: func() bool { return home }, name: "h"}, 0, nil)
		_, version, err := r.Changes(ctx, "t", 3, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(BeNumerically("==", 9))
		home = true
		rows, _, err := r.Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(ConsistOf(HaveField("Key", "direct")))
	})

	// Uncompressed, a configuration of thousands of routes takes effect late on small hosts and
	// delays their calls to the home on the same link.
	It("transfers large rows unchanged, in a tenth of their size", func() {
		value := bytes.Repeat([]byte(`{"name":"r-828m82t","host":"ficu95.example"}`), 5000)
		relays := store.NewRelays()
		relays.Table("t").Apply(store.Update{Whole: true, Version: 5, Rows: []store.Row{{Key: "config", Value: value, Version: 5}}})
		home := &fakeHome{relays: relays, isHome: always, name: "h"}
		r := store.NewRelayedTables(fixedStore{1}, home, 0, nil)
		rows, _, err := r.Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Value).To(Equal(value))
		Expect(home.bytesRead).To(BeNumerically("<", len(value)/10))
	})

	// 300 hosts start and each receives 3,000 backend servers, 0.6 MB, from a home with 0.4
	// cores while callers wait for it.
	It("transfers a long list in a fifth of its size, compressed once for all hosts", func() {
		var rows []store.Row
		size := 0
		for i := range 3000 {
			value := fmt.Appendf(nil, `{"service":"engines","address":"10.1.%d.%d:8202","zone":"fukuoka-hall","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":%d}`, i/250, i%250, i)
			size += len(value)
			rows = append(rows, store.Row{Key: fmt.Sprintf("i-%010x", 7919*i), Value: value, Version: store.Version(i + 1)})
		}
		relays := store.NewRelays()
		relays.Table("t").Apply(store.Update{Whole: true, Version: 2})
		relays.Table("t").Apply(store.Update{Version: 3000, Rows: rows})
		home := &fakeHome{relays: relays, isHome: always, name: "h"}
		got, _, err := store.NewRelayedTables(fixedStore{1}, home, 0, nil).Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		slices.SortFunc(got, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
		Expect(slices.EqualFunc(got, rows, func(a, b store.Row) bool { return a.Key == b.Key && bytes.Equal(a.Value, b.Value) })).To(BeTrue())
		Expect(home.bytesRead).To(BeNumerically("<", size/5))
		changed, _, err := store.NewRelayedTables(fixedStore{1}, home, 0, nil).Changes(ctx, "t", 100, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(HaveLen(2900), "the history holds the changes at the start of a fleet")
	})

	It("reads the store when this host is the home, or the home has no fresh answer", func() {
		self := store.NewRelayedTables(fixedStore{1}, &fakeHome{}, 0, nil)
		stale := store.NewRelayedTables(fixedStore{1}, &fakeHome{relays: store.NewRelays(), isHome: always, name: "h"}, 0, nil)
		for _, r := range []*store.RelayedTables{self, stale} {
			rows, _, err := r.Changes(ctx, "t", 0, time.Millisecond)
			Expect(err).NotTo(HaveOccurred())
			Expect(rows).To(ConsistOf(HaveField("Key", "direct")))
		}
	})

	// A revoked key worked for five seconds more after a change of home: the new home still
	// asked the old one, and the old one asked the new one, so that nobody read the store.
	It("reads the store at once when this host becomes the home", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(wholeTable(5, "relayed"))
		DeferCleanup(keepAnswered(relays.Table("t")))
		home := &fakeHome{relays: relays, isHome: always, name: "old"}
		r := store.NewRelayedTables(fixedStore{6}, home, 0, nil)
		_, _, err := r.Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		home.name = ""
		begun := time.Now()
		rows, _, err := r.Changes(ctx, "t", 5, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(ConsistOf(HaveField("Key", "direct")))
		Expect(time.Since(begun)).To(BeNumerically("<", 500*time.Millisecond))
		home.name = "new"
		_, _, err = r.Changes(ctx, "t", 5, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(home.opened).To(Equal(2))
	})

	// A revoked key worked for five seconds more after a change of home: the new home
	// waited at the old one, and the old one at the new one.
	It("does not wait at a host that is no longer the home", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(wholeTable(5, "relayed"))
		r := store.NewRelayedTables(fixedStore{6}, &fakeHome{relays: relays, isHome: always, name: "old"}, 0, nil)
		begun := time.Now()
		time.AfterFunc(100*time.Millisecond, relays.EndWaits)
		_, _, err := r.Changes(ctx, "t", 5, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})

	// The store refuses the home and serves the others. Without further readers, all 195 hosts
	// read it themselves once a second: 18,000 calls a day.
	It("asks the next reader when the home has no fresh answer", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(wholeTable(7, "next"))
		home := &fakeHome{relays: store.NewRelays(), isHome: always, name: "home", hosts: 195}
		home.nextReader = &fakeHome{relays: relays, isHome: always, name: "next"}
		rows, _, err := store.NewRelayedTables(fixedStore{9}, home, 0, nil).Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(ConsistOf(HaveField("Key", "next")))
	})

	// A third of the hosts are partitioned from the store at once, the home and the next reader
	// among them. Hosts that waited at the next reader until it detected this too kept
	// accepting a revoked key for six seconds.
	It("does not wait at a reader that has lost the home and not reached the store", func() {
		lost, fresh := store.NewRelays(), store.NewRelays()
		lost.Table("t").Apply(wholeTable(5, "old"))
		lost.Table("t").StoreFailed()
		fresh.Table("t").Apply(wholeTable(7, "new"))
		home := &fakeHome{relays: store.NewRelays(), isHome: always, name: "home", hosts: 195}
		home.nextReader = &fakeHome{relays: lost, isHome: always, name: "lost"}
		home.nextReader.nextReader = &fakeHome{relays: fresh, isHome: always, name: "fresh"}
		begun := time.Now()
		rows, _, err := store.NewRelayedTables(fixedStore{9}, home, 0, nil).Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(ConsistOf(HaveField("Key", "new")))
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})

	It("reports once when the relay that it follows has no fresh answer", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(wholeTable(5, "relayed"))
		lostCalls := 0
		home := &fakeHome{relays: relays, isHome: always, name: "h", hosts: 195}
		r := store.NewRelayedTables(fixedStore{6}, home, 0, func() { lostCalls++ })
		_, _, err := r.Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		relays.Table("t").StoreFailed()
		_, _, _ = r.Changes(ctx, "t", 5, time.Millisecond)
		_, _, _ = r.Changes(ctx, "t", 5, time.Millisecond)
		Expect(lostCalls).To(Equal(1))
	})

	// The store stops answering only the readers and standbys. A revoked key worked for 4.2 s
	// more at hosts whose turn to read the store had come but which checked for it only once a
	// second.
	It("lets each of 195 hosts read the store within two seconds when no reader reaches it", func() {
		const watched = 30
		done := make(chan time.Duration, watched)
		for range watched {
			home := &fakeHome{relays: store.NewRelays(), isHome: always, name: "home", hosts: 195}
			home.relays.Table("t").StoreFailed()
			begun := time.Now()
			run, stop := context.WithCancel(ctx)
			DeferCleanup(stop)
			w := &store.Watcher{
				Tables: store.NewRelayedTables(fixedStore{9}, home, 0, nil), Table: "t",
				Events:         event.NewRecorder("h", "i", 16, log.NewNopLogger()),
				RereadInterval: func() time.Duration { return time.Minute },
				Apply:          func(store.Update) { stop(); done <- time.Since(begun) },
			}
			go w.Run(run)
		}
		for range watched {
			Eventually(done).WithTimeout(4 * time.Second).Should(Receive(BeNumerically("<", 2200*time.Millisecond)))
		}
	})

	// The operator changes the configuration again while the store doesn't answer its readers.
	// Hosts that had read the store once waited up to 4.7 s until their next read.
	It("lets each host read the store again within four seconds", func() {
		const watched = 30
		done := make(chan time.Duration, watched)
		for range watched {
			home := &fakeHome{relays: store.NewRelays(), isHome: always, name: "home", hosts: 195}
			home.relays.Table("t").StoreFailed()
			run, stop := context.WithCancel(ctx)
			DeferCleanup(stop)
			var reads []time.Time
			w := &store.Watcher{
				Tables: store.NewRelayedTables(fixedStore{9}, home, 0, nil), Table: "t",
				Events:         event.NewRecorder("h", "i", 16, log.NewNopLogger()),
				RereadInterval: func() time.Duration { return time.Minute },
				Apply: func(store.Update) {
					if reads = append(reads, time.Now()); len(reads) == 3 {
						stop()
						done <- max(reads[1].Sub(reads[0]), reads[2].Sub(reads[1]))
					}
				},
			}
			go w.Run(run)
		}
		for range watched {
			Eventually(done).WithTimeout(10 * time.Second).Should(Receive(BeNumerically("<", 3600*time.Millisecond)))
		}
	})

	// The store is unavailable to all for seconds. Hosts that read it themselves called it
	// without a limit.
	It("takes turns with the other hosts when no reader has a fresh answer", func() {
		const hosts, each = 195, 20
		begun := time.Now()
		calls := 0
		for range each {
			home := &fakeHome{relays: store.NewRelays(), isHome: always, name: "home", hosts: hosts}
			r := store.NewRelayedTables(fixedStore{9}, home, 0, nil)
			for range 3 {
				if _, _, err := r.Changes(ctx, "t", 5, time.Millisecond); err == nil {
					calls++
				}
			}
		}
		// In this time the whole fleet may make 125 calls a second, and a few at the start.
		share := 125 * time.Since(begun).Seconds() * each / hosts
		Expect(calls).To(BeNumerically("<", 5+share))
	})

	// The store returns after an outage for all hosts. Hosts that had no call open when the
	// outage began took it for a short one, and dropped servers whose entries had expired in it.
	It("returns the length of the store's outage as its reader observed it", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(wholeTable(5, "relayed"))
		r := store.NewRelayedTables(fixedStore{1}, &fakeHome{relays: relays, isHome: always, name: "h"}, 0, nil)
		_, _, err := r.Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Gap()).To(BeZero())
		relays.Table("t").Apply(store.Update{Version: 6, Rows: []store.Row{{Key: "x", Version: 6}}, Gap: 4 * time.Second})
		_, _, err = r.Changes(ctx, "t", 5, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Gap()).To(Equal(4 * time.Second))
		relays.Table("t").Apply(store.Update{Version: 7, Rows: []store.Row{{Key: "x", Version: 7}}})
		_, _, err = r.Changes(ctx, "t", 6, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Gap()).To(BeZero())
	})

	// A host that reads the store only now and then counted the time between two answers as an
	// outage, and went on using servers whose entries were gone.
	It("does not count the time between its own calls as an outage", func() {
		r := store.NewRelayedTables(fixedStore{1}, &fakeHome{}, 0, nil)
		for range 2 {
			_, _, err := r.Snapshot(ctx, "t")
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(50 * time.Millisecond)
		}
		Expect(r.Gap()).To(BeZero())
	})

	// A reader that was partitioned for seconds reported an outage of the store to all hosts,
	// also to those that the store had answered meanwhile. They too went on using servers whose
	// entries were gone.
	It("does not count the partition of a reader as an outage of a store that answered meanwhile", func() {
		relays := store.NewRelays()
		home := &fakeHome{relays: relays, isHome: always, name: "h"}
		r := store.NewRelayedTables(fixedStore{6}, home, 0, nil)
		_, _, err := r.Snapshot(ctx, "t") // the reader has no fresh answer
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Reader()).To(BeEmpty())
		time.Sleep(400 * time.Millisecond) // until the reader is asked again
		relays.Table("t").Apply(wholeTable(5, "x"))
		relays.Table("t").Apply(store.Update{Version: 7, Rows: []store.Row{{Key: "x", Version: 7}}, Gap: 9 * time.Second})
		_, _, err = r.Changes(ctx, "t", 6, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Reader()).To(Equal("h"))
		Expect(r.Gap()).To(BeZero())
	})

	// A call that waits for changes at the home is open for seconds. If the home ends in that
	// time, this does not mean that the store was unavailable since the call began.
	It("does not count a relay without changes as an outage", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(wholeTable(5, "relayed"))
		home := &fakeHome{relays: relays, isHome: always, name: "h"}
		r := store.NewRelayedTables(fixedStore{6}, home, 0, nil)
		_, _, err := r.Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		stop := keepAnswered(relays.Table("t"))
		time.AfterFunc(1800*time.Millisecond, func() {
			stop()
			relays.Table("t").StoreFailed()
		})
		for begun := time.Now(); r.Reader() != ""; {
			Expect(time.Since(begun)).To(BeNumerically("<", 5*time.Second))
			if _, _, err = r.Changes(ctx, "t", 5, time.Millisecond); err != nil {
				Expect(failure.Is(err, failure.StoreDown)).To(BeTrue()) // until its turn to read the store
			}
		}
		Expect(r.Gap()).To(BeNumerically("<", 1700*time.Millisecond))
	})
})

var _ = Describe("the relay of a large table", func() {
	ctx := context.Background()

	// A relay kept 4,096 changes at any size. When a third of 3,000 servers were replaced, every host that
	// was a moment behind read the whole table from the home.
	It("has the changes of a third of its rows being replaced, at any size", func() {
		for _, rows := range []int{300, 3000, 6000, 12000} {
			r := store.NewRelay()
			version := store.Version(0)
			row := func(key string, deleted bool) store.Row {
				version++
				return store.Row{Key: key, Version: version, Deleted: deleted}
			}
			var all []store.Row
			for i := range rows {
				all = append(all, row(fmt.Sprint("s", i), false))
			}
			r.Apply(store.Update{Rows: all, Whole: true, Version: version})
			before := version
			for i := range rows / 3 {
				r.Apply(store.Update{Rows: []store.Row{row(fmt.Sprint("s", i), false)}, Version: version})
				r.Apply(store.Update{Rows: []store.Row{row(fmt.Sprint("n", i), false), row(fmt.Sprint("s", i), true)}, Version: version})
			}
			changed, _, err := r.Changes(ctx, before, time.Millisecond)
			Expect(err).NotTo(HaveOccurred(), "%d rows", rows)
			Expect(changed).To(HaveLen(rows / 3 * 3))
			last, _, err := r.Changes(ctx, version-1, time.Millisecond)
			Expect(err).NotTo(HaveOccurred())
			Expect(last).To(HaveLen(1))
		}
	})

	It("keeps a bounded history", func() {
		r := store.NewRelay()
		for version := range store.Version(20_000) {
			r.Apply(store.Update{Rows: []store.Row{{Key: "one", Version: version + 1}}, Version: version + 1})
		}
		_, _, err := r.Changes(ctx, 15_000, time.Millisecond)
		Expect(failure.Is(err, failure.HistoryLost)).To(BeTrue())
		changed, _, err := r.Changes(ctx, 19_500, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(HaveLen(500))
	})
})
