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
	linkQueueSize = 1024
	writeTimeout  = 500 * time.Millisecond
)

// Home is the scheduler's side of the links: it passes messages of holders (the entry hosts
// that received the requests) to the loop and sends them the decisions. mu guards links.
type Home struct {
	loop  *Loop
	leads atomic.Bool // this host schedules for all hosts
	// nextHomes lists the hosts that take over if this one is lost, by incarnation.
	nextHomes func() []uint64
	mu        sync.Mutex
	links     map[uint64]*holderLink // by incarnation of the holder
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

// NewHome creates a Home for a loop. nextHomes lists the hosts that take over if this one is
// lost, by incarnation.
func NewHome(loop *Loop, nextHomes func() []uint64) *Home {
	return &Home{loop: loop, nextHomes: nextHomes, links: map[uint64]*holderLink{}}
}

// Serve handles the stream of one holder until it breaks. The stream's service
// field carries the holder's availability zone.
func (h *Home) Serve(ctx context.Context, st *peer.Stream) {
	l := &holderLink{
		holder: uint64(st.Peer.Incarnation), zone: st.Open.Service,
		out: ring.New[*wire.ToHolder](linkQueueSize), stream: st,
	}
	h.attach(l)
	h.sendAllSuspects(l)
	h.sendAllTraits(l)
	h.sendAllRollouts(l)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var writer sync.WaitGroup
	writer.Go(func() { writeMessages(ctx, st, l.out) })
	stop := context.AfterFunc(ctx, st.Abort)
	defer stop()
	for {
		m := &wire.ToHome{}
		if wire.Read(st.Reader, m) != nil {
			break
		}
		h.handle(ctx, l, m)
	}
	cancel()
	st.Abort()
	writer.Wait()
	h.detach(l)
}

// Lead sets whether this host leads, which means that it schedules for all hosts. Linked hosts
// are notified at once when it begins to.
func (h *Home) Lead(leads bool) {
	if h.leads.Swap(leads) == leads || !leads {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.links {
		l.send(&wire.ToHolder{Leads: true})
		go h.sendAllSuspects(l)
		go h.sendAllTraits(l)
		go h.sendAllRollouts(l)
	}
}

// Leads reports whether this host schedules for all hosts.
func (h *Home) Leads() bool { return h.leads.Load() }

// estimatesPeriod is how often the home sends its estimates of server speeds and stream pauses
// to the hosts that may take over. With 630 servers this is 7 KB a second for each host.
const estimatesPeriod = 2 * time.Second

// SendEstimates sends the estimates of server speeds and stream pauses to the hosts that may take
// over, while this host leads and until ctx ends.
func (h *Home) SendEstimates(ctx context.Context) {
	tick := time.NewTicker(estimatesPeriod)
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
		h.loop.Do(func(_ sched.Time, s *sched.Scheduler) { h.sendEstimates(h.nextHomes(), s.Learned(), s.LearnedPauses()) })
	}
}

func (h *Home) sendEstimates(holders []uint64, learned []sched.Learned, pauses []sched.PauseEstimate) {
	if len(learned) == 0 && len(pauses) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, holder := range holders {
		if l := h.links[holder]; l != nil {
			l.send(&wire.ToHolder{Paces: encodePaces(learned), Pauses: encodePauses(pauses)})
		}
	}
}

// Followers counts the linked hosts. They follow this host, or will once it leads.
func (h *Home) Followers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links)
}

// attach makes l the link of its holder. An older link is aborted, and the requests that were
// queued over it are dropped as if the holder were gone.
//
// A holder reports all its waiting requests and runs over the new link. Messages still
// unread on the old link are out of date and must be ignored: a withdrawal among them would
// cancel a placement request of the new link, and its caller would wait for an answer forever.
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

// holderGone drops the waiting requests of a holder from the loop.
func (h *Home) holderGone(holder uint64) {
	h.loop.push(context.Background(), func(now sched.Time, s *sched.Scheduler) []sched.Decision {
		s.HolderGone(now, holder)
		return nil
	})
}

// detach removes l if it is still the current link of its holder.
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

// handle passes one message of a holder to the loop.
func (h *Home) handle(ctx context.Context, l *holderLink, m *wire.ToHome) {
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
		if len(m.Traits) > 0 {
			out = append(out, s.LearnTraits(now, decodeTraits(m.Traits))...)
		}
		h.loop.learnNotices(now, s, l.holder, decodeNotices(m.Notices))
		if len(m.Loads) > 0 {
			h.loop.learnLoads(now, s, decodeLoads(m.Loads))
		}
		s.LearnOrigins(now, decodeOrigins(now, m.Origins))
		for _, r := range m.Running {
			s.Adopt(now, decodeRunning(l.holder, r))
		}
		for _, o := range m.Outcomes {
			out = append(out, s.Finish(now, decodeOutcome(l.holder, o))...)
		}
		for _, server := range m.Blamed {
			s.RecordServerFault(now, server)
		}
		for _, server := range m.Reached {
			out = append(out, s.ServerReached(now, server)...)
		}
		for _, c := range m.Charges {
			s.Charge(now, c.Account, float64(c.Units))
		}
		for _, id := range m.Withdrawn {
			out = append(out, s.Withdraw(now, sched.Key{Holder: l.holder, ID: id})...)
		}
		for _, a := range m.Asks {
			decisions, waits := s.Submit(now, decodeRequest(now, l.holder, l.zone, a))
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

// send queues a message for the holder and never blocks. The link to a holder that does not
// read is aborted; the holder schedules locally until it reconnects, and then submits its
// requests again.
func (l *holderLink) send(m *wire.ToHolder) {
	if !l.out.TryPush(m) {
		l.stream.Abort()
	}
}

// Deliver sends the decisions of one round of the loop to their holders. Decisions for a holder
// without a link are dropped, since a holder submits its requests again over a new link.
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

// writeMessages writes the messages of a ring to a stream until ctx ends. It flushes once for
// all messages that are queued at the time.
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
