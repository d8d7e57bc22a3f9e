package dispatch

import (
	"maps"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
)

// lostHomeTimeout is how long a host does not follow a home that it has lost. It matches the
// time that the membership takes to detect a host that failed without announcing it.
const lostHomeTimeout = 3 * time.Second

// lostHomes holds the homes that this host has recently lost. mu guards until.
//
// The membership takes 3 s to detect a host that lost its power; the other hosts notice within
// 0.9 s that it does not place their requests. If they scheduled locally in between, a power
// loss of the home during a burst would cut the number of callers served in those seconds to
// a third. So each host follows the next host of the ranking, which schedules for all as soon
// as it has lost the home itself.
type lostHomes struct {
	mu    sync.Mutex
	until map[ident.Incarnation]time.Time
}

func (d *lostHomes) add(now time.Time, home ident.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = map[ident.Incarnation]time.Time{}
	}
	maps.DeleteFunc(d.until, func(_ ident.Incarnation, until time.Time) bool { return now.After(until) })
	d.until[home] = now.Add(lostHomeTimeout)
}

// any reports whether any home was lost recently.
func (d *lostHomes) any(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, until := range d.until {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// has reports whether home was lost recently.
func (d *lostHomes) has(now time.Time, home ident.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.until[home])
}
