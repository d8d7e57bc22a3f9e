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

// Proposal is a configuration that an operator proposes to replace version Base.
type Proposal struct {
	Base     uint64 `json:"base"`      // the version that it is based on
	ChangeID string `json:"change_id"` // unique; identifies the change after a lost answer
	Author   string `json:"author"`
	Text     []byte `json:"text"`
}

// outcomeRetryPause is the pause between two attempts while the outcome of a change is unknown.
const outcomeRetryPause = 100 * time.Millisecond

func versionDetail(version uint64, changeID string) string {
	return fmt.Sprintf("version %d change %s", version, changeID)
}

// Apply validates a proposal and makes it the newest version. It returns the accepted change; a
// repeated call with the same change id returns the same change. It fails with Conflict if
// another change came first, and with StoreDown if ctx ends before the outcome is known: the
// change may have been accepted then, and a repeated call returns the outcome.
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
		change, known, err := s.tryApply(ctx, p, object)
		if known {
			return change, err
		}
		s.events.Record(event.ConfigInDoubt, event.Fields{Detail: p.ChangeID + ": " + err.Error()})
		select {
		case <-time.After(outcomeRetryPause):
		case <-ctx.Done():
			return Change{}, failure.Wrap(failure.StoreDown, err, "change %s is in doubt; ask again with the same change id", p.ChangeID)
		}
	}
}

// tryApply reads the version row and writes it once. It returns false if the outcome is unknown or
// the row has changed in between; Apply then tries again.
//
// A write whose answer was lost may have taken effect, so a second write could fail on the
// first one and report a false conflict. Therefore the row, which lists the newest changes, is
// read before each write: if this change is among them it was accepted, regardless of later
// changes.
func (s *Syncer) tryApply(ctx context.Context, p Proposal, object string) (Change, bool, error) {
	row, err := s.table.Get(ctx, rowKey)
	if err != nil {
		return Change{}, false, err
	}
	current, err := decodeVersionRow(row.Value)
	if err != nil {
		return Change{}, true, err
	}
	if accepted, ok := current.find(p.ChangeID); ok {
		s.applyAccepted(accepted, p)
		return accepted, true, nil
	}
	if current.newest().Version != p.Base {
		return Change{}, true, s.conflict(ctx, p, current.newest())
	}
	change := Change{Version: p.Base + 1, ChangeID: p.ChangeID, Author: p.Author, At: time.Now().UTC(), Object: object}
	value, err := json.Marshal(current.withChange(change))
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
	s.applyAccepted(change, p)
	return change, true, nil
}

// applyAccepted records an accepted change and puts it in force on this host.
func (s *Syncer) applyAccepted(c Change, p Proposal) {
	s.events.Record(event.ConfigApplied, event.Fields{Detail: versionDetail(c.Version, c.ChangeID)})
	s.applyIfNewer(c.Version, c.ChangeID, p.Text, event.ConfigInForce)
}

// conflict returns a Conflict with the differences from the configuration in force to the
// proposed one.
func (s *Syncer) conflict(ctx context.Context, p Proposal, newest Change) error {
	s.events.Record(event.ConfigConflict, event.Fields{Detail: p.ChangeID + " lost to " + newest.ChangeID})
	theirs := s.document(ctx, newest.Object)
	mine, err := config.Decode(p.Text)
	if err != nil {
		return err
	}
	changes, err := config.Diff(theirs, mine)
	if err != nil {
		return err
	}
	lines := make([]string, 0, len(changes))
	for _, c := range changes {
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

// History returns the newest accepted changes, oldest first.
func (s *Syncer) History(ctx context.Context) ([]Change, error) {
	row, err := s.table.Get(ctx, rowKey)
	if err != nil {
		return nil, err
	}
	versions, err := decodeVersionRow(row.Value)
	return versions.Changes, err
}

// NewerThan returns the configuration in force if its version is above the given one. It answers
// the requests of peers.
func (s *Syncer) NewerThan(above uint64) (*InForce, bool) {
	c := s.Current()
	if c == nil || c.Version <= above {
		return nil, false
	}
	return c, true
}
