package entry

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/routing"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// Meter counts answers and measures latencies by route.
type Meter struct{ registry metrics.Registry }

// NewMeter returns a meter that registers its metrics in r.
func NewMeter(r metrics.Registry) *Meter { return &Meter{r} }

// Each histogram keeps a bounded, exponentially decaying sample that favors new values.
const (
	reservoirSize  = 256
	reservoirAlpha = 0.015
)

func (m *Meter) histogram(name string) metrics.Histogram {
	return m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(metrics.Histogram)
}

// Answered records a server's answer that was forwarded completely.
func (m *Meter) Answered(r *routing.Route, status int, latency time.Duration) {
	metrics.GetOrRegisterCounter("answered_"+strconv.Itoa(status), m.registry).Inc(1)
	m.histogram("answer_ms_" + r.Name).Update(latency.Milliseconds())
}

// StreamStarted records the first event of a stream.
func (m *Meter) StreamStarted(r *routing.Route, latency time.Duration) {
	m.histogram("first_event_ms_" + r.Name).Update(latency.Milliseconds())
}

// Refused counts an error answer that this host generated, by status and by code.
func (m *Meter) Refused(status int, code failure.Code) {
	metrics.GetOrRegisterCounter("refused_"+strconv.Itoa(status), m.registry).Inc(1)
	metrics.GetOrRegisterCounter("refused_for_"+string(code), m.registry).Inc(1)
}

// ServerEnded counts a run that was lost because its server process ended.
func (m *Meter) ServerEnded() {
	metrics.GetOrRegisterCounter("runs_lost_with_their_server", m.registry).Inc(1)
}

// HeldBack counts a placement that was returned before the request was sent.
func (m *Meter) HeldBack() {
	metrics.GetOrRegisterCounter("sends_held_back", m.registry).Inc(1)
}

// Framed counts an answer of a server by its framing.
func (m *Meter) Framed(f upstream.Framing) {
	metrics.GetOrRegisterCounter("answers_framed_by_"+string(f), m.registry).Inc(1)
}

// TooLong counts an answer that was given up since it was longer than answers may be.
func (m *Meter) TooLong() {
	metrics.GetOrRegisterCounter("answers_too_long", m.registry).Inc(1)
}

// Tunneled counts a connection to a server that another host carries.
func (m *Meter) Tunneled() {
	metrics.GetOrRegisterCounter("requests_tunneled", m.registry).Inc(1)
}
