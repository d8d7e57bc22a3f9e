// Package rollout carries the roll-out of a service's new version: it decides how much of
// the traffic the new servers are tried with, judges their answers beside those of the old
// ones, and tells when the service is moved to them or they are taken back.
//
// The package is pure: it reads no clock and does no I/O. One scheduler owns a Trial.
package rollout

import (
	"time"
)

// Time is a moment on the monotonic clock of the process that owns the trial.
type Time = time.Duration

// Order is an operator's order to move a service to a version.
type Order struct {
	Service string
	To      string        // the version
	Lasts   time.Duration // from the order to its deadline
	Row     int64         // version of the order's row; a newer one replaces it
}

// Check tells what is wrong with an order, empty when nothing is.
func (o Order) Check() string {
	switch {
	case o.Service == "":
		return "it names no service"
	case o.To == "":
		return "it names no version"
	case o.Lasts <= 0:
		return "it has no duration"
	}
	return ""
}

// State is how far a roll-out got, as operators are told.
type State uint8

// The states of a roll-out.
const (
	// Running: the new version is tried, or the service is being moved.
	Running State = iota
	// Completed: the service is served by the new version; the old servers stop.
	Completed
	// RolledBack: the new version gets nothing; its servers drain.
	RolledBack
)

// Over reports whether nothing more is decided.
func (s State) Over() bool { return s != Running }

// Bounds are what the platform allows a version that turns out to be bad.
type Bounds struct {
	// Share is the part of the requests that reach the service from the order to its
	// deadline, and Slack the number beyond it, that a bad version may get.
	Share float64
	Slack float64
}

// DefaultBounds hold where the platform tells none.
func DefaultBounds() Bounds { return Bounds{Share: 0.05, Slack: 20} }
