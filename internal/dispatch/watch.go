package dispatch

import (
	"context"
	"time"

	"github.com/gentianflow/gentianflow/charts"
	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// watch detects a home that stops answering.
//
// A home that is frozen, partitioned or overloaded leaves placement requests unanswered while
// its connection stays open. A request that is not answered in time is submitted to the local
// loop, which does not depend on the home. If a request is not answered within maxAckTimeout,
// or a ping within pingTimeout, the home becomes suspect: new requests go to the local loop.
// Requests in the home's queue stay there for suspectTimeout, since most such pauses are
// short, and if every host submitted all its waiting requests again, the inference engines
// would get twice the load that they can hold. After that the link ends, and all requests move
// to the local loop.
func (f *Follower) watch(ctx context.Context, l *homeLink, address string) {
	timer := time.NewTimer(watchPeriod)
	defer timer.Stop()
	w := newLinkWatch(f.client, l)
	for {
		if w.check(time.Now()) {
			f.enterLinkState(l, w.state(), address)
		}
		if w.state() == linkLost {
			return
		}
		timer.Reset(w.period())
		select {
		case <-timer.C:
		case <-l.used:
			// The request has watchPeriod to be answered before the next check.
			timer.Reset(watchPeriod)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// period returns the time until the next check: longer while nothing waits for the home, as on most
// hosts of a large fleet most of the time.
func (w *linkWatch) period() time.Duration {
	pinging := w.ping != w.link.lastPong.Load()
	if pinging || !w.link.leading.Load() || w.state() == linkSuspect || w.client.waitsAt(w.link) {
		return watchPeriod
	}
	return idleWatchPeriod
}

// enterLinkState performs the actions of a link state when the link enters it.
func (f *Follower) enterLinkState(l *homeLink, to chart.State, address string) {
	switch to {
	case linkSuspect:
		f.events.Record(event.PeerSilent, event.Fields{Peer: l.host, Detail: "home stopped answering"})
		f.client.markSuspect(l)
	case linkAnswering:
		f.events.Record(event.HomeMoved, event.Fields{Peer: l.host, Detail: "home is answering again"})
		if l.leading.Load() {
			f.client.follow(l)
		}
	case linkLost:
		f.lostHomes.add(time.Now(), l.incarnation)
		f.client.unfollow(l)
		f.sessions.Discard(address)
		l.stream.Abort()
	}
}

// States and events of the state chart of a link.
const (
	linkAnswering chart.State = "answering"
	linkSuspect   chart.State = "suspect"
	linkLost      chart.State = "lost"

	linkSilent  chart.Event = "silent"
	linkAnswer  chart.Event = "answer"
	linkExpire  chart.Event = "expire"
	linkNoEvent chart.Event = ""
)

var linkChart = charts.MustLoad().Link

// linkWatch tracks the state of a link to a home by the home's answers.
type linkWatch struct {
	client       *Client
	link         *homeLink
	machine      chart.Machine
	ping         uint32 // number of the newest ping
	sentAt       time.Time
	suspectSince time.Time // when the link became suspect
}

func newLinkWatch(c *Client, l *homeLink) *linkWatch {
	return &linkWatch{client: c, link: l, machine: linkChart.Start()}
}

func (w *linkWatch) state() chart.State { return w.machine.State() }

// check updates the state of the link and reports whether it has changed. It is called every
// watchPeriod while something waits for the home. A suspect home recovers by answering the outstanding ping; check sends one if
// none is outstanding.
func (w *linkWatch) check(now time.Time) (changed bool) {
	outstanding := w.ping != w.link.lastPong.Load()
	if e := w.observe(now, outstanding); e != linkNoEvent {
		changed = w.machine.Fire(e) == nil // observe returns only events that the current state accepts
		if e == linkSilent {
			w.suspectSince = now
		}
	}
	if !outstanding && w.pingDue(now) {
		w.sendPing(now)
	}
	w.client.sendCharges(w.link)
	return changed
}

// observe returns the chart event that applies to the link now.
func (w *linkWatch) observe(now time.Time, outstanding bool) chart.Event {
	overdue := w.client.resubmitOverdue(w.link, now)
	switch w.state() {
	case linkAnswering:
		if overdue || outstanding && now.Sub(w.sentAt) > pingTimeout {
			return linkSilent
		}
	case linkSuspect:
		if !outstanding {
			return linkAnswer
		}
		if now.Sub(w.suspectSince) > suspectTimeout {
			return linkExpire
		}
	}
	return linkNoEvent
}

// pingDue reports whether to ping the home. A home that has just sent a message is not pinged:
// with hundreds of hosts that all have requests waiting, pings and their answers would
// outnumber all other messages.
func (w *linkWatch) pingDue(now time.Time) bool {
	if w.ping == 0 || w.state() == linkSuspect {
		return true
	}
	if !w.link.leading.Load() {
		return now.Sub(w.sentAt) > leadingPollPeriod
	}
	lastReceived := w.link.openedAt.Add(time.Duration(w.link.lastReceived.Load()))
	return now.Sub(w.sentAt) > pingPeriod && now.Sub(lastReceived) > pingPeriod && w.client.waitsAt(w.link)
}

// leadingPollPeriod is how often a home that does not lead yet is asked whether it does.
const leadingPollPeriod = 250 * time.Millisecond

// sendPing pings the home. The home answers the ping after all earlier messages.
func (w *linkWatch) sendPing(now time.Time) {
	w.ping++
	w.sentAt = now
	w.link.push(&wire.ToHome{Ping: w.ping})
}
