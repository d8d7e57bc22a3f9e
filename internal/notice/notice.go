// Package notice holds server notices: what backend servers state about themselves in the
// header of their answers. A Table holds the current notice of each server.
package notice

import (
	"strconv"
	"time"
)

// Notice is what one answer states about its server.
type Notice struct {
	Limit Limit
	// MaxRejections is stated by a brittle server: one that has to reject more requests in a second,
	// for lack of room, fails.
	MaxRejections Limit
	Leaving       bool // the server accepts no new requests
	// Backoff is how long the server asks the host that it rejected with this answer to send
	// it no requests, 0 if it asks for none.
	Backoff time.Duration
}

// MaxBackoff is the longest backoff that a server is granted on its own statement alone.
const MaxBackoff = 5 * time.Minute

// UnlistedRetention is how long the notice of an unlisted server is kept: it may arrive before
// the server's entry in the server list, and that entry may lapse for a moment.
const UnlistedRetention = time.Minute

// Limit is a rate of requests over all hosts together. The zero
// value means no limit.
type Limit struct {
	Valid     bool
	PerSecond float64
}

// String implements fmt.Stringer.
func (l Limit) String() string {
	if !l.Valid {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', 4, 64) + "/s"
}

// Record is the notice of a server and its age.
type Record struct {
	Server string
	Notice
	Age time.Duration
}

// Change is the notice of a server before and after an answer.
type Change struct {
	Server        string
	Before, After Notice
}

// LimitChange reports whether the limit has changed, and describes the change for logs.
func (c Change) LimitChange() (text string, changed bool) {
	return "limit=" + c.After.Limit.String() + " was=" + c.Before.Limit.String(), c.After.Limit != c.Before.Limit
}

// BrittlenessChange reports whether the rejections that the server bears have changed, and describes
// the change for logs.
func (c Change) BrittlenessChange() (text string, changed bool) {
	return "rejections=" + c.After.MaxRejections.String() + " was=" + c.Before.MaxRejections.String(), c.After.MaxRejections != c.Before.MaxRejections
}

// StartsLeaving reports whether the server states for the first time that it is leaving.
func (c Change) StartsLeaving() bool { return c.After.Leaving && !c.Before.Leaving }
