package quarantine

import (
	"fmt"
	"strings"
)

// Record is what a table knows of one request, as hosts tell it to each other and to the
// store. Moments are told as ages, since clocks of hosts differ.
type Record struct {
	Fingerprint Fingerprint
	Account     string
	Service     string
	Ends        []End
	Quarantined bool
	Age         Time // since it was put there
	RetryIn     Time // until it may be tried
	By          string
	Cleared     bool // what is older than ClearedAge does not count
	// ClearedAge is how long ago it succeeded or was released.
	ClearedAge Time
}

// End is a server's end in a Record.
type End struct {
	Server string
	Age    Time
	Shown  bool // the request had shown an event there
	// Distinct is set when it is known to have another cause than the end before.
	Distinct bool
}

// Urgent reports whether every host needs to know at once, and not only those that may take
// over: what servers ended under twice. Of a rack that ends hundreds of requests are told;
// few of them come twice.
func (r *Record) Urgent() bool { return r.Quarantined || len(r.Ends) > 1 }

// Merge takes what another host or the store knows. Told twice, late or out of order it
// changes nothing.
func (t *Table) Merge(now Time, r Record) {
	if !r.Fingerprint.Known() {
		return
	}
	if r.Cleared {
		t.mergeCleared(now-r.ClearedAge, r.Fingerprint)
	}
	for _, lost := range r.Ends {
		t.Add(now, Loss{Fingerprint: r.Fingerprint, Account: r.Account, Service: r.Service, Server: lost.Server, At: now - lost.Age, Shown: lost.Shown, Distinct: lost.Distinct})
	}
	if r.Quarantined {
		t.mergeQuarantined(now, r)
	}
}

// mergeCleared drops what is older than a success or release elsewhere.
func (t *Table) mergeCleared(at Time, f Fingerprint) {
	if have, ok := t.cleared[f]; ok && have >= at {
		return
	}
	e := t.entries[f]
	if e != nil && e.last() > at {
		return // it has ended a server since
	}
	t.drop(f)
	t.setCleared(at, f)
}

func (t *Table) mergeQuarantined(now Time, r Record) {
	since := now - r.Age
	if at, ok := t.cleared[r.Fingerprint]; ok && since <= at {
		return
	}
	e := t.entries[r.Fingerprint]
	if e == nil {
		t.makeRoom(now)
		e = &entry{account: r.Account, service: r.Service}
		t.entries[r.Fingerprint] = e
	}
	if !e.quarantined {
		e.quarantined, e.since, e.by = true, since, r.By
		t.changed(r.Fingerprint)
	}
	e.retryAt = max(e.retryAt, now+r.RetryIn)
}

// Record tells what the table knows of a request.
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
		r.Ends = append(r.Ends, End{Server: lost.server, Age: now - lost.at, Shown: lost.shown, Distinct: lost.distinct})
	}
	if e.quarantined {
		r.Quarantined, r.Age, r.RetryIn, r.By = true, now-e.since, max(0, e.retryAt-now), e.by
	}
	return r
}

// All tells everything that the table knows, for a host that knows nothing yet.
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

// TakeNews tells what has changed since it was called last.
func (t *Table) TakeNews(now Time) []Record {
	if len(t.news) == 0 {
		return nil
	}
	out := make([]Record, 0, len(t.news))
	for f := range t.news {
		out = append(out, t.Record(now, f))
	}
	clear(t.news)
	return out
}

// Explain tells which servers ended under the request, how long ago, and on whose word it
// is in quarantine.
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
