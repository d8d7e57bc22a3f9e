package sched

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/notice"
)

// noticesKept is how long the notice of a server is kept that is not listed: its answers may
// be known here before its entry is.
const noticesKept = 30 * time.Second

// heardNotice is what a server says of itself, and when that was heard.
type heardNotice struct {
	notice.Notice
	at Time
}

// LearnNotices takes what servers say of themselves, on the word of any host, and returns
// what is new. Word that is older than what is known changes nothing.
func (s *Scheduler) LearnNotices(now Time, records []notice.Record) (changes []notice.Change) {
	for _, r := range records {
		at := now - r.Age
		known, ok := s.notices[r.Server]
		if ok && at < known.at {
			continue
		}
		s.notices[r.Server] = heardNotice{r.Notice, at}
		if known.Notice == r.Notice {
			continue
		}
		changes = append(changes, notice.Change{Server: r.Server, Before: known.Notice, After: r.Notice})
		if srv := s.servers[r.Server]; srv != nil {
			s.heed(now, srv)
		}
	}
	return changes
}

// heed applies what srv says of itself to its sends.
func (s *Scheduler) heed(now Time, srv *server) {
	limit := s.notices[srv.ID].Limit
	if !limit.Named {
		srv.pacer = pacer{}
		return
	}
	srv.pacer.limit(now, max(limit.PerSecond, leastLimit)*s.share.Limits, srv.lot)
}

// forgetNotices drops what is known of servers that are not listed, after a while.
func (s *Scheduler) forgetNotices(now Time) {
	for id, n := range s.notices {
		if s.servers[id] == nil && now-n.at > noticesKept {
			delete(s.notices, id)
		}
	}
}

// Limited counts the servers that name a limit.
func (s *Scheduler) Limited() (n int) {
	for _, srv := range s.servers {
		if srv.pacer.limited() {
			n++
		}
	}
	return n
}
