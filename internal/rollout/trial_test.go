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
	order  = Order{Service: "s", To: "v2", Timeout: 10 * time.Second, RowVersion: 7}
	bounds = Bounds{Share: 0.1, Slack: 50}
)

// addAnswers adds n answers of a version on one route, by its servers in turn; every nth fails.
func (t *Trial) addAnswers(now Time, isNew bool, n, nth, servers int) (decided bool) {
	for i := range n {
		s := Sample{Route: "r", Server: fmt.Sprint(isNew, i%servers), New: isNew, Failed: nth > 0 && i%nth == nth-1, RelativeTime: 1}
		decided = t.AddAnswer(now, s, servers) || decided
	}
	return decided
}

// addRequests sends n requests to the service, to the new version as far as the trial allows.
func (t *Trial) addRequests(now Time, n int) {
	free := []Candidate{{Server: "a", Slots: 4}, {Server: "b", Slots: 4}}
	for range n {
		if t.NextServer(now, free) != "" {
			t.CountTry("r")
			t.CountRequest(true)
			continue
		}
		t.CountRequest(false)
	}
}

var _ = Describe("a roll-out", func() {
	var t *Trial
	BeforeEach(func() { t = NewTrial(0, order, 0, bounds, false) })

	It("rolls back a version that fails far more often than the old one", func() {
		t.addAnswers(0, false, 200, 0, 3)
		Expect(t.addAnswers(time.Second, true, 60, 4, 3)).To(BeTrue())
		Expect(t.Phase()).To(Equal(PhaseRolledBack))
		Expect(t.State()).To(Equal(RolledBack))
		Expect(t.Why()).To(ContainSubstring("usual"))
	})

	// Regression: a sixth of the calls fail with either version. The new version was rolled back
	// for failures that the old one has too.
	It("does not roll back a version for failures that the old one has too", func() {
		t.addAnswers(0, false, 600, 6, 3)
		Expect(t.addAnswers(time.Second, true, 300, 6, 3)).To(BeFalse())
	})

	// One of three new servers is faulty, but the version is sound.
	It("does not roll back a version for one faulty server", func() {
		t.addAnswers(0, false, 300, 0, 3)
		for i := range 120 {
			server := i % 3
			Expect(t.AddAnswer(time.Second, Sample{Route: "r", Server: fmt.Sprint(server), New: true, Failed: server == 0 && i%2 == 0, RelativeTime: 1}, 3)).To(BeFalse())
		}
	})

	It("rolls back a version whose answers take several times as long", func() {
		t.addAnswers(0, false, 100, 0, 3)
		decided := false
		for i := range 40 {
			decided = decided || t.AddAnswer(time.Second, Sample{Route: "r", Server: fmt.Sprint(i % 3), New: true, RelativeTime: 4}, 3)
		}
		Expect(decided).To(BeTrue())
	})

	// A version is sound at first and turns bad later. Its earlier good answers must not hide that.
	It("detects a version that turns bad after hundreds of good answers", func() {
		t.addAnswers(0, false, 300, 0, 3)
		Expect(t.addAnswers(time.Second, true, 400, 0, 3)).To(BeFalse())
		Expect(t.addAnswers(5*time.Second, true, 60, 4, 3)).To(BeTrue())
	})

	It("sends no more requests to the new version than the trial's share of the bounds", func() {
		for i := range 40 {
			t.addRequests(time.Duration(i)*100*time.Millisecond, 100)
			Expect(t.tried).To(BeNumerically("<=", trialShare*(bounds.Share*t.reached+bounds.Slack)+1))
		}
		Expect(t.tried).To(BeNumerically(">", 100))
	})

	// The host that ran the rollout is lost. The next one does not know how many requests were
	// tried, and would use the slack a second time.
	It("starts without the slack when it resumes another host's roll-out", func() {
		t = NewTrial(5*time.Second, order, 5*time.Second, bounds, true)
		Expect(t.credit()).To(BeZero())
		Expect(t.Deadline()).To(Equal(10 * time.Second))
	})

	// A version turns bad right after the service was moved to it. All requests that reach the
	// service until the deadline count against the bounds, so the move must be close to it.
	It("moves to a sound version so late that the bounds hold even if it turns bad then", func() {
		t.addAnswers(0, false, 300, 0, 3)
		const perStep = 50 // a tenth of a second
		moved := Time(0)
		for now := Time(0); now < order.Timeout && moved == 0; now += 100 * time.Millisecond {
			t.addRequests(now, perStep)
			t.addAnswers(now, true, 2, 0, 3)
			if t.Evaluate(now, 3) {
				moved = now
			}
		}
		Expect(t.Phase()).To(Equal(Moving))
		remaining := float64((order.Timeout-moved)/(100*time.Millisecond)) * perStep
		Expect(t.tried + remaining).To(BeNumerically("<=", bounds.Share*(t.reached+remaining)+bounds.Slack))
		Expect(t.OldServersIdle()).To(BeTrue())
		Expect(t.State()).To(Equal(Completed))
	})

	// Regression: a route gets one request a minute. The rollout waited for tries of that route,
	// and neither moved nor was rolled back.
	It("does not wait for a route with hardly any requests", func() {
		t.addAnswers(0, false, 300, 0, 3)
		t.AddAnswer(0, Sample{Route: "rare", Server: "old", RelativeTime: 1}, 3)
		for range 100 {
			Expect(t.RouteAllowed("r")).To(BeTrue())
			t.CountTry("r")
		}
	})

	It("does not let a busy route get far ahead of another one", func() {
		t.addAnswers(0, false, 300, 0, 3)
		for range 60 {
			t.AddAnswer(0, Sample{Route: "other", Server: "old", RelativeTime: 1}, 3)
		}
		for range maxRouteLead + 1 {
			Expect(t.RouteAllowed("r")).To(BeTrue())
			t.CountTry("r")
		}
		Expect(t.RouteAllowed("r")).To(BeFalse())
		Expect(t.RouteAllowed("other")).To(BeTrue())
	})

	It("is paused, resumed and rolled back by operators", func() {
		Expect(t.Apply(CommandPause)).To(BeTrue())
		Expect(t.Apply(CommandPause)).To(BeFalse(), "repeated command")
		Expect(t.NextServer(0, []Candidate{{Server: "a", Slots: 4}})).To(BeEmpty())
		Expect(t.Apply(CommandResume)).To(BeTrue())
		Expect(t.Apply(CommandTakeBack)).To(BeTrue())
		Expect(t.State()).To(Equal(RolledBack))
		Expect(t.Apply(CommandResume)).To(BeFalse(), "it is over")
	})

	It("ends when a newer order replaces it", func() {
		t.Supersede()
		Expect(t.Phase()).To(Equal(Superseded))
		Expect(t.Evaluate(order.Timeout, 3)).To(BeFalse())
	})
})

var _ = Describe("an order", func() {
	It("is refused when a field is missing", func() {
		Expect(order.Check()).To(BeEmpty())
		for _, change := range []func(*Order){
			func(o *Order) { o.Service = "" }, func(o *Order) { o.To = "" }, func(o *Order) { o.Timeout = 0 },
		} {
			o := order
			change(&o)
			Expect(o.Check()).NotTo(BeEmpty())
		}
	})
})

var _ = Describe("the row of a roll-out", func() {
	It("is decoded as it was encoded, and anything else is refused", func() {
		row := Row{Order: 7, To: "v2", Phase: PhaseRolledBack, By: "front-1 a", BegunMs: 1200, Why: "bad"}
		text, err := row.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(DecodeRow(text)).To(Equal(row))
		Expect(row.Over()).To(BeTrue())
		_, err = DecodeRow([]byte("none"))
		Expect(err).To(HaveOccurred())
	})
})
