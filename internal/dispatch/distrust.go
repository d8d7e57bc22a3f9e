package dispatch

import (
	"maps"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
)

// distrustTime is how long a host does not follow a home that it has lost: as long as the
// membership takes to find that a host has ended without a word.
const distrustTime = 3 * time.Second

// distrust remembers the homes that this host has lost. mu guards until.
//
// Guard: a host that loses its power is known to have ended after 3 s. All others notice
// within 0.9 s that it does not place their requests, and decided alone until then: on a
// day on which the home lost its power in a burst, a third as many callers were served in
// those seconds. So each goes to the next of the ranking, and that one schedules for all
// as soon as it has lost the home itself.
type distrust struct {
	mu    sync.Mutex
	until map[ident.Incarnation]time.Time
}

func (d *distrust) add(now time.Time, home ident.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = map[ident.Incarnation]time.Time{}
	}
	maps.DeleteFunc(d.until, func(_ ident.Incarnation, until time.Time) bool { return now.After(until) })
	d.until[home] = now.Add(distrustTime)
}

// any reports whether a home was lost lately.
func (d *distrust) any(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, until := range d.until {
		if now.Before(until) {
			return true
		}
	}
	return false
}

func (d *distrust) has(now time.Time, home ident.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.until[home])
}
