package store_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/store"
)

// version returns a version, as of a store that states its era.
func version(era, number int64) store.Version {
	v, err := store.NewVersion(era, number)
	Expect(err).NotTo(HaveOccurred())
	return v
}

// table returns a whole read, with rows as key and value in turn.
func table(at store.Version, rows ...string) store.Update {
	u := store.Update{Whole: true, Version: at}
	for i := 0; i < len(rows); i += 2 {
		u.Rows = append(u.Rows, store.Row{Key: rows[i], Value: []byte(rows[i+1]), Version: at})
	}
	return u
}

var _ = Describe("a version", func() {
	It("of a later era is higher whatever its number", func() {
		Expect(version(2, 1)).To(BeNumerically(">", version(1, 1<<40)))
		Expect(version(2, 7).Era()).To(BeEquivalentTo(2))
		Expect(version(2, 7).Number()).To(BeEquivalentTo(7))
		Expect(version(2, 7).Start()).To(Equal(version(2, 0)))
		Expect(version(store.MaxEra, 1)).To(BeNumerically(">", 0))
	})
	It("out of range is refused", func() {
		for _, pair := range [][2]int64{{-1, 1}, {1, -1}, {store.MaxEra + 1, 1}, {0, 1 << 44}} {
			_, err := store.NewVersion(pair[0], pair[1])
			Expect(failure.Is(err, failure.StoreDown)).To(BeTrue())
		}
	})
})

var _ = Describe("a relay of a store that was restored", func() {
	ctx := context.Background()
	var r *store.Relay
	BeforeEach(func() {
		r = store.NewRelay()
		r.Apply(table(version(1, 90), "a", "1", "b", "1", "c", "1"))
	})

	// Hosts that follow the relay would go on with a row that was lost, or miss one that the copy has in
	// another form.
	It("tells what the restore changed, and no more, to a host that knew what it knew", func() {
		r.Apply(table(version(2, 40), "a", "1", "b", "0"))
		rows, at, err := r.Changes(ctx, version(1, 90), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(at).To(Equal(version(2, 40)))
		Expect(rows).To(ConsistOf(
			And(HaveField("Key", "b"), HaveField("Value", []byte("0"))),
			And(HaveField("Key", "c"), HaveField("Deleted", true)),
		))
	})

	// That host may know rows that the relay never had, which the restore has taken away.
	It("has a host read the whole table that knew more of the era that ended", func() {
		r.Apply(table(version(2, 40), "a", "1"))
		_, _, err := r.Changes(ctx, version(1, 91), 0)
		Expect(failure.Is(err, failure.HistoryLost)).To(BeTrue())
	})

	It("has a host read the whole table that knew an era which the relay did not see", func() {
		r.Apply(table(version(3, 40), "a", "1"))
		_, _, err := r.Changes(ctx, version(2, 30), 0)
		Expect(failure.Is(err, failure.HistoryLost)).To(BeTrue())
		_, _, err = r.Changes(ctx, version(1, 90), 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("goes on over two restores", func() {
		r.Apply(table(version(2, 40), "a", "1", "b", "1"))
		r.Apply(store.Update{Rows: []store.Row{{Key: "b", Version: version(2, 41), Deleted: true}}, Version: version(2, 41)})
		r.Apply(table(version(3, 10), "a", "1", "c", "1"))
		rows, _, err := r.Changes(ctx, version(1, 90), 0)
		Expect(err).NotTo(HaveOccurred())
		state := map[string]bool{"a": true, "b": true, "c": true}
		for _, row := range rows {
			state[row.Key] = !row.Deleted
		}
		Expect(state).To(Equal(map[string]bool{"a": true, "b": false, "c": true}))
	})

	It("ends the calls of hosts that wait, so that they learn of a restore that changed no row", func() {
		go func() {
			time.Sleep(10 * time.Millisecond)
			r.Apply(table(version(2, 40), "a", "1", "b", "1", "c", "1"))
		}()
		start := time.Now()
		rows, at, err := r.Changes(ctx, version(1, 90), time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(BeEmpty())
		Expect(at.Era()).To(BeEquivalentTo(2))
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("has no news for a host that knows a later era", func() {
		_, _, err := r.Changes(ctx, version(2, 10), 0)
		Expect(failure.Is(err, failure.StoreDown)).To(BeTrue())
	})
})
