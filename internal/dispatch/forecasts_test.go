package dispatch

import (
	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/sched"
)

var _ = Describe("changes of the refusals by forecast", func() {
	It("are recorded with the service, the priority and the figures", func() {
		events := event.NewRecorder("h", "i", 64, log.NewNopLogger())
		loop := NewLoop(sched.DefaultPolicy(), events, func([]sched.Decision) {})
		loop.logForecasts([]sched.ForecastChange{
			{Service: "s", Priority: 1, Refusing: true, Detail: "forecast=1.2s room=0.4s before=83 rate=210/s"},
			{Service: "s", Priority: 1, Detail: "refused=120"},
		})
		recorded := events.Events(event.Filter{})
		Expect(recorded).To(HaveLen(2))
		Expect(recorded[0]).To(And(
			HaveField("Code", event.OverloadForecast), HaveField("Service", "s"),
			HaveField("Detail", "refusing priority=1 forecast=1.2s room=0.4s before=83 rate=210/s"),
		))
		Expect(recorded[1]).To(HaveField("Detail", "stopped priority=1 refused=120"))
	})
})
