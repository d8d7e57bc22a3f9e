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

// homeLink is the holder's end of its stream to a home.
type homeLink struct {
	host         string
	incarnation  ident.Incarnation
	stream       *peer.Stream
	out          *ring.Ring[*wire.ToHome]
	lastPong     atomic.Uint32 // number of the newest ping that was answered
	openedAt     time.Time
	lastReceived atomic.Int64  // time of the last message, in nanoseconds since openedAt
	leading      atomic.Bool   // the home last reported that it schedules for all hosts
	ended        chan struct{} // closed when the stream has ended
	used         chan struct{} // receives a token when a placement request is sent; see watch
}

func (l *homeLink) push(m *wire.ToHome) bool { return l.out.TryPush(m) }

func (l *homeLink) request(m *wire.Ask) bool {
	select {
	case l.used <- struct{}{}:
	default:
	}
	return l.push(&wire.ToHome{Asks: []*wire.Ask{m}})
}

func (l *homeLink) sendRunning(m *wire.Running) bool {
	return l.push(&wire.ToHome{Running: []*wire.Running{m}})
}

// finish reports the outcome of a run. finish and withdraw abort the link if the queue is full,
// since their message is lost; the home then ends the holder's runs by itself.
func (l *homeLink) finish(o sched.Outcome) {
	if !l.push(&wire.ToHome{Outcomes: []*wire.Outcome{encodeOutcome(o)}}) {
		l.stream.Abort()
	}
}

// withdraw cancels a waiting placement request or a run at the home.
func (l *homeLink) withdraw(id uint64) {
	if !l.push(&wire.ToHome{Withdrawn: []uint64{id}}) {
		l.stream.Abort()
	}
}

// Sessions opens streams to other hosts. Discard closes the session to an address, so that the
// next stream dials a new one.
type Sessions interface {
	OpenStream(ctx context.Context, to peer.Target, kind wire.StreamKind, service string) (*peer.Stream, error)
	Discard(address string)
}

// ended returns the channel that closes when l has ended, nil if l is nil.
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

// dial opens a link to a home. The home is followed only once it has answered a ping, since a
// connection can also be opened to a frozen host.
func (f *Follower) dial(ctx context.Context, home member.Member) *homeLink {
	dialCtx, cancel := context.WithTimeout(ctx, redialPeriod)
	defer cancel()
	st, err := f.sessions.OpenStream(dialCtx, peer.Target{Address: home.ControlAddress, Incarnation: home.Incarnation},
		wire.StreamKind_STREAM_SCHEDULE, f.client.zone)
	if err != nil {
		return nil
	}
	l := &homeLink{
		host: home.Host, incarnation: home.Incarnation, stream: st, openedAt: time.Now(), out: ring.New[*wire.ToHome](linkQueueSize), ended: make(chan struct{}),
		used: make(chan struct{}, 1),
	}
	linkCtx, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	workers.Go(func() { writeMessages(linkCtx, st, l.out) })
	workers.Go(func() { f.watch(linkCtx, l, home.ControlAddress) })
	go func() {
		f.read(l)
		f.client.unfollow(l)
		stop()
		st.Abort()
		workers.Wait()
		close(l.ended)
	}()
	return l
}

// read handles messages of the home until the stream ends.
func (f *Follower) read(l *homeLink) {
	for {
		m := &wire.ToHolder{}
		if wire.Read(l.stream.Reader, m) != nil {
			return
		}
		l.lastReceived.Store(int64(time.Since(l.openedAt)))
		if m.Pong != 0 {
			l.lastPong.Store(m.Pong)
		}
		if m.Pong != 0 || m.Leads {
			f.updateLeading(l, m.Leads)
		}
		f.client.learnEstimates(m)
		f.client.learnSuspects(m.Suspects)
		f.client.learnTraits(m.Traits)
		f.client.learnOrigins(m.Origins)
		f.client.learnRollouts(m.Rollouts)
		f.client.markQueued(m.Queued, l)
		f.client.deliver(decisions(uint64(f.client.self), m), l)
	}
}

// updateLeading follows a home that reports that it leads, which means that it schedules for
// all hosts, and unfollows one that reports that it does not.
//
// Two hosts may briefly disagree on the ranking, and a host takes over from a lost home only
// after it has noticed the loss itself. Before that its loop has a small share of the
// servers, and placement requests sent to it would wait in vain.
func (f *Follower) updateLeading(l *homeLink, leads bool) {
	if l.leading.Swap(leads) == leads {
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
