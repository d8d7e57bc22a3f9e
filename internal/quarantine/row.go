package quarantine

import (
	"encoding/json"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Row is the row of a quarantined request in the platform's store, keyed by its fingerprint.
// An operator releases a request by writing its row with Released.
type Row struct {
	Account  string   `json:"account,omitempty"`
	Service  string   `json:"service,omitempty"`
	Servers  []string `json:"servers,omitempty"` // servers that ended under the request
	By       string   `json:"by,omitempty"`      // host that put it in quarantine
	SinceMs  int64    `json:"sinceMs,omitempty"` // Unix time, by the clock of that host
	RetryMs  int64    `json:"retryMs,omitempty"` // Unix time of the next trial run
	Released bool     `json:"released,omitempty"`
}

// RowOf converts a record to a row.
func RowOf(now time.Time, r Record) Row {
	row := Row{
		Account: r.Account, Service: r.Service, By: r.By,
		SinceMs: now.Add(-r.Age).UnixMilli(), RetryMs: now.Add(r.RetryIn).UnixMilli(),
	}
	for _, e := range r.Ends {
		row.Servers = append(row.Servers, e.Server)
	}
	return row
}

// Encode returns the stored form of the row.
func (row Row) Encode() ([]byte, error) {
	text, err := json.Marshal(row)
	return text, failure.Wrap(failure.Internal, err, "encode the row of a quarantined request")
}

// DecodeRow decodes a row of the store. It fails with BadConfig if key or value is malformed.
func DecodeRow(key string, value []byte) (Fingerprint, Row, error) {
	var row Row
	f, ok := ParseFingerprint(key)
	if !ok {
		return f, row, failure.New(failure.BadConfig, "%q is no fingerprint", key)
	}
	return f, row, failure.Wrap(failure.BadConfig, json.Unmarshal(value, &row), "decode the row of request %s", key)
}

// Age returns the time since the request was put in quarantine. The clock of the host that did
// so may be ahead: a negative age counts as 0.
func (row Row) Age(now time.Time) time.Duration {
	return max(0, now.Sub(time.UnixMilli(row.SinceMs)))
}

// Record converts the row to a record for Merge.
func (row Row) Record(now time.Time, f Fingerprint) Record {
	if row.Released {
		return Record{Fingerprint: f, Cleared: true}
	}
	r := Record{
		Fingerprint: f, Account: row.Account, Service: row.Service, Quarantined: true, By: row.By, Age: row.Age(now),
		RetryIn: max(0, time.UnixMilli(row.RetryMs).Sub(now)),
	}
	for _, server := range row.Servers {
		r.Ends = append(r.Ends, ServerEnd{Server: server, Age: r.Age})
	}
	return r
}
