package core

import (
	"github.com/gentianflow/gentianflow/internal/ident"
)

// session is the home's state of one holder. It is kept for the horizon after
// the holder's end, because it says whether the holder is covered.
type session struct {
	holder   ident.Incarnation
	stamp    Stamp // newest clock value received from the holder
	heardAt  Time
	reported bool // its part of the ledger has been merged
	ended    bool
	covered  bool // after its end: the ledger has everything granted to it
	endedAt  Time
}

func (c *Cell) members(e Members) {
	c.liveMembers = append(c.liveMembers[:0], e.Live...)
	c.enableGrants()
}

// report opens a session. It merges the holder's part of the ledger and closes
// runs that the holder no longer knows.
func (c *Cell) report(e Report) {
	s := c.sessions[e.Holder]
	if s == nil {
		s = &session{holder: e.Holder}
		c.sessions[e.Holder] = s
	}
	s.stamp, s.heardAt, s.reported, s.ended, s.covered = e.Stamp, c.now, true, false, false
	known := map[ident.RequestID]LedgerState{}
	for _, in := range e.Entries {
		known[in.ID] = in.State
		c.adopt(in)
	}
	c.closeUnreportedRuns(e.Holder, known)
	c.restoreOrphans(e.Holder)
	c.enableGrants()
	c.repeatRevokes(e.Holder)
	c.unpark(e.Holder)
	c.fillAll()
}

// adopt merges one entry of a report. A waiting entry is not queued, because
// the holder registers its waiting requests itself.
func (c *Cell) adopt(in LedgerEntry) {
	if in.State == LedgerWaiting {
		c.forgetUndispatched(in)
		return
	}
	c.dequeueGranted(in)
	e := c.ledger.adopt(c.now, in)
	srv := c.server(in.Server)
	if srv == nil {
		return
	}
	c.touchCache(c.now, srv, in.Prefix, in.PrefixTokens, true)
	if in.State == LedgerGranted && e.run == nil && e.state == LedgerGranted {
		it := &item{req: Request{ID: in.ID, Holder: in.Holder, Prefix: in.Prefix, PrefixTokens: in.PrefixTokens}}
		e.run = srv.start(c.now, it)
	}
}

// dequeueGranted removes a waiting request from the queue when a report says
// that its id was granted, either by another home to the same holder or to a
// holder that this home had not heard of. The waiting holder is then attached.
func (c *Cell) dequeueGranted(in LedgerEntry) {
	e := c.ledger.get(in.ID)
	if e == nil || e.state != LedgerWaiting {
		return
	}
	waiting := e.holder
	c.removeWaitingEntry(in.ID)
	if waiting != in.Holder {
		c.emit(Action{Kind: Attach, To: waiting, ID: in.ID, Holder: in.Holder, Server: in.Server})
	}
}

// forgetUndispatched removes a granted or done entry of an id that its holder
// reports as waiting. The holder's report is authoritative: it did not dispatch
// the id.
func (c *Cell) forgetUndispatched(in LedgerEntry) {
	e := c.ledger.get(in.ID)
	if e != nil && e.holder == in.Holder && e.state != LedgerWaiting && e.run == nil {
		c.ledger.forget(in.ID)
	}
}

// closeUnreportedRuns ends the runs of a holder that its report does not list as
// granted. If the report lists the id as waiting, the grant was lost with the
// old session: the holder will not use it and registers again. Any other run
// has finished.
func (c *Cell) closeUnreportedRuns(h ident.Incarnation, known map[ident.RequestID]LedgerState) {
	for _, s := range c.servers {
		for _, r := range append([]*run(nil), s.runs...) {
			id := r.item.req.ID
			state, listed := known[id]
			if r.item.req.Holder != h || (listed && state == LedgerGranted) {
				continue
			}
			s.finish(c.now, r)
			if listed && state == LedgerWaiting {
				c.ledger.forget(id)
			} else if e := c.ledger.get(id); e != nil {
				c.ledger.done(c.now, e)
			}
		}
	}
}

// restoreOrphans ends the orphan state of a holder's runs: the holder had only
// lost its connection.
func (c *Cell) restoreOrphans(h ident.Incarnation) {
	kept := c.orphans[:0]
	for _, r := range c.orphans {
		if r.item.req.Holder == h {
			r.orphan = false
			continue
		}
		kept = append(kept, r)
	}
	c.orphans = kept
}

func (c *Cell) heartbeat(e Heartbeat) {
	s := c.sessions[e.Holder]
	if s == nil || s.ended || e.Stamp < s.stamp {
		return
	}
	s.stamp, s.heardAt = e.Stamp, c.now
	c.unpark(e.Holder)
}

// unpark queues the parked requests of a holder again once its stamp is fresh.
func (c *Cell) unpark(h ident.Incarnation) {
	if len(c.parked) == 0 || !c.mayGrant(h) {
		return
	}
	parked := c.parked
	c.parked = nil
	for _, it := range parked {
		if it.req.Holder == h {
			c.enqueue(it)
			continue
		}
		c.parked = append(c.parked, it)
	}
}

// holderLeft ends the session of a holder that moves to another home. The other
// home grants to it from now on, so this ledger no longer covers it.
func (c *Cell) holderLeft(e HolderLeft) {
	if s := c.sessions[e.Holder]; s != nil {
		c.endSession(s, false)
		// Even an end proved soon afterwards does not cover it, because another
		// home may have granted to it since.
		s.reported = false
	}
}

// holderLost ends the session of a holder that died or is unreachable.
//
// A holder that only lost its connection may be granted the same id by another
// home, but uses no such grant until MoveHold after its last stamp. An end that
// is proved within MoveHold of the last stamp therefore means that the ledger
// has everything ever granted to the holder. After any other end the holder is
// not covered, and a resend of its requests is answered with Unproved.
func (c *Cell) holderLost(e HolderLost) {
	s := c.sessions[e.Holder]
	if s == nil {
		s = &session{holder: e.Holder, heardAt: c.now}
		c.sessions[e.Holder] = s
	}
	if s.ended {
		if e.Proved && !s.covered && s.reported && c.now.Sub(s.heardAt) < MoveHold {
			s.covered = true
			c.resolveResends(e.Holder)
		}
		return
	}
	c.endSession(s, e.Proved && s.reported && c.now.Sub(s.heardAt) < MoveHold)
	if !s.covered {
		c.emit(Action{Kind: HolderUncovered, Holder: s.holder})
	}
}

func (c *Cell) endSession(s *session, covered bool) {
	s.ended, s.covered, s.endedAt = true, covered, c.now
	c.removeWaitingOf(s.holder)
	for _, srv := range c.servers {
		for _, r := range srv.runs {
			if r.item.req.Holder == s.holder && !r.orphan {
				r.orphan = true
				c.orphans = append(c.orphans, r)
			}
		}
	}
	c.resolveResends(s.holder)
}

// removeWaitingOf removes the waiting requests of a holder: a holder that leaves
// registers them at its next home, and a dead one will never use a grant.
func (c *Cell) removeWaitingOf(h ident.Incarnation) {
	for _, q := range c.tiers {
		for _, it := range append([]*item(nil), q.shedOrder.items...) {
			if it.req.Holder == h {
				c.removeWaiting(it)
				c.ledger.forget(it.req.ID)
			}
		}
	}
	kept := c.parked[:0]
	for _, it := range c.parked {
		if it.req.Holder == h {
			c.ledger.forget(it.req.ID)
			continue
		}
		kept = append(kept, it)
	}
	c.parked = kept
}

// expireSessions deletes the sessions of ended holders after the horizon, when
// their ids can no longer be resent.
func (c *Cell) expireSessions() {
	for inc, s := range c.sessions {
		if s.ended && c.now.Sub(s.endedAt) > c.horizon {
			delete(c.sessions, inc)
		}
	}
}

func (c *Cell) ledgerHandover(e LedgerHandover) {
	for _, in := range e.Entries {
		c.ledger.adopt(c.now, in)
	}
	for _, inc := range e.Covered {
		if s := c.sessions[inc]; s == nil {
			c.sessions[inc] = &session{holder: inc, reported: true, ended: true, covered: true, endedAt: c.now, heardAt: c.now}
		}
	}
}

// Handover returns the state for the next home: the ledger and the ended holders
// that it covers.
func (c *Cell) Handover() LedgerHandover {
	h := LedgerHandover{Entries: c.ledger.export()}
	for inc, s := range c.sessions {
		if s.ended && s.covered {
			h.Covered = append(h.Covered, inc)
		}
	}
	return h
}
