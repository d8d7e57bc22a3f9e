package entry

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/notice"
)

// hear takes what an answer says of its server.
func (x *exchange) hear(server string, n notice.Notice) {
	change, changed := x.h.Places.Hear(server, n)
	if !changed {
		return
	}
	x.h.Events.Record(event.ServerLimit, event.Fields{
		Request: x.head.ID, Service: x.service, Server: server,
		Detail: change.String(),
	})
}

// describe tells what a server has said of itself, for the lines of requests.
func describe(now time.Time, s notice.Standing) string {
	if s.Notice == (notice.Notice{}) {
		return ""
	}
	return " limit=" + s.Limit.String() + " said=" + milliseconds(s.Age(now))
}
