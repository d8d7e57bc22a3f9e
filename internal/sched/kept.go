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
	k := c.byHolder[holder]
	return k != nil && k.idle > 0 && now-k.at < connectionIdleTimeout
}

// release records that a run of holder ended with its whole answer, so that its connection
// is idle.
func (c *idleConnections) release(now Time, holder uint64) {
	if c.byHolder == nil {
		c.byHolder = map[uint64]*holderConnections{}
	}
	k := c.byHolder[holder]
	if k == nil {
		c.prune(now)
		k = &holderConnections{}
		c.byHolder[holder] = k
	}
	if now-k.at >= connectionIdleTimeout {
		k.idle = 0
	}
	k.idle, k.at = k.idle+1, now
}

// prune removes holders whose connections are closed by now: with hundreds of hosts and
// hundreds of servers, most pairs seldom use their connection.
func (c *idleConnections) prune(now Time) {
	if len(c.byHolder) < pruneThreshold {
		return
	}
	maps.DeleteFunc(c.byHolder, func(_ uint64, k *holderConnections) bool { return now-k.at >= connectionIdleTimeout })
}

// acquire records that a run of holder starts, on an idle connection if there is one.
func (c *idleConnections) acquire(holder uint64) {
	if k := c.byHolder[holder]; k != nil && k.idle > 0 {
		k.idle--
	}
}
