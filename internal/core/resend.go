package core

import (
	"bytes"
	"sort"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
)

// resend is a request that came through another holder than before. It waits
// until each holder tried earlier has given the id up, or its end is proved
// and covered by our ledger.
type resend struct {
	req  Request
	open []ident.Incarnation // holders whose word is missing
}

// register takes a request, or tells its holder what became of the id.
func (c *Cell) register(r Request) {
	if e := c.ledger.get(r.ID); e != nil {
		c.registerKnown(r, e)
		return
	}
	if pending := c.resends[r.ID]; pending != nil {
		c.refuseRepeat(r, pending)
		return
	}
	if !r.Resend {
		c.accept(r)
		return
	}
	c.startResend(r, r.Tried)
}

func (c *Cell) refuseRepeat(r Request, pending *resend) {
	if pending.req.Holder != r.Holder {
		c.emit(Action{Kind: Attach, To: r.Holder, ID: r.ID, Holder: pending.req.Holder})
	}
}

// registerKnown handles an id that the ledger has. The same holder only
// repeats itself: a grant that was lost with an old session is settled by its
// report. Another holder is attached to what was granted; what only waits is
// revoked first when the caller says that it lost the other holder. Two
// callers with one key each go on through their own host: the second one
// follows the first, since revoking would let them revoke each other for ever.
func (c *Cell) registerKnown(r Request, e *entry) {
	switch {
	case e.holder == r.Holder && (e.state == LedgerWaiting || e.attempt == r.Attempt):
		return
	case e.holder == r.Holder:
		// The holder took a new attempt for an id that an older one of its
		// own was granted for: it does not have that record any more.
		c.emit(Action{Kind: Attach, To: r.Holder, ID: r.ID, Holder: e.holder, Server: e.server})
	case e.state == LedgerWaiting && (r.Resend || !c.granting(e.holder)):
		tried := appendMissing(append([]ident.Incarnation(nil), r.Tried...), e.holder)
		c.startResend(r, tried)
	default:
		c.emit(Action{Kind: Attach, To: r.Holder, ID: r.ID, Holder: e.holder, Server: e.server})
	}
}

func appendMissing(list []ident.Incarnation, inc ident.Incarnation) []ident.Incarnation {
	for _, v := range list {
		if v == inc {
			return list
		}
	}
	return append(list, inc)
}

// startResend asks every tried holder for its word. It is asked even where
// our ledger has nothing of the id: the request may be on its way from the
// holder, or the holder may follow another home.
func (c *Cell) startResend(r Request, tried []ident.Incarnation) {
	p := &resend{req: r}
	for _, inc := range tried {
		if inc == r.Holder || inc == 0 {
			continue
		}
		s := c.sessions[inc]
		if s != nil && s.ended && s.covered {
			continue
		}
		p.open = append(p.open, inc)
		if s != nil && !s.ended {
			c.emit(Action{Kind: Revoke, To: inc, ID: r.ID})
		}
	}
	c.resends[r.ID] = p
	c.settle(p)
}

// settle ends a resend whose holders have all spoken. A holder that ended
// without proof leaves it unproved, unless the claim row will prove it.
func (c *Cell) settle(p *resend) {
	for _, inc := range p.open {
		s := c.sessions[inc]
		if s != nil && !s.ended || s == nil && c.isLive(inc) {
			return // its answer is still to come
		}
	}
	delete(c.resends, p.req.ID)
	if len(p.open) > 0 && !p.req.Claimed {
		c.emit(Action{Kind: Unproved, To: p.req.Holder, ID: p.req.ID, Reason: failure.NotCovered})
		return
	}
	c.forgetWaiting(p.req.ID)
	c.accept(p.req)
}

func (c *Cell) isLive(inc ident.Incarnation) bool {
	for _, v := range c.live {
		if v == inc {
			return true
		}
	}
	return false
}

// askAgain repeats the revocations that a holder's old session may have lost
// or that waited for its first session.
func (c *Cell) askAgain(h ident.Incarnation) {
	for _, p := range c.pendingOn(h) {
		c.emit(Action{Kind: Revoke, To: h, ID: p.req.ID})
	}
}

// locate answers where an id is held, for a caller that attaches again.
func (c *Cell) locate(e Locate) {
	if known := c.ledger.get(e.ID); known != nil {
		c.emit(Action{Kind: Attach, To: e.Asker, ID: e.ID, Holder: known.holder, Server: known.server})
		return
	}
	c.emit(Action{Kind: Unproved, To: e.Asker, ID: e.ID, Reason: failure.UnknownRequest})
}

// forgetWaiting drops an old holder's waiting line after its word was given.
func (c *Cell) forgetWaiting(id ident.RequestID) {
	e := c.ledger.get(id)
	if e == nil || e.state != LedgerWaiting {
		return
	}
	if e.item != nil && e.item.inTimer >= 0 {
		c.unwait(e.item)
	}
	c.parked = remove(c.parked, e.item)
	c.ledger.forget(id)
}

// revokeAnswer takes a holder's word on a resent id.
func (c *Cell) revokeAnswer(e RevokeAnswer) {
	p := c.resends[e.ID]
	if p == nil {
		return
	}
	if e.Verdict == Dispatched {
		delete(c.resends, e.ID)
		c.emit(Action{Kind: Attach, To: p.req.Holder, ID: e.ID, Holder: e.Holder, Server: e.Server})
		return
	}
	c.closeRevoked(e)
	p.open = remove(p.open, e.Holder)
	c.settle(p)
}

// closeRevoked frees what a holder had of an id that it gave up: a waiting
// line, or a grant that crossed the revocation and will not be used.
func (c *Cell) closeRevoked(e RevokeAnswer) {
	entry := c.ledger.get(e.ID)
	if entry == nil || entry.holder != e.Holder {
		return
	}
	if entry.run != nil {
		entry.run.server.finish(c.now, entry.run)
		entry.run = nil
		c.ledger.forget(e.ID)
		return
	}
	c.forgetWaiting(e.ID)
}

// resolveResends looks again at the resends that wait for a holder that has
// ended.
func (c *Cell) resolveResends(h ident.Incarnation) {
	s := c.sessions[h]
	for _, p := range c.pendingOn(h) {
		if s.covered {
			p.open = remove(p.open, h)
		}
		if e := c.ledger.get(p.req.ID); e != nil && e.state != LedgerWaiting {
			delete(c.resends, p.req.ID)
			c.emit(Action{Kind: Attach, To: p.req.Holder, ID: p.req.ID, Holder: e.holder, Server: e.server})
			continue
		}
		c.settle(p)
	}
}

// pendingOn lists the resends that wait for a holder, in the order of their
// ids so that Step stays deterministic.
func (c *Cell) pendingOn(h ident.Incarnation) []*resend {
	var out []*resend
	for _, p := range c.resends {
		for _, inc := range p.open {
			if inc == h {
				out = append(out, p)
			}
		}
	}
	sortResends(out)
	return out
}

// expireResends ends what waits for a silent holder past its deadline.
func (c *Cell) expireResends() {
	var late []*resend
	for _, p := range c.resends {
		if c.now >= p.req.Deadline {
			late = append(late, p)
		}
	}
	sortResends(late)
	for _, p := range late {
		delete(c.resends, p.req.ID)
		c.emit(Action{Kind: Unproved, To: p.req.Holder, ID: p.req.ID, Reason: failure.HolderLost})
	}
}

// accept queues a request that nobody else holds.
func (c *Cell) accept(r Request) {
	s := c.sessions[r.Holder]
	if s == nil || s.ended {
		return // the holder registers again when its session opens
	}
	q := c.tier(r.Tier)
	c.nextSeq++
	it := &item{req: r, arrived: c.now, seq: c.nextSeq, inGroup: -1, inShed: -1, inTimer: -1, inAged: -1, inAgedHeld: -1}
	if c.now >= c.latestStart(&r) {
		c.refuseLate(it)
		return
	}
	share := c.shares[r.Account]
	if share <= 0 {
		share = 1
	}
	it.tag = q.tagFor(r.Account, c.workOf(&r), share)
	c.ledger.waiting(c.now, it)
	if !c.admit(it) {
		c.refuse(&r, failure.Overload)
		return
	}
	c.enqueue(it)
}

// refuseLate turns away what could not be answered in time by an idle cell.
// That is the request's own doing, not overload, so nobody else is shed.
func (c *Cell) refuseLate(it *item) {
	c.refuse(&it.req, failure.Deadline)
}

// withdraw drops a waiting request that its holder gave up.
func (c *Cell) withdraw(e Withdraw) {
	if p := c.resends[e.ID]; p != nil && p.req.Holder == e.Holder {
		delete(c.resends, e.ID)
	}
	entry := c.ledger.get(e.ID)
	if entry == nil || entry.holder != e.Holder {
		return
	}
	if entry.run != nil {
		// The grant crossed the withdrawal; the holder does not use it.
		entry.run.server.finish(c.now, entry.run)
		s := entry.run.server
		entry.run = nil
		c.ledger.forget(e.ID)
		c.fill(s)
		return
	}
	c.forgetWaiting(e.ID)
}

func sortResends(list []*resend) {
	sort.Slice(list, func(i, j int) bool {
		return bytes.Compare(list[i].req.ID[:], list[j].req.ID[:]) < 0
	})
}
