package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/notice"
)

// serverNotice is what a server last stated about itself, and when it did.
type serverNotice struct {
	notice.Notice
	at Time
}

// LearnNotices applies server notices reported by a holder and returns what changed. A
// backoff applies to that holder only.
func (s *Scheduler) LearnNotices(now Time, holder uint64, records []notice.Record) (changes []notice.Change) {
	newlyLeaving := false
	for _, r := range records {
		s.applyBackoff(now, holder, r)
		r.Backoff = 0
		known := s.notices[r.Server]
		merged := known.merge(serverNotice{r.Notice, now - r.Age})
		s.notices[r.Server] = merged
		if merged.Notice == known.Notice {
			continue
		}
		change := notice.Change{Server: r.Server, Before: known.Notice, After: merged.Notice}
		changes = append(changes, change)
		if srv := s.servers[r.Server]; srv != nil {
			s.applyNotice(now, srv)
			newlyLeaving = newlyLeaving || change.StartsLeaving()
		}
	}
	if newlyLeaving {
		s.groupServers() // the remaining servers may be of another version
	}
	return changes
}

// merge combines two notices of one server. The newer one wins, except that Leaving is final:
// it holds if either notice has it.
func (n serverNotice) merge(other serverNotice) serverNotice {
	newest := n
	if other.at >= n.at {
		newest = other
	}
	newest.Leaving = n.Leaving || other.Leaving
	return newest
}

// applyBackoff keeps a holder's requests from a server for the backoff that the server asked
// for.
func (s *Scheduler) applyBackoff(now Time, holder uint64, r notice.Record) {
	srv := s.servers[r.Server]
	if srv == nil || r.Backoff <= 0 {
		return
	}
	if srv.backoffs == nil {
		srv.backoffs = map[uint64]Time{}
	}
	maps.DeleteFunc(srv.backoffs, func(_ uint64, until Time) bool { return now >= until })
	srv.backoffs[holder] = max(srv.backoffs[holder], now+min(r.Backoff, notice.MaxBackoff))
}

// allBackedOff reports whether every usable server that w may be sent to has asked its holder
// to back off for longer than w may wait.
func (s *Scheduler) allBackedOff(now Time, svc *service, w *waiting) bool {
	latest := now + time.Duration(float64(w.Deadline-w.Arrived)*s.policy.MaxWaitShare)
	found := false
	for i, srv := range svc.servers {
		if i == maxLooks {
			return found // the others are taken to be like those
		}
		if !srv.usable(now) || slices.Contains(w.Avoid, srv.ID) {
			continue
		}
		if srv.backoffs[w.Holder] <= latest {
			return false
		}
		found = true
	}
	return found
}

// applyNotice applies the notice of srv: whether it is draining, and its rate limit.
func (s *Scheduler) applyNotice(now Time, srv *server) {
	current := s.notices[srv.ID]
	if current.Leaving {
		srv.Draining, srv.leaving = true, true
	}
	if current.Limit.Valid {
		srv.pacer.limit(now, max(current.Limit.PerSecond, minServerRate)*s.share.RateLimits, srv.hashFraction)
	} else {
		srv.pacer = pacer{}
	}
	s.applyBrittleness(srv, current.MaxRejections)
	s.reindex(now, srv)
}

// forgetNotices drops old notices of servers that are not listed.
func (s *Scheduler) forgetNotices(now Time) {
	for id, n := range s.notices {
		if s.servers[id] == nil && now-n.at > notice.UnlistedRetention {
			delete(s.notices, id)
		}
	}
}

// LimitedServers returns the number of servers with a stated rate limit.
func (s *Scheduler) LimitedServers() (n int) {
	for _, srv := range s.servers {
		if srv.pacer.limited() {
			n++
		}
	}
	return n
}
