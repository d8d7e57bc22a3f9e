package holder

import (
	"context"
	"time"

	"github.com/gentianflow/gentianflow/internal/backend"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	relaySilence = 2 * time.Second
	relayPause   = 200 * time.Millisecond
	relayChunk   = 64 << 10
	askTimeout   = 1 * time.Second
)

// attachTo follows an answer that another holder has.
func (r *Record) attachTo(holder ident.Incarnation, server ident.ServerID) {
	if !r.step(evAttach) {
		return
	}
	r.record(event.RequestAttached, holder.String())
	r.h.background(func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, r.Sub.Deadline)
		defer cancel()
		r.setCancel(cancel)
		r.relay(ctx, holder, server)
	})
}

// unproved handles a resend of which no one can prove that it did not run.
// The servers are asked for the id: one that knows it has the answer. If none
// does, that proves nothing, since a dispatch may still be on its way.
func (r *Record) unproved(reason failure.Code) {
	if reason == failure.UnknownRequest {
		if m, ok := r.h.src.Members.Get(r.Sub.ID.Ticket()); ok && m.State != member.Dead && m.Incarnation != r.h.self {
			r.attachTo(m.Incarnation, 0)
			return
		}
	}
	if !r.step(evAttach) {
		return
	}
	r.h.background(func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, r.Sub.Deadline)
		defer cancel()
		r.setCancel(cancel)
		if r.resumeAnywhere(ctx) {
			return
		}
		r.giveUp(&failure.Error{Code: reason, Message: "no proof that it did not run, and no backend server knows it"})
	})
}

// relay copies the answer from its holder; when the holder is dead or does
// not answer, it resumes the stream at the backend server.
func (r *Record) relay(ctx context.Context, holder ident.Incarnation, server ident.ServerID) {
	for ctx.Err() == nil {
		m, ok := r.h.src.Members.Get(holder)
		alive := ok && m.State != member.Dead
		if alive {
			switch r.relayFrom(ctx, m) {
			case relayEnded:
				return
			case relayNotHeld:
				// The holder answers and does not have it: asking again does
				// not help, only the server may still know it.
				if server == 0 || !r.resumeAt(ctx, server) {
					r.giveUp(&failure.Error{Code: failure.UnknownRequest, Message: "the host that had it does not hold it any more"})
				}
				return
			}
		}
		if server != 0 && r.resumeAt(ctx, server) {
			return
		}
		if !alive && (server == 0 || r.Sub.Plain || m.Proved) {
			break
		}
		wait(ctx, relayPause)
	}
	r.giveUp(&failure.Error{Code: failure.HolderLost, Message: "its holder is gone and no backend server gave its answer"})
}

// relayResult tells how one try to copy from a holder ended.
type relayResult uint8

const (
	relayBroke   relayResult = iota // the holder was not reached or fell silent
	relayNotHeld                    // the holder answers and does not hold the id
	relayEnded                      // the record has its final word
)

// relayFrom copies from a live holder.
func (r *Record) relayFrom(ctx context.Context, m member.Member) relayResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st, err := r.h.src.Peers.OpenStream(ctx, peer.Target{Address: m.ControlAddress, Incarnation: m.Incarnation}, wire.StreamKind_STREAM_ATTACH, r.Sub.Service)
	if err != nil {
		return relayBroke
	}
	defer func() { _ = st.Close() }()
	ask := &wire.AttachRequest{Id: r.Sub.ID[:], Account: uint32(ident.AccountIDOf(r.Sub.Account)), Offset: uint64(r.answer.size())}
	if wire.Write(st, ask) != nil {
		return relayBroke
	}
	var head wire.AnswerHead
	if readWithin(st, &head, relaySilence) != nil {
		return relayBroke
	}
	if !head.Found {
		return relayNotHeld
	}
	if r.copyParts(ctx, st) {
		return relayEnded
	}
	return relayBroke
}

// copyParts takes parts until the end of the answer.
//
// Guard: a relay that breaks off must never look like a whole answer. Only a
// part marked as the end, whose length and checksum equal what is here, ends
// the record; anything else makes the caller of copyParts try again.
func (r *Record) copyParts(ctx context.Context, st *peer.Stream) bool {
	context.AfterFunc(ctx, st.Abort)
	for ctx.Err() == nil {
		var p wire.AnswerPart
		if readWithin(st, &p, relaySilence) != nil {
			return false
		}
		if p.ContentType != "" {
			r.answer.begin(int(p.Status), p.ContentType)
		}
		if len(p.Data) > 0 && !r.answer.addAt(int(p.Offset), p.Data) {
			r.record(event.FrameCrossed, "relay")
			return false
		}
		if !p.End {
			continue
		}
		if p.Failure != "" {
			r.endAs(&failure.Error{Code: failure.Code(p.Failure), Message: p.Message, RetryAfter: time.Duration(p.RetryAfterMs) * time.Millisecond, Unproved: p.Unproved})
			return true
		}
		length, sum := r.answer.Whole()
		if uint64(length) != p.Length || sum != p.Checksum {
			return false
		}
		r.answered()
		return true
	}
	return false
}

// endAs passes on the final word of the holder.
func (r *Record) endAs(e *failure.Error) {
	if e.Outcome() == failure.NotRun {
		r.endNotRun(evNotRunThere, e)
		return
	}
	r.giveUp(e)
}

func readWithin(st *peer.Stream, m wire.Message, d time.Duration) error {
	_ = st.SetReadDeadline(time.Now().Add(d))
	return wire.Read(st.Reader, m)
}

// resumeAt continues the stream at the server it was dispatched to. It
// reports whether the record ended.
func (r *Record) resumeAt(ctx context.Context, server ident.ServerID) bool {
	b, ok := r.h.backendOf(r.Sub.Service, server)
	if !ok || r.Sub.Plain {
		return false
	}
	srv := r.h.src.Backends(b.Address, false)
	if _, err := srv.Resume(ctx, r.Sub.ID, 0, &relaySink{r: r}); err != nil {
		return false
	}
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	r.answered()
	return true
}

// resumeAnywhere asks every server of the service for the id.
func (r *Record) resumeAnywhere(ctx context.Context) bool {
	inForce := r.h.src.Config.Current()
	if inForce == nil || r.Sub.Plain {
		return false
	}
	svc, ok := inForce.Document.Service(r.Sub.Service)
	if !ok {
		return false
	}
	for i := range svc.BackendServers {
		if r.resumeAt(ctx, ident.ServerIDOf(svc.BackendServers[i].Name)) {
			return true
		}
	}
	return false
}

// relaySink takes a stream from its first part although a beginning of it
// may be here already, in bytes: what is known is compared, the rest joins.
type relaySink struct {
	r      *Record
	offset int
}

// Begin implements backend.Sink.
func (s *relaySink) Begin(status int, contentType string) {
	s.r.answer.begin(status, contentType)
	s.r.record(event.RequestResumed, "by another host")
}

// Part implements backend.Sink.
func (s *relaySink) Part(p backend.Part) bool {
	framed := frameEvent(p.Data)
	if !s.r.answer.addAt(s.offset, framed) {
		s.r.record(event.FrameCrossed, "resume")
		return false
	}
	s.offset += len(framed)
	return true
}

// ServeAttach answers another host that follows a request held here.
func (h *Holder) ServeAttach(st *peer.Stream) {
	defer func() { _ = st.Close() }()
	var ask wire.AttachRequest
	if readWithin(st, &ask, askTimeout) != nil {
		return
	}
	r := h.attachable(&ask)
	if wire.Write(st, &wire.AnswerHead{Found: r != nil}) != nil || r == nil {
		return
	}
	leave := r.Follow()
	defer leave()
	r.copyTo(st, int(ask.Offset))
}

// attachable finds the record that is held here, not one that is itself
// followed from elsewhere: two hosts would wait for each other.
func (h *Holder) attachable(ask *wire.AttachRequest) *Record {
	id, err := ident.RequestIDFromBytes(ask.GetId())
	if err != nil {
		return nil
	}
	r, ok := h.Get(id)
	if !ok || r.State() == stateAttached || r.Sub.LocateOnly || uint32(ident.AccountIDOf(r.Sub.Account)) != ask.GetAccount() {
		return nil
	}
	return r
}

// copyTo sends the answer from an offset on. While nothing arrives it sends
// empty parts, by which the other end knows that the stream is alive.
func (r *Record) copyTo(st *peer.Stream, offset int) {
	for {
		ctx, cancel := context.WithTimeout(r.h.ctx, relaySilence/4)
		data, ended, err := r.answer.Read(ctx, offset)
		cancel()
		data = data[:min(len(data), relayChunk)]
		status, contentType := r.answer.Head()
		part := &wire.AnswerPart{Offset: uint64(offset), Data: data, Status: uint32(status), ContentType: contentType}
		offset += len(data)
		if ended && offset >= r.answer.size() {
			finalPart(part, r.answer, err)
		}
		_ = st.SetWriteDeadline(time.Now().Add(relaySilence))
		if wire.Write(st, part) != nil || part.End || r.h.ctx.Err() != nil {
			return
		}
	}
}

func finalPart(p *wire.AnswerPart, a *Answer, err error) {
	p.End = true
	if err != nil {
		e := failure.From(err)
		p.Failure, p.Message, p.RetryAfterMs = string(e.Code), e.Message, uint32(e.RetryAfter.Milliseconds())
		p.Unproved = e.Unproved
		return
	}
	length, sum := a.Whole()
	p.Length, p.Checksum = uint64(length), sum
}
