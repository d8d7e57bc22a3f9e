package node

import (
	"bytes"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

const (
	// minStoreOutage is the shortest time without an answer of the store after which entries of
	// live servers may have expired. A call that waits for changes, or one that is retried, takes
	// less.
	minStoreOutage = 2500 * time.Millisecond
	// expiredEntryGrace is how long after the end of an outage of the store a server without an
	// entry stays in use. Live servers write their entries about every 1.2 s.
	expiredEntryGrace = 2200 * time.Millisecond
	// sweepPeriod is how often servers without an entry are checked.
	sweepPeriod = 500 * time.Millisecond
	// goneRetention is how long an incarnation that left the list is remembered. It exceeds the
	// time that a home can go on without the store.
	goneRetention = 5 * time.Minute
)

// servers is the list of backend servers according to the store. Entries are keyed by the
// server's name; servers that left are keyed by incarnation (sched.Server.ID), since a server may
// start again under its name. mu guards the fields below it.
type servers struct {
	decode func(name string, value []byte) (sched.Server, error)
	events *event.Recorder
	apply  func(serverChanges)

	mu         sync.Mutex
	known      map[string]sched.Server  // by name
	names      map[string]string        // of the known servers, by incarnation
	versions   map[string]store.Version // by name, of the row from which the known entry was decoded
	changes    serverChanges            // since the last publish
	unrecorded []event.Fields           // of the events of these changes
	missing    map[string]time.Time     // by name, since when; the entry expired during an outage of the store
	invalid    map[string]string        // by name, why its entry was rejected
	gone       map[string]time.Time     // by incarnation, since when
	lost       map[string]time.Time     // by name, since when; the entry is missing since a restore of the store
	outdated   map[string][]byte        // by name, entries of incarnations that had left, as restored from a copy
	unlisted   int                      // number of servers that get no requests since their entries were lost
	outageEnd  time.Time                // end of the store's last outage
	lastUpdate time.Time                // when the store or one of its readers last reported on servers
}

// serverChanges are the changes of the list of servers. An incarnation may be in both lists; it is
// then listed again.
type serverChanges struct {
	changed []sched.Server // new, or with a changed entry
	removed []string       // incarnations
}

func newServers(decode func(string, []byte) (sched.Server, error), events *event.Recorder, apply func(serverChanges)) *servers {
	return &servers{
		decode: decode, events: events, apply: apply,
		known: map[string]sched.Server{}, names: map[string]string{}, versions: map[string]store.Version{}, missing: map[string]time.Time{},
		invalid: map[string]string{}, gone: map[string]time.Time{}, lost: map[string]time.Time{}, outdated: map[string][]byte{},
	}
}

// update applies rows of the server table: the whole table or its changes.
func (s *servers) update(u store.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.lastUpdate = now
	if u.Gap > minStoreOutage {
		s.outageEnd = now
	}
	if len(u.Rows) == 0 && !u.Whole {
		return
	}
	listed := s.decodeRows(u.Rows)
	for name, row := range listed {
		switch {
		case row.deleted:
			s.remove(name, now, u)
		case row.unchanged:
			delete(s.missing, name)
			delete(s.lost, name)
		case s.isOutdated(name, row, u):
		default:
			s.add(name, row)
		}
	}
	if u.Whole {
		s.removeUnlisted(listed, now, u)
	}
	s.sweep(now)
	s.markLost()
	s.publish()
}

// serverRow is a decoded row.
type serverRow struct {
	server    sched.Server
	value     []byte
	version   store.Version
	err       error // the entry is invalid
	deleted   bool
	unchanged bool // the known entry was decoded from this row
}

// decodeRows decodes rows; the last row for a name counts.
//
// When other servers' entries have a start time, an entry without one is rejected: a program
// other than a server wrote it, and requests would be sent to whatever address it gives.
func (s *servers) decodeRows(rows []store.Row) map[string]serverRow {
	entries := make(map[string]serverRow, len(rows))
	anyStartTime := false
	for _, row := range rows {
		e := serverRow{value: row.Value, version: row.Version, deleted: row.Deleted}
		if known, decoded := s.versions[row.Key]; decoded && !row.Deleted && row.Version != 0 && row.Version == known {
			e.unchanged = true
		} else if !row.Deleted {
			e.server, e.err = s.decode(row.Key, row.Value)
		}
		anyStartTime = anyStartTime || e.server.StartedMs != 0
		entries[row.Key] = e
	}
	for _, srv := range s.known {
		if anyStartTime = anyStartTime || srv.StartedMs != 0; anyStartTime {
			break
		}
	}
	for name, e := range entries {
		if anyStartTime && !e.deleted && !e.unchanged && e.err == nil && e.server.StartedMs == 0 {
			e.err = failure.New(failure.BadConfig, "entry of server %s has no start time, unlike other entries", name)
			entries[name] = e
		}
	}
	return entries
}

func (s *servers) add(name string, e serverRow) {
	if e.err != nil {
		s.reject(name, e.err)
		return
	}
	delete(s.invalid, name)
	delete(s.missing, name)
	delete(s.lost, name)
	srv := e.server
	current, ok := s.known[name]
	if ok && current.ID != srv.ID {
		s.drop(name)
		ok = false
	}
	delete(s.gone, srv.ID)
	if ok {
		srv.WarmUp = current.WarmUp // the warm-up counts from when the server was first seen
		srv.Draining = srv.Draining || current.Draining
	}
	if !ok || current.Draining != srv.Draining {
		s.unrecorded = append(s.unrecorded, event.Fields{Server: srv.ID, Service: srv.Service, Detail: describeState(srv)})
	}
	s.names[srv.ID], s.versions[name] = name, e.version
	if srv != current {
		s.known[name] = srv
		s.changes.changed = append(s.changes.changed, srv)
	}
}

// reject removes a server whose entry is invalid. The event is recorded once for each error,
// not each time the table is read.
func (s *servers) reject(name string, err error) {
	if _, ok := s.known[name]; ok {
		s.drop(name)
	}
	why := failure.From(err).Message
	if s.invalid[name] == why {
		return
	}
	s.invalid[name] = why
	s.events.Record(event.ConfigRefused, event.Fields{Server: name, Detail: why})
}

func describeState(srv sched.Server) string {
	if srv.Draining {
		return "draining at " + srv.Address + " version " + srv.Version
	}
	return "ready at " + srv.Address + " version " + srv.Version
}

func (s *servers) removeUnlisted(listed map[string]serverRow, now time.Time, u store.Update) {
	for name := range s.known {
		if _, ok := listed[name]; !ok {
			s.remove(name, now, u)
		}
	}
	maps.DeleteFunc(s.outdated, func(name string, _ []byte) bool {
		_, ok := listed[name]
		return !ok
	})
	maps.DeleteFunc(s.invalid, func(name, _ string) bool {
		_, ok := listed[name]
		return !ok
	})
}

// remove drops a server, or marks it missing if the store was down until recently.
//
// During an outage of the store, heartbeats cannot renew the entries of live servers. Dropping
// all servers when the store returns would stop all work. Live servers write their entries
// again within seconds; the others are dropped after expiredEntryGrace.
//
// An entry that a restore of the store has taken away may be written again within seconds as well. The
// server gets no requests until then, since the entry may have been removed instead.
func (s *servers) remove(name string, now time.Time, u store.Update) {
	delete(s.invalid, name)
	delete(s.outdated, name)
	srv, ok := s.known[name]
	if !ok {
		return
	}
	if u.Restored && !srv.Draining {
		s.lost[name] = now
		s.events.Record(event.ServerMissing, event.Fields{
			Server: srv.ID, Service: srv.Service, Peer: u.Reader, Detail: "since a restore of the store",
		})
		return
	}
	if _, waits := s.lost[name]; waits && u.Whole {
		return
	}
	if since := now.Sub(s.outageEnd); since < expiredEntryGrace {
		if _, ok := s.missing[name]; !ok {
			s.missing[name] = now
			s.events.Record(event.ServerMissing, event.Fields{
				Server: srv.ID, Service: srv.Service, Peer: u.Reader,
				Detail: "still used for " + (expiredEntryGrace - since).Round(time.Millisecond).String() + "; gap=" + u.Gap.Round(time.Millisecond).String(),
			})
		}
		return
	}
	s.drop(name)
}

func (s *servers) drop(name string) {
	srv := s.known[name]
	s.unrecorded = append(s.unrecorded, event.Fields{Server: srv.ID, Service: srv.Service, Detail: "gone"})
	s.changes.removed = append(s.changes.removed, srv.ID)
	delete(s.known, name)
	delete(s.names, srv.ID)
	delete(s.versions, name)
	delete(s.missing, name)
	delete(s.lost, name)
	s.gone[srv.ID] = time.Now()
}

// isOutdated reports whether an entry is of an incarnation that had left, from the copy from which the store
// was restored. Such an incarnation is used again once its entry changes: then it writes it.
func (s *servers) isOutdated(name string, row serverRow, u store.Update) bool {
	value, outdated := s.outdated[name]
	_, gone := s.gone[row.server.ID]
	if row.err == nil && gone && (u.Restored || outdated && bytes.Equal(value, row.value)) {
		s.outdated[name] = row.value
		return true
	}
	delete(s.outdated, name)
	return false
}

// markLost keeps requests from servers whose entries a restore of the store has taken away, as long as
// at least half of the slots of their service are at servers with an entry. Otherwise requests would be
// refused that these servers can run.
func (s *servers) markLost() {
	if len(s.lost) == 0 && s.unlisted == 0 {
		return
	}
	all, lost := map[string]int{}, map[string]int{}
	for name, srv := range s.known {
		if srv.Draining {
			continue
		}
		all[srv.Service] += srv.Slots
		if _, ok := s.lost[name]; ok {
			lost[srv.Service] += srv.Slots
		}
	}
	s.unlisted = 0
	for name, srv := range s.known {
		_, isLost := s.lost[name]
		unlisted := isLost && 2*lost[srv.Service] <= all[srv.Service]
		if unlisted {
			s.unlisted++
		}
		if srv.Unlisted != unlisted {
			srv.Unlisted = unlisted
			s.known[name] = srv
			s.changes.changed = append(s.changes.changed, srv)
		}
	}
}

// sweep drops the missing servers, and those whose entries were lost, once expiredEntryGrace is over.
func (s *servers) sweep(now time.Time) {
	for name, since := range s.lost {
		if now.Sub(since) >= expiredEntryGrace {
			s.drop(name)
		}
	}
	if len(s.missing) == 0 || now.Sub(s.outageEnd) < expiredEntryGrace {
		return
	}
	for name := range s.missing {
		s.drop(name)
	}
}

// tick is called every sweepPeriod, so that missing servers are dropped even if the store reports
// no change. It also forgets incarnations after goneRetention.
func (s *servers) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sweep(now)
	s.markLost()
	maps.DeleteFunc(s.gone, func(_ string, since time.Time) bool { return now.Sub(since) > goneRetention })
	s.publish()
}

// publish passes the changes since the last call to apply. The caller holds mu.
func (s *servers) publish() {
	s.recordChanges()
	if len(s.changes.changed) == 0 && len(s.changes.removed) == 0 {
		return
	}
	changes := s.changes
	s.changes = serverChanges{}
	s.apply(changes)
}

// maxChangeEvents is the number of changes from which one event stands for all of an update. Every
// host of a fleet that starts reads thousands of servers at once.
const maxChangeEvents = 64

// recordChanges records the changes since the last call. The caller holds mu.
func (s *servers) recordChanges() {
	if len(s.unrecorded) > maxChangeEvents {
		s.events.Record(event.ServersChanged, event.Fields{Detail: fmt.Sprintf("%d changed or new, %d gone, %d listed",
			len(s.changes.changed), len(s.changes.removed), len(s.known))})
	} else {
		for _, fields := range s.unrecorded {
			s.events.Record(event.ServersChanged, fields)
		}
	}
	s.unrecorded = nil
}

// count returns the number of ready servers, of draining servers, and of those among them that
// have no entry any more.
func (s *servers) count() (ready, draining, missing int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.known {
		if srv.Draining {
			draining++
		} else {
			ready++
		}
	}
	return ready, draining, len(s.missing) + len(s.lost)
}

// Age implements dispatch.ServerList.
func (s *servers) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastUpdate)
}

// loaded reports whether the table has been read since the start.
func (s *servers) loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastUpdate.IsZero()
}

// byID finds a listed server by its incarnation. The caller holds mu.
func (s *servers) byID(id string) (sched.Server, bool) {
	name, ok := s.names[id]
	return s.known[name], ok
}

// hasAddress reports whether an incarnation is listed at this address.
func (s *servers) hasAddress(id, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	srv, ok := s.byID(id)
	return ok && srv.Address == address
}

// contains reports whether an incarnation is listed.
func (s *servers) contains(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.byID(id)
	return ok
}

// zoneOf returns the availability zone of a server, empty if it is not listed.
func (s *servers) zoneOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	srv, _ := s.byID(id)
	return srv.Zone
}

// Service implements reach.Servers.
func (s *servers) Service(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	srv, _ := s.byID(id)
	return srv.Service
}

// Others implements reach.Servers.
func (s *servers) Others(id string, n int) (out []upstream.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	srv, _ := s.byID(id)
	var ofOthers []upstream.Server
	for _, other := range s.known { // in random order
		switch {
		case other.ID == id || other.Draining:
		case other.Service == srv.Service:
			out = append(out, upstream.Server{ID: other.ID, Address: other.Address})
		case len(ofOthers) < n:
			ofOthers = append(ofOthers, upstream.Server{ID: other.ID, Address: other.Address})
		}
		if len(out) == n {
			return out
		}
	}
	if len(out) > 0 {
		return out
	}
	return ofOthers
}

// Leaving implements dispatch.ServerList. It reports whether an incarnation is draining or
// gone. An unknown one may be new, so it does not count as leaving.
func (s *servers) Leaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, gone := s.gone[id]; gone {
		return true
	}
	srv, _ := s.byID(id)
	return srv.Draining
}
