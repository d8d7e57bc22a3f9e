package sched

import "time"

// bucket is a token bucket: rate units a second, at most burst of them kept.
type bucket struct {
	rate  float64
	burst float64
	level float64
	at    Time
	// held is set while the first half of the burst is kept back: the bucket was
	// made by a host that is not the home.
	held bool
}

// newBucket makes an account's bucket. It starts half full: the host that decided
// before may have given out the other half.
//
// Guard: of a host with a part of the quota it starts empty, and gets its half when
// the host is the home. Hosts of a fleet that starts anew have less than a request
// each; were that ready at once, each would let one pass on credit, and an account
// would have its quota several times over in a second.
func newBucket(now Time, rate, burst float64, whole bool) *bucket {
	b := &bucket{rate: rate, burst: burst, at: now, held: !whole}
	if whole {
		b.level = burst / 2
	}
	return b
}

func (b *bucket) refill(now Time) {
	if now > b.at {
		b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// wait is how long the bucket needs until it can give units. A request larger
// than the whole bucket passes when the bucket is full, and leaves a debt.
func (b *bucket) wait(now Time, units float64) time.Duration {
	b.refill(now)
	missing := min(units, b.burst) - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// waitBehind is wait for a request that has others of its account before it.
func (b *bucket) waitBehind(now Time, ahead, units float64) time.Duration {
	if ahead == 0 {
		return b.wait(now, units)
	}
	b.refill(now)
	return time.Duration((ahead + units - b.level) / b.rate * float64(time.Second))
}

func (b *bucket) take(now Time, units float64) {
	b.refill(now)
	b.level -= units
}

// charge takes what was used elsewhere. It may leave a debt of one burst at most: what
// was used longer ago is past the time over which quotas are counted.
func (b *bucket) charge(now Time, units float64) {
	b.refill(now)
	b.level = min(b.burst, max(b.level-units, min(b.level, -b.burst)))
}

func (b *bucket) give(now Time, units float64) {
	b.refill(now)
	b.level = min(b.burst, b.level+units)
}

// resize moves the bucket to another rate and burst. What is left never grows
// by it, so a change back and forth gives nothing away.
func (b *bucket) resize(now Time, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// rescale moves the bucket to another part of its account's quota. The part
// that is left stays the same, but for a host that becomes the home it is at
// most half: the home before it may have given out the other half.
func (b *bucket) rescale(now Time, factor float64) {
	b.refill(now)
	b.rate *= factor
	b.burst *= factor
	if b.level > 0 {
		b.level *= factor
	}
	if factor > 1 {
		if b.held {
			b.held = false
			b.level += b.burst / 2
		}
		b.level = min(b.level, b.burst/2)
	}
}
