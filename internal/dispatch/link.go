package dispatch

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// homeLink is a holder's stream to its home.
type homeLink struct {
	host   string
	inc    ident.Incarnation
	stream *peer.Stream
	out    *ring.Ring[*wire.ToHome]
	ponged atomic.Uint32 // newest ping that was answered
	opened time.Time
	heard  atomic.Int64  // when anything came last, nanoseconds since opened
	led    atomic.Bool   // its newest answer said that it schedules for all
	ended  chan struct{} // closed when the stream has broken
}

func (l *homeLink) push(m *wire.ToHome) bool { return l.out.TryPush(m) }

func (l *homeLink) ask(m *wire.Ask) bool { return l.push(&wire.ToHome{Asks: []*wire.Ask{m}}) }

func (l *homeLink) running(m *wire.Running) bool {
	return l.push(&wire.ToHome{Running: []*wire.Running{m}})
}

// finish and withdraw are lost when the ring is full; the link is cut then, and
// the home ends the holder's runs by itself.
func (l *homeLink) finish(o sched.Outcome) {
	if !l.push(&wire.ToHome{Outcomes: []*wire.Outcome{encodeOutcome(o)}}) {
		l.stream.Abort()
	}
}

func (l *homeLink) withdraw(id uint64) {
	if !l.push(&wire.ToHome{Withdrawn: []uint64{id}}) {
		l.stream.Abort()
	}
}

// Sessions opens streams to other hosts.
type Sessions interface {
	OpenStream(ctx context.Context, to peer.Target, kind wire.StreamKind, service string) (*peer.Stream, error)
	Discard(address string)
}

// Follower keeps the client at the right home: the one that the member list
// names while it answers, this host's own loop otherwise.
type Follower struct {
	client   *Client
	members  *member.Table
	sessions Sessions
	events   *event.Recorder
	// listed is how many hosts others or the store tell of, 0 when it is not known.
	listed func() int
	// leads tells the home's side of this host that it schedules for all, followers counts
	// the hosts that follow it.
	leads     func(bool)
	followers func() int
	started   time.Time
	distrust  distrust
	hosts     int // that the share of a host alone was worked out for, 0: not known then
	// setShare is told which part of all servers and quotas the loop of this
	// host has: all as the home, less when it decides for itself.
	setShare func(sched.Share)
}

// NewFollower makes the duty; Run starts it.
func NewFollower(c *Client, m *member.Table, s Sessions, h *Home, events *event.Recorder, listed func() int, setShare func(sched.Share)) *Follower {
	return &Follower{
		client: c, members: m, sessions: s, events: events,
		listed: listed, leads: h.Lead, followers: h.Followers, setShare: setShare, started: time.Now(),
	}
}

// homeOf is the name under which the home is ranked: one home schedules all
// services, so that quotas and retry budgets are counted in one place.
const homeOf = "scheduler"

// A host without a home takes these parts of its even share. Of servers just
// that: when a home stands still all hosts are alone at once, and with 1.6 they
// put that much more into engines that were full (a day of such moments was
// worth 0.03 less). Of quotas less: the home goes on giving out all of them, and
// what all hosts give out together is bounded.
const (
	aloneServers = 1.0
	aloneLimits  = 0.7
)

const (
	// A host that hears of nobody for lonelyTime takes itself for the
	// only one. Until then it reckons with unknownHosts for servers, and with
	// unknownLimits of the quotas, less than an even part of any fleet's: what
	// goes beyond it waits a moment until the store has told of the others.
	settleTime    = member.SettleTime
	lonelyTime    = 3 * time.Second
	unknownHosts  = 6
	unknownLimits = 0.001
	// silentHosts is how long a host that fell silent may still be at work on
	// the other side of a cut; cuts heal within it as a rule.
	silentHosts = 15 * time.Second
)

// Run follows homes until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	changed := f.members.Subscribe()
	var link *homeLink
	var home member.Member
	period := startPeriod
	timer := time.NewTicker(period)
	defer timer.Stop()
	for {
		if p := f.period(); p != period {
			period = p
			timer.Reset(period)
		}
		want, ok := f.want(time.Now())
		switch {
		case ok && want.Incarnation == f.client.self:
			f.drop(link)
			link, home = nil, want
			f.lead(want.Incarnation != f.first())
		case link != nil && (!ok || want.Incarnation != home.Incarnation || link.broken()):
			f.drop(link)
			link = nil
			f.alone()
		}
		if link == nil && ok && want.Incarnation != f.client.self {
			f.alone()
			link = f.dial(ctx, want)
			home = want
			if link == nil && ctx.Err() == nil && time.Since(f.started) > lonelyTime {
				f.distrust.add(time.Now(), want.Incarnation)
			}
		}
		if link != nil {
			f.keepShare()
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ended(link):
		case <-ctx.Done():
			f.drop(link)
			return
		}
	}
}

// period is how often Run looks at the ranking and the share: more often while both may
// change at any moment.
func (f *Follower) period() time.Duration {
	if time.Since(f.started) < lonelyTime || f.distrust.any(time.Now()) {
		return startPeriod
	}
	return redialPeriod
}

func ended(l *homeLink) <-chan struct{} {
	if l == nil {
		return nil
	}
	return l.ended
}

func (l *homeLink) broken() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// HomeOf names the host that schedules for all, false when there is none.
func HomeOf(members *member.Table) (member.Member, bool) {
	ranked := members.First(homeOf, 1)
	if len(ranked) == 0 {
		return member.Member{}, false
	}
	return ranked[0], true
}

// readers is how many hosts may read the store for the others: the home, and who takes
// over when the store does not answer it. A store that turns a third of the hosts away
// turns all of them away once in 250 times.
const readers = 5

// nextHomes is how many hosts are told what the home has learned: more are lost with it
// only in a failure that leaves little to place.
const nextHomes = 2

// NextHomes lists the hosts that take over when the home is lost.
func NextHomes(members *member.Table) []uint64 {
	var out []uint64
	for _, m := range members.First(homeOf, 1+nextHomes) {
		out = append(out, uint64(m.Incarnation))
	}
	return out
}

// ReadersOf lists the hosts that read the store for all, the home first.
func ReadersOf(members *member.Table) []member.Member { return members.First(homeOf, readers) }

// lead sets the share of a host that is the home.
//
// Guard: all hosts start at once after a loss of power, and each knows only
// itself at first. Were each the home of all, every account would get its
// quota once for each host. So a host that has just started decides for itself
// until it has had time to hear of others; one that is cut off with the fewer
// hosts takes only their part.
//
// A host that takes over from a home that others may still follow leads when most hosts
// have turned to it, and has their part of the quotas; a home that most have left has the
// part of the rest.
func (f *Follower) lead(takesOver bool) {
	live, silent := f.count()
	age := time.Since(f.started)
	if age < settleTime && !f.complete(live) || live == 1 && f.listed() != 1 && age < lonelyTime {
		f.alone()
		return
	}
	share := sched.Share{Servers: 1, Limits: 1}
	if all := live + silent; 2*live < all {
		share.Limits = float64(live) / float64(all)
	}
	follow := float64(f.followers()+1) / float64(live)
	if takesOver && follow < mostFollow {
		f.alone()
		return
	}
	if takesOver || follow < mostFollow && age > lonelyTime {
		share = part(share, follow)
	}
	f.client.lead(share.Limits == 1)
	f.leads(true)
	f.setShare(share)
}

// part is the share of a home that a part of the live hosts follows. It changes in tenths,
// since each change of a quota costs what its account had saved. Servers are given out
// whole while most follow: hosts that fell silent with the home before count as live for
// some seconds.
func part(share sched.Share, follow float64) sched.Share {
	if follow >= nearlyAll {
		return share
	}
	follow = math.Ceil(follow*shareSteps) / shareSteps
	share.Limits *= follow
	if follow < mostFollow {
		share.Servers *= follow
	}
	return share
}

const (
	nearlyAll  = 0.9
	mostFollow = 0.5
	shareSteps = 10
)

// completeShare is the part of the hosts listed that must be heard of to take a fleet that
// starts anew for complete: some may have been lost with what stopped it.
const completeShare = 0.9

// complete reports whether nearly all hosts are heard of that others or the store tell of.
func (f *Follower) complete(live int) bool {
	listed := f.listed()
	return listed > 1 && float64(live) >= completeShare*float64(listed)
}

// alone sets the share of a host that decides for itself.
func (f *Follower) alone() {
	f.client.lead(false)
	f.leads(false)
	live, silent := f.count()
	n, age := max(live+silent, f.listed()), time.Since(f.started)
	f.hosts = n
	if n == 1 && age < lonelyTime || f.listed() == 0 && age < settleTime {
		f.hosts = 0
		f.setShare(sched.Share{Servers: aloneServers / unknownHosts, Limits: unknownLimits})
		return
	}
	even := 1 / float64(n)
	f.setShare(sched.Share{Servers: min(1, aloneServers*even), Limits: aloneLimits * even})
}

// shareChange is the factor by which the number of hosts must change for the share of a
// host that follows a home to be worked out anew.
const shareChange = 1.1

// keepShare works out the share of a host that follows a home, for when that falls silent.
//
// Guard: a host knows little of the fleet when it starts and has next to nothing of the
// quotas then. One that found its home at once kept that share, and when the home froze
// its callers were told that their accounts were over their quotas.
func (f *Follower) keepShare() {
	live, silent := f.count()
	n := float64(max(live+silent, f.listed()))
	was := float64(f.hosts)
	if n > was*shareChange || was > n*shareChange {
		f.alone()
	}
}

// count returns how many hosts answer, this one included, and how many fell
// silent lately without proof of their end.
func (f *Follower) count() (live, silent int) {
	for _, m := range f.members.All() {
		switch {
		case m.State != member.Dead:
			live++
		case !m.Proved && time.Since(m.Since) < silentHosts:
			silent++
		}
	}
	return max(1, live), silent
}

func (f *Follower) drop(l *homeLink) {
	if l != nil {
		f.client.unfollow(l)
		l.stream.Abort()
	}
}

// dial opens the link to a home and follows it once it has answered a ping: a
// connection that opens says little about a host that is frozen.
func (f *Follower) dial(ctx context.Context, home member.Member) *homeLink {
	ctx2, cancel := context.WithTimeout(ctx, redialPeriod)
	defer cancel()
	st, err := f.sessions.OpenStream(ctx2, peer.Target{Address: home.ControlAddress, Incarnation: home.Incarnation},
		wire.StreamKind_STREAM_SCHEDULE, f.client.zone)
	if err != nil {
		return nil
	}
	l := &homeLink{
		host: home.Host, inc: home.Incarnation, stream: st, opened: time.Now(), out: ring.New[*wire.ToHome](linkOutputs), ended: make(chan struct{}),
	}
	run, stop := context.WithCancel(ctx)
	var duties sync.WaitGroup
	duties.Go(func() { writeMessages(run, st, l.out) })
	duties.Go(func() { f.watch(run, l, home.ControlAddress) })
	go func() {
		f.read(l)
		f.client.unfollow(l)
		stop()
		st.Abort()
		duties.Wait()
		close(l.ended)
	}()
	return l
}

// read takes what the home says until the stream breaks.
func (f *Follower) read(l *homeLink) {
	for {
		m := &wire.ToHolder{}
		if wire.Read(l.stream.R, m) != nil {
			return
		}
		l.heard.Store(int64(time.Since(l.opened)))
		if m.Pong != 0 {
			l.ponged.Store(m.Pong)
		}
		if m.Pong != 0 || m.Leads {
			f.answered(l, m.Leads)
		}
		f.client.taught(m.Paces)
		f.client.queued(m.Queued, l)
		f.client.deliver(decisions(uint64(f.client.self), m), l)
	}
}

// answered takes what the home says of itself with an answer.
//
// Guard: two hosts may rank differently for a moment, and one that takes over from a lost
// home does so when it has noticed itself. Asked before it schedules for all it has a
// small part of the servers, and what waits there would wait in vain.
func (f *Follower) answered(l *homeLink, leads bool) {
	if l.led.Swap(leads) == leads {
		return
	}
	if !leads {
		f.client.unfollow(l)
		return
	}
	f.events.Record(event.HomeMoved, event.Fields{Peer: l.host})
	f.client.follow(l)
}

func decisions(self uint64, m *wire.ToHolder) []sched.Decision {
	out := make([]sched.Decision, 0, len(m.Places)+len(m.Refusals))
	for _, p := range m.Places {
		out = append(out, decodePlace(self, p))
	}
	for _, r := range m.Refusals {
		out = append(out, decodeRefusal(self, r))
	}
	return out
}
