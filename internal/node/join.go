package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/store"
)

const (
	// joinWait is how long a host that starts waits for word of others before it asks
	// the store. Hosts that run answer within 10 ms; those of a fleet that starts at
	// once are up within 300 ms of each other.
	joinWait = 200 * time.Millisecond
	// meetTime is how long a host waits from the first that it hears of for the others,
	// while none knows the fleet yet: it learns of the largest ones with the first
	// answer, and of the rest within settling.
	meetTime = 50 * time.Millisecond
	joinLook = 10 * time.Millisecond // how often it looks meanwhile
	// hostsPeriod is how often the home looks into the table of hosts for one of the
	// other side of a cut that has healed, and a host that hears of nobody for any.
	hostsPeriod = 30 * time.Second
	hostsRetry  = 300 * time.Millisecond
	// joinPeriod is how often a host looks whether it is the home or alone.
	joinPeriod = 500 * time.Millisecond
	// sizeChange is the factor by which the fleet's size must change for the home to
	// write it anew.
	sizeChange = 1.25
)

// hostRow is a row of the system's own table. The home has one, and so have hosts that
// heard of nobody when they started. It tells others where to join and how many parts
// there are of what the hosts share.
type hostRow struct {
	Control string `json:"control"`
	Hosts   int    `json:"hosts"` // that its writer knew
}

// hostList is what the table of hosts tells.
type hostList struct {
	seeds []string // control addresses
	hosts int      // the largest fleet told of
}

// join finds the other hosts and helps others to find them.
//
// Seeds of the settings answer within milliseconds as a rule, and tell how large the
// fleet is. A host that hears of nobody looks into the table of hosts. Were each host of
// 195 to write a row and read all of them at its start and every 30 s, a calm day would
// make 800 calls for it.
func (n *Node) join(ctx context.Context) {
	n.awaitFleet(ctx)
	close(n.joined)
	if n.gossip.Told() == 0 && n.role() == store.Reader {
		// It knows nobody, or may be the home of a fleet that starts anew, which serves
		// as soon as it knows that all are there.
		n.readHosts(ctx)
	}
	j := joining{node: n, retry: hostsRetry}
	for j.look(ctx, time.Now()); pause(ctx, joinPeriod); {
		j.look(ctx, time.Now())
	}
}

// awaitFleet waits until a host has told of its fleet, for a moment only while those
// heard of know as little as this one, and no longer than joinWait.
func (n *Node) awaitFleet(ctx context.Context) {
	begun := time.Now()
	var met time.Time
	for n.gossip.Told() == 0 && time.Since(begun) < joinWait {
		if met.IsZero() && n.members.Live() > 1 {
			met = time.Now()
		}
		if !met.IsZero() && time.Since(met) > meetTime {
			return
		}
		if !pause(ctx, joinLook) {
			return
		}
	}
}

// pause waits for d and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// joining keeps this host's row in the table of hosts, where it needs one, and looks for
// others. Its fields belong to the goroutine of join.
type joining struct {
	node    *Node
	written int           // the size in this host's row, 0: it has none
	led     bool          // it was the home when it looked last, and knows the quarantine
	release time.Time     // when it looks next whether a request was released
	due     time.Time     // when the table is read again
	retry   time.Duration // of a host alone
}

func (j *joining) look(ctx context.Context, now time.Time) {
	n := j.node
	live := n.members.Live()
	alone := live == 1
	home := n.isHome() && n.gossip.Settled()
	j.learnQuarantine(ctx, now, home)
	if !alone && !home {
		j.retry = hostsRetry
		return
	}
	if j.outdated(live) && n.writeHost(ctx, live) == nil {
		j.written = live
	}
	if now.Before(j.due) {
		return
	}
	n.readHosts(ctx)
	if alone {
		j.retry = min(hostsPeriod, 2*j.retry)
		j.due = now.Add(j.retry/2 + rand.N(j.retry))
		return
	}
	j.due = now.Add(hostsPeriod)
}

// learnQuarantine reads which requests are in quarantine when this host has become the
// home: all that knew may have lost their power together. While one is, it looks now and
// then whether an operator has released it.
func (j *joining) learnQuarantine(ctx context.Context, now time.Time, home bool) {
	kept := j.node.kept
	switch {
	case !home:
		j.led = false
	case !j.led || kept.any() && now.After(j.release):
		j.led = kept.read(ctx, j.node.loop) == nil
		j.release = now.Add(releasePeriod)
	}
}

// outdated reports whether this host's row tells a size that is far from live.
func (j *joining) outdated(live int) bool {
	was, is := float64(j.written), float64(live)
	return is > was*sizeChange || was > is*sizeChange
}

func (n *Node) writeHost(ctx context.Context, live int) error {
	row, err := json.Marshal(hostRow{Control: n.peerAddress(), Hosts: live})
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode this host's row")
	}
	return n.plat.Writer.Put(ctx, n.plat.HostTable, n.set.Host, row)
}

// readHosts reads the table of hosts. Without an answer what is known stays.
func (n *Node) readHosts(ctx context.Context) {
	rows, _, err := n.plat.Tables.Snapshot(ctx, n.plat.HostTable)
	if err != nil {
		return // those who follow the tables log that the store is away
	}
	list := hostList{hosts: len(rows)}
	for _, r := range rows {
		var h hostRow
		if json.Unmarshal(r.Value, &h) == nil && h.Control != "" {
			list.seeds = append(list.seeds, h.Control)
			list.hosts = max(list.hosts, h.Hosts)
		}
	}
	n.listed.Store(&list)
}

// listedHosts is how many hosts others or the store told of, 0 before any did.
func (n *Node) listedHosts() int {
	told := n.gossip.Told()
	if list := n.listed.Load(); list != nil {
		told = max(told, list.hosts)
	}
	return told
}

// seedAddresses are the hosts to join through.
func (n *Node) seedAddresses() []string {
	seeds := n.set.Seeds
	if list := n.listed.Load(); list != nil {
		seeds = append(list.seeds[:len(list.seeds):len(list.seeds)], seeds...)
	}
	return seeds
}
