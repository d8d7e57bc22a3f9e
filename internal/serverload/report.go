// Package serverload holds the load that backend servers report in the header of their answers. A
// Table keeps the newest report of each server at the host that receives the answers, and selects
// what is sent to the home. A State is what a scheduler knows of one server from such reports.
package serverload

import (
	"math"
	"strconv"
	"time"
)

// Report is the load that one answer states for its server.
type Report struct {
	Running int // requests that run
	Waiting int // requests that wait in the server's own queue
	Slots   int // requests that can run at once
	// Slowdown is how long work takes on the server at this moment, as a multiple of the usual time.
	// 1: as usual; 0: not stated.
	Slowdown float64
}

// Record is the report of a server and the time since a host received it.
type Record struct {
	Server string
	Report
	Age time.Duration
}

const (
	// MaxCount is the largest number of requests or slots that is believed. Servers have 4 to 8
	// slots; a larger figure is an error of the server and must not overflow anything.
	MaxCount = 1 << 16
	// MaxPercent is the largest stated slowdown that is believed, in percent.
	MaxPercent = 1 << 20
	// minSlowdown and maxSlowdown bound what a stated slowdown counts as. A false report of a fast
	// server must not attract all requests, so half of the usual time is the least. A server that is
	// twenty times slower is of no use to any caller (the longest latency target is 13 times a plain
	// call), so a larger figure changes no decision.
	minSlowdown = 0.5
	maxSlowdown = 20
)

const (
	// halfAge is the age at which a slowdown counts half, MaxAge the age from which it counts for
	// nothing. The figure changes many times a second and slow periods last about 0.6 s, so an older
	// report says little, and a server that is avoided because of it must be tried again although
	// nobody receives reports from it.
	halfAge = 300 * time.Millisecond
	MaxAge  = time.Second
	// holdTime is how long a slowdown is taken to last for what is learned from runs, unless a newer
	// report says otherwise: the integral of its weight over its age. With the weight itself, token
	// times were corrected too little between two reports of a slow engine.
	holdTime = 400 * time.Millisecond
)

// Weight is how much a report of the given age counts, from 1 to 0.
func Weight(age time.Duration) float64 {
	switch {
	case age <= 0:
		return 1
	case age <= halfAge:
		return 1 - 0.5*float64(age)/float64(halfAge)
	case age < MaxAge:
		return 0.5 * float64(MaxAge-age) / float64(MaxAge-halfAge)
	}
	return 0
}

// slowdown returns the stated slowdown within the bounds of what is believed, 1 if none is stated.
func (r Report) slowdown() float64 {
	if r.Slowdown <= 0 || math.IsNaN(r.Slowdown) {
		return 1
	}
	return Bounded(r.Slowdown)
}

// Bounded returns a slowdown within the bounds of what is believed.
func Bounded(slowdown float64) float64 { return min(maxSlowdown, max(minSlowdown, slowdown)) }

// SlowdownAt is what the slowdown of a report of the given age counts as.
func (r Report) SlowdownAt(age time.Duration) float64 {
	return 1 + (r.slowdown()-1)*Weight(age)
}

// Requests is the number of requests at the server.
func (r Report) Requests() int { return r.Running + r.Waiting }

// Full reports whether the server has no free slot.
func (r Report) Full() bool { return r.Slots > 0 && r.Requests() >= r.Slots }

// Valid reports whether the counts are within the bounds of what is believed.
func (r Report) Valid() bool {
	for _, n := range []int{r.Running, r.Waiting, r.Slots} {
		if n < 0 || n > MaxCount {
			return false
		}
	}
	return r.Slowdown >= 0 && !math.IsInf(r.Slowdown, 1) && !math.IsNaN(r.Slowdown)
}

// String formats the report as running/waiting/slots, and percent if a slowdown is stated.
func (r Report) String() string {
	text := strconv.Itoa(r.Running) + "/" + strconv.Itoa(r.Waiting) + "/" + strconv.Itoa(r.Slots)
	if r.Slowdown > 0 {
		text += "/" + strconv.Itoa(Percent(r.Slowdown))
	}
	return text
}

// Percent returns a slowdown in percent.
func Percent(slowdown float64) int { return int(math.Round(min(slowdown*100, MaxPercent))) }

// Slowed returns how long work takes that usually takes d, if it begins at a server with this
// slowdown. A report says nothing about the time after it has aged out, so work is taken to be slowed
// for MaxAge at most: a stream of 3 s is not given up for a slow moment at its start.
func Slowed(d time.Duration, slowdown float64) time.Duration {
	if slowdown == 1 {
		return d
	}
	slowed := time.Duration(float64(d) * slowdown)
	if slowed <= MaxAge {
		return slowed
	}
	return MaxAge + d - time.Duration(float64(MaxAge)/slowdown)
}
