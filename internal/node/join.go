package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/member"
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
	// hostTableRetry and doubles the interval up to hostTablePeriod, or up to hostTableMaxRetry
	// while it does not know the fleet.
	hostTablePeriod   = 30 * time.Second
	hostTableRetry    = 300 * time.Millisecond
	hostTableMaxRetry = 600 * time.Millisecond
	// hostCheckPeriod is how often a host checks whether it is the home or alone, and
	// searchCheckPeriod the same while it does not know the fleet.
	hostCheckPeriod   = 500 * time.Millisecond
	searchCheckPeriod = 100 * time.Millisecond
)

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
		n.readHostTable(ctx) // tried again below
	}
	tableSync := hostTableSync{node: n, versions: versionStore{node: n}, retry: hostTableRetry, ownRow: hostRowWriter{node: n}}
	for tableSync.check(ctx, time.Now()); sleep(ctx, n.hostCheckPeriod()); {
		tableSync.check(ctx, time.Now())
	}
}

func (n *Node) hostCheckPeriod() time.Duration {
	if n.gossip.Discovery().Fleet().State == member.Known {
		return hostCheckPeriod
	}
	return searchCheckPeriod
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
	ownRow           hostRowWriter
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

// check writes this host's row and reads the table when they are due. Only the home, a host without
// contacts, and readers of the store that do not know the fleet yet do so.
func (t *hostTableSync) check(ctx context.Context, now time.Time) {
	n := t.node
	live := n.members.LiveCount()
	alone := live == 1
	home := n.isHome() && n.gossip.Settled()
	if t.restored.check(n.era.Load()) {
		// What this host wrote may be lost. Rows that it knows are written again, if it is the home.
		n.quarantined.loaded.Store(false)
		t.versions.written = map[string]versionRow{}
		t.ownRow.forget()
		t.nextRead = now
	}
	known := n.gossip.Discovery().Fleet().State == member.Known
	t.loadQuarantine(ctx, now, home)
	t.versions.check(ctx, home && known)
	if !alone && !home && (known || n.role() != store.Reader) {
		t.retry = hostTableRetry
		return
	}
	if alone || home {
		t.ownRow.update(ctx, live, known)
	}
	if now.Before(t.nextRead) {
		return
	}
	n.readHostTable(ctx)
	switch {
	case !known:
		t.retry = min(hostTableMaxRetry, 2*t.retry)
	case alone:
		t.retry = min(hostTablePeriod, 2*t.retry)
	default:
		t.nextRead = now.Add(hostTablePeriod)
		return
	}
	t.nextRead = now.Add(t.retry/2 + rand.N(t.retry))
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
