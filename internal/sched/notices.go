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
// what is new.
func (s *Scheduler) LearnNotices(now Time, records []notice.Record) (changes []notice.Change) {
	for _, r := range records {
		known := s.notices[r.Server]
		said := known.or(heardNotice{r.Notice, now - r.Age})
		s.notices[r.Server] = said
		if said.Notice == known.Notice {
			continue
		}
		changes = append(changes, notice.Change{Server: r.Server, Before: known.Notice, After: said.Notice})
		if srv := s.servers[r.Server]; srv != nil {
			s.heed(now, srv)
		}
	}
	return changes
}

// or joins two words of one server: the newer one counts, but for that it leaves, which is
// never out of date.
func (n heardNotice) or(other heardNotice) heardNotice {
	newest := n
	if other.at >= n.at {
		newest = other
	}
	newest.Leaving = n.Leaving || other.Leaving
	return newest
}

// heed applies what srv says of itself to its sends.
func (s *Scheduler) heed(now Time, srv *server) {
	said := s.notices[srv.ID]
	if said.Leaving {
		srv.Draining, srv.leaves = true, true
	}
	if !said.Limit.Named {
		srv.pacer = pacer{}
		return
	}
	srv.pacer.limit(now, max(said.Limit.PerSecond, leastLimit)*s.share.Limits, srv.lot)
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
