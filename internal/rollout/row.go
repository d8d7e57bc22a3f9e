package rollout

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Row is what the store keeps of a roll-out for the host that takes it up next. Its writer
// is the only one that may change it: whoever takes the roll-out up writes it anew under the
// condition that it is as it was read.
type Row struct {
	Order   int64  `json:"order"` // version of the order's row
	To      string `json:"to"`
	Phase   Phase  `json:"phase"`
	By      string `json:"by"`       // the host that carries it, with its incarnation
	BegunMs int64  `json:"begun_ms"` // of the order, on the store's clock
	Why     string `json:"why,omitempty"`
}

// Begun is the moment of the order on the store's clock.
func (r Row) Begun() time.Duration { return time.Duration(r.BegunMs) * time.Millisecond }

// Over reports whether the roll-out has ended.
func (r Row) Over() bool { return r.Phase == Moved || r.Phase == TakenBack }

// State is what operators are told.
func (r Row) State() State {
	switch r.Phase {
	case Moved:
		return Completed
	case TakenBack:
		return RolledBack
	}
	return Running
}

// Encode writes the row.
func (r Row) Encode() ([]byte, error) {
	text, err := json.Marshal(r)
	return text, failure.Wrap(failure.Internal, err, "encode a roll-out")
}

// DecodeRow reads a row. It fails with BadConfig.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	return r, failure.Wrap(failure.BadConfig, json.Unmarshal(value, &r), "decode a roll-out")
}

// wishKey begins the key of an operator's wish; the service follows.
const wishKey = "wish/"

// WishKey is the key of the row with an operator's wish for a service's roll-out.
func WishKey(service string) string { return wishKey + service }

// WishOf returns the service that the key of a wish names.
func WishOf(key string) (service string, ok bool) { return strings.CutPrefix(key, wishKey) }
