package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/notice"
)

// heardNotice is what a server says of itself, and when that was heard.
type heardNotice struct {
	notice.Notice
	at Time
}

// LearnNotices takes what servers say of themselves, on the word of a host, and returns what
// is new. A rest is asked of that host alone.
func (s *Scheduler) LearnNotices(now Time, holder uint64, records []notice.Record) (changes []notice.Change) {
	left := false
	for _, r := range records {
		s.rest(now, holder, r)
		r.Rest = 0
		known := s.notices[r.Server]
		said := known.or(heardNotice{r.Notice, now - r.Age})
		s.notices[r.Server] = said
		if said.Notice == known.Notice {
			continue
		}
		change := notice.Change{Server: r.Server, Before: known.Notice, After: said.Notice}
		changes = append(changes, change)
		if srv := s.servers[r.Server]; srv != nil {
			s.heed(now, srv)
			left = left || change.Leaves()
		}
	}
	if left {
		s.regroup() // what is left may be of another version
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

// rest keeps requests of a holder from a server for as long as that wants none.
func (s *Scheduler) rest(now Time, holder uint64, r notice.Record) {
	srv := s.servers[r.Server]
	if srv == nil || r.Rest <= 0 {
		return
	}
	if srv.rests == nil {
		srv.rests = map[uint64]Time{}
	}
	maps.DeleteFunc(srv.rests, func(_ uint64, until Time) bool { return now >= until })
	srv.rests[holder] = max(srv.rests[holder], now+min(r.Rest, notice.MaxRest))
}

// allRest reports whether each usable server of svc that w may be sent to has asked its holder
// for rest, for longer than w may wait.
func (s *Scheduler) allRest(now Time, svc *service, w *waiting) bool {
	longest := now + time.Duration(float64(w.Deadline-w.Arrived)*s.policy.WaitShare)
	some := false
	for _, srv := range svc.servers {
		if !srv.usable(now) || slices.Contains(w.Avoid, srv.ID) {
			continue
		}
		if srv.rests[w.Holder] <= longest {
			return false
		}
		some = true
	}
	return some
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
	srv.pacer.limit(now, max(said.Limit.PerSecond, minServerRate)*s.share.Sends, srv.lot)
}

// forgetNotices drops what is known of servers that are not listed, after a while.
func (s *Scheduler) forgetNotices(now Time) {
	for id, n := range s.notices {
		if s.servers[id] == nil && now-n.at > notice.KeptUnlisted {
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
