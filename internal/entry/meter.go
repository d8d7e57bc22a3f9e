package entry

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/routing"
)

// Meter counts answers and keeps their latencies by route.
type Meter struct{ registry metrics.Registry }

// NewMeter makes a meter over a registry.
func NewMeter(r metrics.Registry) *Meter { return &Meter{r} }

// reservoir bounds the samples of one histogram; the newest weigh most.
const (
	reservoir      = 256
	reservoirAlpha = 0.015
)

func (m *Meter) histogram(name string) metrics.Histogram {
	return m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, reservoirAlpha))
	}).(metrics.Histogram)
}

// Answered notes a server's answer that was passed on whole.
func (m *Meter) Answered(r *routing.Route, status int, took time.Duration) {
	metrics.GetOrRegisterCounter("answered_"+strconv.Itoa(status), m.registry).Inc(1)
	m.histogram("answer_ms_" + r.Name).Update(took.Milliseconds())
}

// Started notes the first event of a stream.
func (m *Meter) Started(r *routing.Route, took time.Duration) {
	m.histogram("first_event_ms_" + r.Name).Update(took.Milliseconds())
}

// Refused notes an answer of our own, by its status and its code.
func (m *Meter) Refused(status int, code failure.Code) {
	metrics.GetOrRegisterCounter("refused_"+strconv.Itoa(status), m.registry).Inc(1)
	metrics.GetOrRegisterCounter("refused_for_"+string(code), m.registry).Inc(1)
}

// ServerEnded notes a run that was lost because its server ended.
func (m *Meter) ServerEnded() {
	metrics.GetOrRegisterCounter("runs_lost_with_their_server", m.registry).Inc(1)
}

// HeldBack notes a request that was not sent to the server that it was placed at.
func (m *Meter) HeldBack() {
	metrics.GetOrRegisterCounter("sends_held_back", m.registry).Inc(1)
}
