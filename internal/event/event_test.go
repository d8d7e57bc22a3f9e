package event_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
)

func TestEvent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "event")
}

var _ = Describe("the catalogue", func() {
	It("equals docs/EVENTS.md", func() {
		text, err := os.ReadFile("../../docs/EVENTS.md")
		Expect(err).NotTo(HaveOccurred())
		listed := map[string]bool{}
		for _, row := range regexp.MustCompile(`(?m)^\| \d+ \|.*$`).FindAllString(string(text), -1) {
			listed[row] = true
		}
		for code, k := range event.Catalogue {
			row := fmt.Sprintf("| %d | `%s` | %s | %s |", code, k.Name, k.Level, k.Text)
			Expect(listed).To(HaveKey(row))
		}
		Expect(listed).To(HaveLen(len(event.Catalogue)))
	})
})

var _ = Describe("the timeline", func() {
	// When the clock of the granting host is a minute behind, a timeline sorted by clock
	// would show that a request was granted before it was accepted.
	It("shows causes before effects although clocks differ", func() {
		a := event.NewRecorder("a", "1", 10, log.NewNopLogger())
		b := event.NewRecorder("b", "2", 10, log.NewNopLogger())
		a.Record(event.RequestAccepted, event.Fields{Request: "r"})
		b.Witness(a.Clock())
		b.Record(event.HomeGranted, event.Fields{Request: "r"})
		a.Witness(b.Clock())
		a.Record(event.RequestGranted, event.Fields{Request: "r"})
		var names []string
		for _, e := range event.Merge(b.Events(event.Filter{Request: "r"}), a.Events(event.Filter{})) {
			names = append(names, e.Name)
		}
		Expect(names).To(Equal([]string{"request_accepted", "home_granted", "request_granted"}))
	})

	It("keeps the newest events up to its size", func() {
		r := event.NewRecorder("a", "1", 3, log.NewNopLogger())
		for i := range 5 {
			r.Record(event.RequestAccepted, event.Fields{Detail: fmt.Sprint(i)})
		}
		events := r.Events(event.Filter{})
		Expect(events).To(HaveLen(3))
		Expect(events[0].Detail).To(Equal("2"))
		Expect(events[2].Detail).To(Equal("4"))
	})
})
