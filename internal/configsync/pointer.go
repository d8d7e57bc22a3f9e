// Package configsync keeps the configuration in force on a host. The version
// row in the table service is the one place where versions are decided; a
// host polls it, tells peers its version and takes a newer document from
// whoever has it. The higher version wins, always: a host never steps back.
//
// Failure cases: the store is down (peers still spread an accepted change,
// and a new host takes the document from them); the answer to a change is
// lost (the row names the newest changes by id, so it is read back, never
// written blindly again); operators race (the version row is changed by
// compare-and-set, the loser gets a Conflict that shows both sides).
package configsync

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// rowKey names the version row.
const rowKey = "config/current"

// keptChanges is how many changes the version row remembers. A change whose
// answer was lost can be told apart from a lost race as long as fewer than
// this many changes followed it.
const keptChanges = 32

// Change is one accepted change.
type Change struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author,omitempty"`
	At       time.Time `json:"at"`
	Object   string    `json:"object"` // name of the document in the object store
}

// pointer is the value of the version row, newest change last.
type pointer struct {
	Changes []Change `json:"changes"`
}

func decodePointer(value []byte) (pointer, error) {
	var p pointer
	if len(value) == 0 {
		return p, nil
	}
	err := json.Unmarshal(value, &p)
	return p, failure.Wrap(failure.BadConfig, err, "version row")
}

func (p pointer) newest() Change {
	if len(p.Changes) == 0 {
		return Change{}
	}
	return p.Changes[len(p.Changes)-1]
}

func (p pointer) find(changeID string) (Change, bool) {
	for _, c := range p.Changes {
		if c.ChangeID == changeID {
			return c, true
		}
	}
	return Change{}, false
}

// with returns the pointer after one more change.
func (p pointer) with(c Change) pointer {
	all := append(append([]Change(nil), p.Changes...), c)
	if len(all) > keptChanges {
		all = all[len(all)-keptChanges:]
	}
	return pointer{Changes: all}
}

func objectName(document []byte) string {
	sum := sha256.Sum256(document)
	return "config-" + hex.EncodeToString(sum[:])
}
