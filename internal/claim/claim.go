// Package claim inserts the rows that make a non-idempotent request run at
// most once even when its holder and the home of its service die together:
// no host dispatches such a request before its own row is in the table
// service. Rows of many requests are inserted in one call, because the table
// takes several hundred writes a second in all.
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
	queueSize   = 1024
	groupSize   = 64
	retryPause  = 50 * time.Millisecond
	releaseLife = 30 * time.Second
	// A row that is not ours is looked at so often before a release ends.
	releaseLooks = 3
	releaseWait  = 1 * time.Second
)

// Owner is the value of a claim row.
type Owner struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Token       ident.RequestID   `json:"token"` // unique for each claim
	Server      ident.ServerID    `json:"server"`
	Expires     time.Time         `json:"expires"` // the platform's clean-up goes by it
}

// Result is the outcome of a claim. Err is set when the outcome is not
// known: then the request must not be dispatched.
type Result struct {
	Won     bool
	Owner   Owner  // of the row, when another one has it
	Version uint64 // of the row, for Takeover
	Err     error
}

type ask struct {
	ctx       context.Context
	id        ident.RequestID
	mine      Owner
	ifVersion uint64
	done      chan Result
}

// Claimer is the duty that groups the inserts of one host.
type Claimer struct {
	table  platform.Table
	events *event.Recorder
	asks   *ring.Ring[*ask]
}

// New makes a claimer; Run starts it.
func New(table platform.Table, events *event.Recorder) *Claimer {
	return &Claimer{table: table, events: events, asks: ring.New[*ask](queueSize)}
}

// Key names the row of an id.
func Key(id ident.RequestID) string { return "claim/" + id.String() }

// Claim inserts the row of id, or replaces the version ifVersion of it (0:
// there must be none). It answers when the outcome is known or ctx ends.
func (c *Claimer) Claim(ctx context.Context, id ident.RequestID, mine Owner, ifVersion uint64) Result {
	a := &ask{ctx: ctx, id: id, mine: mine, ifVersion: ifVersion, done: make(chan Result, 1)}
	if !c.asks.TryPush(a) {
		return Result{Err: failure.New(failure.RingFull, "%d claims wait", queueSize)}
	}
	select {
	case r := <-a.done:
		return r
	case <-ctx.Done():
		return Result{Err: failure.Wrap(failure.StoreDown, ctx.Err(), "claim of %s", id)}
	}
}

// Run inserts groups until ctx ends. Groups go out one after another: while
// one is on its way the next one gathers.
func (c *Claimer) Run(ctx context.Context) {
	var waiting []*ask
	for {
		waiting = c.asks.Drain(waiting)
		if len(waiting) == 0 {
			select {
			case <-c.asks.Ready():
				continue
			case <-ctx.Done():
				return
			}
		}
		n := min(groupSize, len(waiting))
		again := c.insert(ctx, waiting[:n])
		waiting = append(again, waiting[n:]...)
		if len(again) > 0 && !pause(ctx, retryPause) {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// insert sends one group and returns the asks that must be tried again.
func (c *Claimer) insert(ctx context.Context, group []*ask) []*ask {
	writes := make([]platform.Write, 0, len(group))
	live := group[:0:0]
	for _, a := range group {
		value, err := json.Marshal(a.mine)
		if err != nil || a.ctx.Err() != nil {
			continue
		}
		writes = append(writes, platform.Write{Key: Key(a.id), Value: value, IfVersion: a.ifVersion})
		live = append(live, a)
	}
	if len(live) == 0 {
		return nil
	}
	results, err := c.table.Apply(ctx, writes)
	if err != nil {
		return c.settle(ctx, live)
	}
	for i, a := range live {
		a.done <- judge(a, results[i].Row)
	}
	return nil
}

// settle reads back the rows of a group whose answer was lost.
//
// Guard: the insert may have taken effect without our knowing. Inserting
// again under a new token would find our own row and call the request taken;
// dispatching without knowing could run it twice. The row tells by its
// token. Only a row that is not there is inserted again, under the same
// token, so it does not matter if the first insert still arrives.
func (c *Claimer) settle(ctx context.Context, group []*ask) []*ask {
	var again []*ask
	for _, a := range group {
		if a.ctx.Err() != nil {
			continue
		}
		c.events.Record(event.ClaimInDoubt, event.Fields{Request: a.id.String()})
		row, err := c.table.Get(ctx, Key(a.id))
		if err != nil || row.Version == a.ifVersion {
			again = append(again, a)
			continue
		}
		a.done <- judge(a, row)
	}
	return again
}

func judge(a *ask, row platform.Row) Result {
	var owner Owner
	if err := json.Unmarshal(row.Value, &owner); err != nil {
		return Result{Err: failure.Wrap(failure.StoreDown, err, "claim row of %s", a.id)}
	}
	return Result{Won: owner.Token == a.mine.Token, Owner: owner, Version: row.Version}
}

// Release deletes the row of a claim that was not used, for as long as it is
// ours. It tries for releaseLife and gives up then: a row that stays makes a
// later resend ask this host, which knows that nothing ran.
//
// Guard: the insert may still be on its way when the claim is given up, and
// arrive after a first look found nothing to delete; the row would then block
// its key. So the row is looked at again a few times.
func (c *Claimer) Release(ctx context.Context, id ident.RequestID, mine Owner) {
	ctx, cancel := context.WithTimeout(ctx, releaseLife)
	defer cancel()
	for looks := 0; looks < releaseLooks; {
		ours, err := c.deleteOurs(ctx, id, mine)
		if err == nil && ours {
			return
		}
		wait := retryPause
		if err == nil {
			looks++
			wait = releaseWait
		}
		if !pause(ctx, wait) {
			return
		}
	}
}

// deleteOurs deletes the row if it carries our token; ours tells whether it
// did.
func (c *Claimer) deleteOurs(ctx context.Context, id ident.RequestID, mine Owner) (ours bool, err error) {
	row, err := c.table.Get(ctx, Key(id))
	if err != nil {
		return false, err
	}
	var owner Owner
	if json.Unmarshal(row.Value, &owner) != nil || owner.Token != mine.Token {
		return false, nil
	}
	_, err = c.table.Apply(ctx, []platform.Write{{Key: Key(id), IfVersion: row.Version, Delete: true}})
	return err == nil, err
}
