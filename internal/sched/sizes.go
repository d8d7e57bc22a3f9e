package sched

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// sizeClasses is the number of classes into which a priority's requests are divided by
	// their expected work. sizeQuantiles are the quantiles of the work that separate them.
	sizeClasses = 4
	// sizeSamples is the number of latest requests from which the thresholds are computed,
	// every sizeRefreshInterval requests.
	sizeSamples         = 256
	sizeRefreshInterval = 32
	// sizeDecay is the time constant with which older requests decay. It covers the answers of
	// a few bursts, so that a class that was served a moment ago does not lose its share for good.
	sizeDecay = 15 * time.Second
	// minClassArrivals is the minimum number of recent arrivals of a class for it to count as
	// underserved.
	minClassArrivals = 2
)

var sizeQuantiles = [sizeClasses - 1]float64{0.5, 0.7, 0.9}

// decayingCount is an exponentially decaying number of requests.
type decayingCount struct {
	value float64
	at    Time
}

func (c *decayingCount) add(now Time, n float64) {
	c.value = max(0, c.valueAt(now)+n)
	c.at = now
}

func (c *decayingCount) valueAt(now Time) float64 {
	return c.value * math.Exp(-float64(now-c.at)/float64(sizeDecay))
}

// sizeStats tracks how often the requests of a priority are served, by their expected work.
//
// In an overload, serving short answers before long ones helps the most callers, but for the
// callers of long answers it is an outage: each time they are delayed, become late and are
// refused again. So the fraction of a class that is served must not fall too far below that
// of its priority.
type sizeStats struct {
	sample       []time.Duration // of work; a ring buffer once it is full
	next         int
	thresholds   [sizeClasses - 1]time.Duration
	arrived      [sizeClasses]decayingCount
	served       [sizeClasses]decayingCount // placed, and not ended without an answer
	untilRefresh int                        // requests until the thresholds are computed again
}

// classify records a request with the given work and returns its size class.
func (z *sizeStats) classify(now Time, work time.Duration) int {
	if len(z.sample) < sizeSamples {
		z.sample = append(z.sample, work)
	} else {
		z.sample[z.next] = work
		z.next = (z.next + 1) % sizeSamples
	}
	if z.untilRefresh--; z.untilRefresh <= 0 {
		z.untilRefresh = sizeRefreshInterval
		z.updateThresholds()
	}
	class := 0
	for class < len(z.thresholds) && work > z.thresholds[class] {
		class++
	}
	z.arrived[class].add(now, 1)
	return class
}

func (z *sizeStats) updateThresholds() {
	sorted := slices.Sorted(slices.Values(z.sample))
	for i, quantile := range sizeQuantiles {
		z.thresholds[i] = sorted[int(quantile*float64(len(sorted)))]
	}
}

// underserved reports whether the fraction of a class's recent requests that were served is
// less than minShare of that fraction for all requests of the priority.
func (z *sizeStats) underserved(now Time, class int, minShare float64) bool {
	arrived, served := 0.0, 0.0
	for i := range z.arrived {
		arrived += z.arrived[i].valueAt(now)
		served += z.served[i].valueAt(now)
	}
	own := z.arrived[class].valueAt(now)
	return own >= minClassArrivals && z.served[class].valueAt(now)*arrived < minShare*served*own
}

// servedShare returns the fraction of a class's recent requests that were served, and their number.
func (z *sizeStats) servedShare(now Time, class int) (share, requests float64) {
	requests = z.arrived[class].valueAt(now)
	if requests <= 0 {
		return 0, 0
	}
	return z.served[class].valueAt(now) / requests, requests
}

// servedShareOfAll is servedShare over all classes.
func (z *sizeStats) servedShareOfAll(now Time) (share, requests float64) {
	served := 0.0
	for class := range z.arrived {
		requests += z.arrived[class].valueAt(now)
		served += z.served[class].valueAt(now)
	}
	if requests <= 0 {
		return 0, 0
	}
	return served / requests, requests
}

// explainSize describes for logs the size class of w and how often it is served, empty for a plain call.
func (s *Scheduler) explainSize(now Time, svc *service, w *waiting) string {
	if svc == nil || !svc.Engine || !w.classified {
		return ""
	}
	z := &svc.queue.priorityQueue(w.Priority).sizeStats
	own, ownRequests := z.servedShare(now, w.class)
	all, allRequests := z.servedShareOfAll(now)
	return fmt.Sprintf("size_class=%d/%d class_served=%.2f/%.1f all_served=%.2f/%.1f return=%s", w.class+1, sizeClasses, own, ownRequests, all, allRequests, w.returned)
}

// SizeClassStats describes how often the requests of a size class are served.
type SizeClassStats struct {
	Service  string
	Priority int
	Class    int     // from 1, the smallest requests
	Requests float64 // recent ones; older requests count less
	Served   float64 // the fraction of them that were served
}

// SizeClassStats lists the size classes of the inference services that have had requests recently.
func (s *Scheduler) SizeClassStats() (out []SizeClassStats) {
	for name, svc := range s.services {
		if !svc.Engine {
			continue
		}
		for _, pq := range svc.queue.priorityQueues {
			for class := range sizeClasses {
				if share, requests := pq.sizeStats.servedShare(s.tickedAt, class); requests >= minClassArrivals {
					out = append(out, SizeClassStats{Service: name, Priority: pq.priority, Class: class + 1, Requests: requests, Served: share})
				}
			}
		}
	}
	return out
}
