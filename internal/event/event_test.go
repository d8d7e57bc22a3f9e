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

var _ = Describe("the time line", func() {
	// Story: an operator reads that a request was granted before it was
	// accepted, because the granting host's clock is a minute behind.
	It("puts no effect before its cause although clocks differ", func() {
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

	It("keeps the newest events within its size", func() {
		r := event.NewRecorder("a", "1", 3, log.NewNopLogger())
		for i := range 5 {
			r.Record(event.RequestAccepted, event.Fields{Detail: fmt.Sprint(i)})
		}
		kept := r.Events(event.Filter{})
		Expect(kept).To(HaveLen(3))
		Expect(kept[0].Detail).To(Equal("2"))
		Expect(kept[2].Detail).To(Equal("4"))
	})
})
