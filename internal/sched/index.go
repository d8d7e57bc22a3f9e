package sched

import (
	"container/heap"
	"math"
	"time"
)

const (
	// maxCandidates is how many servers a decision compares. A service with no more servers is
	// compared as a whole.
	maxCandidates = 64
	// maxLooks bounds the servers that a decision looks at to find its candidates.
	maxLooks = 4 * maxCandidates
	// maxConnectedCandidates and maxCachedCandidates are how many of the candidates have an idle
	// connection of the holder, and the start of the prompt in their cache.
	maxConnectedCandidates = 16
	maxCachedCandidates    = 8
	// fastestCandidates is how many servers of the fastest speed class are compared.
	fastestCandidates = 4
	// looksPerBucket is how many servers are taken from a bucket before the next one.
	looksPerBucket = 4
	// speedClassRatio is the ratio of the token times of neighboring speed classes.
	speedClassRatio = 1.125
	// speedClasses covers the token times from minTokenTime to maxTokenTime.
	speedClasses = 52
	// maxConnectedServers bounds the servers remembered for a holder; the newest remain.
	maxConnectedServers = 32
)

// serverIndex finds the servers of a large service that a decision should compare, without a look
// at all of them: those with an idle connection of the holder, those that have the start of the
// prompt cached, and a sample of the others with room, the fast and less loaded ones first.
//
// A decision that looks at every server costs the home a whole core from about 3,000 servers and
// 1,000 requests a second on.
//
// A server moves between buckets when its state changes, which update is told. What changes with
// time alone, the end of an ejection, a pause or a pacer's interval, is kept in closed.
type serverIndex struct {
	outdated bool                    // the servers or their limits have changed; see indexOf
	limit    func(srv *server) int   // how many requests a server may have at once
	usable   [speedClasses]serverSet // by speed class: neither draining nor ejected
	nUsable  int
	roomy    [speedClasses][]serverSet // by speed class and number of runs: with room
	nRoomy   int
	closed   closedServers        // that time alone opens again
	offset   int                  // where the next sample starts within a bucket
	sample   uint64               // number of the current sample
	byHolder map[uint64][]*server // servers with an idle connection of a holder, newest last
	byPart   recentParts
	looks    int // servers that decisions have looked at, whether indexed or not
}

// indexEntry is a server's place in the index of its service.
type indexEntry struct {
	usableClass int // -1: not in usable
	usablePos   int
	roomyClass  int // -1: not in roomy
	roomyLevel  int
	roomyPos    int
	closedPos   int    // -1: not in closed
	opensAt     Time   // when it is looked at again, if in closed
	sample      uint64 // the last sample that it was part of
}

// serverSet is a set of servers in no particular order.
type serverSet []*server

func newServerIndex() *serverIndex {
	return &serverIndex{outdated: true, byHolder: map[uint64][]*server{}}
}

// large reports whether svc has so many servers that decisions use its index rather than compare all.
func (svc *service) large() bool { return len(svc.servers) > maxCandidates }

// indexOf returns the index of a service, up to date, or nil if the service is not large.
func (s *Scheduler) indexOf(now Time, svc *service) *serverIndex {
	if !svc.large() {
		return nil
	}
	if svc.index.outdated {
		svc.index.limit = func(srv *server) int { return s.concurrencyLimit(svc, srv) }
		svc.index.rebuild(now, svc.servers)
	}
	svc.index.reopen(now)
	return svc.index
}

// reindex updates the index after a change of a server.
func (s *Scheduler) reindex(now Time, srv *server) {
	if svc := srv.serving; svc != nil && svc.large() && !svc.index.outdated {
		svc.index.update(now, srv)
	}
}

// countUsable returns the number of servers of a service that are neither draining nor ejected.
// In a large service, servers at their rate limit are left out.
func (s *Scheduler) countUsable(now Time, svc *service) (n int) {
	if index := s.indexOf(now, svc); index != nil {
		return index.nUsable
	}
	for _, srv := range svc.servers {
		if srv.usable(now) {
			n++
		}
	}
	return n
}

// rebuild indexes a list of servers anew. What is known of connections and cached prompt parts
// stays.
func (x *serverIndex) rebuild(now Time, servers []*server) {
	x.usable, x.nUsable = [speedClasses]serverSet{}, 0
	x.roomy, x.nRoomy = [speedClasses][]serverSet{}, 0
	x.closed = nil
	x.byPart.limit = cachedPartsPerServer * len(servers)
	for _, srv := range servers {
		srv.entry = indexEntry{usableClass: -1, roomyClass: -1, closedPos: -1}
		x.update(now, srv)
	}
	x.outdated = false
}

// speedClass returns the speed class of a token time, 0 for the fastest.
func speedClass(tokenTime time.Duration) int {
	steps := math.Log(float64(tokenTime)/float64(minTokenTime)) / math.Log(speedClassRatio)
	return max(0, min(speedClasses-1, int(steps)))
}

// update moves a server to where its state belongs.
func (x *serverIndex) update(now Time, srv *server) {
	class := speedClass(srv.tokenTime)
	usable, roomy := -1, -1
	if srv.usable(now) && srv.pacer.ready(now) {
		usable = class
	}
	if srv.hasRoom(now, x.limit(srv)) {
		roomy = class
	}
	e := &srv.entry
	if e.usableClass != usable {
		x.removeUsable(srv)
		x.addUsable(srv, usable)
	}
	if e.roomyClass != roomy || roomy >= 0 && e.roomyLevel != srv.running {
		x.removeRoomy(srv)
		x.addRoomy(srv, roomy)
	}
	x.close(now, srv)
}

func (x *serverIndex) addUsable(srv *server, class int) {
	if class < 0 {
		return
	}
	srv.entry.usableClass, srv.entry.usablePos = class, len(x.usable[class])
	x.usable[class] = append(x.usable[class], srv)
	x.nUsable++
}

func (x *serverIndex) removeUsable(srv *server) {
	e := &srv.entry
	if e.usableClass < 0 {
		return
	}
	set := x.usable[e.usableClass]
	last := set[len(set)-1]
	set[e.usablePos], last.entry.usablePos = last, e.usablePos
	set[len(set)-1] = nil
	x.usable[e.usableClass] = set[:len(set)-1]
	e.usableClass = -1
	x.nUsable--
}

func (x *serverIndex) addRoomy(srv *server, class int) {
	if class < 0 {
		return
	}
	for len(x.roomy[class]) <= srv.running {
		x.roomy[class] = append(x.roomy[class], nil)
	}
	set := x.roomy[class][srv.running]
	srv.entry.roomyClass, srv.entry.roomyLevel, srv.entry.roomyPos = class, srv.running, len(set)
	x.roomy[class][srv.running] = append(set, srv)
	x.nRoomy++
}

func (x *serverIndex) removeRoomy(srv *server) {
	e := &srv.entry
	if e.roomyClass < 0 {
		return
	}
	set := x.roomy[e.roomyClass][e.roomyLevel]
	last := set[len(set)-1]
	set[e.roomyPos], last.entry.roomyPos = last, e.roomyPos
	set[len(set)-1] = nil
	x.roomy[e.roomyClass][e.roomyLevel] = set[:len(set)-1]
	e.roomyClass = -1
	x.nRoomy--
}

// close notes when a server that is closed for a time is to be looked at again: at the end of the
// first of the causes for that.
func (x *serverIndex) close(now Time, srv *server) {
	const never = Time(math.MaxInt64)
	opensAt := never
	ends := [...]Time{srv.ejectedUntil, srv.pausedUntil, 0, 0}
	if !srv.pacer.ready(now) {
		ends[2] = srv.pacer.next
	}
	if !srv.toleratesRejection(now) {
		ends[3] = srv.toleratesAt(now)
	}
	for _, end := range ends {
		if end > now {
			opensAt = min(opensAt, end)
		}
	}
	e := &srv.entry
	if srv.Draining || srv.Unlisted || opensAt == never {
		if e.closedPos >= 0 {
			heap.Remove(&x.closed, e.closedPos)
		}
		return
	}
	e.opensAt = opensAt
	if e.closedPos >= 0 {
		heap.Fix(&x.closed, e.closedPos)
		return
	}
	heap.Push(&x.closed, srv)
}

// reopen updates the servers whose time has come.
func (x *serverIndex) reopen(now Time) {
	for len(x.closed) > 0 && x.closed[0].entry.opensAt <= now {
		x.update(now, x.closed[0])
	}
}

// candidates returns up to maxCandidates servers with room, for a request unless r is nil.
func (x *serverIndex) candidates(now Time, r *Request) []*server {
	x.sample++
	x.offset += looksPerBucket
	before := x.looks
	found := make([]*server, 0, min(maxCandidates, x.nRoomy))
	var full []*server // with room when last updated
	look := func(srv *server) (more bool) {
		if srv.entry.roomyClass >= 0 && srv.entry.sample != x.sample {
			srv.entry.sample = x.sample
			x.looks++
			if srv.hasRoom(now, x.limit(srv)) {
				found = append(found, srv)
			} else {
				full = append(full, srv)
			}
		}
		return len(found) < maxCandidates && x.looks-before < maxLooks
	}
	if r != nil {
		x.lookAtConnected(now, r.Holder, look)
		x.lookAtCaching(r, look)
	}
	for round := 0; x.lookAtRound(round, look); round++ {
	}
	for _, srv := range full {
		x.update(now, srv)
	}
	return found
}

// lookAtRound looks at the next looksPerBucket servers of each bucket until look returns false. It
// reports whether there may be more to look at.
func (x *serverIndex) lookAtRound(round int, look func(*server) (more bool)) (more bool) {
	for _, levels := range x.roomy {
		for _, set := range levels {
			for i := round * looksPerBucket; i < min(len(set), (round+1)*looksPerBucket); i++ {
				if !look(set[(i+x.offset)%len(set)]) {
					return false
				}
				more = true
			}
		}
	}
	return more
}

// lookAtConnected looks at the newest servers with an idle connection of a holder, and forgets
// those without one.
func (x *serverIndex) lookAtConnected(now Time, holder uint64, look func(*server) (more bool)) {
	servers := x.byHolder[holder]
	kept := servers[:0]
	for _, srv := range servers {
		if srv.serving != nil && srv.idleConnections.hasIdle(now, holder) {
			kept = append(kept, srv)
		}
	}
	clear(servers[len(kept):])
	if len(kept) == 0 {
		delete(x.byHolder, holder)
		return
	}
	x.byHolder[holder] = kept
	for _, srv := range kept[max(0, len(kept)-maxConnectedCandidates):] {
		look(srv)
	}
}

// lookAtCaching looks at servers that have the start of a prompt cached, the longest start first.
func (x *serverIndex) lookAtCaching(r *Request, look func(*server) (more bool)) {
	left := maxCachedCandidates
	for i := len(r.PromptParts) - 1; i >= 0; i-- {
		for _, srv := range x.byPart.servers(r.PromptParts[i].Key) {
			if left == 0 {
				return
			}
			if srv.serving != nil {
				left--
				look(srv)
			}
		}
	}
}

// connected records that a holder has an idle connection to a server.
func (x *serverIndex) connected(holder uint64, srv *server) {
	servers := x.byHolder[holder]
	for _, have := range servers {
		if have == srv {
			return
		}
	}
	if len(servers) >= maxConnectedServers {
		servers = append(servers[:0], servers[1:]...)
	}
	x.byHolder[holder] = append(servers, srv)
}

// fastest returns a usable server of the fastest speed class that has one which open accepts, or nil.
func (x *serverIndex) fastest(now Time, open func(*server) bool) (best *server) {
	looks, compared := 0, 0
	for _, set := range x.usable {
		for i := 0; i < len(set) && looks < maxLooks && compared < fastestCandidates; i++ {
			looks++
			srv := set[i]
			if !srv.usable(now) || !srv.pacer.ready(now) || !open(srv) {
				continue
			}
			if srv.slowdown(now) < slowedRatio {
				compared++
			}
			if best == nil || srv.currentTokenTime(now) < best.currentTokenTime(now) {
				best = srv
			}
		}
		if compared > 0 || looks >= maxLooks {
			break
		}
	}
	x.looks += looks
	return best
}
