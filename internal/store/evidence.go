package store

import "time"

const (
	// DefaultBound is the time within which a change must reach all hosts if the settings state none.
	DefaultBound = 2 * time.Second
	// minCallTime is the least time that a call to a relay gets, and overdueCallTime what it gets while the
	// evidence is overdue.
	minCallTime     = 100 * time.Millisecond
	overdueCallTime = 300 * time.Millisecond
	// maxHeldUp is how long an answer of the store with changes may be on its way without looking newer than it is.
	maxHeldUp = 500 * time.Millisecond
	// minChangeWait is the shortest wait of a call to the store for changes.
	minChangeWait = 200 * time.Millisecond
	// turnDelay is how long a follower whose evidence is overdue leaves the store to readers and standbys: their
	// evidence ends at the same time, and those that it finds without an answer it asks again after RelayPause.
	turnDelay = RelayPause + 50*time.Millisecond
	// minTurnSpacing is the time between two reads of followers whose evidence is overdue, of one table. Together
	// with those of the other table they are as many as the store may refuse.
	minTurnSpacing = 1 * time.Millisecond
)

// evidence tells how old a host's view of a table may be. The table has all that the store had acknowledged up to
// asOf; later changes may be missing.
//
// A host must have a change within the bound, whatever happens to the hosts that it follows. So there is one limit
// for the age of its evidence, and not one for each source: when the limit has passed the host no longer waits for
// the source that it follows, but reads the store itself.
type evidence struct {
	bound   time.Duration
	asOf    time.Time     // zero before the first answer
	latency time.Duration // of the store's newest answer to this host, beyond the wait that was asked for
}

// limit is the age from which evidence is overdue. The rest of the bound is for the host's own read, for the turns
// of followers, and for an answer of the store that was held up on its way.
func (e *evidence) limit() time.Duration { return e.bound * 11 / 20 }

// overdueAt returns when the evidence is overdue.
func (e *evidence) overdueAt() time.Time { return e.asOf.Add(e.limit()) }

func (e *evidence) overdue(now time.Time) bool { return !e.asOf.IsZero() && now.After(e.overdueAt()) }

// advance records that the table has all that was acknowledged up to a time.
func (e *evidence) advance(asOf time.Time) { e.asOf = maxTime(e.asOf, asOf) }

// interval is how often a host wants evidence from a relay. A relay has new evidence after each of its calls to the
// store, once in changeWait, and one of them may be late.
func (e *evidence) interval() time.Duration { return max(time.Millisecond, e.limit()-2*changeWait) }

// turnSpread is the time over which the followers of a fleet spread their first reads of the store.
func (e *evidence) turnSpread(hosts int) time.Duration {
	n := time.Duration(hosts)
	return min(n*followerReadSpacing, max(e.bound/8, n*minTurnSpacing))
}

// relayTimeout limits the time of a call to a relay.
func (e *evidence) relayTimeout(now time.Time, timeout time.Duration) time.Duration {
	switch {
	case e.asOf.IsZero():
		return timeout
	case e.overdue(now):
		return min(timeout, overdueCallTime)
	}
	return min(timeout, max(minCallTime, e.overdueAt().Sub(now)))
}

// storeWait returns how long a call to the store waits for changes. It is shorter after an answer with changes, so
// that the time until the next evidence is the same.
func (e *evidence) storeWait(now time.Time, wait time.Duration) time.Duration {
	return min(wait, max(minChangeWait, e.asOf.Add(changeWait).Sub(now)))
}

// storeTimeout returns how long a call to the store that is to wait for changes may take, 0 if its own timeouts
// apply. A store that answers slowly gets more time.
func (e *evidence) storeTimeout(now time.Time, wait time.Duration) time.Duration {
	if wait == 0 || e.asOf.IsZero() || e.overdue(now) {
		return 0
	}
	return wait + e.limit() - changeWait + 2*e.latency
}

// answered records an answer of the store to a call that began at a time and was to wait for changes.
//
// The store holds a call without changes for the whole wait, so its answer is no older than that. One with changes
// was made when they were, between the beginning and now; it is taken to have been on its way for maxHeldUp.
func (e *evidence) answered(begun, now time.Time, wait time.Duration, changes bool) {
	elapsed := now.Sub(begun)
	switch {
	case wait == 0:
		e.advance(begun)
	case elapsed >= wait:
		e.advance(begun.Add(wait))
		e.latency = elapsed - wait
	case changes:
		e.advance(maxTime(begun, now.Add(-maxHeldUp)))
	default:
		e.advance(begun)
	}
}
