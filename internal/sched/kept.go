package sched

import "maps"

// prunedFrom is the number of holders from which those without connections are
// looked for.
const prunedFrom = 32

// connections guesses which holders keep idle connections to a server, from the runs
// that ended and began there. The zero value knows of none.
type connections struct{ byHolder map[uint64]*keptConnections }

type keptConnections struct {
	idle int
	at   Time // when the newest became idle
}

func (c *connections) has(now Time, holder uint64) bool {
	k := c.byHolder[holder]
	return k != nil && k.idle > 0 && now-k.at < keptFor
}

// keep notes that a run of holder ended whole, so that its connection is idle.
func (c *connections) keep(now Time, holder uint64) {
	if c.byHolder == nil {
		c.byHolder = map[uint64]*keptConnections{}
	}
	k := c.byHolder[holder]
	if k == nil {
		c.prune(now)
		k = &keptConnections{}
		c.byHolder[holder] = k
	}
	if now-k.at >= keptFor {
		k.idle = 0
	}
	k.idle, k.at = k.idle+1, now
}

// prune forgets holders whose connections are closed by now: with hundreds of hosts
// before hundreds of servers most pairs meet seldom.
func (c *connections) prune(now Time) {
	if len(c.byHolder) < prunedFrom {
		return
	}
	maps.DeleteFunc(c.byHolder, func(_ uint64, k *keptConnections) bool { return now-k.at >= keptFor })
}

// use notes that a run of holder begins, on an idle connection where there is one.
func (c *connections) use(holder uint64) {
	if k := c.byHolder[holder]; k != nil && k.idle > 0 {
		k.idle--
	}
}
