package node

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/member"
)

const (
	// fleetSizeFactor is the factor by which the fleet's size must change for the home to write
	// its row again.
	fleetSizeFactor = 1.25
	// listedOthers is the number of other hosts that a row names beside the one that wrote it, which may
	// just have been lost.
	listedOthers = 3
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
func (n *Node) readHostTable(ctx context.Context) {
	rows, _, err := n.platform.Tables.Snapshot(ctx, n.platform.HostTable)
	if err != nil {
		return // the tables' watchers log that the store is down
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
}
