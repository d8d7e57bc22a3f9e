package entry

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/notice"
)

// recordNotice records the notice in a server's answer and the events of its changes.
func (x *exchange) recordNotice(server string, n notice.Notice) {
	change, changed := x.h.Placer.RecordNotice(server, n)
	if !changed {
		return
	}
	f := event.Fields{Request: x.head.ID, Service: x.service, Server: server}
	if limit, changed := change.LimitChange(); changed {
		f.Detail = limit
		x.h.Events.Record(event.ServerLimit, f)
	}
	if text, changed := change.BrittlenessChange(); changed {
		f.Detail = text
		x.h.Events.Record(event.ServerBrittle, f)
	}
	if change.StartsLeaving() {
		f.Detail = "in an answer to this host"
		x.h.Events.Record(event.ServerLeaves, f)
	}
}

// noticeFields formats a server's notice for the events of requests.
func noticeFields(now time.Time, s notice.State) string {
	text := ""
	if s.Limit.Valid {
		text += " limit=" + s.Limit.String()
	}
	if s.MaxRejections.Valid {
		text += " brittle=" + s.MaxRejections.String()
	}
	if s.Leaving {
		text += " leaving"
	}
	if backoff := s.Backoff(now); backoff > 0 {
		text += " rests=" + formatDuration(backoff)
	}
	if text != "" {
		text += " said=" + formatDuration(s.Age(now))
	}
	return text
}
