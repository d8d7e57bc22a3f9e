package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

func newTable() *Table {
	self := &wire.Member{Incarnation: 1, Host: "self", ControlAddress: "127.0.0.1:1"}
	return NewTable(self, time.Minute, event.NewRecorder("self", "1", 100, log.NewNopLogger()))
}

func newMember(inc uint64, beat uint32, s wire.MemberState) *wire.Member {
	return &wire.Member{Incarnation: inc, Host: fmt.Sprint("h", inc), ControlAddress: fmt.Sprint("127.0.0.1:", inc), Beat: beat, State: s}
}

func stateOf(t *Table, inc uint64) string {
	m, ok := t.Get(ident.Incarnation(inc))
	if !ok {
		return "unknown"
	}
	return string(m.State)
}

var _ = Describe("the member table", func() {
	// A host is reported dead by another one that cannot reach it and refutes this with
	// a higher beat. An old report of its death must not mark it as dead again.
	It("lets a member refute its death and ignores older reports", func() {
		t := newTable()
		t.ApplyReport(newMember(2, 1, wire.MemberState_MEMBER_ALIVE))
		t.ApplyReport(newMember(2, 1, wire.MemberState_MEMBER_DEAD))
		Expect(stateOf(t, 2)).To(Equal("dead"))
		t.ApplyReport(newMember(2, 2, wire.MemberState_MEMBER_ALIVE))
		Expect(stateOf(t, 2)).To(Equal("alive"))
		t.ApplyReport(newMember(2, 1, wire.MemberState_MEMBER_DEAD))
		Expect(stateOf(t, 2)).To(Equal("alive"))
	})

	It("refutes a wrong report about itself with a higher beat", func() {
		t := newTable()
		t.ApplyReport(newMember(1, 5, wire.MemberState_MEMBER_SUSPECT))
		Expect(t.selfToWire().Beat).To(Equal(uint32(6)))
	})

	// A host restarts at its address before the others notice that the old process has
	// ended. The two incarnations must not both count as alive.
	It("takes a new incarnation at an address as proof of the old one's end", func() {
		t := newTable()
		t.RecordContact(newMember(2, 1, wire.MemberState_MEMBER_ALIVE))
		restarted := newMember(3, 1, wire.MemberState_MEMBER_ALIVE)
		restarted.ControlAddress = "127.0.0.1:2"
		t.RecordContact(restarted)
		old, _ := t.Get(2)
		Expect(old.State).To(Equal(Dead))
		Expect(old.Proved).To(BeTrue())
		t.RecordContact(newMember(2, 9, wire.MemberState_MEMBER_ALIVE))
		Expect(stateOf(t, 2)).To(Equal("dead"), "a proved end is final")
	})

	// Regression: an older report about a host's predecessor at the same address was taken
	// as proof of the host's own end, and no other host listed it any more.
	Describe("with two incarnations at one address", func() {
		atSharedAddress := func(inc uint64, started int64) *wire.Member {
			w := newMember(inc, 1, wire.MemberState_MEMBER_ALIVE)
			w.ControlAddress, w.StartedMs = "127.0.0.1:2", started
			return w
		}

		It("keeps the one that it heard from directly, whatever others report later", func() {
			t := newTable()
			t.RecordContact(atSharedAddress(3, 2000))
			t.ApplyReport(atSharedAddress(2, 1000))
			Expect(stateOf(t, 3)).To(Equal("alive"))
			Expect(stateOf(t, 2)).To(Equal("unknown"))
		})

		DescribeTable("applies reports in any order and does not take them as proof",
			func(reports ...*wire.Member) {
				t := newTable()
				for _, w := range reports {
					t.ApplyReport(w)
				}
				Expect(stateOf(t, 3)).To(Equal("alive"))
				Expect(stateOf(t, 2)).NotTo(Equal("alive"))
				old, _ := t.Get(2)
				Expect(old.Proved).To(BeFalse())
			},
			Entry("the older first", atSharedAddress(2, 1000), atSharedAddress(3, 2000)),
			Entry("the newer first", atSharedAddress(3, 2000), atSharedAddress(2, 1000)),
		)

		// The clock may have been set back between the two starts.
		It("prefers a direct message over reports", func() {
			t := newTable()
			t.ApplyReport(atSharedAddress(2, 5000))
			t.ApplyReport(atSharedAddress(3, 1000))
			Expect(stateOf(t, 2)).To(Equal("alive"))
			t.RecordContact(atSharedAddress(3, 1000))
			Expect(stateOf(t, 3)).To(Equal("alive"))
			old, _ := t.Get(2)
			Expect(old.Proved).To(BeTrue())
			t.ApplyReport(atSharedAddress(2, 5000))
			Expect(stateOf(t, 3)).To(Equal("alive"))
		})

		It("revives a member that reports had marked as dead", func() {
			t := newTable()
			t.ApplyReport(atSharedAddress(2, 1000))
			t.ApplyReport(atSharedAddress(3, 2000))
			t.RecordContact(atSharedAddress(2, 1000)) // the start times were wrong
			Expect(stateOf(t, 2)).To(Equal("alive"))
			Expect(stateOf(t, 3)).To(Equal("dead"))
		})
	})

	It("sends a proof with the update", func() {
		t := newTable()
		t.RecordContact(newMember(2, 1, wire.MemberState_MEMBER_ALIVE))
		t.ProveDead(2, "test")
		other := newTable()
		other.self.Incarnation = 9
		other.RecordContact(newMember(2, 1, wire.MemberState_MEMBER_ALIVE))
		for _, w := range t.updates(sampleSize) {
			other.ApplyReport(w)
		}
		m, _ := other.Get(2)
		Expect(m.Proved).To(BeTrue())
	})

	It("marks a long suspect member as dead without proof and removes it after the horizon", func() {
		t := newTable()
		t.RecordContact(newMember(2, 1, wire.MemberState_MEMBER_ALIVE))
		t.miss(2)
		Expect(stateOf(t, 2)).To(Equal("suspect"))
		t.expire(time.Now().Add(2*time.Second), time.Second)
		m, _ := t.Get(2)
		Expect(m.State).To(Equal(Dead))
		Expect(m.Proved).To(BeFalse())
		t.expire(time.Now().Add(2*time.Minute), time.Second)
		Expect(stateOf(t, 2)).To(Equal("unknown"))
	})

	It("sends a bounded datagram however many members there are", func() {
		t := newTable()
		for i := range uint64(390) {
			t.RecordContact(newMember(i+2, 1, wire.MemberState_MEMBER_ALIVE))
		}
		Expect(len(t.updates(sampleSize))).To(BeNumerically("<=", maxUpdates+sampleSize))
		for range 5000 {
			t.updates(sampleSize)
		}
		Expect(t.updates(sampleSize)).To(HaveLen(sampleSize), "updates end")
	})
})
