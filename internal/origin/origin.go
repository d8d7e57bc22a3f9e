// Package origin remembers at which software version of their service streams began. What two versions
// write does not fit together, so a stream may go on only at the version that began it.
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies the attempt of a caller that began a stream. 0 is no attempt.
type Key uint64

// KeyOf returns the key of an attempt of a client account at a service, 0 without an attempt.
func KeyOf(account, service, attempt string) Key {
	if attempt == "" {
		return 0
	}
	d := xxhash.New()
	for _, text := range []string{account, service, attempt} {
		_, _ = d.WriteString(text) // never fails
		_, _ = d.Write([]byte{0})
	}
	return Key(max(1, d.Sum64()))
}

// Record is the version at which a stream began.
type Record struct {
	Key     Key
	Version string
	Until   time.Duration // when it can't be taken up any more, on the clock of the table
}

// maxRecords bounds a table: 10 s of 9,900 streams a second, in about 10 MB.
const maxRecords = 1 << 17

// Table holds the records of streams that may still be taken up. Times are on the clock of its user. It is
// not safe for concurrent use.
type Table struct {
	records map[Key]Record
	// expiring lists keys by the second in which their record ends. A key whose record was prolonged is in
	// several of them.
	expiring map[int64][]Key
	next     int64 // the first second that has not ended
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[Key]Record{}, expiring: map[int64][]Key{}}
}

// Put adds a record, or replaces the one of the same key.
func (t *Table) Put(now time.Duration, r Record) {
	if r.Key == 0 || r.Until <= now {
		return
	}
	t.Expire(now)
	old, known := t.records[r.Key]
	r.Until = max(r.Until, old.Until)
	t.records[r.Key] = r
	if second := max(t.next, secondOf(r.Until)); !known || second != max(t.next, secondOf(old.Until)) {
		t.expiring[second] = append(t.expiring[second], r.Key)
	}
	for len(t.records) > maxRecords {
		t.end(t.next)
	}
}

// Get returns the version at which a stream began; ok is false if it is not known.
func (t *Table) Get(now time.Duration, k Key) (version string, ok bool) {
	r, ok := t.records[k]
	if !ok || r.Until <= now {
		return "", false
	}
	return r.Version, true
}

// Forget removes a record if it names the version.
func (t *Table) Forget(k Key, version string) {
	if r, ok := t.records[k]; ok && r.Version == version {
		delete(t.records, k)
	}
}

// Expire removes the records that have ended.
func (t *Table) Expire(now time.Duration) {
	for t.next < secondOf(now) {
		t.end(t.next)
	}
}

// end removes the records that end in a second and the next one becomes the first.
func (t *Table) end(second int64) {
	for _, k := range t.expiring[second] {
		if r, ok := t.records[k]; ok && secondOf(r.Until) <= second {
			delete(t.records, k)
		}
	}
	delete(t.expiring, second)
	t.next = second + 1
}

// All returns all records that have not ended.
func (t *Table) All(now time.Duration) []Record {
	out := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		if r.Until > now {
			out = append(out, r)
		}
	}
	return out
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

func secondOf(d time.Duration) int64 { return int64(d / time.Second) }
