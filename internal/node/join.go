package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/store"
)

const (
	// joinTimeout is how long a host that starts waits for gossip of other hosts before it asks
	// the store. Running hosts answer within 10 ms; hosts of a fleet that starts all at once are up
	// within 300 ms of each other, and a small one needs as long again to start its process.
	joinTimeout = 1 * time.Second
	// aloneTimeout is the same for a host whose settings name no other host.
	aloneTimeout = 200 * time.Millisecond
	// firstContactWait is how long a host waits after its first contact with another host while
	// no contact knows the size of the fleet. The first answer states the largest known size, and
	// gossip reports the other hosts within member.SettleTime.
	firstContactWait = 50 * time.Millisecond
	joinPollInterval = 10 * time.Millisecond // how often a joining host checks for contacts
	// hostTablePeriod is how often the home reads the table of hosts, to find hosts on the
	// other side of a healed network partition. A host without contacts starts with
	// hostTableRetry and doubles the interval up to hostTablePeriod.
	hostTablePeriod = 30 * time.Second
	hostTableRetry  = 300 * time.Millisecond
	// hostCheckPeriod is how often a host checks whether it is the home or alone.
	hostCheckPeriod = 500 * time.Millisecond
	// fleetSizeFactor is the factor by which the fleet's size must change for the home to write
	// its row again.
	fleetSizeFactor = 1.25
)

// hostRow is a row of the table of hosts. The home writes one, and so do hosts that found no
// other host when they started. It gives other hosts an address to join through and the number
// of hosts among which shared limits are divided.
type hostRow struct {
	Control string `json:"control"`
	Hosts   int    `json:"hosts"` // known to the host that wrote the row
}

// hostList is the content of the table of hosts.
type hostList struct {
	seeds     []string // control addresses
	fleetSize int      // the largest size that a row gives
}

// join finds the other hosts and helps others to find them.
//
// Seeds of the settings usually answer within milliseconds and report the size of the fleet.
// Only a host without contacts reads the table of hosts. If each of 195 hosts wrote a row and
// read all rows at its start and every 30 s, this would take 800 calls to the store in a load
// run without failures.
func (n *Node) join(ctx context.Context) {
	n.awaitFleet(ctx)
	close(n.joined)
	if n.gossip.ReportedFleetSize() == 0 && n.role() == store.Reader {
		// This host has no contacts, or may be the home of a restarting fleet, which schedules
		// for all hosts as soon as it knows that they are there.
		n.readHostTable(ctx)
	}
	tableSync := hostTableSync{node: n, versions: versionStore{node: n}, retry: hostTableRetry}
	for tableSync.check(ctx, time.Now()); sleep(ctx, hostCheckPeriod); {
		tableSync.check(ctx, time.Now())
	}
}

// awaitFleet waits until another host has reported the size of the fleet, but no longer than
// joinTimeout, and no longer than firstContactWait after the first contact.
func (n *Node) awaitFleet(ctx context.Context) {
	start, timeout := time.Now(), joinTimeout
	if !slices.ContainsFunc(n.settings.Seeds, func(seed string) bool { return seed != n.peerAddress() }) {
		timeout = aloneTimeout
	}
	var firstContact time.Time
	for n.gossip.ReportedFleetSize() == 0 && time.Since(start) < timeout {
		if firstContact.IsZero() && n.members.LiveCount() > 1 {
			firstContact = time.Now()
		}
		if !firstContact.IsZero() && time.Since(firstContact) > firstContactWait {
			return
		}
		if !sleep(ctx, joinPollInterval) {
			return
		}
	}
}

// sleep waits for d and returns true, or false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// hostTableSync keeps this host's row in the table of hosts, if it needs one, and reads the
// table to find other hosts. Its fields belong to the goroutine of join.
type hostTableSync struct {
	node             *Node
	versions         versionStore
	writtenSize      int       // the size in this host's row, 0 if it has none
	nextReleaseCheck time.Time // when to check next whether an operator released something
	nextRead         time.Time // when to read the table next
	restored         restoreCheck
	retry            time.Duration // between reads while this host has no contacts
}

// restoreCheck tells when the store has been restored since the last check. Its field belongs to one goroutine.
type restoreCheck struct{ era *storeEra }

func (c *restoreCheck) check(era *storeEra) (restored bool) {
	restored = c.era != nil && era.number > c.era.number
	c.era = era
	return restored
}

// check writes this host's row and reads the table when they are due. Only the home and a host
// without contacts do so.
func (t *hostTableSync) check(ctx context.Context, now time.Time) {
	n := t.node
	live := n.members.LiveCount()
	alone := live == 1
	home := n.isHome() && n.gossip.Settled()
	if t.restored.check(n.era.Load()) {
		// What this host wrote may be lost. Rows that it knows are written again, if it is the home.
		n.quarantined.loaded.Store(false)
		t.versions.written = map[string]versionRow{}
		t.writtenSize, t.nextRead = 0, now
	}
	t.loadQuarantine(ctx, now, home)
	t.versions.check(ctx, home)
	if !alone && !home {
		t.retry = hostTableRetry
		return
	}
	if t.outdated(live) && n.writeHostRow(ctx, live) == nil {
		t.writtenSize = live
	}
	if now.Before(t.nextRead) {
		return
	}
	n.readHostTable(ctx)
	if alone {
		t.retry = min(hostTablePeriod, 2*t.retry)
		t.nextRead = now.Add(t.retry/2 + rand.N(t.retry))
		return
	}
	t.nextRead = now.Add(hostTablePeriod)
}

// loadQuarantine reads what is in quarantine when this host has become the home, since all hosts that
// knew it may have lost power together. While anything is in quarantine, it also checks every
// releaseCheckPeriod whether an operator has released it.
func (t *hostTableSync) loadQuarantine(ctx context.Context, now time.Time, home bool) {
	quarantined := t.node.quarantined
	switch {
	case !t.node.isHome():
		quarantined.loaded.Store(false)
	case home && (!quarantined.loaded.Load() || quarantined.hasAny() && now.After(t.nextReleaseCheck)):
		_ = quarantined.load(ctx, t.node.loop) // tried again at the next check
		t.nextReleaseCheck = now.Add(releaseCheckPeriod)
	}
}

// outdated reports whether live differs from the size in this host's row by fleetSizeFactor.
func (t *hostTableSync) outdated(live int) bool {
	was, is := float64(t.writtenSize), float64(live)
	return is > was*fleetSizeFactor || was > is*fleetSizeFactor
}

func (n *Node) writeHostRow(ctx context.Context, live int) error {
	row, err := json.Marshal(hostRow{Control: n.peerAddress(), Hosts: live})
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode this host's row")
	}
	return n.platform.Writer.Put(ctx, n.platform.HostTable, n.settings.Host, row)
}

// readHostTable reads the table of hosts. If the store does not answer, the previous list
// stays.
func (n *Node) readHostTable(ctx context.Context) {
	rows, _, err := n.platform.Tables.Snapshot(ctx, n.platform.HostTable)
	if err != nil {
		return // the tables' watchers log that the store is down
	}
	list := hostList{fleetSize: len(rows)}
	for _, r := range rows {
		var h hostRow
		if json.Unmarshal(r.Value, &h) == nil && h.Control != "" {
			list.seeds = append(list.seeds, h.Control)
			list.fleetSize = max(list.fleetSize, h.Hosts)
		}
	}
	n.storedHosts.Store(&list)
}

// knownFleetSize is the largest fleet size reported by other hosts or the store, 0 before any
// report.
func (n *Node) knownFleetSize() int {
	size := n.gossip.ReportedFleetSize()
	if list := n.storedHosts.Load(); list != nil {
		size = max(size, list.fleetSize)
	}
	return size
}

// seedAddresses returns the addresses of hosts to join through.
func (n *Node) seedAddresses() []string {
	seeds := n.settings.Seeds
	if list := n.storedHosts.Load(); list != nil {
		seeds = append(list.seeds[:len(list.seeds):len(list.seeds)], seeds...)
	}
	return seeds
}
