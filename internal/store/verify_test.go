package store_test

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/store"
)

// entries are the rows of n servers, at the versions from 1 to n.
func entries(n int) (rows []store.Row) {
	for i := range n {
		value := fmt.Appendf(nil, `{"service":"engines","address":"10.1.%d.%d:8202","state":"ready"}`, i/250, i%250)
		rows = append(rows, store.Row{Key: fmt.Sprintf("i-%010x", 7919*i), Value: value, Version: store.Version(i + 1)})
	}
	return rows
}

var _ = Describe("a host that follows a relay", func() {
	// Every host read the whole table again each minute. What the home sent for that grew with the hosts
	// and with the servers, so with the square of the fleet: 1.3 MB a second at 985 hosts.
	It("compares its rows with the relay's again and again without receiving them, at any size", func() {
		received := map[int]int{}
		for _, servers := range []int{300, 3000, 6000} {
			home := &fakeHome{relays: store.NewRelays(), isHome: always, name: "h"}
			home.relays.Table("t").Apply(store.Update{Rows: entries(servers), Whole: true, Version: store.Version(servers)})
			own := store.NewRelay()
			verified := 0
			ctx, cancel := context.WithCancel(context.Background())
			w := &store.Watcher{
				Tables: store.NewRelayedTables(fixedStore{1}, home, 0, nil), Table: "t", Events: event.NewRecorder("h", "i", 16, log.NewNopLogger()),
				RereadInterval: func() time.Duration { return 0 }, Digest: own.Digest,
				Apply: func(u store.Update) {
					own.Apply(u)
					if u.Whole {
						home.bytesRead = 0
					}
					if verified++; verified > 100 {
						cancel()
					}
				},
			}
			w.Run(ctx)
			received[servers] = home.bytesRead
		}
		for servers, bytes := range received {
			Expect(bytes).To(BeNumerically("<", 100*32), "%d servers: %v", servers, received)
		}
	})

	// What the comparison is for: a host whose rows differ from the store's, whatever the cause.
	It("reads the whole table when its rows differ", func() {
		r := store.NewRelay()
		rows := entries(100)
		r.Apply(store.Update{Rows: rows, Whole: true, Version: 100})
		other := store.NewRelay()
		other.Apply(store.Update{Rows: rows[1:], Whole: true, Version: 100})
		ctx := context.Background()
		got, _, whole, err := r.Verify(ctx, 100, other.Digest())
		Expect(err).NotTo(HaveOccurred())
		Expect(whole).To(BeTrue())
		Expect(got).To(HaveLen(100))
		other.Apply(store.Update{Rows: got, Whole: true, Version: 100})
		Expect(other.Digest()).To(Equal(r.Digest()))
		got, _, whole, err = r.Verify(ctx, 100, other.Digest())
		Expect(err).NotTo(HaveOccurred())
		Expect(whole).To(BeFalse())
		Expect(got).To(BeEmpty())
	})

	It("receives the changes that it lacks, and is compared once it has them", func() {
		r, own := store.NewRelay(), store.NewRelay()
		rows := entries(100)
		r.Apply(store.Update{Rows: rows, Whole: true, Version: 100})
		own.Apply(store.Update{Rows: rows, Whole: true, Version: 100})
		changes := []store.Row{{Key: rows[3].Key, Value: []byte("draining"), Version: 101}, {Key: rows[4].Key, Deleted: true, Version: 102}}
		r.Apply(store.Update{Rows: changes, Version: 102})
		got, version, whole, err := r.Verify(context.Background(), 100, own.Digest())
		Expect(err).NotTo(HaveOccurred())
		Expect(whole).To(BeFalse())
		Expect(got).To(Equal(changes))
		own.Apply(store.Update{Rows: got, Version: version})
		Expect(own.Digest()).To(Equal(r.Digest()))
	})

	It("reads the whole table when the relay's history does not reach back to what it knows", func() {
		r := store.NewRelay()
		r.Apply(store.Update{Rows: entries(100), Whole: true, Version: 100})
		got, _, whole, err := r.Verify(context.Background(), 50, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(whole).To(BeTrue())
		Expect(got).To(HaveLen(100))
	})
})
