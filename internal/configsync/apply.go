package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/platform"
)

// Proposal is an operator's change.
type Proposal struct {
	Base     uint64 `json:"base"`      // the version it was made from
	ChangeID string `json:"change_id"` // unique; settles lost answers
	Author   string `json:"author"`
	Text     []byte `json:"text"`
}

// doubtPause is the wait between two looks at the row after a lost answer.
const doubtPause = 100 * time.Millisecond

func versionDetail(version uint64, changeID string) string {
	return fmt.Sprintf("version %d change %s", version, changeID)
}

// Apply checks a proposal and makes it the newest version. It returns the
// accepted change; a repeated call with the same change id returns the same
// change. It fails with Conflict when another change came first, and with
// StoreDown when ctx ends before the outcome is known: then the change may
// have been accepted, and the same call tells later.
func (s *Syncer) Apply(ctx context.Context, p Proposal) (Change, error) {
	if p.ChangeID == "" {
		return Change{}, failure.New(failure.BadRequest, "a change needs a change id")
	}
	if _, err := config.Decode(p.Text); err != nil {
		return Change{}, err
	}
	object := objectName(p.Text)
	if err := s.objects.PutObject(ctx, object, p.Text); err != nil {
		return Change{}, err
	}
	for {
		change, settled, err := s.try(ctx, p, object)
		if settled {
			return change, err
		}
		s.events.Record(event.ConfigInDoubt, event.Fields{Detail: p.ChangeID + ": " + err.Error()})
		select {
		case <-time.After(doubtPause):
		case <-ctx.Done():
			return Change{}, failure.Wrap(failure.StoreDown, err, "change %s is in doubt; ask again with the same change id", p.ChangeID)
		}
	}
}

// try reads the row and writes it once.
//
// Guard: a write whose answer was lost may have taken effect, so a second
// write could meet its own first one and report a conflict that is none. The
// row is read before each write and names the newest changes: when ours is
// among them it was accepted, whatever came after it.
func (s *Syncer) try(ctx context.Context, p Proposal, object string) (Change, bool, error) {
	row, err := s.table.Get(ctx, rowKey)
	if err != nil {
		return Change{}, false, err
	}
	ptr, err := decodePointer(row.Value)
	if err != nil {
		return Change{}, true, err
	}
	if done, ok := ptr.find(p.ChangeID); ok {
		s.accepted(done, p)
		return done, true, nil
	}
	if ptr.newest().Version != p.Base {
		return Change{}, true, s.conflict(ctx, p, ptr.newest())
	}
	change := Change{Version: p.Base + 1, ChangeID: p.ChangeID, Author: p.Author, At: time.Now().UTC(), Object: object}
	value, err := json.Marshal(ptr.with(change))
	if err != nil {
		return Change{}, true, failure.Wrap(failure.Internal, err, "encode version row")
	}
	results, err := s.table.Apply(ctx, []platform.Write{{Key: rowKey, Value: value, IfVersion: row.Version}})
	if err != nil {
		return Change{}, false, err
	}
	if !results[0].Done {
		return Change{}, false, failure.New(failure.Conflict, "the version row moved")
	}
	s.accepted(change, p)
	return change, true, nil
}

func (s *Syncer) accepted(c Change, p Proposal) {
	s.events.Record(event.ConfigApplied, event.Fields{Detail: versionDetail(c.Version, c.ChangeID)})
	s.take(c.Version, c.ChangeID, p.Text, event.ConfigInForce)
}

// conflict shows both sides: what the other change did and what this one
// wanted, both against the common base where that is still known.
func (s *Syncer) conflict(ctx context.Context, p Proposal, newest Change) error {
	s.events.Record(event.ConfigConflict, event.Fields{Detail: p.ChangeID + " lost to " + newest.ChangeID})
	theirs := s.document(ctx, newest.Object)
	mine, err := config.Decode(p.Text)
	if err != nil {
		return err
	}
	between, err := config.Diff(theirs, mine)
	if err != nil {
		return err
	}
	lines := make([]string, 0, len(between))
	for _, c := range between {
		lines = append(lines, "  "+c.String())
	}
	return failure.New(failure.Conflict,
		"based on version %d, but version %d by %q (change %s) is in force; from theirs to yours:\n%s",
		p.Base, newest.Version, newest.Author, newest.ChangeID, strings.Join(lines, "\n"))
}

func (s *Syncer) document(ctx context.Context, object string) *config.Document {
	text, err := s.objects.GetObject(ctx, object)
	if err != nil {
		return nil
	}
	doc, err := config.Decode(text)
	if err != nil {
		return nil
	}
	return doc
}

// History lists the newest accepted changes, oldest first.
func (s *Syncer) History(ctx context.Context) ([]Change, error) {
	row, err := s.table.Get(ctx, rowKey)
	if err != nil {
		return nil, err
	}
	p, err := decodePointer(row.Value)
	return p.Changes, err
}

// Offer answers a peer that asks for a version above its own.
func (s *Syncer) Offer(above uint64) (*InForce, bool) {
	c := s.Current()
	if c == nil || c.Version <= above {
		return nil, false
	}
	return c, true
}
