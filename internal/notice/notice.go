// Package notice keeps what backend servers say of themselves in their answers.
package notice

import "strconv"

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
