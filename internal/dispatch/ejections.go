package dispatch

import (
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// logEjections records an event for each server that the scheduler stopped using.
func (l *Loop) logEjections(list []sched.Ejection) {
	for _, e := range list {
		l.events.Record(event.ServerEjected, event.Fields{
			Service: e.Service, Server: e.Server, Peer: ident.Incarnation(e.Holder).String(),
			Detail: "result=" + e.Result.String() + " for=" + e.Duration.String(),
		})
	}
}
