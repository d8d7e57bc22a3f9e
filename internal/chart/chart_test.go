package chart_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/charts"
	"github.com/gentianflow/gentianflow/internal/chart"
)

func TestChart(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "chart")
}

const validChart = `
name: door
initial: open
events: [close, lock]
states:
  open: {on: {close: closed}}
  closed: {on: {lock: locked}}
  locked: {final: true}
`

var _ = Describe("a chart", func() {
	It("takes only the transitions that its file declares", func() {
		c, err := chart.Parse([]byte(validChart))
		Expect(err).NotTo(HaveOccurred())
		m := c.Start()
		Expect(m.Fire("lock")).NotTo(Succeed())
		Expect(m.State()).To(Equal(chart.State("open")))
		Expect(m.Fire("close")).To(Succeed())
		Expect(m.Fire("lock")).To(Succeed())
		Expect(m.Final()).To(BeTrue())
	})

	DescribeTable("rejects an invalid file",
		func(old, new, message string) {
			_, err := chart.Parse([]byte(strings.Replace(validChart, old, new, 1)))
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry("unknown event", "{close: closed}", "{slam: closed}", "unknown event"),
		Entry("unknown target", "{close: closed}", "{close: ajar}", "unknown state"),
		Entry("unreachable state", "locked: {final: true}", "locked: {final: true}\n  lost: {on: {lock: locked}}", "cannot be reached"),
		Entry("no path to a final state", "{lock: locked}}", "{lock: closed}}\n  gone: {final: true}", "has no way to a final state"),
		Entry("final state with a transition", "locked: {final: true}", "locked: {final: true, on: {close: closed}}", "final or have a way out"),
		Entry("unused event", "[close, lock]", "[close, lock, paint]", "never used"),
		Entry("unknown field", "initial: open", "initial: open\ncolour: red", "colour"),
	)

	It("is valid in each embedded file", func() {
		_, err := charts.Load()
		Expect(err).NotTo(HaveOccurred())
	})
})
