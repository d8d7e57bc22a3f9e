package core

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
)

// entry is the ledger's entry for one id: its holder and its progress. An id
// that was granted stays for the horizon, so that it is never granted to another
// holder. A waiting id is removed when it is shed or withdrawn.
type entry struct {
	id     ident.RequestID
	holder ident.Incarnation
	server ident.ServerID
	state  LedgerState
	// attempt is the holder's attempt that was granted; 0 when the entry is known
	// from a report only.
	attempt uint32
	since   Time
	item    *item // while waiting
	run     *run  // while granted
}

type transition struct {
	id ident.RequestID
	at Time
}

// ledger maps ids to entries and deletes them after the horizon.
type ledger struct {
	entries     map[ident.RequestID]*entry
	transitions []transition // in order of time: entries that became granted or done
}

func newLedger() ledger { return ledger{entries: map[ident.RequestID]*entry{}} }

func (l *ledger) get(id ident.RequestID) *entry { return l.entries[id] }

func (l *ledger) waiting(now Time, it *item) {
	l.entries[it.req.ID] = &entry{id: it.req.ID, holder: it.req.Holder, state: LedgerWaiting, since: now, item: it}
}

func (l *ledger) granted(now Time, r *Request, run *run) {
	e := l.entries[r.ID]
	if e == nil {
		e = &entry{id: r.ID, holder: r.Holder}
		l.entries[r.ID] = e
	}
	e.item, e.run, e.server, e.attempt = nil, run, run.server.id(), r.Attempt
	l.setState(now, e, LedgerGranted)
}

func (l *ledger) done(now Time, e *entry) {
	e.run = nil
	l.setState(now, e, LedgerDone)
}

func (l *ledger) setState(now Time, e *entry, s LedgerState) {
	e.state, e.since = s, now
	l.transitions = append(l.transitions, transition{id: e.id, at: now})
}

// adopt merges an entry from a report or an inherited ledger. The state of a
// known entry never goes back.
func (l *ledger) adopt(now Time, in LedgerEntry) *entry {
	e := l.entries[in.ID]
	if e == nil {
		e = &entry{id: in.ID, holder: in.Holder, server: in.Server}
		l.entries[in.ID] = e
		l.setState(now, e, in.State)
		return e
	}
	if in.State > e.state && e.holder == in.Holder {
		e.server = in.Server
		l.setState(now, e, in.State)
	}
	return e
}

func (l *ledger) forget(id ident.RequestID) { delete(l.entries, id) }

// expire deletes entries whose last change is older than the horizon. Entries
// of runs in progress stay.
func (l *ledger) expire(now Time, horizon time.Duration) {
	n := 0
	for ; n < len(l.transitions) && now.Sub(l.transitions[n].at) > horizon; n++ {
		m := l.transitions[n]
		e := l.entries[m.id]
		if e != nil && e.since == m.at && e.state != LedgerWaiting && e.run == nil {
			delete(l.entries, m.id)
		}
	}
	if n > 0 {
		l.transitions = append(l.transitions[:0], l.transitions[n:]...)
	}
}

// export returns the entries for the next home: everything granted or done.
func (l *ledger) export() []LedgerEntry {
	var out []LedgerEntry
	for _, m := range l.transitions {
		e := l.entries[m.id]
		if e == nil || e.since != m.at || e.state == LedgerWaiting {
			continue
		}
		out = append(out, LedgerEntry{ID: e.id, Holder: e.holder, Server: e.server, State: e.state})
	}
	return out
}
