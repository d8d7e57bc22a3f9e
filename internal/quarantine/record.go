package quarantine

import (
	"fmt"
	"strings"
)

// Record holds the facts about one request, as hosts exchange them and write them to the store.
// Times are given as ages, since the clocks of hosts differ.
type Record struct {
	Fingerprint Fingerprint
	Account     string
	Service     string
	Ends        []ServerEnd
	Quarantined bool
	Age         Time   // time since it was quarantined
	RetryIn     Time   // time until a trial run is allowed
	By          string // host that quarantined it
	Cleared     bool   // facts older than ClearedAge are ignored
	// ClearedAge is the time since the request succeeded or was released.
	ClearedAge Time
}

// ServerEnd is a server's end in a Record.
type ServerEnd struct {
	Server    string
	Age       Time
	EventSeen bool // an event of the request's answer had arrived from the server
	// Distinct is set when the end is known to have another cause than the previous one.
	Distinct bool
}

// Urgent reports whether every host needs the record at once, and not only those that may take
// over as home: more than one server ended under the request. A rack that fails causes records
// of hundreds of requests, few of which are present at a second end.
func (r *Record) Urgent() bool { return r.Quarantined || len(r.Ends) > 1 }

// Merge adds the facts of a record from another host or the store. It is idempotent, and late
// or reordered records lead to the same result.
func (t *Table) Merge(now Time, r Record) {
	if !r.Fingerprint.Known() {
		return
	}
	if r.Cleared {
		t.mergeCleared(now-r.ClearedAge, r.Fingerprint)
	}
	for _, lost := range r.Ends {
		t.Add(now, Loss{Fingerprint: r.Fingerprint, Account: r.Account, Service: r.Service, Server: lost.Server, At: now - lost.Age, EventSeen: lost.EventSeen, Distinct: lost.Distinct})
	}
	if r.Quarantined {
		t.mergeQuarantined(now, r)
	}
}

// mergeCleared drops facts older than a success or release on another host.
func (t *Table) mergeCleared(at Time, f Fingerprint) {
	if have, ok := t.cleared[f]; ok && have >= at {
		return
	}
	e := t.entries[f]
	if e != nil && e.last() > at {
		return // a server has ended under the request since
	}
	t.drop(f)
	t.setCleared(at, f)
}

func (t *Table) mergeQuarantined(now Time, r Record) {
	quarantinedAt := now - r.Age
	if at, ok := t.cleared[r.Fingerprint]; ok && quarantinedAt <= at {
		return
	}
	e := t.entries[r.Fingerprint]
	if e == nil {
		t.evictIfFull(now)
		e = &entry{account: r.Account, service: r.Service}
		t.entries[r.Fingerprint] = e
	}
	if !e.quarantined {
		e.quarantined, e.quarantinedAt, e.quarantinedBy = true, quarantinedAt, r.By
		t.markChanged(r.Fingerprint)
	}
	e.retryAt = max(e.retryAt, now+r.RetryIn)
}

// Record returns the facts about a request.
func (t *Table) Record(now Time, f Fingerprint) Record {
	r := Record{Fingerprint: f}
	if at, ok := t.cleared[f]; ok {
		r.Cleared, r.ClearedAge = true, now-at
	}
	e := t.entries[f]
	if e == nil {
		return r
	}
	r.Account, r.Service = e.account, e.service
	for _, lost := range e.ends {
		r.Ends = append(r.Ends, ServerEnd{Server: lost.server, Age: now - lost.at, EventSeen: lost.eventSeen, Distinct: lost.distinct})
	}
	if e.quarantined {
		r.Quarantined, r.Age, r.RetryIn, r.By = true, now-e.quarantinedAt, max(0, e.retryAt-now), e.quarantinedBy
	}
	return r
}

// All returns the records of all requests, for a host that has none yet.
func (t *Table) All(now Time) []Record {
	var out []Record
	for f := range t.entries {
		out = append(out, t.Record(now, f))
	}
	for f := range t.cleared {
		if !t.Has(f) {
			out = append(out, t.Record(now, f))
		}
	}
	return out
}

// TakeChanges returns the records that have changed since the last call.
func (t *Table) TakeChanges(now Time) []Record {
	if len(t.unreported) == 0 {
		return nil
	}
	out := make([]Record, 0, len(t.unreported))
	for f := range t.unreported {
		out = append(out, t.Record(now, f))
	}
	clear(t.unreported)
	return out
}

// Explain describes which servers ended under the request, how long ago, and which host put it
// in quarantine.
func (r *Record) Explain() string {
	var text strings.Builder
	text.WriteString("ended:")
	for _, e := range r.Ends {
		fmt.Fprintf(&text, " %s %.1fs ago", e.Server, e.Age.Seconds())
	}
	if r.Quarantined {
		fmt.Fprintf(&text, "; in quarantine by %s for %.1fs", r.By, r.Age.Seconds())
	}
	return text.String()
}
