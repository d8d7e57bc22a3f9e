package quarantine

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// TraitRecord holds the facts about one trait, as hosts exchange them and write them to the store.
// Times are given as ages, since the clocks of hosts differ.
type TraitRecord struct {
	Trait       Trait
	Ends        []TraitEnd
	Begun       int // answers that began since the ends
	Whole       int // answers that were complete since the ends
	Quarantined bool
	Age         Time   // time since it was put in quarantine
	RetryIn     Time   // time until a trial run is allowed
	By          string // host that put it in quarantine
	Accounts    []string
	With        []Trait
	Cleared     bool // facts older than ClearedAge are ignored
	ClearedAge  Time
}

// TraitEnd is the end of a server in a TraitRecord.
type TraitEnd struct {
	Server   string
	Age      Time
	Begun    bool
	Requests []Fingerprint
	Accounts []string
	Spread   float64
}

// Urgent reports whether every host needs the record at once: several servers have ended under the
// trait. What one end says about the traits that were there, the hosts that lost the runs report to the
// next home.
func (r *TraitRecord) Urgent() bool { return r.Quarantined || len(r.Ends) > 1 }

// Merge adds the facts of a record from another host or the store. It is idempotent.
func (t *TraitTable) Merge(now Time, r TraitRecord) {
	if r.Trait.Kind < PromptPart || r.Trait.Kind > AccountRoute {
		return // from a host of another version
	}
	if r.Cleared {
		t.mergeCleared(now-r.ClearedAge, r.Trait)
	}
	for _, end := range r.Ends {
		t.addEnd(now, r.Trait, traitEnd{
			server: end.Server, at: now - end.Age, begun: end.Begun, spread: end.Spread,
			requests: end.Requests[:min(len(end.Requests), maxRequestsPerEnd)], accounts: end.Accounts[:min(len(end.Accounts), maxRequestsPerEnd)],
		}, false, nil)
	}
	if e := t.entries[r.Trait]; e != nil && (r.Begun > e.begun || r.Whole > e.whole) {
		e.begun, e.whole = max(e.begun, r.Begun), max(e.whole, r.Whole)
		t.markChanged(r.Trait)
	}
	if r.Quarantined {
		t.mergeQuarantined(now, r)
	}
}

// mergeCleared drops facts older than a release, or a proof of innocence, on another host.
func (t *TraitTable) mergeCleared(at Time, p Trait) {
	if have, ok := t.cleared[p]; ok && have >= at {
		return
	}
	e := t.entries[p]
	if e != nil && e.last() > at && !(e.quarantined && e.quarantinedAt <= at) {
		return // a server has ended under the trait since
	}
	if !t.Clear(at, p) && len(t.cleared) < maxTraits {
		t.cleared[p] = at
	}
}

func (t *TraitTable) mergeQuarantined(now Time, r TraitRecord) {
	quarantinedAt := now - r.Age
	if at, ok := t.cleared[r.Trait]; ok && quarantinedAt <= at {
		return
	}
	e := t.entries[r.Trait]
	if e == nil {
		t.evictIfFull(now)
		e = &traitEntry{}
		t.entries[r.Trait] = e
	}
	if !e.quarantined {
		e.quarantined, e.quarantinedAt, e.quarantinedBy = true, quarantinedAt, r.By
		e.accounts, e.with = r.Accounts, r.With
		t.quarantined = append(t.quarantined, r.Trait)
		t.markChanged(r.Trait)
	} else if len(e.accounts) > 0 && len(r.Accounts) == 0 || len(r.With) < len(e.with) {
		e.accounts, e.with = r.Accounts, r.With // more servers have ended since
		t.markChanged(r.Trait)
	}
	e.retryAt = max(e.retryAt, now+r.RetryIn)
}

// Record returns the facts about a trait.
func (t *TraitTable) Record(now Time, p Trait) TraitRecord {
	r := TraitRecord{Trait: p}
	if at, ok := t.cleared[p]; ok {
		r.Cleared, r.ClearedAge = true, now-at
	}
	e := t.entries[p]
	if e == nil {
		return r
	}
	r.Begun, r.Whole = e.begun, e.whole
	for _, end := range e.ends {
		r.Ends = append(r.Ends, TraitEnd{Server: end.server, Age: now - end.at, Begun: end.begun, Requests: end.requests, Accounts: end.accounts, Spread: end.spread})
	}
	if e.quarantined {
		r.Quarantined, r.Age, r.RetryIn, r.By = true, now-e.quarantinedAt, max(0, e.retryAt-now), e.quarantinedBy
		r.Accounts, r.With = e.accounts, e.with
	}
	return r
}

// All returns the records of all traits under which servers ended, for a host that has none yet.
func (t *TraitTable) All(now Time) []TraitRecord {
	out := make([]TraitRecord, 0, len(t.entries))
	for p := range t.entries {
		out = append(out, t.Record(now, p))
	}
	return out
}

// TakeChanges returns the records that have changed since the last call.
func (t *TraitTable) TakeChanges(now Time) []TraitRecord {
	if len(t.unreported) == 0 {
		return nil
	}
	out := make([]TraitRecord, 0, len(t.unreported))
	for p := range t.unreported {
		out = append(out, t.Record(now, p))
	}
	clear(t.unreported)
	return out
}

// TakeQuarantined returns the traits that were put in quarantine since the last call.
func (t *TraitTable) TakeQuarantined() []Trait {
	out := t.quarantined
	t.quarantined = nil
	return out
}

// Quarantined counts the traits in quarantine.
func (t *TraitTable) Quarantined() (n int) {
	for _, e := range t.entries {
		if e.quarantined {
			n++
		}
	}
	return n
}

// RetryIn returns how long a trait remains in quarantine.
func (t *TraitTable) RetryIn(now Time, p Trait) Time {
	if e := t.entries[p]; e != nil && e.quarantined {
		return max(0, e.retryAt-now)
	}
	return 0
}

// AppliesTo reports whether p is in quarantine for requests of an account with these traits.
func (t *TraitTable) AppliesTo(p Trait, account string, traits []Trait) bool {
	e := t.entries[p]
	return e != nil && e.quarantined && e.appliesTo(account, traits)
}

// Explain describes the facts about a trait; empty if there are none.
func (t *TraitTable) Explain(now Time, p Trait) string {
	if t.entries[p] == nil {
		return ""
	}
	r := t.Record(now, p)
	return r.Explain()
}

// Explain describes the trait, which servers ended under it, how long ago, what speaks for it, and which
// host put it in quarantine.
func (r *TraitRecord) Explain() string {
	var text strings.Builder
	text.WriteString(r.Trait.String() + " ended:")
	for _, end := range r.Ends {
		fmt.Fprintf(&text, " %s %.1fs ago", end.Server, end.Age.Seconds())
	}
	fmt.Fprintf(&text, " answers_begun=%d answers_whole=%d", r.Begun, r.Whole)
	if len(r.Accounts) > 0 {
		text.WriteString(" accounts=" + strings.Join(r.Accounts, ","))
	}
	for _, w := range r.With {
		text.WriteString(" with " + w.String())
	}
	if r.Quarantined {
		fmt.Fprintf(&text, "; in quarantine by %s for %.1fs", r.By, r.Age.Seconds())
	}
	return text.String()
}

// TraitRow is the row of a trait in quarantine in the platform's store, keyed by Trait.Key. An operator
// releases a trait by writing its row with Released.
type TraitRow struct {
	Kind     TraitKind  `json:"kind"`
	Service  string     `json:"service"`
	Account  string     `json:"account,omitempty"`
	Route    string     `json:"route,omitempty"`
	Part     string     `json:"part,omitempty"` // hexadecimal
	Accounts []string   `json:"accounts,omitempty"`
	With     []TraitRow `json:"with,omitempty"` // traits without which it is not in quarantine
	Servers  []string   `json:"servers,omitempty"`
	By       string     `json:"by,omitempty"`
	SinceMs  int64      `json:"sinceMs,omitempty"` // Unix time, by the clock of the host that wrote it
	RetryMs  int64      `json:"retryMs,omitempty"` // Unix time of the next trial run
	Released bool       `json:"released,omitempty"`
}

// TraitRowOf converts a record to a row.
func TraitRowOf(now time.Time, r TraitRecord) TraitRow {
	row := traitRow(r.Trait)
	row.Accounts, row.By = r.Accounts, r.By
	row.SinceMs, row.RetryMs = now.Add(-r.Age).UnixMilli(), now.Add(r.RetryIn).UnixMilli()
	for _, w := range r.With {
		row.With = append(row.With, traitRow(w))
	}
	for _, end := range r.Ends {
		row.Servers = append(row.Servers, end.Server)
	}
	return row
}

func traitRow(t Trait) TraitRow {
	row := TraitRow{Kind: t.Kind, Service: t.Service, Account: t.Account, Route: t.Route}
	if t.Kind != AccountRoute {
		row.Part = t.PartName()
	}
	return row
}

// SameScope reports whether two rows concern the same requests.
func (row TraitRow) SameScope(other TraitRow) bool {
	return slices.Equal(row.Accounts, other.Accounts) && slices.EqualFunc(row.With, other.With, func(a, b TraitRow) bool {
		return a.Kind == b.Kind && a.Service == b.Service && a.Account == b.Account && a.Route == b.Route && a.Part == b.Part
	})
}

// Encode returns the stored form of the row.
func (row TraitRow) Encode() ([]byte, error) {
	text, err := json.Marshal(row)
	return text, failure.Wrap(failure.Internal, err, "encode the row of a trait in quarantine")
}

// DecodeTraitRow decodes a row of the store. It fails with BadConfig if it is malformed or its key is
// another trait's.
func DecodeTraitRow(key string, value []byte) (t Trait, row TraitRow, err error) {
	if err := json.Unmarshal(value, &row); err != nil {
		return t, row, failure.Wrap(failure.BadConfig, err, "decode the row of %s", key)
	}
	t, err = row.trait()
	if err == nil && t.Key() != key {
		err = failure.New(failure.BadConfig, "the row of %s describes another trait", key)
	}
	for _, w := range row.With {
		if _, badWith := w.trait(); err == nil {
			err = badWith
		}
	}
	return t, row, err
}

// trait returns the trait that the row describes.
func (row TraitRow) trait() (Trait, error) {
	t := Trait{Kind: row.Kind, Service: row.Service, Account: row.Account, Route: row.Route}
	if t.Kind < PromptPart || t.Kind > AccountRoute {
		return t, failure.New(failure.BadConfig, "no trait is of kind %d", row.Kind)
	}
	if t.Kind != AccountRoute {
		if _, err := fmt.Sscanf(row.Part, "%x", &t.Part); err != nil {
			return t, failure.Wrap(failure.BadConfig, err, "decode the part %q of a trait", row.Part)
		}
	}
	return t, nil
}

// Age returns the time since the trait was put in quarantine. The clock of the host that did so may be
// ahead: a negative age counts as 0.
func (row TraitRow) Age(now time.Time) time.Duration {
	return max(0, now.Sub(time.UnixMilli(row.SinceMs)))
}

// Record converts the row of a trait, which DecodeTraitRow has checked, to a record for Merge.
func (row TraitRow) Record(now time.Time, t Trait) TraitRecord {
	if row.Released {
		return TraitRecord{Trait: t, Cleared: true}
	}
	r := TraitRecord{
		Trait: t, Quarantined: true, By: row.By, Age: row.Age(now), Accounts: row.Accounts,
		RetryIn: max(0, time.UnixMilli(row.RetryMs).Sub(now)),
	}
	for _, w := range row.With {
		if with, err := w.trait(); err == nil {
			r.With = append(r.With, with)
		}
	}
	for _, server := range row.Servers {
		r.Ends = append(r.Ends, TraitEnd{Server: server, Age: r.Age})
	}
	return r
}
