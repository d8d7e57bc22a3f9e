// Package rollout controls the rollout of a service's new version as a canary release: it
// decides how much traffic the new servers get, compares their answers with those of the old
// servers, and decides when the service moves to the new version or is rolled back.
//
// A Trial is the state of one rollout and belongs to one scheduler; a Row is what another host
// needs to resume it. The package is pure: it reads no clock and does no I/O.
package rollout

import (
	"time"
)

// Time is a time on the monotonic clock of the process that owns the trial.
type Time = time.Duration

// Order is an operator's order to move a service to a version.
type Order struct {
	Service    string
	To         string        // version to move to
	Timeout    time.Duration // time from the order to its deadline
	RowVersion int64         // version of the order's row in the store; a newer one replaces the order
}

// SameContent reports whether two orders ask for the same.
func (o Order) SameContent(other Order) bool {
	return o.Service == other.Service && o.To == other.To && o.Timeout == other.Timeout
}

// Check describes what is wrong with an order; empty if it is valid.
func (o Order) Check() string {
	switch {
	case o.Service == "":
		return "it names no service"
	case o.To == "":
		return "it names no version"
	case o.Timeout <= 0:
		return "it has no duration"
	}
	return ""
}

// State is the progress of a rollout as shown to operators.
type State uint8

// The states of a rollout.
const (
	// Running means that the new version is on trial or the service is being moved to it.
	Running State = iota
	// Completed means that the new version serves the service; the old servers stop.
	Completed
	// RolledBack means that the new version gets no requests; its servers drain.
	RolledBack
)

// Over reports whether the state is final.
func (s State) Over() bool { return s != Running }

// Bounds limit the requests that a version that turns out to be bad may get.
type Bounds struct {
	// Share is the fraction of the requests that reach the service from the order to its
	// deadline, and Slack the number of requests on top of it.
	Share float64
	Slack float64
}

// DefaultBounds returns the bounds that apply if the platform sets none.
func DefaultBounds() Bounds { return Bounds{Share: 0.05, Slack: 20} }
