package sched

import "time"

const (
	// minServerRate is the rate at which a server is sent requests even if it accepts none, in
	// requests a second over all hosts: only its answers show when it accepts more.
	minServerRate = 0.2
	// minPacerRate bounds the interval of a host with a tiny share of a limit, in requests a
	// second.
	minPacerRate = 1e-6
	// sendExpiry is how long after it was due a send may still be used.
	sendExpiry = 250 * time.Millisecond
	// adoptedSendWindow is the age up to which a run that another scheduler placed counts as a
	// send here.
	adoptedSendWindow = 4 * time.Second
)

// pacer spaces the sends to a server that states a limit of requests a second. The zero value
// has no limit.
type pacer struct {
	interval time.Duration // between sends, 0: no limit
	next     Time          // when the next send is due
}

func (p *pacer) limited() bool { return p.interval > 0 }

// limit sets how many requests a second may be sent. For a server that had no limit, the next
// send is due after a fraction of the interval, because recent sends count.
func (p *pacer) limit(now Time, perSecond, fraction float64) {
	interval := max(1, time.Duration(float64(time.Second)/max(perSecond, minPacerRate)))
	if !p.limited() {
		p.next = now + time.Duration(fraction*float64(interval))
	} else if left := p.next - now; left > 0 {
		p.next = now + time.Duration(float64(left)*float64(interval)/float64(p.interval))
	}
	p.interval = interval
}

// ready reports whether a request may be sent.
func (p *pacer) ready(now Time) bool {
	p.skipMissed(now)
	return !p.limited() || now >= p.next
}

// take counts a send.
func (p *pacer) take(now Time) {
	p.skipMissed(now)
	p.next += p.interval
}

// skipMissed drops the sends that were due and not used.
//
// Hosts that lose their home schedule alone from one moment to the next, each with a share of the
// limit. If an unused send were kept, each of them would have one: hundreds at once for a
// server that accepts one a second.
func (p *pacer) skipMissed(now Time) {
	if late := now - p.next - sendExpiry; p.limited() && late > 0 {
		p.next += (late/p.interval + 1) * p.interval
	}
}
