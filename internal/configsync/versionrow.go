// Package configsync maintains the configuration in force on a host. Only the version row in the
// table service decides which version is the newest. The Syncer of a host polls this row, reads
// a newer document from the object store or from a peer that has it, and writes operators'
// changes. The higher version always wins: a host never goes back to a lower one.
//
// Failure cases: the store is down (peers still distribute an accepted change, and a new host
// fetches the document from them); the answer to a change is lost (the row lists the newest
// changes by id, so it is read back before any further write); operators race (the version row
// is changed by compare-and-set, and the loser gets a Conflict that shows both sides).
package configsync

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// rowKey is the key of the version row.
const rowKey = "config/current"

// maxChanges is the maximum number of changes that the version row lists. A change whose answer
// was lost can be distinguished from a lost race while fewer than this many changes have
// followed it.
const maxChanges = 32

// Change is one accepted change.
type Change struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author,omitempty"`
	At       time.Time `json:"at"`
	Object   string    `json:"object"` // name of the document in the object store
}

// versionRow is the value of the version row, newest change last.
type versionRow struct {
	Changes []Change `json:"changes"`
}

func decodeVersionRow(value []byte) (versionRow, error) {
	var r versionRow
	if len(value) == 0 {
		return r, nil
	}
	err := json.Unmarshal(value, &r)
	return r, failure.Wrap(failure.BadConfig, err, "version row")
}

func (r versionRow) newest() Change {
	if len(r.Changes) == 0 {
		return Change{}
	}
	return r.Changes[len(r.Changes)-1]
}

func (r versionRow) find(changeID string) (Change, bool) {
	for _, c := range r.Changes {
		if c.ChangeID == changeID {
			return c, true
		}
	}
	return Change{}, false
}

// withChange returns the row with one more change, limited to the newest maxChanges.
func (r versionRow) withChange(c Change) versionRow {
	changes := append(append([]Change(nil), r.Changes...), c)
	if len(changes) > maxChanges {
		changes = changes[len(changes)-maxChanges:]
	}
	return versionRow{Changes: changes}
}

func objectName(document []byte) string {
	sum := sha256.Sum256(document)
	return "config-" + hex.EncodeToString(sum[:])
}
