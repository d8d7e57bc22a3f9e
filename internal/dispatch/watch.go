package dispatch

import (
	"context"
	"time"

	"github.com/gentianflow/gentianflow/charts"
	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/wire"
)

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
		if l.led.Load() {
			f.client.follow(l)
		}
	case linkLost:
		f.distrust.add(time.Now(), l.inc)
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
	w.client.tellCharges(w.link)
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

// pingDue reports whether the home is to be asked whether it answers. One that has just
// said something is not: with hundreds of hosts that all have requests waiting, pings
// and their answers were more messages than all others.
func (w *linkWatch) pingDue(now time.Time) bool {
	if w.ping == 0 || w.state() == linkSuspect {
		return true
	}
	if !w.link.led.Load() {
		return now.Sub(w.sent) > askPeriod
	}
	heard := w.link.opened.Add(time.Duration(w.link.heard.Load()))
	return now.Sub(w.sent) > pingPeriod && now.Sub(heard) > pingPeriod && w.client.waitsAt(w.link)
}

// askPeriod is how often a host that is to lead is asked whether it does.
const askPeriod = 250 * time.Millisecond

// send pings the home; its answer comes after those to all earlier messages.
func (w *linkWatch) send(now time.Time) {
	w.ping++
	w.sent = now
	w.link.push(&wire.ToHome{Ping: w.ping})
}
