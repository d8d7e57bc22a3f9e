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
