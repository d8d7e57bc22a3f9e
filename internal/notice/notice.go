// Package notice keeps what backend servers say of themselves in their answers.
package notice

import (
	"strconv"
	"time"
)

// Notice is what one answer says of its server.
type Notice struct {
	Limit Limit
}

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

// String tells the change, for logs.
func (c Change) String() string {
	return "limit=" + c.After.Limit.String() + " was=" + c.Before.Limit.String()
}
