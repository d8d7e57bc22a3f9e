package holder

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/failure"
)

func TestHolder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "holder")
}

var _ = Describe("an answer", func() {
	ctx := context.Background()

	It("takes parts in order only, and nothing after its end", func() {
		a := newAnswer()
		Expect(a.addPart(0, []byte("a"), []byte("a"))).To(BeTrue())
		Expect(a.addPart(2, []byte("c"), []byte("c"))).To(BeFalse())
		Expect(a.addPart(0, []byte("a"), []byte("a"))).To(BeFalse())
		a.finish(nil)
		Expect(a.addPart(1, []byte("b"), []byte("b"))).To(BeFalse())
		data, ended, err := a.Read(ctx, 0)
		Expect(string(data)).To(Equal("a"))
		Expect(ended).To(BeTrue())
		Expect(err).NotTo(HaveOccurred())
	})

	// Story: a relay breaks off and starts again a little earlier; what comes
	// twice must be the same, or the caller would read two answers in one.
	It("joins bytes at an offset and refuses others than it has", func() {
		a := newAnswer()
		Expect(a.addAt(0, []byte("hello "))).To(BeTrue())
		Expect(a.addAt(3, []byte("lo world"))).To(BeTrue())
		Expect(a.addAt(3, []byte("lo there"))).To(BeFalse())
		Expect(a.addAt(50, []byte("x"))).To(BeFalse())
		data, _, _ := a.Read(ctx, 0)
		Expect(string(data)).To(Equal("hello world"))
	})

	It("gives its first final word only, and wakes its readers", func() {
		a := newAnswer()
		got := make(chan error)
		go func() {
			_, _, err := a.Read(ctx, 0)
			got <- err
		}()
		a.finish(&failure.Error{Code: failure.Overload})
		a.finish(nil)
		Expect(failure.Is(<-got, failure.Overload)).To(BeTrue())
	})
})

var _ = Describe("the books of a holder", func() {
	sub := func(tier, size int) Submission {
		return Submission{Service: "s", Tier: tier, Body: []byte(strings.Repeat("x", size)), Deadline: time.Now().Add(time.Hour)}
	}
	// held puts a record into the books as Submit does.
	held := func(h *Holder, s Submission, id byte) *Record {
		s.ID[0] = id
		r := newRecord(h, s)
		DeferCleanup(r.deadline.Stop)
		r.machine = requestChart.Start()
		h.records[s.ID] = r
		h.bytes += len(s.Body)
		return r
	}

	It("count an answer while it is kept, and nothing after it is forgotten", func() {
		h := New(context.Background(), 1, Sources{})
		r := held(h, sub(2, 0), 1)
		r.answer.addPart(0, []byte("abc"), []byte("abc"))
		h.addBytes(3)
		r.kept = 3
		h.forget(r)
		h.forget(r)
		Expect(h.Stats().HeldBytes).To(BeZero())
	})

	// Story: an answer broke off and was never counted as kept; forgetting it
	// made the books too low, and the host held more than its limit.
	It("do not give back what was never counted", func() {
		h := New(context.Background(), 1, Sources{})
		r := held(h, sub(2, 0), 1)
		r.answer.addPart(0, []byte("half"), []byte("half"))
		h.forget(r)
		Expect(h.Stats().HeldBytes).To(BeZero())
	})

	// Story: a host is full and drops finished answers to make room. A caller
	// that lost its connection sends the id again; the host does not know it
	// any more, says so to a new home, and the pickup runs a second time.
	// Cause: the record was the only word on that id.
	It("drop an answer for room, but not the word that it ran", func() {
		h := New(context.Background(), 1, Sources{})
		r := held(h, sub(2, 0), 1)
		for _, e := range []chart.Event{evRegister, evGrant, evDispatch, evFirstByte, evFinish} {
			Expect(r.step(e)).To(BeTrue())
		}
		r.answer.addPart(0, []byte("whole"), []byte("whole"))
		r.answer.finish(nil)
		r.kept = 5
		h.addBytes(5)
		s := sub(2, 100)
		Expect(h.makeRoom(&s, 100)).To(Succeed())
		Expect(h.Stats().HeldBytes).To(BeZero())
		again, known := h.Get(r.Sub.ID)
		Expect(known).To(BeTrue())
		line, ok := again.ledgerLine()
		Expect(ok).To(BeTrue())
		Expect(line.State).To(Equal(core.LedgerDone))
		_, _, err := again.Answer().Read(context.Background(), 0)
		Expect(failure.From(err).Outcome()).To(Equal(failure.Unknown))
	})

	It("refuse a request when nothing of a lower tier can give way", func() {
		h := New(context.Background(), 1, Sources{})
		held(h, sub(2, 80), 1)
		s := sub(3, 50)
		err := h.makeRoom(&s, 100)
		Expect(failure.Is(err, failure.HostFull)).To(BeTrue())
		Expect(failure.From(err).RetryAfter).To(BeNumerically(">", 0))
	})
})
