package quarantine

import (
	"encoding/json"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Row is what the platform's store keeps of a request in quarantine, under its fingerprint.
// An operator releases a request by writing its row with Released.
type Row struct {
	Account  string   `json:"account,omitempty"`
	Service  string   `json:"service,omitempty"`
	Servers  []string `json:"servers,omitempty"` // that ended under it
	By       string   `json:"by,omitempty"`      // the host that put it there
	SinceMs  int64    `json:"sinceMs,omitempty"` // Unix, by the clock of that host
	RetryMs  int64    `json:"retryMs,omitempty"` // Unix, when it may be tried
	Released bool     `json:"released,omitempty"`
}

// RowOf is the row of a record.
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

// Encode is the row as the store keeps it.
func (row Row) Encode() ([]byte, error) {
	text, err := json.Marshal(row)
	return text, failure.Wrap(failure.Internal, err, "encode a request in quarantine")
}

// DecodeRow reads a row of the store. It fails with BadConfig for one that is not of ours.
func DecodeRow(key string, value []byte) (Fingerprint, Row, error) {
	var row Row
	f, ok := Parse(key)
	if !ok {
		return f, row, failure.New(failure.BadConfig, "%q is no fingerprint", key)
	}
	return f, row, failure.Wrap(failure.BadConfig, json.Unmarshal(value, &row), "decode the row of request %s", key)
}

// Age is how long ago the request was put in quarantine. The clock of the host that did may be off:
// an age below zero counts as none.
func (row Row) Age(now time.Time) time.Duration {
	return max(0, now.Sub(time.UnixMilli(row.SinceMs)))
}

// Record is what the row tells a table.
func (row Row) Record(now time.Time, f Fingerprint) Record {
	if row.Released {
		return Record{Fingerprint: f, Cleared: true}
	}
	r := Record{
		Fingerprint: f, Account: row.Account, Service: row.Service, Quarantined: true, By: row.By, Age: row.Age(now),
		RetryIn: max(0, time.UnixMilli(row.RetryMs).Sub(now)),
	}
	for _, server := range row.Servers {
		r.Ends = append(r.Ends, End{Server: server, Age: r.Age})
	}
	return r
}
