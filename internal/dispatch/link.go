package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianflow/gentianflow/charts"
	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// homeLink is a holder's stream to its home.
type homeLink struct {
	host   string
	stream *peer.Stream
	out    *ring.Ring[*wire.ToHome]
	ponged atomic.Uint32 // newest ping that was answered
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
	// Listed is how many hosts the store lists, 0 when it is not known.
	listed  func() int
	started time.Time
	// setShare is told which part of all servers and quotas the loop of this
	// host has: all as the home, less when it decides for itself.
	setShare func(sched.Share)
}

// NewFollower makes the duty; Run starts it.
func NewFollower(c *Client, m *member.Table, s Sessions, events *event.Recorder, listed func() int, setShare func(sched.Share)) *Follower {
	return &Follower{
		client: c, members: m, sessions: s, events: events,
		listed: listed, setShare: setShare, started: time.Now(),
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
	// settleTime is enough for a host that starts to hear of all others by way
	// of one; a host that hears of nobody for lonelyTime takes itself for the
	// only one. Until then it reckons with unknownHosts for servers, and with
	// unknownLimits of the quotas, less than an even part of any fleet's: what
	// goes beyond it waits a moment until the store has told of the others.
	settleTime    = 600 * time.Millisecond
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
	timer := time.NewTicker(startPeriod)
	defer timer.Stop()
	settled := time.AfterFunc(lonelyTime, func() { timer.Reset(redialPeriod) })
	defer settled.Stop()
	for {
		want, ok := HomeOf(f.members)
		switch {
		case ok && want.Incarnation == f.client.self:
			f.drop(link)
			link, home = nil, want
			f.lead()
		case link != nil && (!ok || want.Incarnation != home.Incarnation || link.broken()):
			f.drop(link)
			link = nil
			f.alone()
		}
		if link == nil && ok && want.Incarnation != f.client.self {
			f.alone()
			link = f.dial(ctx, want)
			home = want
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
	return member.Home(homeOf, members.All(), 1)
}

// lead sets the share of a host that is the home.
//
// Guard: all hosts start at once after a loss of power, and each knows only
// itself at first. Were each the home of all, every account would get its
// quota once for each host. So a host that has just started decides for itself
// until it has had time to hear of others; one that is cut off with the fewer
// hosts takes only their part.
func (f *Follower) lead() {
	live, silent := f.count()
	age := time.Since(f.started)
	if age < settleTime || live == 1 && f.listed() != 1 && age < lonelyTime {
		f.alone()
		return
	}
	share := sched.Share{Servers: 1, Limits: 1}
	if all := live + silent; 2*live < all {
		share.Limits = float64(live) / float64(all)
	}
	f.setShare(share)
}

// alone sets the share of a host that decides for itself.
func (f *Follower) alone() {
	live, silent := f.count()
	n := max(live+silent, f.listed())
	if n == 1 && time.Since(f.started) < lonelyTime {
		f.setShare(sched.Share{Servers: aloneServers / unknownHosts, Limits: unknownLimits})
		return
	}
	even := 1 / float64(n)
	f.setShare(sched.Share{Servers: min(1, aloneServers*even), Limits: aloneLimits * even})
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
		host: home.Host, stream: st, out: ring.New[*wire.ToHome](linkOutputs), ended: make(chan struct{}),
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
		if m.Pong != 0 && l.ponged.Swap(m.Pong) == 0 {
			f.events.Record(event.HomeMoved, event.Fields{Peer: l.host})
			f.client.follow(l)
		}
		f.client.queued(m.Queued, l)
		f.client.deliver(decisions(uint64(f.client.self), m), l)
	}
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

// watch notices a home that falls silent.
//
// Guard: a home that is frozen, cut off or overloaded leaves asks unanswered
// while its connection stays open. An ask that gets no word in time goes to the
// loop of this host, which owes nothing to the home. One that gets none within
// ackMost, or a ping none within silentAfter, makes the home suspect: new asks
// are decided here. What waits in its queue stays there for suspectTime, since
// most such pauses are short, and a fleet that asks anew for all that waits fills
// its engines twice over. After that the link ends, and all is asked for here.
func (f *Follower) watch(ctx context.Context, l *homeLink, address string) {
	tick := time.NewTicker(watchPeriod)
	defer tick.Stop()
	w := newLinkWatch(f.client, l)
	for {
		if w.check(time.Now()) {
			f.linkMoved(l, w.state(), address)
		}
		if w.state() == linkLost {
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// linkMoved acts on a link that has entered a state.
func (f *Follower) linkMoved(l *homeLink, to chart.State, address string) {
	switch to {
	case linkSuspect:
		f.events.Record(event.PeerSilent, event.Fields{Peer: l.host, Detail: "the home does not answer"})
		f.client.suspect(l)
	case linkAnswering:
		f.events.Record(event.HomeMoved, event.Fields{Peer: l.host, Detail: "it answers again"})
		f.client.follow(l)
	case linkLost:
		f.client.unfollow(l)
		f.sessions.Discard(address)
		l.stream.Abort()
	}
}

// The states of the link chart, and its events.
const (
	linkAnswering chart.State = "answering"
	linkSuspect   chart.State = "suspect"
	linkLost      chart.State = "lost"

	linkSilent chart.Event = "silent"
	linkAnswer chart.Event = "answer"
	linkExpire chart.Event = "expire"
	linkNoNews chart.Event = ""
)

var linkChart = charts.MustLoad().Link

// linkWatch judges a link to the home by its answers.
type linkWatch struct {
	client  *Client
	link    *homeLink
	machine chart.Machine
	ping    uint32 // newest
	sent    time.Time
	suspect time.Time // since when
}

func newLinkWatch(c *Client, l *homeLink) *linkWatch {
	return &linkWatch{client: c, link: l, machine: linkChart.Start()}
}

func (w *linkWatch) state() chart.State { return w.machine.State() }

// check looks at the link and reports whether its state has changed; it is called
// each watchPeriod. A suspect home is back when it answers the ping that is open
// then, which check sends if there is none.
func (w *linkWatch) check(now time.Time) (moved bool) {
	open := w.ping != w.link.ponged.Load()
	if e := w.observe(now, open); e != linkNoNews {
		moved = w.machine.Fire(e) == nil // observe names only events that the state has
		if e == linkSilent {
			w.suspect = now
		}
	}
	if !open && w.pingDue(now) {
		w.send(now)
	}
	return moved
}

// observe tells what a look at the link shows.
func (w *linkWatch) observe(now time.Time, open bool) chart.Event {
	overdue := w.client.overdue(w.link, now)
	switch w.state() {
	case linkAnswering:
		if overdue || open && now.Sub(w.sent) > silentAfter {
			return linkSilent
		}
	case linkSuspect:
		if !open {
			return linkAnswer
		}
		if now.Sub(w.suspect) > suspectTime {
			return linkExpire
		}
	}
	return linkNoNews
}

func (w *linkWatch) pingDue(now time.Time) bool {
	return w.ping == 0 || w.state() == linkSuspect || now.Sub(w.sent) > pingPeriod && w.client.waitsAt(w.link)
}

// send pings the home; its answer comes after those to all earlier messages.
func (w *linkWatch) send(now time.Time) {
	w.ping++
	w.sent = now
	w.link.push(&wire.ToHome{Ping: w.ping})
}
