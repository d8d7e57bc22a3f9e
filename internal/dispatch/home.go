package dispatch

import (
	"bufio"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	linkOutputs  = 1024
	writeTimeout = 500 * time.Millisecond
)

// Home is the scheduling side of the links: it feeds what holders say to the
// loop and sends them the decisions. mu guards links.
type Home struct {
	loop  *Loop
	leads atomic.Bool // this host schedules for all that follow it
	// next names the hosts that may take over.
	next  func() []uint64
	mu    sync.Mutex
	links map[uint64]*holderLink // by incarnation of the holder
}

// holderLink is the home's end of one holder's stream.
type holderLink struct {
	holder uint64
	zone   string
	out    *ring.Ring[*wire.ToHolder]
	stream *peer.Stream
	// superseded is set when the holder has a newer link.
	superseded atomic.Bool
}

// NewHome makes the scheduling side over a loop; next names the hosts that may take over.
func NewHome(loop *Loop, next func() []uint64) *Home {
	return &Home{loop: loop, next: next, links: map[uint64]*holderLink{}}
}

// Serve handles the stream of one holder until it breaks. The stream's service
// field carries the holder's availability zone.
func (h *Home) Serve(ctx context.Context, st *peer.Stream) {
	l := &holderLink{
		holder: uint64(st.Peer.Incarnation), zone: st.Open.Service,
		out: ring.New[*wire.ToHolder](linkOutputs), stream: st,
	}
	h.attach(l)
	h.tellAllSuspects(l)
	h.tellAllRollouts(l)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var writer sync.WaitGroup
	writer.Go(func() { writeMessages(ctx, st, l.out) })
	stop := context.AfterFunc(ctx, st.Abort)
	defer stop()
	for {
		m := &wire.ToHome{}
		if wire.Read(st.R, m) != nil {
			break
		}
		h.take(ctx, l, m)
	}
	cancel()
	st.Abort()
	writer.Wait()
	h.detach(l)
}

// Lead tells whether this host schedules for all that follow it. Those that have a link
// here hear at once when it begins to.
func (h *Home) Lead(leads bool) {
	if h.leads.Swap(leads) == leads || !leads {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.links {
		l.send(&wire.ToHolder{Leads: true})
		go h.tellAllSuspects(l)
		go h.tellAllRollouts(l)
	}
}

// Leads reports whether this host schedules for all that follow it.
func (h *Home) Leads() bool { return h.leads.Load() }

// teachPeriod is how often hosts that may take over hear what the home has learned. With
// 630 servers it is 7 KB a second for each.
const teachPeriod = 2 * time.Second

// TeachNext tells the hosts that may take over what this one has learned of servers, while
// it leads and until ctx ends.
func (h *Home) TeachNext(ctx context.Context) {
	tick := time.NewTicker(teachPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if !h.leads.Load() {
			continue
		}
		h.loop.Do(func(_ sched.Time, s *sched.Scheduler) { h.teach(h.next(), s.Learned()) })
	}
}

func (h *Home) teach(holders []uint64, learned []sched.Learned) {
	if len(learned) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, holder := range holders {
		if l := h.links[holder]; l != nil {
			l.send(&wire.ToHolder{Paces: encodePaces(learned)})
		}
	}
}

// Followers counts the hosts that have a link here: they follow this host, or will when it
// leads.
func (h *Home) Followers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links)
}

// attach makes l the link of its holder; an older one is cut, and what it had
// booked is dropped as if the holder were gone.
//
// Guard: a holder tells all that waits and runs on its new link. What the home
// still reads from the old one is older than that: a withdrawal would end an ask
// of the new link, and its caller would wait for a word that never comes.
func (h *Home) attach(l *holderLink) {
	h.mu.Lock()
	old := h.links[l.holder]
	h.links[l.holder] = l
	h.mu.Unlock()
	if old == nil {
		return
	}
	old.superseded.Store(true)
	h.holderGone(l.holder)
	old.stream.Abort()
}

func (h *Home) holderGone(holder uint64) {
	h.loop.push(context.Background(), func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		s.HolderGone(now, holder)
		return nil
	})
}

func (h *Home) detach(l *holderLink) {
	h.mu.Lock()
	newest := h.links[l.holder] == l
	if newest {
		delete(h.links, l.holder)
	}
	h.mu.Unlock()
	if newest {
		h.holderGone(l.holder)
	}
}

// take feeds one message of a holder to the loop.
func (h *Home) take(ctx context.Context, l *holderLink, m *wire.ToHome) {
	h.loop.push(ctx, func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		if l.superseded.Load() {
			return nil
		}
		var out []sched.Decision
		reply := &wire.ToHolder{Pong: m.Ping}
		if m.Ping != 0 {
			reply.Leads = h.leads.Load()
		}
		if len(m.Suspects) > 0 {
			out = append(out, s.LearnSuspects(now, decodeSuspects(m.Suspects))...)
		}
		h.loop.learnNotices(now, s, l.holder, decodeNotices(m.Notices))
		for _, r := range m.Running {
			s.Adopt(now, decodeRunning(l.holder, r))
		}
		for _, o := range m.Outcomes {
			out = append(out, s.Finish(now, decodeOutcome(l.holder, o))...)
		}
		for _, server := range m.Blamed {
			s.Blame(now, server)
		}
		for _, c := range m.Charges {
			s.Charge(now, c.Account, float64(c.Units))
		}
		for _, id := range m.Withdrawn {
			out = append(out, s.Withdraw(now, sched.Key{Holder: l.holder, ID: id})...)
		}
		for _, a := range m.Asks {
			decisions, waits := s.Submit(now, decodeAsk(now, l.holder, l.zone, a))
			out = append(out, decisions...)
			if waits {
				reply.Queued = append(reply.Queued, a.Id)
			}
		}
		if reply.Pong != 0 || len(reply.Queued) > 0 {
			l.send(reply)
		}
		return out
	})
}

// send never blocks: a holder that does not read is cut, asks anew when it
// comes back, and decides alone until then.
func (l *holderLink) send(m *wire.ToHolder) {
	if !l.out.TryPush(m) {
		l.stream.Abort()
	}
}

// Deliver sends the decisions of one round to their holders.
func (h *Home) Deliver(out []sched.Decision) {
	byHolder := map[uint64]*wire.ToHolder{}
	for _, d := range out {
		m := byHolder[d.Holder]
		if m == nil {
			m = &wire.ToHolder{}
			byHolder[d.Holder] = m
		}
		addDecision(m, d)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for holder, m := range byHolder {
		if l := h.links[holder]; l != nil {
			l.send(m)
		}
	}
}

// writeMessages sends what the ring holds, everything that waits in one flush.
func writeMessages[M wire.Message](ctx context.Context, st *peer.Stream, out *ring.Ring[M]) {
	w := bufio.NewWriterSize(st, 4096)
	var batch []M
	for {
		select {
		case <-out.Ready():
		case <-ctx.Done():
			return
		}
		batch = out.Drain(batch[:0])
		_ = st.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed stream, as Write then does
		for _, m := range batch {
			if wire.Write(w, m) != nil {
				st.Abort()
				return
			}
		}
		if w.Flush() != nil {
			st.Abort()
			return
		}
		clear(batch)
	}
}
