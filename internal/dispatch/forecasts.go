package dispatch

import (
	"fmt"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// logForecasts records an event for each priority that has started or stopped refusing requests by
// forecast.
func (l *Loop) logForecasts(changes []sched.ForecastChange) {
	for _, c := range changes {
		l.events.Record(event.OverloadForecast, event.Fields{Service: c.Service, Detail: describeForecast(c)})
	}
}

func describeForecast(c sched.ForecastChange) string {
	state := "stopped"
	if c.Refusing {
		state = "refusing"
	}
	return fmt.Sprintf("%s priority=%d %s", state, c.Priority, c.Detail)
}
