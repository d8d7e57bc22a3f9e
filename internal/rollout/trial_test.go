package rollout

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollout")
}

var (
	order  = Order{Service: "s", To: "v2", Lasts: 10 * time.Second, Row: 7}
	bounds = Bounds{Share: 0.1, Slack: 50}
)

// answers has servers of a version answer on a route, one after the other; every nth fails.
func (t *Trial) answers(now Time, isNew bool, n, nth, servers int) (decided bool) {
	for i := range n {
		s := Sample{Route: "r", Server: fmt.Sprint(isNew, i%servers), New: isNew, Failed: nth > 0 && i%nth == nth-1, Took: 1}
		decided = t.Learn(now, s, servers) || decided
	}
	return decided
}

// reach has requests reach the service, of which a part goes to the new version as far as it
// may be tried.
func (t *Trial) reach(now Time, n int) {
	free := []Candidate{{Server: "a", Slots: 4}, {Server: "b", Slots: 4}}
	for range n {
		if t.Turn(now, free) != "" {
			t.Tried("r")
			t.Reached(true)
			continue
		}
		t.Reached(false)
	}
}

var _ = Describe("a roll-out", func() {
	var t *Trial
	BeforeEach(func() { t = NewTrial(0, order, 0, bounds, false) })

	It("takes a version back that fails far more often than the old one", func() {
		t.answers(0, false, 200, 0, 3)
		Expect(t.answers(time.Second, true, 60, 4, 3)).To(BeTrue())
		Expect(t.Phase()).To(Equal(TakenBack))
		Expect(t.State()).To(Equal(RolledBack))
		Expect(t.Why()).To(ContainSubstring("usual"))
	})

	// Story: a sixth of the calls fail whoever runs them. A new version fails as many, and was
	// taken back for what the old one does too.
	It("does not hold against a version what the old one does too", func() {
		t.answers(0, false, 600, 6, 3)
		Expect(t.answers(time.Second, true, 300, 6, 3)).To(BeFalse())
	})

	// Story: one of three new servers is faulty, as servers are at times. The version is sound.
	It("does not hold one faulty server against a version", func() {
		t.answers(0, false, 300, 0, 3)
		for i := range 120 {
			server := i % 3
			Expect(t.Learn(time.Second, Sample{Route: "r", Server: fmt.Sprint(server), New: true, Failed: server == 0 && i%2 == 0, Took: 1}, 3)).To(BeFalse())
		}
	})

	It("takes a version back whose answers take several times as long", func() {
		t.answers(0, false, 100, 0, 3)
		decided := false
		for i := range 40 {
			decided = decided || t.Learn(time.Second, Sample{Route: "r", Server: fmt.Sprint(i % 3), New: true, Took: 4}, 3)
		}
		Expect(decided).To(BeTrue())
	})

	// Story: a version is sound at first and turns bad. What it did before must not hide that.
	It("notices a version that turns bad after hundreds of good answers", func() {
		t.answers(0, false, 300, 0, 3)
		Expect(t.answers(time.Second, true, 400, 0, 3)).To(BeFalse())
		Expect(t.answers(5*time.Second, true, 60, 4, 3)).To(BeTrue())
	})

	It("is tried with no more than its part of the bounds", func() {
		for i := range 40 {
			t.reach(time.Duration(i)*100*time.Millisecond, 100)
			Expect(t.tried).To(BeNumerically("<=", tryShare*(bounds.Share*t.reached+bounds.Slack)+1))
		}
		Expect(t.tried).To(BeNumerically(">", 100))
	})

	// Story: the host that carried the roll-out is lost. The next one does not know what was
	// tried, and would try as much again.
	It("starts without the slack when another host tried before", func() {
		t = NewTrial(5*time.Second, order, 5*time.Second, bounds, true)
		Expect(t.credit()).To(BeZero())
		Expect(t.Deadline()).To(Equal(10 * time.Second))
	})

	// Story: a version turns bad the moment after the service was moved to it. All that reaches
	// the service until the deadline counts, so the move comes just before it.
	It("moves a sound version so late that the bounds hold even if it turns bad then", func() {
		t.answers(0, false, 300, 0, 3)
		const perStep = 50 // a tenth of a second
		moved := Time(0)
		for now := Time(0); now < order.Lasts && moved == 0; now += 100 * time.Millisecond {
			t.reach(now, perStep)
			t.answers(now, true, 2, 0, 3)
			if t.Pass(now, 3) {
				moved = now
			}
		}
		Expect(t.Phase()).To(Equal(Moving))
		left := float64((order.Lasts-moved)/(100*time.Millisecond)) * perStep
		Expect(t.tried + left).To(BeNumerically("<=", bounds.Share*(t.reached+left)+bounds.Slack))
		Expect(t.Empty()).To(BeTrue())
		Expect(t.State()).To(Equal(Completed))
	})

	// Story: a route gets a request a minute. The roll-out waited for its tries, and was neither
	// moved nor taken back.
	It("does not wait for a route that hardly any request takes", func() {
		t.answers(0, false, 300, 0, 3)
		t.Learn(0, Sample{Route: "rare", Server: "old", Took: 1}, 3)
		for range 100 {
			Expect(t.Wants("r")).To(BeTrue())
			t.Tried("r")
		}
	})

	It("keeps a route that many take from running ahead of another one", func() {
		t.answers(0, false, 300, 0, 3)
		for range 60 {
			t.Learn(0, Sample{Route: "other", Server: "old", Took: 1}, 3)
		}
		for range routeLead + 1 {
			Expect(t.Wants("r")).To(BeTrue())
			t.Tried("r")
		}
		Expect(t.Wants("r")).To(BeFalse())
		Expect(t.Wants("other")).To(BeTrue())
	})

	It("is held and ended by operators", func() {
		Expect(t.Obey(WishPause)).To(BeTrue())
		Expect(t.Obey(WishPause)).To(BeFalse(), "told twice")
		Expect(t.Turn(0, []Candidate{{Server: "a", Slots: 4}})).To(BeEmpty())
		Expect(t.Obey(WishResume)).To(BeTrue())
		Expect(t.Obey(WishTakeBack)).To(BeTrue())
		Expect(t.State()).To(Equal(RolledBack))
		Expect(t.Obey(WishResume)).To(BeFalse(), "it is over")
	})

	It("ends when a newer order replaces it", func() {
		t.Replace()
		Expect(t.Phase()).To(Equal(Superseded))
		Expect(t.Pass(order.Lasts, 3)).To(BeFalse())
	})
})

var _ = Describe("an order", func() {
	It("is refused when it makes no sense", func() {
		Expect(order.Check()).To(BeEmpty())
		for _, change := range []func(*Order){
			func(o *Order) { o.Service = "" }, func(o *Order) { o.To = "" }, func(o *Order) { o.Lasts = 0 },
		} {
			o := order
			change(&o)
			Expect(o.Check()).NotTo(BeEmpty())
		}
	})
})

var _ = Describe("the row of a roll-out", func() {
	It("is read as it was written, and anything else is refused", func() {
		row := Row{Order: 7, To: "v2", Phase: TakenBack, By: "front-1 a", BegunMs: 1200, Why: "bad"}
		text, err := row.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(DecodeRow(text)).To(Equal(row))
		Expect(row.Over()).To(BeTrue())
		_, err = DecodeRow([]byte("none"))
		Expect(err).To(HaveOccurred())
	})
})
