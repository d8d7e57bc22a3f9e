package sched

import "time"

const (
	// leastLimit is how often a server is sent a request although it takes none, in requests
	// a second of all hosts: only its answers tell that it takes more.
	leastLimit = 0.2
	// leastPace bounds the interval of a host with next to nothing of a limit, in requests a
	// second.
	leastPace = 1e-6
	// sendKept is how long a send that was due may come late.
	sendKept = 250 * time.Millisecond
	// countedRun is how long a run that another scheduler placed counts as a send here.
	countedRun = 4 * time.Second
)

// pacer spaces the sends to a server that names a limit of requests a second. The zero value
// is one of a server that names none.
type pacer struct {
	interval time.Duration // between sends, 0: no limit
	next     Time          // when one is due
}

func (p *pacer) limited() bool { return p.interval > 0 }

// limit sets how many requests a second may be sent. A server that had no limit is next sent
// one after a part of the interval: what has just been sent counts.
func (p *pacer) limit(now Time, perSecond, part float64) {
	interval := max(1, time.Duration(float64(time.Second)/max(perSecond, leastPace)))
	if !p.limited() {
		p.next = now + time.Duration(part*float64(interval))
	} else if left := p.next - now; left > 0 {
		p.next = now + time.Duration(float64(left)*float64(interval)/float64(p.interval))
	}
	p.interval = interval
}

// ready reports whether a request may be sent.
func (p *pacer) ready(now Time) bool {
	p.lapse(now)
	return !p.limited() || now >= p.next
}

// take counts a send.
func (p *pacer) take(now Time) {
	p.lapse(now)
	p.next += p.interval
}

// lapse drops the sends that were due and not used.
//
// Guard: hosts that lose their home decide alone from one moment to the next, each with a
// part of the limit. Were a send kept until it is used, each of them would have one: hundreds
// at once for a server that takes one a second.
func (p *pacer) lapse(now Time) {
	if late := now - p.next - sendKept; p.limited() && late > 0 {
		p.next += (late/p.interval + 1) * p.interval
	}
}
