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

	It("accepts parts only in order, and none after its end", func() {
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

	// A relay that breaks may restart at an earlier offset. Overlapping bytes
	// must be identical, or the caller would receive a mix of two answers.
	It("appends bytes at an offset and refuses bytes that differ from those it has", func() {
		a := newAnswer()
		Expect(a.addAt(0, []byte("hello "))).To(BeTrue())
		Expect(a.addAt(3, []byte("lo world"))).To(BeTrue())
		Expect(a.addAt(3, []byte("lo there"))).To(BeFalse())
		Expect(a.addAt(50, []byte("x"))).To(BeFalse())
		data, _, _ := a.Read(ctx, 0)
		Expect(string(data)).To(Equal("hello world"))
	})

	It("keeps only its first final result, and wakes its readers", func() {
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

var _ = Describe("the memory accounting of a holder", func() {
	sub := func(tier, size int) Submission {
		return Submission{Service: "s", Tier: tier, Body: []byte(strings.Repeat("x", size)), Deadline: time.Now().Add(time.Hour)}
	}
	// held adds a record and counts its bytes as Submit does.
	held := func(h *Holder, s Submission, id byte) *Record {
		s.ID[0] = id
		r := newRecord(h, s)
		DeferCleanup(r.deadline.Stop)
		r.machine = requestChart.Start()
		h.records[s.ID] = r
		h.heldBytes += len(s.Body)
		return r
	}

	It("counts an answer while it is kept, and nothing after it is removed", func() {
		h := New(context.Background(), 1, Dependencies{})
		r := held(h, sub(2, 0), 1)
		r.answer.addPart(0, []byte("abc"), []byte("abc"))
		h.addBytes(3)
		r.answerBytes = 3
		h.remove(r)
		h.remove(r)
		Expect(h.Stats().HeldBytes).To(BeZero())
	})

	// An incomplete answer is never counted in heldBytes. If its removal
	// subtracted its size, the count would be too low and the host would hold
	// more than its limit.
	It("does not subtract what was never counted", func() {
		h := New(context.Background(), 1, Dependencies{})
		r := held(h, sub(2, 0), 1)
		r.answer.addPart(0, []byte("half"), []byte("half"))
		h.remove(r)
		Expect(h.Stats().HeldBytes).To(BeZero())
	})

	// A full host drops finished answers to free memory. If it dropped the record
	// too, its report to a new home would not list the id, and a caller that lost
	// its connection and resends the id would have it run a second time.
	It("drops an answer to free memory, but keeps the record that it ran", func() {
		h := New(context.Background(), 1, Dependencies{})
		r := held(h, sub(2, 0), 1)
		for _, e := range []chart.Event{evRegister, evGrant, evDispatch, evFirstByte, evFinish} {
			Expect(r.fire(e)).To(BeTrue())
		}
		r.answer.addPart(0, []byte("whole"), []byte("whole"))
		r.answer.finish(nil)
		r.answerBytes = 5
		h.addBytes(5)
		s := sub(2, 100)
		Expect(h.makeRoom(&s, 100)).To(Succeed())
		Expect(h.Stats().HeldBytes).To(BeZero())
		again, known := h.Get(r.Sub.ID)
		Expect(known).To(BeTrue())
		line, ok := again.ledgerEntry()
		Expect(ok).To(BeTrue())
		Expect(line.State).To(Equal(core.LedgerDone))
		_, _, err := again.Answer().Read(context.Background(), 0)
		Expect(failure.From(err).Outcome()).To(Equal(failure.Unknown))
	})

	It("refuses a request when nothing of a lower tier can be evicted", func() {
		h := New(context.Background(), 1, Dependencies{})
		held(h, sub(2, 80), 1)
		s := sub(3, 50)
		err := h.makeRoom(&s, 100)
		Expect(failure.Is(err, failure.HostFull)).To(BeTrue())
		Expect(failure.From(err).RetryAfter).To(BeNumerically(">", 0))
	})
})
