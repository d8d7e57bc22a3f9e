package core

import (
	"github.com/gentianflow/gentianflow/internal/ident"
)

// session is what the home knows of one holder. It is kept for the horizon
// after the holder's end, because coverage is judged by it.
type session struct {
	holder   ident.Incarnation
	stamp    Stamp // the holder's clock when it last spoke
	heardAt  Time
	reported bool // its part of the ledger is in ours
	ended    bool
	covered  bool // after its end: nothing of it can be missing in our ledger
	endedAt  Time
}

func (c *Cell) members(e Members) {
	c.live = append(c.live[:0], e.Live...)
	c.open()
}

// report opens a session: the holder's part of the ledger joins ours, and
// runs that the holder does not know any more are closed.
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
	c.closeLost(e.Holder, known)
	c.adoptOrphans(e.Holder)
	c.open()
	c.askAgain(e.Holder)
	c.unpark(e.Holder)
	c.fillAll()
}

// adopt joins one line of a report. A line that says waiting is no news: the
// holder registers what waits by itself.
func (c *Cell) adopt(in LedgerEntry) {
	if in.State == LedgerWaiting {
		c.forgetGranted(in)
		return
	}
	c.yieldTo(in)
	e := c.ledger.adopt(c.now, in)
	srv := c.server(in.Server)
	if srv == nil {
		return
	}
	c.cacheTouch(c.now, srv, in.Prefix, in.PrefixTokens, true)
	if in.State == LedgerGranted && e.run == nil && e.state == LedgerGranted {
		it := &item{req: Request{ID: in.ID, Holder: in.Holder, Prefix: in.Prefix, PrefixTokens: in.PrefixTokens}}
		e.run = srv.start(c.now, it)
	}
}

// yieldTo takes a waiting request out of the queue when a report says that
// the id was granted: at the same holder by another home, or at another
// holder that we had not heard of. Then the one that waits is attached.
func (c *Cell) yieldTo(in LedgerEntry) {
	e := c.ledger.get(in.ID)
	if e == nil || e.state != LedgerWaiting {
		return
	}
	waiting := e.holder
	c.forgetWaiting(in.ID)
	if waiting != in.Holder {
		c.emit(Action{Kind: Attach, To: waiting, ID: in.ID, Holder: in.Holder, Server: in.Server})
	}
}

// forgetGranted drops what our ledger says of an id that its holder reports
// as waiting: the holder decides whether it dispatched, and it did not.
func (c *Cell) forgetGranted(in LedgerEntry) {
	e := c.ledger.get(in.ID)
	if e != nil && e.holder == in.Holder && e.state != LedgerWaiting && e.run == nil {
		c.ledger.forget(in.ID)
	}
}

// closeLost ends the runs of a holder that its report does not list as
// granted. One that it lists as waiting was granted in a message that was
// lost with the old session: the holder will not use that grant and
// registers again. Any other one has finished.
func (c *Cell) closeLost(h ident.Incarnation, known map[ident.RequestID]LedgerState) {
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

// adoptOrphans gives the runs of a holder back to it: it had only lost its
// way to us.
func (c *Cell) adoptOrphans(h ident.Incarnation) {
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

func (c *Cell) heard(e Heard) {
	s := c.sessions[e.Holder]
	if s == nil || s.ended || e.Stamp < s.stamp {
		return
	}
	s.stamp, s.heardAt = e.Stamp, c.now
	c.unpark(e.Holder)
}

// unpark lets the requests of a holder that is fresh again compete.
func (c *Cell) unpark(h ident.Incarnation) {
	if len(c.parked) == 0 || !c.granting(h) {
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

// left ends a session by the holder's own goodbye. From here on another home
// grants to it, so our ledger covers it no longer.
func (c *Cell) left(e Left) {
	if s := c.sessions[e.Holder]; s != nil {
		c.end(s, false)
		// Not even a proved end soon after covers it: another home may have
		// granted to it since.
		s.reported = false
	}
}

// gone ends the session of a holder that died or is out of reach.
//
// Guard: a holder that only lost its way to us may be granted the same id by
// another home. It keeps MoveHold after its last stamp before it does so.
// Therefore an end that is proved within MoveHold of the last stamp means
// that everything it was ever granted stands in our ledger; any other end
// leaves it uncovered, and a resend of its requests is told unknown.
func (c *Cell) gone(e Gone) {
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
	c.end(s, e.Proved && s.reported && c.now.Sub(s.heardAt) < MoveHold)
	if !s.covered {
		c.emit(Action{Kind: HolderUncovered, Holder: s.holder})
	}
}

func (c *Cell) end(s *session, covered bool) {
	s.ended, s.covered, s.endedAt = true, covered, c.now
	c.dropWaitingOf(s.holder)
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

// dropWaitingOf takes the waiting requests of a holder out of the queue:
// the holder that leaves registers them elsewhere, and a dead one will never
// use a grant.
func (c *Cell) dropWaitingOf(h ident.Incarnation) {
	for _, q := range c.tiers {
		for _, it := range append([]*item(nil), q.shed.items...) {
			if it.req.Holder == h {
				c.unwait(it)
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

// expireSessions forgets ended holders past the horizon: their ids cannot be
// resent any more.
func (c *Cell) expireSessions() {
	for inc, s := range c.sessions {
		if s.ended && c.now.Sub(s.endedAt) > c.horizon {
			delete(c.sessions, inc)
		}
	}
}

func (c *Cell) inherit(e Inherit) {
	for _, in := range e.Entries {
		c.ledger.adopt(c.now, in)
	}
	for _, inc := range e.Covered {
		if s := c.sessions[inc]; s == nil {
			c.sessions[inc] = &session{holder: inc, reported: true, ended: true, covered: true, endedAt: c.now, heardAt: c.now}
		}
	}
}

// Handover returns what the next home needs: the ledger, and the ended
// holders that it covers.
func (c *Cell) Handover() Inherit {
	h := Inherit{Entries: c.ledger.export()}
	for inc, s := range c.sessions {
		if s.ended && s.covered {
			h.Covered = append(h.Covered, inc)
		}
	}
	return h
}
