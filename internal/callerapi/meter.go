package callerapi

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/rcrowley/go-metrics"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Meter counts and times the requests of callers in a go-metrics registry.
type Meter struct {
	requests metrics.Counter
	refused  metrics.Counter
	accept   metrics.Timer // from the decoded request until this host holds it
}

// NewMeter returns a Meter whose metrics are registered with r.
func NewMeter(r metrics.Registry) *Meter {
	m := &Meter{requests: metrics.NewCounter(), refused: metrics.NewCounter(), accept: metrics.NewTimer()}
	_ = r.Register("caller.requests", m.requests)
	_ = r.Register("caller.refused", m.refused)
	_ = r.Register("caller.accept", m.accept)
	return m
}

func (m *Meter) middleware(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		begin := time.Now()
		m.requests.Inc(1)
		response, err := next(ctx, request)
		m.accept.UpdateSince(begin)
		if err != nil && failure.From(err).Outcome() == failure.NotRun {
			m.refused.Inc(1)
		}
		return response, err
	}
}
