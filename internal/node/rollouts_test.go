package node

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/rollout"
	"github.com/gentianflow/gentianflow/internal/store"
)

var _ = Describe("orders of roll-outs after a restore of the store", func() {
	version := func(era, number int64) int64 {
		v, err := store.NewVersion(era, number)
		Expect(err).NotTo(HaveOccurred())
		return int64(v)
	}
	order := func(to string, era, number int64) rollout.Order {
		return rollout.Order{Service: "app", To: to, Timeout: time.Minute, RowVersion: version(era, number)}
	}
	var era *storeEra
	var r *rollouts
	BeforeEach(func() {
		era = &storeEra{number: 2, since: time.Now(), restored: true}
		r = &rollouts{era: func() *storeEra { return era }, past: map[string][]rollout.Order{}, renumbered: map[string][]int64{}}
	})

	It("are the same in the row that the copy has, at any time", func() {
		era.since = time.Now().Add(-time.Hour)
		Expect(r.isWrittenAgain(order("v2", 1, 50), order("v2", 2, 50))).To(BeTrue())
		Expect(r.isWrittenAgain(order("v2", 1, 50), order("v3", 2, 50))).To(BeFalse())
	})

	It("are the same when written again soon, and new when given again later", func() {
		Expect(r.isWrittenAgain(order("v2", 1, 50), order("v2", 2, 61))).To(BeTrue())
		Expect(r.isWrittenAgain(order("v2", 2, 61), order("v2", 2, 70))).To(BeTrue())
		era.since = time.Now().Add(-rewriteWindow)
		Expect(r.isWrittenAgain(order("v2", 1, 50), order("v2", 2, 61))).To(BeFalse())
	})

	It("are new when given again while the store was never restored", func() {
		era.restored = false
		Expect(r.isWrittenAgain(order("v2", 1, 50), order("v2", 1, 61))).To(BeFalse())
	})

	// The copy has the order that the one in force replaced.
	It("are passed over if a newer order had replaced them", func() {
		r.past["app"] = []rollout.Order{order("v2", 1, 50)}
		Expect(r.isPast(order("v2", 2, 50))).To(BeTrue())
		Expect(r.isPast(order("v2", 2, 61))).To(BeFalse())
		Expect(r.isPast(order("v2", 1, 70))).To(BeFalse())
	})

	// The outcome of an earlier order to the same version would end a roll-out that runs.
	It("have only their own row", func() {
		o := order("v2", 2, 61)
		row := func(era, number int64) rollout.Row { return rollout.Row{Order: version(era, number), To: "v2"} }
		Expect(r.isRowOf(row(2, 61), o)).To(BeTrue())
		Expect(r.isRowOf(row(1, 61), o)).To(BeTrue(), "from the copy")
		Expect(r.isRowOf(row(1, 50), o)).To(BeFalse())
		r.renumbered["app"] = []int64{version(1, 50)}
		Expect(r.isRowOf(row(1, 50), o)).To(BeTrue(), "before it was renumbered")
		Expect(r.isRowOf(row(1, 20), o)).To(BeFalse())
		Expect(mayBeRowOf(row(1, 20), o)).To(BeTrue(), "a host that knows nothing tries no version again")
		Expect(mayBeRowOf(row(2, 20), o)).To(BeFalse())
	})
})
