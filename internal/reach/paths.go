// Package reach connects an entry host to backend servers, and tells a server that has failed from
// a host or a link that has.
//
// A path is the link between this host and one server. Paths holds what this host knows of its own
// paths; it is pure. A Connector opens connections: over the path, or if that is lost through another
// entry host, in a tunnel. What two hosts report about a server decides whether the server is at
// fault; only then does the scheduler hear of it.
package reach

import (
	"time"
)

const (
	// A path is probed at intervals of firstProbe, and from the time that quickProbes of them take at
	// intervals of maxProbeInterval: most losses and pauses of servers end within seconds.
	firstProbe       = 250 * time.Millisecond
	quickProbes      = 8
	maxProbeInterval = time.Second
	// A lost path is used again after minProbes successful probes in a row. The number doubles, up to
	// maxProbes, for a path that is lost again within flapPeriod.
	minProbes  = 2
	maxProbes  = 8
	flapPeriod = 10 * time.Second
	// A host counts as cut off from all servers when it has lost the paths to cutThreshold of them in a
	// row and has had neither a connection nor an answer over another path for cutDelay. Without the
	// delay, a host that is cut from some servers only would take itself for cut off again and again.
	cutThreshold = 2
	cutDelay     = time.Second
)

// pathState is what is known of a path that is not known to work.
type pathState uint8

const (
	// lost: another host reaches the server, this one does not.
	lost pathState = iota
	// down: hosts that reach other servers don't reach the server.
	down
	// untried: not tried since this host was cut off from all servers.
	untried
)

// path is a path that is not known to work. Paths that work have no entry.
type path struct {
	address   string
	state     pathState
	nextProbe time.Time
	probed    int
	needed    int // successful probes in a row until it is used again
	succeeded int
}

// restored is the end of a loss, kept to recognize a path that flaps.
type restored struct {
	at     time.Time
	needed int
}

// Paths holds the paths of this host that are not known to work. It is not safe for concurrent use.
type Paths struct {
	paths    map[string]*path // by server
	restored map[string]restored
	// lostInARow are the servers whose paths were lost since reachedAt, when a path last worked.
	lostInARow map[string]bool
	reachedAt  time.Time
}

// NewPaths returns Paths of a host that reaches all servers.
func NewPaths() *Paths {
	return &Paths{paths: map[string]*path{}, restored: map[string]restored{}, lostInARow: map[string]bool{}}
}

// Usable reports whether a connection to a server is to be tried over the path.
func (p *Paths) Usable(now time.Time, server string) bool {
	if have := p.paths[server]; have != nil && have.state == lost {
		return false
	}
	return !p.Cut(now)
}

// Cut reports whether this host seems to be cut off from all servers.
func (p *Paths) Cut(now time.Time) bool {
	return len(p.lostInARow) >= cutThreshold && now.Sub(p.reachedAt) >= cutDelay
}

// Answered records an answer over a path of this host.
func (p *Paths) Answered(now time.Time) {
	clear(p.lostInARow)
	p.reachedAt = now
}

// Connected records a successful connection over the path to a server, and reports whether the server
// was down before. A lost path is used again only after Probed.
func (p *Paths) Connected(now time.Time, server string) (wasDown bool) {
	p.Answered(now)
	if have := p.paths[server]; have != nil && have.state == down {
		wasDown = true
		delete(p.paths, server)
	}
	for id, have := range p.paths {
		if have.state == untried {
			delete(p.paths, id)
		}
	}
	return wasDown
}

// Lose records that this host does not reach a server that others reach, and reports whether that
// is new.
func (p *Paths) Lose(now time.Time, server, address string) (isNew bool) {
	p.lostInARow[server] = true
	if have := p.paths[server]; have != nil && have.state == lost {
		return false
	}
	needed := minProbes
	if r, ok := p.restored[server]; ok && now.Sub(r.at) < flapPeriod {
		needed = min(maxProbes, 2*r.needed)
	}
	p.watch(now, server, address, lost, needed)
	return true
}

// Down records that a server is reached by no host that was asked.
func (p *Paths) Down(now time.Time, server, address string) {
	if p.paths[server] == nil {
		p.watch(now, server, address, down, 1)
	}
}

// TryLater has the path to a server probed, since this host is cut off and requests for the server
// go through other hosts.
func (p *Paths) TryLater(now time.Time, server, address string) {
	if p.paths[server] == nil {
		p.watch(now, server, address, untried, 1)
	}
}

func (p *Paths) watch(now time.Time, server, address string, s pathState, needed int) {
	p.paths[server] = &path{address: address, state: s, nextProbe: now.Add(firstProbe), needed: needed}
}

// Probe is a path to be probed.
type Probe struct{ Server, Address string }

// Due returns up to n paths to be probed now, and when to ask again at the latest.
func (p *Paths) Due(now time.Time, n int) (due []Probe, next time.Time) {
	next = now.Add(maxProbeInterval)
	for id, have := range p.paths {
		switch {
		case have.nextProbe.After(now):
			if have.nextProbe.Before(next) {
				next = have.nextProbe
			}
		case len(due) < n:
			due = append(due, Probe{id, have.address})
			have.nextProbe = now.Add(firstProbe)
			if have.probed++; have.probed >= quickProbes {
				have.nextProbe = now.Add(maxProbeInterval)
			}
		default:
			next = now.Add(firstProbe)
		}
	}
	return due, next
}

// Probed records the outcome of a probe, and reports whether a lost path is used again from now on.
func (p *Paths) Probed(now time.Time, server string, reached bool) (isRestored bool) {
	have := p.paths[server]
	if have == nil || have.state != lost {
		return false
	}
	if !reached {
		have.succeeded = 0
		return false
	}
	if have.succeeded++; have.succeeded < have.needed {
		have.nextProbe, have.probed = now.Add(firstProbe), 0
		return false
	}
	delete(p.paths, server)
	p.restored[server] = restored{now, have.needed}
	return true
}

// Retain forgets the servers that are not listed.
func (p *Paths) Retain(now time.Time, listed func(server string) bool) {
	for id := range p.paths {
		if !listed(id) {
			delete(p.paths, id)
			delete(p.lostInARow, id)
		}
	}
	for id, r := range p.restored {
		if now.Sub(r.at) >= flapPeriod {
			delete(p.restored, id)
		}
	}
}

// Lost returns the number of lost paths.
func (p *Paths) Lost() (n int) {
	for _, have := range p.paths {
		if have.state == lost {
			n++
		}
	}
	return n
}
