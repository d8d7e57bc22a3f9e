package holder

import (
	"context"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/cellwire"
	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	linkSize       = 16384
	reportPart     = 2048 // ledger lines in one message
	heartbeat      = 250 * time.Millisecond
	echoDeadline   = 1500 * time.Millisecond
	reconnectPause = 50 * time.Millisecond
	leaveWait      = 500 * time.Millisecond
	progressPeriod = 1 * time.Second
)

// link is the duty that follows the home of one service. Its goroutine owns
// the fields without a lock; others push frames into out.
type link struct {
	h       *Holder
	service string
	out     *ring.Ring[*wire.Frame]
	moved   <-chan struct{} // membership or configuration changed
	configs <-chan struct{}

	home      member.Member // followed now or last
	clean     bool          // the last home took our goodbye
	lastStamp time.Time     // when the last home may last have heard of us
	meter     meter
}

func newLink(h *Holder, service string) *link {
	return &link{
		h: h, service: service, out: ring.New[*wire.Frame](linkSize),
		moved: h.src.Members.Subscribe(), configs: h.src.Config.Subscribe(), clean: true,
	}
}

// send queues a frame. While no home is reached the ring may fill; then the
// frame is dropped, and the report of the next session says what it said.
func (l *link) send(f *wire.Frame) { l.out.TryPush(f) }

func (l *link) register(r *Record) {
	if r.Sub.LocateOnly {
		l.send(&wire.Frame{Body: &wire.Frame_Locate{Locate: r.Sub.ID[:]}})
		return
	}
	req := r.coreRequest()
	l.send(cellwire.RegisterFrame(&req, time.Until(r.Sub.Deadline)))
}

func withdrawFrame(id ident.RequestID) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Withdraw{Withdraw: id[:]}}
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		target, ok := l.currentHome()
		if !ok || !l.mayFollow(ctx, target) {
			wait(ctx, reconnectPause)
			continue
		}
		l.follow(ctx, target)
		wait(ctx, reconnectPause)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (l *link) currentHome() (member.Member, bool) {
	inForce := l.h.src.Config.Current()
	if inForce == nil {
		return member.Member{}, false
	}
	if _, ok := inForce.Document.Service(l.service); !ok {
		l.refuseAll()
		return member.Member{}, false
	}
	return member.Home(l.service, l.h.src.Members.All(), inForce.Document.Rules.Lookup.HostsPerService)
}

// refuseAll ends the waiting requests of a service that the configuration no
// longer has.
func (l *link) refuseAll() {
	for _, r := range l.h.recordsOf(l.service) {
		r.withdraw(&failure.Error{Code: failure.Removed, Message: "service " + l.service + " was removed"})
	}
}

// mayFollow holds a move to another home back after an unclean end.
//
// Guard: the old home may be alive behind a parted network and judge by our
// silence what we can have run. It trusts its ledger for core.MoveHold after
// our last stamp; until then no other home may grant to us. A home that is
// proved dead judges nothing any more.
func (l *link) mayFollow(ctx context.Context, target member.Member) bool {
	if l.clean || target.Incarnation == l.home.Incarnation {
		return true
	}
	if old, ok := l.h.src.Members.Get(l.home.Incarnation); ok && old.Proved {
		return true
	}
	if left := time.Until(l.lastStamp.Add(core.MoveHold)); left > 0 {
		wait(ctx, min(left, reconnectPause))
		return false
	}
	return true
}

// session is one stream to a home. mu guards echoed and left.
type session struct {
	st   *peer.Stream
	gone chan struct{} // closed when the reader ends

	mu     sync.Mutex
	echoed time.Time
	left   bool
	noted  chan struct{} // closed when the home took our goodbye
}

// follow opens a session and keeps it until it breaks or the home moves.
func (l *link) follow(ctx context.Context, target member.Member) {
	st, err := l.h.src.Peers.OpenStream(ctx, peer.Target{Address: target.ControlAddress, Incarnation: target.Incarnation}, wire.StreamKind_STREAM_CELL, l.service)
	if err != nil {
		return
	}
	if l.home.Incarnation != 0 && l.home.Incarnation != target.Incarnation {
		l.h.src.Events.Record(event.HomeMoved, event.Fields{Service: l.service, Peer: target.Host})
	}
	l.home, l.clean = target, false
	s := &session{st: st, gone: make(chan struct{}), noted: make(chan struct{}), echoed: time.Now()}
	defer func() {
		st.Abort()
		<-s.gone
	}()
	l.h.tasks.Go(func() { l.read(s) })
	if l.sendReport(s) != nil {
		return
	}
	l.keep(ctx, s)
}

// sendReport opens the session with our part of the ledger, then registers
// what waits. Frames queued before are dropped first: the report is newer.
func (l *link) sendReport(s *session) error {
	l.out.Drain(nil)
	records := l.h.recordsOf(l.service)
	var lines []*wire.LedgerLine
	var waiting []*Record
	for _, r := range records {
		e, ok := r.ledgerLine()
		if ok {
			lines = append(lines, cellwire.Line(e))
		}
		if r.State() == stateWaiting {
			waiting = append(waiting, r)
		}
	}
	for {
		n := min(reportPart, len(lines))
		part := &wire.Report{Stamp: int64(l.h.stamp()), Lines: lines[:n], Last: n == len(lines)}
		if err := l.write(s, []*wire.Frame{{Body: &wire.Frame_Report{Report: part}}}); err != nil {
			return err
		}
		lines = lines[n:]
		if part.Last {
			break
		}
	}
	for _, r := range waiting {
		l.register(r)
	}
	return nil
}

func (l *link) write(s *session, frames []*wire.Frame) error {
	l.lastStamp = time.Now()
	return wire.Write(s.st, &wire.Batch{Lamport: l.h.src.Events.Clock(), Frames: frames})
}

// keep sends what is queued and heartbeats, and ends when the home moved,
// stopped echoing, or the stream broke.
func (l *link) keep(ctx context.Context, s *session) {
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	var frames []*wire.Frame
	lastProgress := time.Now()
	for {
		frames = frames[:0]
		select {
		case <-l.out.Ready():
		case <-beat.C:
			if s.silent() {
				l.h.src.Events.Record(event.PeerSilent, event.Fields{Service: l.service, Peer: l.home.Host})
				return
			}
			frames = append(frames, &wire.Frame{Body: &wire.Frame_Heard{Heard: int64(l.h.stamp())}})
			if time.Since(lastProgress) >= progressPeriod {
				lastProgress = time.Now()
				frames = l.meter.frames(frames)
			}
		case <-l.moved:
		case <-l.configs:
		case <-s.gone:
			return
		case <-ctx.Done():
			return
		}
		if target, ok := l.currentHome(); !ok || target.Incarnation != l.home.Incarnation {
			l.leave(s)
			return
		}
		frames = l.out.Drain(frames)
		if len(frames) > 0 && l.write(s, frames) != nil {
			return
		}
	}
}

// silent reports whether the home stopped echoing our heartbeats. A stream
// that something in between forgot takes writes and carries nothing.
func (s *session) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.echoed) > echoDeadline
}

// leave says goodbye to the old home. From here on its grants are not used.
func (l *link) leave(s *session) {
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
	if l.write(s, []*wire.Frame{{Body: &wire.Frame_Left{Left: true}}}) != nil {
		return
	}
	select {
	case <-s.noted:
		l.clean = true
	case <-s.gone:
	case <-time.After(leaveWait):
	}
}

func (l *link) read(s *session) {
	defer close(s.gone)
	for {
		var b wire.Batch
		if wire.Read(s.st.Reader, &b) != nil {
			return
		}
		l.h.src.Events.Witness(b.Lamport)
		for _, f := range b.Frames {
			if !l.take(s, f) {
				return
			}
		}
	}
}

// take acts on one frame of the home; false ends the session.
func (l *link) take(s *session, f *wire.Frame) bool {
	switch f.Body.(type) {
	case *wire.Frame_Echo:
		s.mu.Lock()
		s.echoed = time.Now()
		s.mu.Unlock()
		return true
	case *wire.Frame_LeftNoted:
		close(s.noted)
		return false
	}
	a, err := cellwire.Action(f)
	if err != nil {
		l.h.src.Events.Record(event.DutyFailed, event.Fields{Service: l.service, Detail: err.Error()})
		return false
	}
	s.mu.Lock()
	left := s.left
	s.mu.Unlock()
	if !left {
		l.h.act(l, a)
	}
	return true
}

// act carries out one action of the home.
func (h *Holder) act(l *link, a core.Action) {
	r, known := h.Get(a.ID)
	if a.Kind == core.Revoke {
		h.revoked(l, a.ID, r)
		return
	}
	if !known {
		if a.Kind == core.Grant {
			l.send(withdrawFrame(a.ID))
		}
		return
	}
	switch a.Kind {
	case core.Grant:
		r.granted(l, a)
	case core.Shed:
		r.refuse(&failure.Error{Code: a.Reason, Message: "shed by the home of " + l.service, RetryAfter: a.RetryAfter})
	case core.Attach:
		r.attachTo(a.Holder, a.Server)
	case core.Unproved:
		r.unproved(a.Reason)
	}
}

// revoked gives this host's word on an id that was resent elsewhere. For an
// id it does not hold it leaves a mark, so that the request, should it still
// be on its way to here, is turned away.
func (h *Holder) revoked(l *link, id ident.RequestID, r *Record) {
	ans := core.RevokeAnswer{ID: id, Holder: h.self}
	if r != nil {
		ans = r.revoke()
	} else {
		h.markMoved(id, l.service)
	}
	l.send(&wire.Frame{Body: &wire.Frame_RevokeAnswer{RevokeAnswer: &wire.RevokeAnswer{
		Id: id[:], Dispatched: ans.Verdict == core.Dispatched, Server: uint32(ans.Server),
	}}})
}

func (h *Holder) markMoved(id ident.RequestID, service string) {
	r := newRecord(h, Submission{ID: id, Service: service, Deadline: time.Now().Add(time.Hour)})
	h.mu.Lock()
	if _, ok := h.records[id]; !ok {
		h.records[id] = r
	}
	h.mu.Unlock()
	r.revoke()
}
