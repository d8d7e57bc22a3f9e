package sched

import (
	"math"
	"time"
)

// workRate is an exponentially decaying amount of work per second, in seconds of server time.
type workRate struct {
	value float64
	at    Time
}

func (r *workRate) add(now Time, work time.Duration) {
	r.value = max(0, r.valueAt(now)+work.Seconds()/rateDecay.Seconds())
	r.at = now
}

func (r *workRate) valueAt(now Time) float64 {
	return r.value * math.Exp(-float64(now-r.at)/float64(rateDecay))
}

// placedRate is a decaying average of the work placed per second, over the time in which requests
// waited. While none wait, the rate is that of the arrivals and says nothing about the servers.
type placedRate struct {
	work, placements, waited float64 // waited in seconds
	at                       Time
	waiting                  bool // requests have been waiting since at
}

// advance accounts for the time until now, from which on requests wait or not.
func (r *placedRate) advance(now Time, waiting bool) {
	if dt := now - r.at; r.waiting && dt > 0 {
		f := math.Exp(-float64(dt) / float64(placedRateDecay))
		r.work, r.placements = r.work*f, r.placements*f
		r.waited = r.waited*f + (1-f)*placedRateDecay.Seconds()
	}
	r.at, r.waiting = now, waiting
}

func (r *placedRate) add(work time.Duration) {
	if r.waiting {
		r.work += work.Seconds()
		r.placements++
	}
}

// perSecond returns the work placed per second, 0 if unknown.
func (r *placedRate) perSecond() float64 {
	if r.waited <= 0 {
		return 0
	}
	return r.work / r.waited
}

// countPerSecond returns the requests placed per second, 0 if unknown.
func (r *placedRate) countPerSecond() float64 {
	if r.waited <= 0 {
		return 0
	}
	return r.placements / r.waited
}

// known reports whether enough has been placed while requests waited for a forecast.
func (r *placedRate) known() bool {
	return r.waited >= minRateTime.Seconds() && r.placements >= minRatePlacements
}

const (
	// backlogBuckets and backlogStep divide the ranks of waiting requests, from backlogPast before the
	// summary to 2.4 s after it. Ranks outside count in the first and the last bucket.
	backlogBuckets = 256
	backlogStep    = 25 * time.Millisecond
	backlogPast    = 4 * time.Second
)

// backlog is the work of requests by rank, a Fenwick tree: adding and the sum up to a rank take eight
// steps whatever the number of requests.
type backlog struct {
	base   Time
	work   [backlogBuckets + 1]float64
	counts [backlogBuckets + 1]int
	total  float64
	size   int
}

func (b *backlog) bucket(rank Time) int {
	return 1 + min(backlogBuckets-1, max(0, int((rank-b.base)/backlogStep)))
}

func (b *backlog) reset(now Time) { *b = backlog{base: now - backlogPast} }

func (b *backlog) add(rank Time, work float64, n int) {
	for i := b.bucket(rank); i <= backlogBuckets; i += i & -i {
		b.work[i] += work
		b.counts[i] += n
	}
	b.total += work
	b.size += n
}

// before returns the work and number of the requests up to a rank.
func (b *backlog) before(rank Time) (work float64, n int) {
	for i := b.bucket(rank); i > 0; i -= i & -i {
		work += b.work[i]
		n += b.counts[i]
	}
	return max(0, work), max(0, n)
}
