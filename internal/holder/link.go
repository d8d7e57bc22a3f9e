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
	outQueueSize     = 16384
	reportChunkLines = 2048 // ledger lines per message
	heartbeatPeriod  = 250 * time.Millisecond
	echoTimeout      = 1500 * time.Millisecond
	reconnectDelay   = 50 * time.Millisecond
	leaveTimeout     = 500 * time.Millisecond
	progressPeriod   = 1 * time.Second
)

// link connects this holder to the home of one service and follows it when the
// home moves to another host. Its goroutine owns the fields without a lock;
// other goroutines push frames into out.
type link struct {
	h              *Holder
	service        string
	out            *ring.Ring[*wire.Frame]
	membersChanged <-chan struct{}
	configChanged  <-chan struct{}

	home        member.Member // current or last home
	leftCleanly bool          // the last home acknowledged that this host left
	lastStamp   time.Time     // start of the last write to the last home
	meter       meter
}

func newLink(h *Holder, service string) *link {
	return &link{
		h: h, service: service, out: ring.New[*wire.Frame](outQueueSize),
		membersChanged: h.deps.Members.Subscribe(), configChanged: h.deps.Config.Subscribe(), leftCleanly: true,
	}
}

// send queues a frame. When the ring is full, because no home is connected,
// the frame is dropped; the report of the next session contains its
// information.
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
			wait(ctx, reconnectDelay)
			continue
		}
		l.follow(ctx, target)
		wait(ctx, reconnectDelay)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (l *link) currentHome() (member.Member, bool) {
	inForce := l.h.deps.Config.Current()
	if inForce == nil {
		return member.Member{}, false
	}
	if _, ok := inForce.Document.Service(l.service); !ok {
		l.refuseAll()
		return member.Member{}, false
	}
	return member.Home(l.service, l.h.deps.Members.All(), inForce.Document.Rules.Lookup.HostsPerService)
}

// refuseAll ends the waiting requests of a service that was removed from the
// configuration.
func (l *link) refuseAll() {
	for _, r := range l.h.recordsOf(l.service) {
		r.withdraw(&failure.Error{Code: failure.Removed, Message: "service " + l.service + " was removed"})
	}
}

// mayFollow reports whether the link may connect to target. It delays the move
// to another home when the last session ended without an acknowledged leave.
//
// The old home may still be alive behind a network partition and infer from the
// missing heartbeats what this host can have run. It relies on its ledger (the
// list of requests and their states) for core.MoveHold after this host's last
// stamp; until then no other home may grant to this host. A home that is proved
// dead no longer makes decisions, so there is nothing to wait for.
func (l *link) mayFollow(ctx context.Context, target member.Member) bool {
	if l.leftCleanly || target.Incarnation == l.home.Incarnation {
		return true
	}
	if old, ok := l.h.deps.Members.Get(l.home.Incarnation); ok && old.Proved {
		return true
	}
	if left := time.Until(l.lastStamp.Add(core.MoveHold)); left > 0 {
		wait(ctx, min(left, reconnectDelay))
		return false
	}
	return true
}

// session is one stream to a home. mu guards lastEcho and left.
type session struct {
	st         *peer.Stream
	readerDone chan struct{} // closed when readFrames returns

	mu         sync.Mutex
	lastEcho   time.Time
	left       bool
	leaveNoted chan struct{} // closed when the home acknowledged the leave
}

// follow opens a session to a home and runs it until it breaks or the home
// moves.
func (l *link) follow(ctx context.Context, target member.Member) {
	st, err := l.h.deps.Peers.OpenStream(ctx, peer.Target{Address: target.ControlAddress, Incarnation: target.Incarnation}, wire.StreamKind_STREAM_CELL, l.service)
	if err != nil {
		return
	}
	if l.home.Incarnation != 0 && l.home.Incarnation != target.Incarnation {
		l.h.deps.Events.Record(event.HomeMoved, event.Fields{Service: l.service, Peer: target.Host})
	}
	l.home, l.leftCleanly = target, false
	s := &session{st: st, readerDone: make(chan struct{}), leaveNoted: make(chan struct{}), lastEcho: time.Now()}
	defer func() {
		st.Abort()
		<-s.readerDone
	}()
	l.h.tasks.Go(func() { l.readFrames(s) })
	if l.sendReport(s) != nil {
		return
	}
	l.runSession(ctx, s)
}

// sendReport sends this host's ledger lines as the first frames of the session
// and then registers the waiting requests. Frames queued earlier are dropped,
// because the report is newer.
func (l *link) sendReport(s *session) error {
	l.out.Drain(nil)
	records := l.h.recordsOf(l.service)
	var lines []*wire.LedgerLine
	var waiting []*Record
	for _, r := range records {
		e, ok := r.ledgerEntry()
		if ok {
			lines = append(lines, cellwire.Line(e))
		}
		if r.State() == stateWaiting {
			waiting = append(waiting, r)
		}
	}
	for {
		n := min(reportChunkLines, len(lines))
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
	return wire.Write(s.st, &wire.Batch{Lamport: l.h.deps.Events.Clock(), Frames: frames})
}

// runSession sends queued frames and heartbeats. It returns when the home
// moves, the home stops echoing heartbeats, or the stream breaks.
func (l *link) runSession(ctx context.Context, s *session) {
	beat := time.NewTicker(heartbeatPeriod)
	defer beat.Stop()
	var frames []*wire.Frame
	lastProgress := time.Now()
	for {
		frames = frames[:0]
		select {
		case <-l.out.Ready():
		case <-beat.C:
			if s.silent() {
				l.h.deps.Events.Record(event.PeerSilent, event.Fields{Service: l.service, Peer: l.home.Host})
				return
			}
			frames = append(frames, &wire.Frame{Body: &wire.Frame_Heard{Heard: int64(l.h.stamp())}})
			if time.Since(lastProgress) >= progressPeriod {
				lastProgress = time.Now()
				frames = l.meter.frames(frames)
			}
		case <-l.membersChanged:
		case <-l.configChanged:
		case <-s.readerDone:
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

// silent reports whether the home stopped echoing heartbeats. Writes succeed
// even on a connection whose state a middlebox has lost and that delivers
// nothing.
func (s *session) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastEcho) > echoTimeout
}

// leave notifies the old home that this host leaves it, and waits for the
// acknowledgement. Grants that arrive from now on are not used.
func (l *link) leave(s *session) {
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
	if l.write(s, []*wire.Frame{{Body: &wire.Frame_Left{Left: true}}}) != nil {
		return
	}
	select {
	case <-s.leaveNoted:
		l.leftCleanly = true
	case <-s.readerDone:
	case <-time.After(leaveTimeout):
	}
}

func (l *link) readFrames(s *session) {
	defer close(s.readerDone)
	for {
		var b wire.Batch
		if wire.Read(s.st.Reader, &b) != nil {
			return
		}
		l.h.deps.Events.Witness(b.Lamport)
		for _, f := range b.Frames {
			if !l.handleFrame(s, f) {
				return
			}
		}
	}
}

// handleFrame handles one frame from the home; false ends the session.
func (l *link) handleFrame(s *session, f *wire.Frame) bool {
	switch f.Body.(type) {
	case *wire.Frame_Echo:
		s.mu.Lock()
		s.lastEcho = time.Now()
		s.mu.Unlock()
		return true
	case *wire.Frame_LeftNoted:
		close(s.leaveNoted)
		return false
	}
	a, err := cellwire.Action(f)
	if err != nil {
		l.h.deps.Events.Record(event.DutyFailed, event.Fields{Service: l.service, Detail: err.Error()})
		return false
	}
	s.mu.Lock()
	left := s.left
	s.mu.Unlock()
	if !left {
		l.h.handleAction(l, a)
	}
	return true
}

// handleAction carries out one action that the home sent.
func (h *Holder) handleAction(l *link, a core.Action) {
	r, known := h.Get(a.ID)
	if a.Kind == core.Revoke {
		h.handleRevoke(l, a.ID, r)
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
		r.handleGrant(l, a)
	case core.Shed:
		r.refuse(&failure.Error{Code: a.Reason, Message: "shed by the home of " + l.service, RetryAfter: a.RetryAfter})
	case core.Attach:
		r.attachTo(a.Holder, a.Server)
	case core.Unproved:
		r.handleUnproved(a.Reason)
	}
}

// handleRevoke answers whether an id that was resent through another host may
// have run here. An id that is not held is marked as moved, so that the request
// is rejected if it is still on its way to this host.
func (h *Holder) handleRevoke(l *link, id ident.RequestID, r *Record) {
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

// markMoved adds a record in state "moved" for an id that is not held.
func (h *Holder) markMoved(id ident.RequestID, service string) {
	r := newRecord(h, Submission{ID: id, Service: service, Deadline: time.Now().Add(time.Hour)})
	h.mu.Lock()
	if _, ok := h.records[id]; !ok {
		h.records[id] = r
	}
	h.mu.Unlock()
	r.revoke()
}
