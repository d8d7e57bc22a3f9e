package rollout

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Row is the stored state of a rollout, from which another host can resume it. Only the host that
// wrote the row may change it; a host that takes over the rollout rewrites the row under the
// condition that it is unchanged since it was read.
type Row struct {
	Order   int64  `json:"order"` // version of the order's row
	To      string `json:"to"`
	Phase   Phase  `json:"phase"`
	By      string `json:"by"`       // host that runs the rollout, with its incarnation
	BegunMs int64  `json:"begun_ms"` // time of the order, by the store's clock
	Why     string `json:"why,omitempty"`
}

// Begun returns the time of the order by the store's clock.
func (r Row) Begun() time.Duration { return time.Duration(r.BegunMs) * time.Millisecond }

// Over reports whether the rollout has ended.
func (r Row) Over() bool { return r.Phase == Moved || r.Phase == PhaseRolledBack }

// State returns the state shown to operators.
func (r Row) State() State {
	switch r.Phase {
	case Moved:
		return Completed
	case PhaseRolledBack:
		return RolledBack
	}
	return Running
}

// Encode returns the stored form of the row.
func (r Row) Encode() ([]byte, error) {
	text, err := json.Marshal(r)
	return text, failure.Wrap(failure.Internal, err, "encode a roll-out")
}

// DecodeRow decodes a row. It fails with BadConfig.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	return r, failure.Wrap(failure.BadConfig, json.Unmarshal(value, &r), "decode a roll-out")
}

// commandKeyPrefix precedes the service in the key of an operator's command.
const commandKeyPrefix = "wish/"

// CommandKey returns the key of the row with an operator's command for a service's rollout.
func CommandKey(service string) string { return commandKeyPrefix + service }

// ServiceOfCommandKey returns the service in the key of a command.
func ServiceOfCommandKey(key string) (service string, ok bool) {
	return strings.CutPrefix(key, commandKeyPrefix)
}
