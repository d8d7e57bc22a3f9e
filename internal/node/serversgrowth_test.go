package node

import (
	"fmt"
	"strings"

	kitlog "github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
)

// manyRows are the entries of n servers as the store has them.
func manyRows(n int) (rows []store.Row) {
	for i := range n {
		rows = append(rows, store.Row{Key: serverName(i), Value: []byte("ready"), Version: store.Version(i + 1)})
	}
	return rows
}

var _ = Describe("the list of thousands of backend servers", func() {
	// Each change of one server made every host copy and pass on the whole list, and each full read of
	// the table made it decode all entries again.
	It("costs a host the servers that have changed, not all of them", func() {
		for _, n := range []int{300, 3000, 6000} {
			decoded, passedOn := 0, 0
			decode := func(name string, value []byte) (sched.Server, error) {
				decoded++
				return decodeState(name, value)
			}
			s := newServers(decode, event.NewRecorder("h", "i", 16, kitlog.NewNopLogger()), func(c serverChanges) { passedOn += len(c.changed) + len(c.removed) })
			rows := manyRows(n)
			s.update(store.Update{Rows: rows, Whole: true, Version: store.Version(n)})
			Expect(decoded).To(Equal(n))
			Expect(passedOn).To(Equal(n))
			decoded, passedOn = 0, 0
			s.update(store.Update{Rows: rows, Whole: true, Version: store.Version(n)})
			Expect([]int{decoded, passedOn}).To(Equal([]int{0, 0}), "a full read without changes")
			rows[1].Value, rows[1].Version = []byte("draining"), store.Version(n+1)
			s.update(store.Update{Rows: rows[1:2], Version: store.Version(n + 1)})
			s.update(store.Update{Rows: append(rows[:0:0], rows[1:]...), Whole: true, Version: store.Version(n + 2)})
			Expect([]int{decoded, passedOn}).To(Equal([]int{1, 2}), "one draining, one gone")
			Expect(s.Leaving(serverName(0))).To(BeTrue())
			Expect(s.Leaving(serverName(1))).To(BeTrue())
			Expect(s.Leaving(serverName(2))).To(BeFalse())
		}
	})

	// Every host logged a line for each of 3,000 servers when the fleet started.
	It("is logged as a whole when it is read for the first time, and by server when one changes", func() {
		var log strings.Builder
		s := newServers(decodeState, event.NewRecorder("h", "i", 16, kitlog.NewLogfmtLogger(&log)), func(serverChanges) {})
		s.update(store.Update{Rows: manyRows(3000), Whole: true})
		Expect(strings.Count(log.String(), "\n")).To(Equal(1))
		Expect(log.String()).To(ContainSubstring("3000 changed or new, 0 gone, 3000 listed"))
		s.update(store.Update{Rows: []store.Row{drainingRow("s7")}})
		Expect(log.String()).To(ContainSubstring(fmt.Sprint("server=", "s7")))
	})
})
