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

func whole(version int64, keys ...string) store.Update {
	u := store.Update{Whole: true, Version: version}
	for _, k := range keys {
		u.Rows = append(u.Rows, store.Row{Key: k, Version: 1})
	}
	return u
}

var _ = Describe("the home's relay", func() {
	ctx := context.Background()
	It("tells the table and its changes", func() {
		r := store.NewRelay()
		r.Apply(whole(5, "a", "b"))
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

	// The store forgot its history and the home read the table anew. A server
	// that left in between shows only as missing; the others must hear of it.
	It("tells what a whole read no longer shows", func() {
		r := store.NewRelay()
		r.Apply(whole(5, "a", "b"))
		r.Apply(whole(9, "b"))
		rows, version, err := r.Changes(ctx, 5, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(BeNumerically("==", 9))
		Expect(rows).To(ConsistOf(And(HaveField("Key", "a"), HaveField("Deleted", true))))
	})

	It("sends those too far behind to the whole table", func() {
		r := store.NewRelay()
		r.Apply(whole(5, "a"))
		_, _, err := r.Changes(ctx, 3, time.Second)
		Expect(failure.Is(err, failure.HistoryLost)).To(BeTrue())
	})

	// The home is cut off from the store. What it last read grows old, and the
	// others must read for themselves at once, those too that wait at it.
	It("sends everybody away when the store does not answer it", func() {
		r := store.NewRelay()
		r.Apply(whole(5, "a"))
		left := make(chan error, 1)
		go func() {
			_, _, err := r.Changes(ctx, 5, 10*time.Second)
			left <- err
		}()
		Consistently(left, "20ms").ShouldNot(Receive())
		r.Failed()
		Eventually(left).Should(Receive(Satisfy(func(err error) bool { return failure.Is(err, failure.StoreDown) })))
		_, _, err := r.Snapshot(ctx)
		Expect(err).To(HaveOccurred())
	})
})

// direct is the store itself, with one row and a version.
type direct struct{ version int64 }

func (d direct) Snapshot(context.Context, string) ([]store.Row, int64, error) {
	return []store.Row{{Key: "direct"}}, d.version, nil
}

func (d direct) Changes(_ context.Context, _ string, after int64, _ time.Duration) ([]store.Row, int64, error) {
	return []store.Row{{Key: "direct"}}, max(after, d.version), nil
}

// counter counts what is written to it.
type counter struct{ n *int }

func (c counter) Write(p []byte) (int, error) {
	*c.n += len(p)
	return len(p), nil
}

// fakeHome is a home that serves relays over pipes. Its name may change.
type fakeHome struct {
	relays  *store.Relays
	serves  func() bool // whether the host at the other end is the home
	name    string      // empty: this host is
	next    *fakeHome   // the reader after it
	hosts   int
	opened  int
	carried int // bytes read
}

func (h *fakeHome) Order() store.Order {
	o := store.Order{Self: -1}
	for r := h; r != nil; r = r.next {
		if r.name == "" {
			o.Self = len(o.Names)
		}
		o.Names = append(o.Names, r.name)
		o.Readers++
	}
	return o
}

func (h *fakeHome) role() store.Role {
	if h.serves() {
		return store.Reader
	}
	return store.Follower
}

func (h *fakeHome) Hosts() int { return h.hosts }

func (h *fakeHome) Open(_ context.Context, name string) (*peer.Stream, error) {
	for h.name != name {
		h = h.next
	}
	h.opened++
	a, b := net.Pipe()
	go h.relays.Serve(context.Background(), &peer.Stream{Conn: b, R: bufio.NewReader(b)}, h.role)
	return &peer.Stream{Conn: a, R: bufio.NewReader(io.TeeReader(a, counter{&h.carried}))}, nil
}

func yes() bool { return true }

var _ = Describe("reading through the relay", func() {
	ctx := context.Background()
	It("asks the relay and not the store", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(whole(5, "relayed"))
		r := store.NewRelayed(direct{1}, &fakeHome{relays: relays, serves: yes, name: "h"}, nil)
		rows, version, err := r.Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(BeNumerically("==", 5))
		Expect(rows).To(ConsistOf(HaveField("Key", "relayed")))
	})

	// After a change of home the new one may have read less than this host. Its
	// table would bring a server back that has left.
	It("does not go back to an older table", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(whole(5, "relayed"))
		home := false
		r := store.NewRelayed(direct{9}, &fakeHome{relays: relays, serves: func() bool { return home }, name: "h"}, nil)
		_, version, err := r.Changes(ctx, "t", 3, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(BeNumerically("==", 9))
		home = true
		rows, _, err := r.Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(ConsistOf(HaveField("Key", "direct")))
	})

	// A configuration of thousands of routes comes in force late on small hosts,
	// and their calls to the home wait behind it on the link.
	It("carries large rows whole, in a tenth of their size", func() {
		value := bytes.Repeat([]byte(`{"name":"r-828m82t","host":"ficu95.example"}`), 5000)
		relays := store.NewRelays()
		relays.Table("t").Apply(store.Update{Whole: true, Version: 5, Rows: []store.Row{{Key: "config", Value: value, Version: 5}}})
		home := &fakeHome{relays: relays, serves: yes, name: "h"}
		r := store.NewRelayed(direct{1}, home, nil)
		rows, _, err := r.Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Value).To(Equal(value))
		Expect(home.carried).To(BeNumerically("<", len(value)/10))
	})

	// 300 hosts start and each is told of 3,000 backend servers: 0.6 MB each, from a
	// home of 0.4 cores, while callers wait for it.
	It("carries a long list in a fifth of its size, compressed once for all hosts", func() {
		var rows []store.Row
		size := 0
		for i := range 3000 {
			value := fmt.Appendf(nil, `{"service":"engines","address":"10.1.%d.%d:8202","zone":"fukuoka-hall","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":%d}`, i/250, i%250, i)
			size += len(value)
			rows = append(rows, store.Row{Key: fmt.Sprintf("i-%010x", 7919*i), Value: value, Version: int64(i + 1)})
		}
		relays := store.NewRelays()
		relays.Table("t").Apply(store.Update{Whole: true, Version: 2})
		relays.Table("t").Apply(store.Update{Version: 3000, Rows: rows})
		home := &fakeHome{relays: relays, serves: yes, name: "h"}
		got, _, err := store.NewRelayed(direct{1}, home, nil).Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		slices.SortFunc(got, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
		Expect(slices.EqualFunc(got, rows, func(a, b store.Row) bool { return a.Key == b.Key && bytes.Equal(a.Value, b.Value) })).To(BeTrue())
		Expect(home.carried).To(BeNumerically("<", size/5))
		changed, _, err := store.NewRelayed(direct{1}, home, nil).Changes(ctx, "t", 100, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(HaveLen(2900), "a fleet's start is not more than the relay remembers")
	})

	It("reads the store when this host is the home, or the home has old news", func() {
		self := store.NewRelayed(direct{1}, &fakeHome{}, nil)
		stale := store.NewRelayed(direct{1}, &fakeHome{relays: store.NewRelays(), serves: yes, name: "h"}, nil)
		for _, r := range []*store.Relayed{self, stale} {
			rows, _, err := r.Changes(ctx, "t", 0, time.Millisecond)
			Expect(err).NotTo(HaveOccurred())
			Expect(rows).To(ConsistOf(HaveField("Key", "direct")))
		}
	})

	// A key is taken away and goes on working for five seconds. The home had
	// just changed: the new one still asked the old one for news, and the old
	// one asked the new one, so that nobody read the store.
	It("reads the store at once when this host becomes the home", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(whole(5, "relayed"))
		home := &fakeHome{relays: relays, serves: yes, name: "old"}
		r := store.NewRelayed(direct{6}, home, nil)
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

	// A key is taken away and goes on working for five seconds. The home had just
	// changed: the new one waited at the old one, and the old one at the new one.
	It("does not wait at a host that is the home no more", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(whole(5, "relayed"))
		r := store.NewRelayed(direct{6}, &fakeHome{relays: relays, serves: yes, name: "old"}, nil)
		begun := time.Now()
		time.AfterFunc(100*time.Millisecond, relays.Release)
		_, _, err := r.Changes(ctx, "t", 5, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})

	// The store turns the home away and serves the others. All 195 hosts read it for
	// themselves at once, each once a second: 18,000 calls on a day.
	It("asks the next reader when the home has no news", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(whole(7, "next"))
		home := &fakeHome{relays: store.NewRelays(), serves: yes, name: "home", hosts: 195}
		home.next = &fakeHome{relays: relays, serves: yes, name: "next"}
		rows, _, err := store.NewRelayed(direct{9}, home, nil).Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(ConsistOf(HaveField("Key", "next")))
	})

	// A third of the hosts are cut from the store at once, the home and the next reader
	// among them. Hosts that asked the next reader waited until it had noticed too, and a
	// key that was taken away went on working for six seconds.
	It("does not wait at a reader that has lost the home and not reached the store", func() {
		lost, fresh := store.NewRelays(), store.NewRelays()
		lost.Table("t").Apply(whole(5, "old"))
		lost.Table("t").Failed()
		fresh.Table("t").Apply(whole(7, "new"))
		home := &fakeHome{relays: store.NewRelays(), serves: yes, name: "home", hosts: 195}
		home.next = &fakeHome{relays: lost, serves: yes, name: "lost"}
		home.next.next = &fakeHome{relays: fresh, serves: yes, name: "fresh"}
		begun := time.Now()
		rows, _, err := store.NewRelayed(direct{9}, home, nil).Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(ConsistOf(HaveField("Key", "new")))
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})

	It("tells at once when the relay that it follows has no news", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(whole(5, "relayed"))
		told := 0
		home := &fakeHome{relays: relays, serves: yes, name: "h", hosts: 195}
		r := store.NewRelayed(direct{6}, home, func() { told++ })
		_, _, err := r.Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		relays.Table("t").Failed()
		_, _, _ = r.Changes(ctx, "t", 5, time.Millisecond)
		_, _, _ = r.Changes(ctx, "t", 5, time.Millisecond)
		Expect(told).To(Equal(1))
	})

	// The store stops answering just the hosts that read it for all. A key that was taken
	// away went on working for 4.2 s at hosts whose turn to read it themselves had come,
	// but which looked once a second only.
	It("lets each of 195 hosts read the store within two seconds when no reader reaches it", func() {
		const watched = 30
		done := make(chan time.Duration, watched)
		for range watched {
			home := &fakeHome{relays: store.NewRelays(), serves: yes, name: "home", hosts: 195}
			home.relays.Table("t").Failed()
			begun := time.Now()
			run, stop := context.WithCancel(ctx)
			DeferCleanup(stop)
			w := &store.Watcher{
				Tables: store.NewRelayed(direct{9}, home, nil), Table: "t",
				Events: event.NewRecorder("h", "i", 16, log.NewNopLogger()),
				Reread: func() time.Duration { return time.Minute },
				Apply:  func(store.Update) { stop(); done <- time.Since(begun) },
			}
			go w.Run(run)
		}
		for range watched {
			Eventually(done).WithTimeout(4 * time.Second).Should(Receive(BeNumerically("<", 2200*time.Millisecond)))
		}
	})

	// The operator changes the configuration again while the store is silent for its
	// readers. Hosts that had read it once waited for up to 4.7 s with the next time.
	It("lets each read it again within four seconds", func() {
		const watched = 30
		done := make(chan time.Duration, watched)
		for range watched {
			home := &fakeHome{relays: store.NewRelays(), serves: yes, name: "home", hosts: 195}
			home.relays.Table("t").Failed()
			run, stop := context.WithCancel(ctx)
			DeferCleanup(stop)
			var reads []time.Time
			w := &store.Watcher{
				Tables: store.NewRelayed(direct{9}, home, nil), Table: "t",
				Events: event.NewRecorder("h", "i", 16, log.NewNopLogger()),
				Reread: func() time.Duration { return time.Minute },
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

	// The store is away for seconds, for all. Hosts that read it for themselves called
	// it as often as it let them.
	It("takes turns with the other hosts when no reader has news", func() {
		const hosts, each = 195, 20
		begun := time.Now()
		calls := 0
		for range each {
			home := &fakeHome{relays: store.NewRelays(), serves: yes, name: "home", hosts: hosts}
			r := store.NewRelayed(direct{9}, home, nil)
			for range 3 {
				if _, _, err := r.Changes(ctx, "t", 5, time.Millisecond); err == nil {
					calls++
				}
			}
		}
		// In as much time the whole fleet may make 125 calls a second, and a few at first.
		share := 125 * time.Since(begun).Seconds() * each / hosts
		Expect(calls).To(BeNumerically("<", 5+share))
	})

	// A store that was away for all is back. Hosts that had no call open when it went
	// took it for a short break, and dropped servers whose entries had lapsed meanwhile.
	It("tells how long the store was away as its reader saw it", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(whole(5, "relayed"))
		r := store.NewRelayed(direct{1}, &fakeHome{relays: relays, serves: yes, name: "h"}, nil)
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

	// Guards against servers that are used after their entry is gone: a host that asks the
	// store now and then counted the time between two answers as the store's absence.
	It("does not take the time in which it asked nothing for a silent store", func() {
		r := store.NewRelayed(direct{1}, &fakeHome{}, nil)
		for range 2 {
			_, _, err := r.Snapshot(ctx, "t")
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(50 * time.Millisecond)
		}
		Expect(r.Gap()).To(BeZero())
	})

	// Guards against the same: a reader that was cut off for seconds told all hosts that
	// the store had been away, also those that the store had answered meanwhile.
	It("does not take the absence of a reader for that of a store that answered meanwhile", func() {
		relays := store.NewRelays()
		home := &fakeHome{relays: relays, serves: yes, name: "h"}
		r := store.NewRelayed(direct{6}, home, nil)
		_, _, err := r.Snapshot(ctx, "t") // the reader has no news
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Reader()).To(BeEmpty())
		time.Sleep(400 * time.Millisecond) // until the reader is asked again
		relays.Table("t").Apply(whole(5, "x"))
		relays.Table("t").Apply(store.Update{Version: 7, Rows: []store.Row{{Key: "x", Version: 7}}, Gap: 9 * time.Second})
		_, _, err = r.Changes(ctx, "t", 6, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Reader()).To(Equal("h"))
		Expect(r.Gap()).To(BeZero())
	})

	// A call that waits for changes at the home is open for seconds. When the home ends
	// then, the store was not silent for that time.
	It("does not take a quiet relay for a silent store", func() {
		relays := store.NewRelays()
		relays.Table("t").Apply(whole(5, "relayed"))
		home := &fakeHome{relays: relays, serves: yes, name: "h"}
		r := store.NewRelayed(direct{6}, home, nil)
		_, _, err := r.Snapshot(ctx, "t")
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(1800*time.Millisecond, relays.Table("t").Failed)
		_, _, err = r.Changes(ctx, "t", 5, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Gap()).To(BeNumerically("~", 1500*time.Millisecond, 200*time.Millisecond))
	})
})
