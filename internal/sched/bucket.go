package sched

import "time"

// bucket is a token bucket that refills at rate units a second up to burst.
type bucket struct {
	rate  float64
	burst float64
	level float64
	at    Time
	// halfReserved is set while the first half of the burst is withheld, because the bucket was
	// created by a host that is not the home.
	halfReserved bool
}

// newBucket returns an account's bucket. It starts half full: the host that decided before
// may have given out the other half.
//
// At a host with a share of the quota it starts empty, and gets its half when the host becomes
// the home. Hosts of a fleet that restarts have a share of less than one request each. If that
// were available at once, each host would let one request pass on credit, and an account would
// have its quota several times over within a second.
func newBucket(now Time, rate, burst float64, fullQuota bool) *bucket {
	b := &bucket{rate: rate, burst: burst, at: now, halfReserved: !fullQuota}
	if fullQuota {
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

// wait is the time until the bucket can provide units. A request larger than the whole bucket
// passes when the bucket is full, and leaves a negative level, the debt.
func (b *bucket) wait(now Time, units float64) time.Duration {
	b.refill(now)
	missing := min(units, b.burst) - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// waitBehind is wait for a request that has others of its account before it, which need ahead
// units.
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

// charge takes what was used elsewhere. The debt is limited to one burst: what was used
// longer ago is outside the time over which quotas are counted.
func (b *bucket) charge(now Time, units float64) {
	b.refill(now)
	b.level = min(b.burst, max(b.level-units, min(b.level, -b.burst)))
}

func (b *bucket) credit(now Time, units float64) {
	b.refill(now)
	b.level = min(b.burst, b.level+units)
}

// resize sets another rate and burst. It never raises the level, so a change back and forth
// grants no extra units.
func (b *bucket) resize(now Time, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// rescale changes the bucket to another share of its account's quota. The filled fraction stays
// the same, but at a host that becomes the home it is at most half: the home before it may have
// given out the other half.
func (b *bucket) rescale(now Time, factor float64) {
	b.refill(now)
	b.rate *= factor
	b.burst *= factor
	if b.level > 0 {
		b.level *= factor
	}
	if factor > 1 {
		if b.halfReserved {
			b.halfReserved = false
			b.level += b.burst / 2
		}
		b.level = min(b.level, b.burst/2)
	}
}

// rescaleSpent is rescale for a host that becomes the home while the burst may have been given out before.
// What has accrued since stays, unless empty is set.
func (b *bucket) rescaleSpent(now Time, factor float64, empty bool) {
	b.refill(now)
	b.rate *= factor
	b.burst *= factor
	b.level = min(b.level, b.burst)
	if empty {
		b.spend()
	}
}

// spend withholds the burst.
func (b *bucket) spend() {
	b.halfReserved = false
	b.level = min(b.level, 0)
}
