package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianflow/gentianflow/internal/dispatch"
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
	// listedOthers is the number of other hosts that a row names beside the one that wrote it, which may
	// just have been lost.
	listedOthers = 3
	// fleetSizeFactor is the factor by which the fleet's size must change for the home to write
	// its row again.
	fleetSizeFactor = 1.25
)

// hostRow is a row of the table of hosts. The home writes one, and so do hosts that found no
// other host when they started. It gives other hosts an address to join through and the number
// of hosts among which shared limits are divided.
type hostRow struct {
	Control string   `json:"control"`
	Hosts   int      `json:"hosts"`            // known to the host that wrote the row
	Others  []string `json:"others,omitempty"` // control addresses of some of them
}

// addresses returns the addresses that the row names, without one of them.
func (r hostRow) addresses(without string) []string {
	return slices.DeleteFunc(append([]string{r.Control}, r.Others...), func(a string) bool { return a == "" || a == without })
}

// hostList is the content of the table of hosts.
type hostList struct {
	seeds     []string // control addresses
	fleetSize int      // the largest size that a row gives
	former    hostRow  // this host's row as it was when it started
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
		_ = n.readHostTable(ctx) // tried again below
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
	err := n.readHostTable(ctx)
	switch {
	case err != nil || !known:
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

// hostRowWriter writes this host's row. Its fields belong to the goroutine of join.
type hostRowWriter struct {
	node    *Node
	written hostRow // zero if the row was not written since the start or a restore of the store
	live    int     // members when it was written
}

func (w *hostRowWriter) forget() { w.written, w.live = hostRow{}, 0 }

// update writes the row if it is outdated. While the fleet is not known, what this host's row said of it
// before its start is kept, and nothing is written before that was read.
func (w *hostRowWriter) update(ctx context.Context, live int, known bool) {
	n := w.node
	list := n.storedHosts.Load()
	if !known && list == nil || !w.outdated(live, known) {
		return
	}
	row := hostRow{Control: n.peerAddress(), Hosts: live}
	for _, m := range dispatch.ReadersOf(n.members) {
		if m.Incarnation != n.incarnation && len(row.Others) < listedOthers {
			row.Others = append(row.Others, m.ControlAddress)
		}
	}
	if !known {
		row.Hosts = max(row.Hosts, list.former.Hosts)
		row.Others = append(row.Others, list.former.addresses(n.peerAddress())...)
	}
	value, err := json.Marshal(row)
	if err != nil {
		return // cannot happen: texts and numbers always marshal
	}
	if n.platform.Writer.Put(ctx, n.platform.HostTable, n.settings.Host, value) == nil {
		w.written, w.live = row, live
		n.wroteHostRow.Store(true)
	}
}

// outdated reports whether live differs by fleetSizeFactor from what it was when the row was written, or a
// host that the row names has gone.
func (w *hostRowWriter) outdated(live int, known bool) bool {
	was, is := float64(w.live), float64(live)
	return is > was*fleetSizeFactor || was > is*fleetSizeFactor ||
		known && slices.ContainsFunc(w.written.Others, func(a string) bool { return !w.node.members.LiveAt(a) })
}

// readHostTable reads the table of hosts. If the store does not answer, the previous list
// stays.
func (n *Node) readHostTable(ctx context.Context) error {
	rows, _, err := n.platform.Tables.Snapshot(ctx, n.platform.HostTable)
	if err != nil {
		return err // the tables' watchers log that the store is down
	}
	list := hostList{fleetSize: len(rows)}
	if previous := n.storedHosts.Load(); previous != nil {
		list.former = previous.former
	}
	var others []member.ListedHost
	ownRow := false
	for _, r := range rows {
		var h hostRow
		if json.Unmarshal(r.Value, &h) != nil || h.Control == "" {
			continue
		}
		list.seeds = append(list.seeds, h.addresses(n.peerAddress())...)
		list.fleetSize = max(list.fleetSize, h.Hosts)
		switch {
		case r.Key != n.settings.Host:
			others = append(others, member.ListedHost{Addresses: h.addresses(n.peerAddress()), Hosts: h.Hosts})
		case n.wroteHostRow.Load():
			ownRow = true
		default:
			list.former = h
		}
	}
	if list.former.Hosts > 1 {
		others = append(others, member.ListedHost{Addresses: list.former.addresses(n.peerAddress()), Hosts: list.former.Hosts})
	}
	n.storedHosts.Store(&list)
	n.gossip.Discovery().Listed(others, ownRow)
	if n.gossip.Discovery().Fleet().State != member.Known {
		n.gossip.ContactSeeds()
	}
	return nil
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
