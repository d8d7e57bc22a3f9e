package core

import (
	"bytes"
	"sort"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
)

// resend is a request that was tried through another holder before. It waits
// until each tried holder has given the id up, or has ended with proof and is
// covered by the ledger.
type resend struct {
	req        Request
	unanswered []ident.Incarnation // holders that have not answered
}

// register accepts a request, or tells its holder what became of the id.
func (c *Cell) register(r Request) {
	if e := c.ledger.get(r.ID); e != nil {
		c.registerKnown(r, e)
		return
	}
	if pending := c.resends[r.ID]; pending != nil {
		c.attachToPending(r, pending)
		return
	}
	if !r.Resend {
		c.accept(r)
		return
	}
	c.startResend(r, r.Tried)
}

func (c *Cell) attachToPending(r Request, pending *resend) {
	if pending.req.Holder != r.Holder {
		c.emit(Action{Kind: Attach, To: r.Holder, ID: r.ID, Holder: pending.req.Holder})
	}
}

// registerKnown handles an id that is in the ledger. A repetition by the same
// holder, for a waiting id or with the same attempt, is ignored: a grant that
// was lost with an old session is resolved by the holder's report. Another
// holder is attached to a granted id. If the id only waits, it is revoked at its
// holder when the request is a resend, that is, the caller lost that holder, or
// when that holder can't be granted anything now. Otherwise two callers use the
// same key through different hosts, and the second is attached to the first:
// revoking would let them revoke each other forever.
func (c *Cell) registerKnown(r Request, e *entry) {
	switch {
	case e.holder == r.Holder && (e.state == LedgerWaiting || e.attempt == r.Attempt):
		return
	case e.holder == r.Holder:
		// The holder registers a new attempt at an id of which an older attempt
		// was granted to it: it no longer has the record of that one.
		c.emit(Action{Kind: Attach, To: r.Holder, ID: r.ID, Holder: e.holder, Server: e.server})
	case e.state == LedgerWaiting && (r.Resend || !c.mayGrant(e.holder)):
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

// startResend sends a revoke to every tried holder that is not covered, even
// when the ledger does not have the id: the request may be on its way from the
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
		p.unanswered = append(p.unanswered, inc)
		if s != nil && !s.ended {
			c.emit(Action{Kind: Revoke, To: inc, ID: r.ID})
		}
	}
	c.resends[r.ID] = p
	c.settle(p)
}

// settle ends a resend when all its tried holders have answered or ended. If a
// holder is not covered, the result is Unproved, unless the claim row will
// prove whether the id ran.
func (c *Cell) settle(p *resend) {
	for _, inc := range p.unanswered {
		s := c.sessions[inc]
		if s != nil && !s.ended || s == nil && c.isLive(inc) {
			return // its answer is still to come
		}
	}
	delete(c.resends, p.req.ID)
	if len(p.unanswered) > 0 && !p.req.Claimed {
		c.emit(Action{Kind: Unproved, To: p.req.Holder, ID: p.req.ID, Reason: failure.NotCovered})
		return
	}
	c.removeWaitingEntry(p.req.ID)
	c.accept(p.req)
}

func (c *Cell) isLive(inc ident.Incarnation) bool {
	for _, v := range c.liveMembers {
		if v == inc {
			return true
		}
	}
	return false
}

// repeatRevokes sends the revokes again that a holder's old session may have
// lost, or that waited for its first session.
func (c *Cell) repeatRevokes(h ident.Incarnation) {
	for _, p := range c.pendingOn(h) {
		c.emit(Action{Kind: Revoke, To: h, ID: p.req.ID})
	}
}

// locate returns which holder has an id, for a caller that attaches again.
func (c *Cell) locate(e Locate) {
	if known := c.ledger.get(e.ID); known != nil {
		c.emit(Action{Kind: Attach, To: e.Asker, ID: e.ID, Holder: known.holder, Server: known.server})
		return
	}
	c.emit(Action{Kind: Unproved, To: e.Asker, ID: e.ID, Reason: failure.UnknownRequest})
}

// removeWaitingEntry removes an id that only waits from the queue and the
// ledger.
func (c *Cell) removeWaitingEntry(id ident.RequestID) {
	e := c.ledger.get(id)
	if e == nil || e.state != LedgerWaiting {
		return
	}
	if e.item != nil && e.item.timerIndex >= 0 {
		c.removeWaiting(e.item)
	}
	c.parked = remove(c.parked, e.item)
	c.ledger.forget(id)
}

// revokeAnswer handles a holder's answer to a revoke.
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
	c.releaseRevoked(e)
	p.unanswered = remove(p.unanswered, e.Holder)
	c.settle(p)
}

// releaseRevoked frees what a holder had of an id that it gave up: a waiting
// entry, or a grant that crossed the revoke and will not be used.
func (c *Cell) releaseRevoked(e RevokeAnswer) {
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
	c.removeWaitingEntry(e.ID)
}

// resolveResends continues the resends that wait for a holder that has ended.
func (c *Cell) resolveResends(h ident.Incarnation) {
	s := c.sessions[h]
	for _, p := range c.pendingOn(h) {
		if s.covered {
			p.unanswered = remove(p.unanswered, h)
		}
		if e := c.ledger.get(p.req.ID); e != nil && e.state != LedgerWaiting {
			delete(c.resends, p.req.ID)
			c.emit(Action{Kind: Attach, To: p.req.Holder, ID: p.req.ID, Holder: e.holder, Server: e.server})
			continue
		}
		c.settle(p)
	}
}

// pendingOn returns the resends that wait for a holder, ordered by id so that
// Step stays deterministic.
func (c *Cell) pendingOn(h ident.Incarnation) []*resend {
	var out []*resend
	for _, p := range c.resends {
		for _, inc := range p.unanswered {
			if inc == h {
				out = append(out, p)
			}
		}
	}
	sortResends(out)
	return out
}

// expireResends ends the resends whose deadline passed without an answer.
func (c *Cell) expireResends() {
	var expired []*resend
	for _, p := range c.resends {
		if c.now >= p.req.Deadline {
			expired = append(expired, p)
		}
	}
	sortResends(expired)
	for _, p := range expired {
		delete(c.resends, p.req.ID)
		c.emit(Action{Kind: Unproved, To: p.req.Holder, ID: p.req.ID, Reason: failure.HolderLost})
	}
}

// accept queues a request that no other holder has.
func (c *Cell) accept(r Request) {
	s := c.sessions[r.Holder]
	if s == nil || s.ended {
		return // the holder registers again when its session opens
	}
	q := c.tier(r.Tier)
	c.nextSeq++
	it := &item{req: r, arrived: c.now, seq: c.nextSeq, groupIndex: -1, shedIndex: -1, timerIndex: -1, agedIndex: -1, agedCachedIndex: -1}
	if c.now >= c.latestStart(&r) {
		c.refuseLate(it)
		return
	}
	share := c.shares[r.Account]
	if share <= 0 {
		share = 1
	}
	it.startTag = q.flows.Charge(r.Account, c.workOf(&r)/share)
	c.ledger.waiting(c.now, it)
	if !c.admit(it) {
		c.refuse(&r, failure.Overload)
		return
	}
	c.enqueue(it)
}

// refuseLate rejects a request that even the best server could not answer in
// time. The cause is the request's deadline, not overload, so no other request
// is shed.
func (c *Cell) refuseLate(it *item) {
	c.refuse(&it.req, failure.Deadline)
}

// withdraw removes a waiting request that its holder gave up.
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
	c.removeWaitingEntry(e.ID)
}

func sortResends(list []*resend) {
	sort.Slice(list, func(i, j int) bool {
		return bytes.Compare(list[i].req.ID[:], list[j].req.ID[:]) < 0
	})
}
