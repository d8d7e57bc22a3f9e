package node

import (
	"maps"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
)

const (
	// storeGap is the silence of the store after which entries may have lapsed
	// although their servers live; a call that waits for changes and one that
	// is tried again stay below it.
	storeGap = 2500 * time.Millisecond
	// lapseGrace is how long after the store's return a missing entry may
	// still come back: servers write about every 1.2 s.
	lapseGrace = 2200 * time.Millisecond
	// sweepPeriod is how often missing servers are looked at.
	sweepPeriod = 500 * time.Millisecond
	// goneMemory is how long an incarnation that left is remembered: longer than a
	// home can go on without the store.
	goneMemory = 5 * time.Minute
)

// servers is the list of backend servers as the store tells it. Rows are kept by
// their key, the name of a server; what left is kept by incarnation, since a server
// may start again under its name.
// mu guards all fields.
type servers struct {
	decode func(name string, value []byte) (sched.Server, error)
	events *event.Recorder
	apply  func([]sched.Server)

	mu       sync.Mutex
	known    map[string]sched.Server // by name
	missing  map[string]time.Time    // by name, since when; lapsed during an outage
	unusable map[string]string       // by name, why its entry names no server
	gone     map[string]time.Time    // by incarnation, since when
	returned time.Time               // when the store came back last
	heard    time.Time               // when the store or a reader of it told of servers last
}

func newServers(decode func(string, []byte) (sched.Server, error), events *event.Recorder, apply func([]sched.Server)) *servers {
	return &servers{
		decode: decode, events: events, apply: apply,
		known: map[string]sched.Server{}, missing: map[string]time.Time{},
		unusable: map[string]string{}, gone: map[string]time.Time{},
	}
}

// take applies rows of the server table: all of them, or what has changed.
func (s *servers) take(u store.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.heard = now
	if u.Gap > storeGap {
		s.returned = now
	}
	if len(u.Rows) == 0 && !u.Whole {
		return
	}
	before := maps.Clone(s.known)
	listed := s.read(u.Rows)
	for name, row := range listed {
		if row.deleted {
			s.remove(name, now, u)
			continue
		}
		s.add(name, row)
	}
	if u.Whole {
		s.removeUnlisted(listed, now, u)
	}
	s.sweep(now)
	if !maps.Equal(before, s.known) {
		s.publish()
	}
}

// serverRow is a row as it was read.
type serverRow struct {
	server  sched.Server
	err     error // it names no server to use
	deleted bool
}

// read decodes rows; of several for one name the last counts.
//
// Guard: an entry that does not tell its server's start, among others that do, was
// written by somebody else: callers would be sent wherever it points to.
func (s *servers) read(rows []store.Row) map[string]serverRow {
	entries := make(map[string]serverRow, len(rows))
	dated := false
	for _, row := range rows {
		e := serverRow{deleted: row.Deleted}
		if !row.Deleted {
			e.server, e.err = s.decode(row.Key, row.Value)
		}
		dated = dated || e.server.Born != 0
		entries[row.Key] = e
	}
	for _, srv := range s.known {
		dated = dated || srv.Born != 0
	}
	for name, e := range entries {
		if dated && !e.deleted && e.err == nil && e.server.Born == 0 {
			e.err = failure.New(failure.BadConfig, "the entry of server %s does not tell its start, as others do", name)
			entries[name] = e
		}
	}
	return entries
}

func (s *servers) add(name string, e serverRow) {
	if e.err != nil {
		s.refuse(name, e.err)
		return
	}
	delete(s.unusable, name)
	delete(s.missing, name)
	srv := e.server
	have, ok := s.known[name]
	if ok && have.ID != srv.ID {
		s.drop(name)
		ok = false
	}
	delete(s.gone, srv.ID)
	if ok {
		srv.ColdFor = have.ColdFor // counted from when the server was first seen
	}
	if !ok || have.Draining != srv.Draining {
		s.events.Record(event.ServersChanged, event.Fields{Server: srv.ID, Service: srv.Service, Detail: state(srv)})
	}
	s.known[name] = srv
}

// refuse takes an entry that names no server to use out of the list. It is logged
// once, not each time that the table is read anew.
func (s *servers) refuse(name string, err error) {
	if _, ok := s.known[name]; ok {
		s.drop(name)
	}
	why := failure.From(err).Message
	if s.unusable[name] == why {
		return
	}
	s.unusable[name] = why
	s.events.Record(event.ConfigRefused, event.Fields{Server: name, Detail: why})
}

func state(srv sched.Server) string {
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
	maps.DeleteFunc(s.unusable, func(name, _ string) bool {
		_, ok := listed[name]
		return !ok
	})
}

// remove drops a server, or marks it missing for a while.
//
// Guard: while the store was away, heartbeats could not renew the entries of
// servers that live. Dropping all of them at its return would stop all work;
// they come back within seconds, and one that does not is gone.
func (s *servers) remove(name string, now time.Time, u store.Update) {
	delete(s.unusable, name)
	srv, ok := s.known[name]
	if !ok {
		return
	}
	if since := now.Sub(s.returned); since < lapseGrace {
		if _, ok := s.missing[name]; !ok {
			s.missing[name] = now
			s.events.Record(event.ServerMissing, event.Fields{
				Server: srv.ID, Service: srv.Service, Peer: u.Reader,
				Detail: "used for " + (lapseGrace - since).Round(time.Millisecond).String() + " more; gap=" + u.Gap.Round(time.Millisecond).String(),
			})
		}
		return
	}
	s.drop(name)
}

func (s *servers) drop(name string) {
	srv := s.known[name]
	s.events.Record(event.ServersChanged, event.Fields{Server: srv.ID, Service: srv.Service, Detail: "gone"})
	delete(s.known, name)
	delete(s.missing, name)
	s.gone[srv.ID] = time.Now()
}

// sweep drops the missing ones whose time is over.
func (s *servers) sweep(now time.Time) {
	if len(s.missing) == 0 || now.Sub(s.returned) < lapseGrace {
		return
	}
	for name := range s.missing {
		s.drop(name)
	}
}

// tick is called now and then, so that missing servers are dropped although
// the store tells nothing new.
func (s *servers) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, now := len(s.known), time.Now()
	s.sweep(now)
	maps.DeleteFunc(s.gone, func(_ string, since time.Time) bool { return now.Sub(since) > goneMemory })
	if len(s.known) != n {
		s.publish()
	}
}

// publish hands the list on. The caller holds mu.
func (s *servers) publish() {
	list := make([]sched.Server, 0, len(s.known))
	for _, srv := range s.known {
		list = append(list, srv)
	}
	s.apply(list)
}

// count returns how many servers are ready, how many drain, and how many of them have no
// entry any more.
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
	return ready, draining, len(s.missing)
}

// Age implements dispatch.ServerList.
func (s *servers) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.heard)
}

// incarnation finds a listed server. The caller holds mu.
func (s *servers) incarnation(id string) (sched.Server, bool) {
	for _, srv := range s.known {
		if srv.ID == id {
			return srv, true
		}
	}
	return sched.Server{}, false
}

// has reports whether an incarnation is listed, at this address.
func (s *servers) has(id, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	srv, ok := s.incarnation(id)
	return ok && srv.Address == address
}

// lists reports whether an incarnation is listed.
func (s *servers) lists(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.incarnation(id)
	return ok
}

// Leaving implements dispatch.ServerList: an incarnation is known to leave or to be gone.
// One that is not known here may be new.
func (s *servers) Leaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, gone := s.gone[id]; gone {
		return true
	}
	srv, _ := s.incarnation(id)
	return srv.Draining
}
