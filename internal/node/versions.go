package node

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/sched"
)

// clockMargin covers clocks of hosts that differ or were set.
const clockMargin = 10 * time.Second

// versionRow is a row of the table of versions: the software versions of a service that are listed, since
// when. A host that has just started knows from it whether streams can have begun at another version.
type versionRow struct {
	Versions  []string `json:"versions"`
	ChangedMs int64    `json:"changedMs"` // Unix time of the last change, 0: there was none
}

// versionStore keeps the history of versions in the platform's store: a read at a new home, a write when
// servers of a version are first or no longer listed. Its fields belong to the goroutine of join.
type versionStore struct {
	node    *Node
	loaded  bool
	written map[string]versionRow // by service
}

// check reads the rows once this host has become the home and knows servers, and writes those that have
// changed.
func (v *versionStore) check(ctx context.Context, home bool) {
	if !home {
		v.loaded = false
		return
	}
	var now time.Time
	histories := func() (out []sched.VersionHistory) {
		v.node.loop.QueryAt(ctx, func(at sched.Time, s *sched.Scheduler) { now, out = time.Now(), s.VersionHistories(at) })
		return out
	}
	known := histories()
	if len(known) == 0 {
		return
	}
	if !v.loaded {
		if v.load(ctx) != nil {
			return
		}
		v.loaded, known = true, histories()
	}
	for _, h := range known {
		row := versionRow{Versions: h.Versions}
		if h.Changed {
			row.ChangedMs = now.Add(-h.Age).UnixMilli()
		}
		if old, written := v.written[h.Service]; written && !row.differs(old) {
			continue
		}
		value, err := json.Marshal(row)
		if err == nil && v.node.platform.Writer.Put(ctx, v.node.platform.VersionTable, h.Service, value) == nil {
			v.written[h.Service] = row
		}
	}
}

// differs reports whether a row has to be written again. A time that was read is later by clockMargin.
func (r versionRow) differs(old versionRow) bool {
	return !slices.Equal(r.Versions, old.Versions) || r.ChangedMs > old.ChangedMs+clockMargin.Milliseconds()+time.Second.Milliseconds()
}

// load reads the rows and passes them to the scheduler.
func (v *versionStore) load(ctx context.Context) error {
	rows, _, err := v.node.platform.Tables.Snapshot(ctx, v.node.platform.VersionTable)
	if err != nil {
		return err
	}
	v.written = map[string]versionRow{}
	var histories []sched.VersionHistory
	now := time.Now()
	for _, r := range rows {
		var row versionRow
		h := sched.VersionHistory{Service: r.Key, Changed: true}
		if json.Unmarshal(r.Value, &row) == nil {
			h.Versions, h.Changed = row.Versions, row.ChangedMs != 0
			h.Age = max(0, now.Sub(time.UnixMilli(row.ChangedMs))-clockMargin)
			v.written[r.Key] = row
		}
		histories = append(histories, h)
	}
	v.node.loop.Do(func(at sched.Time, s *sched.Scheduler) { s.LearnVersionHistories(at, histories) })
	return nil
}
