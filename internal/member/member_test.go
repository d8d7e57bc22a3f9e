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

func line(inc uint64, beat uint32, s wire.MemberState) *wire.Member {
	return &wire.Member{Incarnation: inc, Host: fmt.Sprint("h", inc), ControlAddress: fmt.Sprint("127.0.0.1:", inc), Beat: beat, State: s}
}

func state(t *Table, inc uint64) string {
	m, ok := t.Get(ident.Incarnation(inc))
	if !ok {
		return "unknown"
	}
	return string(m.State)
}

var _ = Describe("the member table", func() {
	// Story: a host is wrongly called dead by one that could not reach it. It
	// answers with a higher beat; old news of its death must not kill it again.
	It("lets a member refute its death, and old news change nothing", func() {
		t := newTable()
		t.Learn(line(2, 1, wire.MemberState_MEMBER_ALIVE))
		t.Learn(line(2, 1, wire.MemberState_MEMBER_DEAD))
		Expect(state(t, 2)).To(Equal("dead"))
		t.Learn(line(2, 2, wire.MemberState_MEMBER_ALIVE))
		Expect(state(t, 2)).To(Equal("alive"))
		t.Learn(line(2, 1, wire.MemberState_MEMBER_DEAD))
		Expect(state(t, 2)).To(Equal("alive"))
	})

	It("answers a wrong word about itself with a higher beat", func() {
		t := newTable()
		t.Learn(line(1, 5, wire.MemberState_MEMBER_SUSPECT))
		Expect(t.selfWord().Beat).To(Equal(uint32(6)))
	})

	// Story: a host restarts on its address before the others noticed that the
	// old process died. Two incarnations must not both count as alive.
	It("takes a new incarnation at an address as proof of the old one's end", func() {
		t := newTable()
		t.Heard(line(2, 1, wire.MemberState_MEMBER_ALIVE))
		restarted := line(3, 1, wire.MemberState_MEMBER_ALIVE)
		restarted.ControlAddress = "127.0.0.1:2"
		t.Heard(restarted)
		old, _ := t.Get(2)
		Expect(old.State).To(Equal(Dead))
		Expect(old.Proved).To(BeTrue())
		t.Heard(line(2, 9, wire.MemberState_MEMBER_ALIVE))
		Expect(state(t, 2)).To(Equal("dead"), "a proved end is final")
	})

	// Guards against a host that nobody lists any more: another host's older word of its
	// predecessor at the same address was taken as proof of its own end.
	Describe("of two incarnations at one address", func() {
		at := func(inc uint64, started int64) *wire.Member {
			w := line(inc, 1, wire.MemberState_MEMBER_ALIVE)
			w.ControlAddress, w.StartedMs = "127.0.0.1:2", started
			return w
		}

		It("keeps the one that spoke itself, whatever others tell later", func() {
			t := newTable()
			t.Heard(at(3, 2000))
			t.Learn(at(2, 1000))
			Expect(state(t, 3)).To(Equal("alive"))
			Expect(state(t, 2)).To(Equal("unknown"))
		})

		DescribeTable("believes others in any order and takes it for no proof",
			func(told ...*wire.Member) {
				t := newTable()
				for _, w := range told {
					t.Learn(w)
				}
				Expect(state(t, 3)).To(Equal("alive"))
				Expect(state(t, 2)).NotTo(Equal("alive"))
				old, _ := t.Get(2)
				Expect(old.Proved).To(BeFalse())
			},
			Entry("the older first", at(2, 1000), at(3, 2000)),
			Entry("the newer first", at(3, 2000), at(2, 1000)),
		)

		// Guards against a clock that was set back between two starts.
		It("takes the word of the one that speaks before all others'", func() {
			t := newTable()
			t.Learn(at(2, 5000))
			t.Learn(at(3, 1000))
			Expect(state(t, 2)).To(Equal("alive"))
			t.Heard(at(3, 1000))
			Expect(state(t, 3)).To(Equal("alive"))
			old, _ := t.Get(2)
			Expect(old.Proved).To(BeTrue())
			t.Learn(at(2, 5000))
			Expect(state(t, 3)).To(Equal("alive"))
		})

		It("comes back when it was counted as dead by what others told", func() {
			t := newTable()
			t.Learn(at(2, 1000))
			t.Learn(at(3, 2000))
			t.Heard(at(2, 1000)) // the clocks lied
			Expect(state(t, 2)).To(Equal("alive"))
			Expect(state(t, 3)).To(Equal("dead"))
		})
	})

	It("spreads a proof with the news", func() {
		t := newTable()
		t.Heard(line(2, 1, wire.MemberState_MEMBER_ALIVE))
		t.ProveDead(2, "test")
		other := newTable()
		other.self.Incarnation = 9
		other.Heard(line(2, 1, wire.MemberState_MEMBER_ALIVE))
		for _, w := range t.news(sampleSize) {
			other.Learn(w)
		}
		m, _ := other.Get(2)
		Expect(m.Proved).To(BeTrue())
	})

	It("turns long suspicion into death without proof, and forgets past the horizon", func() {
		t := newTable()
		t.Heard(line(2, 1, wire.MemberState_MEMBER_ALIVE))
		t.miss(2)
		Expect(state(t, 2)).To(Equal("suspect"))
		t.age(time.Now().Add(2*time.Second), time.Second)
		m, _ := t.Get(2)
		Expect(m.State).To(Equal(Dead))
		Expect(m.Proved).To(BeFalse())
		t.age(time.Now().Add(2*time.Minute), time.Second)
		Expect(state(t, 2)).To(Equal("unknown"))
	})

	It("sends a bounded datagram however many members there are", func() {
		t := newTable()
		for i := range uint64(390) {
			t.Heard(line(i+2, 1, wire.MemberState_MEMBER_ALIVE))
		}
		Expect(len(t.news(sampleSize))).To(BeNumerically("<=", maxUpdates+sampleSize))
		for range 5000 {
			t.news(sampleSize)
		}
		Expect(t.news(sampleSize)).To(HaveLen(sampleSize), "news ends")
	})
})
