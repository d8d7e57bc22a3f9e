package dispatch

import (
	"context"
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
		f.client.learnSuspects(m.Suspects)
		f.client.learnRollouts(m.Rollouts)
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
