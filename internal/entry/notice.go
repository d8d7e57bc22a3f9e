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
	f := event.Fields{Request: x.head.ID, Service: x.service, Server: server}
	if limit, changed := change.Limit(); changed {
		f.Detail = limit
		x.h.Events.Record(event.ServerLimit, f)
	}
	if change.Leaves() {
		f.Detail = "by an answer"
		x.h.Events.Record(event.ServerLeaves, f)
	}
}

// describe tells what a server has said of itself, for the lines of requests.
func describe(now time.Time, s notice.Standing) string {
	text := ""
	if s.Limit.Named {
		text += " limit=" + s.Limit.String()
	}
	if s.Leaving {
		text += " leaving"
	}
	if rest := s.Rest(now); rest > 0 {
		text += " rests=" + milliseconds(rest)
	}
	if text != "" {
		text += " said=" + milliseconds(s.Age(now))
	}
	return text
}
