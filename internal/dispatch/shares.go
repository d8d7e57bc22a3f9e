package dispatch

import (
	"fmt"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// logShares records an event for each account that started or stopped asking for more than its
// share.
func (l *Loop) logShares(changes []sched.ShareChange) {
	for _, c := range changes {
		state := "within"
		if c.Over {
			state = "over"
		}
		l.events.Record(event.AccountOverShare, event.Fields{
			Service: c.Service,
			Detail:  fmt.Sprintf("account=%s %s priority=%d asked=%.2f/s share=%.2f/s", c.Account, state, c.Priority, c.Asked, c.Share),
		})
	}
}
