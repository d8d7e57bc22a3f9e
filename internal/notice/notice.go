// Package notice keeps what backend servers say of themselves in their answers.
package notice

import (
	"strconv"
	"time"
)

// Notice is what one answer says of its server.
type Notice struct {
	Limit   Limit
	Leaving bool // it takes nothing new
	// Rest is for how long it wants nothing more from the host that it turned away with this
	// answer, 0 when it asks for none.
	Rest time.Duration
}

// MaxRest bounds the rest that a server is granted on its word alone.
const MaxRest = 5 * time.Minute

// KeptUnlisted is how long the word of a server is kept that is not listed: it may be heard
// before its entry is, and its entry may lapse for a moment.
const KeptUnlisted = time.Minute

// Limit is how many requests a server takes from all hosts together. The zero value is none.
type Limit struct {
	Named     bool
	PerSecond float64
}

// String implements fmt.Stringer.
func (l Limit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', 4, 64) + "/s"
}

// Record is what a server said, and how long ago.
type Record struct {
	Server string
	Notice
	Age time.Duration
}

// Change is what a server says, and what it said before.
type Change struct {
	Server        string
	Before, After Notice
}

// Limit reports whether the limit has changed, and to what, for logs.
func (c Change) Limit() (text string, changed bool) {
	return "limit=" + c.After.Limit.String() + " was=" + c.Before.Limit.String(), c.After.Limit != c.Before.Limit
}

// Leaves reports whether the server says for the first time that it leaves.
func (c Change) Leaves() bool { return c.After.Leaving && !c.Before.Leaving }
