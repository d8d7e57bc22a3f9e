package sched

import "maps"

// pruneThreshold is the number of holders from which those without open connections are
// removed.
const pruneThreshold = 32

// idleConnections estimates which holders have idle connections to a server, from the runs
// that started and ended there. The zero value has none.
type idleConnections struct{ byHolder map[uint64]*holderConnections }

type holderConnections struct {
	idle int
	at   Time // when the newest became idle
}

func (c *idleConnections) hasIdle(now Time, holder uint64) bool {
	conns := c.byHolder[holder]
	return conns != nil && conns.idle > 0 && now-conns.at < connectionIdleTimeout
}

// release records that a run of holder ended with its complete answer, so that its connection is
// idle.
func (c *idleConnections) release(now Time, holder uint64) {
	if c.byHolder == nil {
		c.byHolder = map[uint64]*holderConnections{}
	}
	conns := c.byHolder[holder]
	if conns == nil {
		c.prune(now)
		conns = &holderConnections{}
		c.byHolder[holder] = conns
	}
	if now-conns.at >= connectionIdleTimeout {
		conns.idle = 0
	}
	conns.idle, conns.at = conns.idle+1, now
}

// prune removes holders whose connections are closed by now: with hundreds of hosts and
// hundreds of servers, most pairs seldom use their connection.
func (c *idleConnections) prune(now Time) {
	if len(c.byHolder) < pruneThreshold {
		return
	}
	maps.DeleteFunc(c.byHolder, func(_ uint64, conns *holderConnections) bool { return now-conns.at >= connectionIdleTimeout })
}

// acquire records that a run of holder starts, on an idle connection if there is one.
func (c *idleConnections) acquire(holder uint64) {
	if conns := c.byHolder[holder]; conns != nil && conns.idle > 0 {
		conns.idle--
	}
}
