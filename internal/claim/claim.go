// Package claim inserts claim rows into the table service. They ensure that a non-idempotent
// request runs at most once even if its holder (the entry host that received it) and the home
// of its service (the host that runs the scheduler) fail together: no host dispatches such a
// request before its own row is in the table. A Claimer inserts the rows of many requests in
// one call, because the table service takes only several hundred writes a second in total.
package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/platform"
	"github.com/gentianflow/gentianflow/internal/ring"
)

const (
	queueSize      = 1024
	groupSize      = 64
	retryPause     = 50 * time.Millisecond
	releaseTimeout = 30 * time.Second
	// releaseChecks is the number of checks that must find no row of the claim before Release
	// returns, releaseWait the time between these checks.
	releaseChecks = 3
	releaseWait   = 1 * time.Second
)

// Claimant is the value of a claim row.
type Claimant struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Token       ident.RequestID   `json:"token"` // unique per claim
	Server      ident.ServerID    `json:"server"`
	Expires     time.Time         `json:"expires"` // used by the platform's cleanup
}

// Result is the outcome of a claim. Err is set if the outcome is unknown; the request must not
// be dispatched then.
type Result struct {
	Won     bool
	Owner   Claimant // value of the row: this claim's if Won, else another claim's
	Version uint64   // of the row, for a takeover
	Err     error
}

type pendingClaim struct {
	ctx       context.Context
	id        ident.RequestID
	claimant  Claimant
	ifVersion uint64
	done      chan Result
}

// Claimer groups the inserts of one host.
type Claimer struct {
	table  platform.Table
	events *event.Recorder
	queue  *ring.Ring[*pendingClaim]
}

// New returns a claimer; Run must be started for it to work.
func New(table platform.Table, events *event.Recorder) *Claimer {
	return &Claimer{table: table, events: events, queue: ring.New[*pendingClaim](queueSize)}
}

// Key returns the key of the row of a request.
func Key(id ident.RequestID) string { return "claim/" + id.String() }

// Claim inserts the row of id, or replaces its version ifVersion (0: there must be no row). It
// returns when the outcome is known or ctx ends.
func (c *Claimer) Claim(ctx context.Context, id ident.RequestID, claimant Claimant, ifVersion uint64) Result {
	p := &pendingClaim{ctx: ctx, id: id, claimant: claimant, ifVersion: ifVersion, done: make(chan Result, 1)}
	if !c.queue.TryPush(p) {
		return Result{Err: failure.New(failure.RingFull, "%d claims wait", queueSize)}
	}
	select {
	case r := <-p.done:
		return r
	case <-ctx.Done():
		return Result{Err: failure.Wrap(failure.StoreDown, ctx.Err(), "claim of %s", id)}
	}
}

// Run inserts groups until ctx ends, one at a time: claims that arrive while a call is in flight
// form the next group.
func (c *Claimer) Run(ctx context.Context) {
	var pending []*pendingClaim
	for {
		pending = c.queue.Drain(pending)
		if len(pending) == 0 {
			select {
			case <-c.queue.Ready():
				continue
			case <-ctx.Done():
				return
			}
		}
		n := min(groupSize, len(pending))
		retries := c.insert(ctx, pending[:n])
		pending = append(retries, pending[n:]...)
		if len(retries) > 0 && !sleep(ctx, retryPause) {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// insert sends one group and returns the claims to retry.
func (c *Claimer) insert(ctx context.Context, group []*pendingClaim) []*pendingClaim {
	writes := make([]platform.Write, 0, len(group))
	active := group[:0:0]
	for _, p := range group {
		value, err := json.Marshal(p.claimant)
		if err != nil || p.ctx.Err() != nil {
			continue
		}
		writes = append(writes, platform.Write{Key: Key(p.id), Value: value, IfVersion: p.ifVersion})
		active = append(active, p)
	}
	if len(active) == 0 {
		return nil
	}
	results, err := c.table.Apply(ctx, writes)
	if err != nil {
		return c.readBack(ctx, active)
	}
	for i, p := range active {
		p.done <- resultOf(p, results[i].Row)
	}
	return nil
}

// readBack reads the rows of a group whose answer was lost.
//
// The insert may have taken effect. Inserting again under a new token would find this host's
// own row and treat the request as claimed by another host; dispatching without knowing could
// run it twice. The token in the row decides. Only a missing row is inserted again, under the
// same token, so a late arrival of the first insert does no harm.
func (c *Claimer) readBack(ctx context.Context, group []*pendingClaim) []*pendingClaim {
	var retries []*pendingClaim
	for _, p := range group {
		if p.ctx.Err() != nil {
			continue
		}
		c.events.Record(event.ClaimInDoubt, event.Fields{Request: p.id.String()})
		row, err := c.table.Get(ctx, Key(p.id))
		if err != nil || row.Version == p.ifVersion {
			retries = append(retries, p)
			continue
		}
		p.done <- resultOf(p, row)
	}
	return retries
}

func resultOf(p *pendingClaim, row platform.Row) Result {
	var owner Claimant
	if err := json.Unmarshal(row.Value, &owner); err != nil {
		return Result{Err: failure.Wrap(failure.StoreDown, err, "claim row of %s", p.id)}
	}
	return Result{Won: owner.Token == p.claimant.Token, Owner: owner, Version: row.Version}
}

// Release deletes the row of a claim that was not used, if the row still carries the claim's
// token. It gives up after releaseTimeout: a row that remains makes a later resend ask this
// host, which knows that nothing ran.
//
// The insert may still be in flight when the claim is given up, and arrive after the first
// check found nothing to delete. The row would then block its key, so Release checks several
// times.
func (c *Claimer) Release(ctx context.Context, id ident.RequestID, claimant Claimant) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for checks := 0; checks < releaseChecks; {
		deleted, err := c.deleteOwn(ctx, id, claimant)
		if err == nil && deleted {
			return
		}
		wait := retryPause
		if err == nil {
			checks++
			wait = releaseWait
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

// deleteOwn deletes the row if it carries the token of claimant, and reports whether it did.
func (c *Claimer) deleteOwn(ctx context.Context, id ident.RequestID, claimant Claimant) (deleted bool, err error) {
	row, err := c.table.Get(ctx, Key(id))
	if err != nil {
		return false, err
	}
	var owner Claimant
	if json.Unmarshal(row.Value, &owner) != nil || owner.Token != claimant.Token {
		return false, nil
	}
	_, err = c.table.Apply(ctx, []platform.Write{{Key: Key(id), IfVersion: row.Version, Delete: true}})
	return err == nil, err
}
