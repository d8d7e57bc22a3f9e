package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/origin"
)

// Streams that go on: a request with Resumed runs only at servers of the software version that began its
// stream. That version is known from the holder, which forwarded the events, from the record of the attempt
// that began the stream, or because the service has had no other one. What is not known is not guessed.

const (
	// resumedWait is how long a request waits until the version of its stream is known, or has a server. The
	// hosts that know it report to a new home, and that reads the store, within about a second.
	resumedWait = 1500 * time.Millisecond
	// resumedRankLead is how far a request that goes on with a stream is moved ahead in its priority queue:
	// its caller has a part of the answer already.
	resumedRankLead = 5 * time.Second
	// OriginGrace is how long after the deadline of its first attempt the version of a stream is remembered.
	OriginGrace = 3 * time.Second
	// minTakeUpTime is how long after its begin a stream may be taken up, unless one had a longer deadline.
	minTakeUpTime = 30 * time.Second
	// maxListAge is the age up to which the list of servers tells that a service has one version only.
	maxListAge = 2 * time.Second
)

// SetListAge sets the function that returns the age of the list of servers.
func (s *Scheduler) SetListAge(age func() time.Duration) { s.listAge = age }

// LearnOrigins adds records of other schedulers.
func (s *Scheduler) LearnOrigins(now Time, records []origin.Record) {
	for _, r := range records {
		s.origins.Put(now, r)
	}
}

// Origins returns all records of streams that may still be taken up.
func (s *Scheduler) Origins(now Time) []origin.Record { return s.origins.All(now) }

// CountOrigins returns the number of records.
func (s *Scheduler) CountOrigins() int { return s.origins.Len() }

// TakeOrigins returns the records that this scheduler made since the last call.
func (s *Scheduler) TakeOrigins() []origin.Record {
	records := s.newOrigins
	s.newOrigins = nil
	return records
}

// resolve finds out at which version the stream of r began, if that is possible now.
func (s *Scheduler) resolve(now Time, r *Request) {
	stream := r.Resumed
	if stream == nil || stream.Known {
		return
	}
	if version, ok := s.origins.Get(now, stream.From); ok {
		stream.Version, stream.Known, stream.Source = version, true, FromRecord
		return
	}
	if version, ok := s.onlyVersion(now, r.Service); ok {
		stream.Version, stream.Known, stream.Source = version, true, FromList
	}
}

// takeUpTime is how long after its begin a stream may be taken up.
func (s *Scheduler) takeUpTime() time.Duration { return max(minTakeUpTime, s.longestStream) }

// recordOrigin remembers the version at which the stream of a placed request begins or goes on.
func (s *Scheduler) recordOrigin(now Time, r *Request, version string) {
	until := r.Deadline + OriginGrace
	if r.Origin != 0 {
		s.longestStream = max(s.longestStream, r.Deadline-r.Arrived)
	}
	keys := []origin.Key{r.Origin}
	if r.Resumed != nil {
		keys = append(keys, r.Resumed.From)
	}
	for _, k := range keys {
		if k != 0 {
			record := origin.Record{Key: k, Version: version, Until: until}
			s.origins.Put(now, record)
			s.newOrigins = append(s.newOrigins, record)
		}
	}
}

// placeResumed places w, which goes on with a stream, at a server of its version, if one has room, and
// reports whether it did. That server need not get new streams: its version may be on trial or replaced.
func (s *Scheduler) placeResumed(now Time, svc *service, w *waiting) bool {
	s.resolve(now, &w.Request)
	if !w.Resumed.Known {
		return false
	}
	var free []*server
	for _, srv := range s.serversOf(svc, w.Resumed.Version) {
		if srv.hasRoom(now, s.concurrencyLimit(svc, srv)) {
			free = append(free, srv)
		}
	}
	return len(free) > 0 && s.tryPlace(now, svc, s.candidates(now, svc, free), w)
}

// serversOf lists the servers of a version that may go on with its streams.
func (s *Scheduler) serversOf(svc *service, version string) (out []*server) {
	if svc.versions.rolledBack[version] {
		return nil
	}
	for _, srv := range s.listed[svc.Name] {
		if srv.Version == version && !srv.Draining {
			out = append(out, srv)
		}
	}
	return out
}

// placeWaitingResumed places the waiting requests that go on with streams.
func (s *Scheduler) placeWaitingResumed(now Time, svc *service) {
	svc.queue.each(func(w *waiting) (drop, stop bool) {
		return w.Resumed != nil && s.placeResumed(now, svc, w), false
	})
}

// whyNotResumed returns why w, which goes on with a stream, has found no server of its version for too
// long; refused is false if that is not so.
func (s *Scheduler) whyNotResumed(now Time, svc *service, w *waiting) (why Reason, refused bool) {
	switch {
	case w.Resumed == nil || now-w.submittedAt <= resumedWait:
		return 0, false
	case !w.Resumed.Known:
		return VersionUnknown, true
	case len(s.serversOf(svc, w.Resumed.Version)) == 0:
		return VersionGone, true
	}
	return 0, false
}

// versionHistory tells which versions of a service were listed, and since when that is known.
type versionHistory struct {
	since     Time            // from when on it is known, at first when servers were first listed here
	complete  bool            // it is known from the begin of the service on
	listed    map[string]bool // versions that are listed now, nil before the first list
	goneAt    map[string]Time // when a version was last listed that is not now
	changed   bool            // the listed versions have changed, at changedAt
	changedAt Time
}

// update applies a list of servers.
func (h *versionHistory) update(now Time, all []*server) {
	listed := map[string]bool{}
	for _, srv := range all {
		listed[srv.Version] = true
	}
	if h.listed == nil {
		if len(listed) > 0 {
			h.since, h.listed, h.goneAt = now, listed, map[string]Time{}
		}
		return
	}
	if !maps.Equal(h.listed, listed) {
		h.changed, h.changedAt = true, now
	}
	for version := range h.listed {
		if !listed[version] {
			h.goneAt[version] = now
		}
	}
	h.listed = listed
}

// VersionHistory is what is known of the versions of a service that are listed, for other schedulers.
type VersionHistory struct {
	Service  string
	Versions []string // listed now
	Changed  bool     // they have changed since the service began to be served
	Age      time.Duration
}

// VersionHistories returns what is known of the versions of each service. Age is the time since the last change.
func (s *Scheduler) VersionHistories(now Time) (out []VersionHistory) {
	for _, service := range slices.Sorted(maps.Keys(s.versions)) {
		h := &s.versions[service].history
		if len(h.listed) > 0 {
			out = append(out, VersionHistory{Service: service, Versions: slices.Sorted(maps.Keys(h.listed)), Changed: h.changed, Age: now - h.changedAt})
		}
	}
	return out
}

// LearnVersionHistories applies what earlier schedulers have stored. A service without a history had no
// servers before.
func (s *Scheduler) LearnVersionHistories(now Time, stored []VersionHistory) {
	known := map[string]VersionHistory{}
	for _, h := range stored {
		known[h.Service] = h
	}
	for service, v := range s.versions {
		h := &v.history
		if h.listed == nil {
			continue
		}
		past := known[service]
		for _, version := range past.Versions {
			if !h.listed[version] {
				h.goneAt[version] = max(h.goneAt[version], now)
				h.changed, h.changedAt = true, now
			}
		}
		if past.Changed {
			h.since = min(h.since, now-past.Age)
			h.changed, h.changedAt = true, max(h.changedAt, now-past.Age)
			continue
		}
		h.complete = true
	}
}

// onlyVersion returns the version of a service if no stream that may still be taken up can have begun at
// another one.
func (s *Scheduler) onlyVersion(now Time, service string) (version string, ok bool) {
	h := &s.versionsOf(service).history
	if len(h.listed) != 1 || !h.complete && now-h.since < s.takeUpTime() || s.listAge() > maxListAge {
		return "", false
	}
	for only := range h.listed {
		version = only
	}
	for other, at := range h.goneAt {
		if other != version && now-at < s.takeUpTime() {
			return "", false
		}
	}
	return version, true
}
