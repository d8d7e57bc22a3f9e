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
	// relayTimeout bounds each read and write on a relay stream.
	relayTimeout         = 2 * time.Second
	relayRetryDelay      = 200 * time.Millisecond
	relayChunkBytes      = 64 << 10
	attachRequestTimeout = 1 * time.Second
)

// attachTo follows the answer that another holder has.
func (r *Record) attachTo(holder ident.Incarnation, server ident.ServerID) {
	if !r.fire(evAttach) {
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

// handleUnproved handles a request for which no host can prove that it did not
// run. If the home does not know the id, the answer is relayed from the host
// that the id's ticket names, if that host is alive. Otherwise it asks the
// backend servers for the id; a server that knows the id has the answer. If none
// does, the outcome is unknown, since a dispatch may still be in transit.
func (r *Record) handleUnproved(reason failure.Code) {
	if reason == failure.UnknownRequest {
		if m, ok := r.h.deps.Members.Get(r.Sub.ID.Ticket()); ok && m.State != member.Dead && m.Incarnation != r.h.self {
			r.attachTo(m.Incarnation, 0)
			return
		}
	}
	if !r.fire(evAttach) {
		return
	}
	r.h.background(func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, r.Sub.Deadline)
		defer cancel()
		r.setCancel(cancel)
		if r.resumeAtAnyServer(ctx) {
			return
		}
		r.endUnknown(&failure.Error{Code: reason, Message: "no proof that it did not run, and no backend server knows it"})
	})
}

// relay copies the answer from its holder. When the holder is dead or does not
// answer, it resumes the stream at the backend server.
func (r *Record) relay(ctx context.Context, holder ident.Incarnation, server ident.ServerID) {
	for ctx.Err() == nil {
		m, ok := r.h.deps.Members.Get(holder)
		alive := ok && m.State != member.Dead
		if alive {
			switch r.relayFrom(ctx, m) {
			case relayEnded:
				return
			case relayNotHeld:
				// The holder answered that it does not have the request. A
				// retry cannot help; only the server may still know it.
				if server == 0 || !r.resumeAt(ctx, server) {
					r.endUnknown(&failure.Error{Code: failure.UnknownRequest, Message: "the host that had it does not hold it any more"})
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
		wait(ctx, relayRetryDelay)
	}
	r.endUnknown(&failure.Error{Code: failure.HolderLost, Message: "its holder is gone and no backend server gave its answer"})
}

// relayResult is the result of one attempt to copy from a holder.
type relayResult uint8

const (
	relayBroken  relayResult = iota // the holder was not reached or the stream broke or stalled
	relayNotHeld                    // the holder answered that it does not hold the id
	relayEnded                      // the record ended with the holder's result
)

// relayFrom copies the answer from a live holder.
func (r *Record) relayFrom(ctx context.Context, m member.Member) relayResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st, err := r.h.deps.Peers.OpenStream(ctx, peer.Target{Address: m.ControlAddress, Incarnation: m.Incarnation}, wire.StreamKind_STREAM_ATTACH, r.Sub.Service)
	if err != nil {
		return relayBroken
	}
	defer func() { _ = st.Close() }()
	req := &wire.AttachRequest{Id: r.Sub.ID[:], Account: uint32(ident.AccountIDOf(r.Sub.Account)), Offset: uint64(r.answer.size())}
	if wire.Write(st, req) != nil {
		return relayBroken
	}
	var head wire.AnswerHead
	if readWithin(st, &head, relayTimeout) != nil {
		return relayBroken
	}
	if !head.Found {
		return relayNotHeld
	}
	if r.copyParts(ctx, st) {
		return relayEnded
	}
	return relayBroken
}

// copyParts receives parts until the end of the answer. It reports whether the
// record ended.
//
// A relay that breaks must never look like a complete answer. Only a part that
// is marked as the end, and whose length and checksum match the received bytes,
// ends the record; otherwise the caller of copyParts retries.
func (r *Record) copyParts(ctx context.Context, st *peer.Stream) bool {
	context.AfterFunc(ctx, st.Abort)
	for ctx.Err() == nil {
		var p wire.AnswerPart
		if readWithin(st, &p, relayTimeout) != nil {
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
			r.endWith(&failure.Error{Code: failure.Code(p.Failure), Message: p.Message, RetryAfter: time.Duration(p.RetryAfterMs) * time.Millisecond, Unproved: p.Unproved})
			return true
		}
		length, sum := r.answer.LengthAndChecksum()
		if uint64(length) != p.Length || sum != p.Checksum {
			return false
		}
		r.completeAnswered()
		return true
	}
	return false
}

// endWith ends the record with the holder's final error.
func (r *Record) endWith(e *failure.Error) {
	if e.Outcome() == failure.NotRun {
		r.endNotRun(evNotRunThere, e)
		return
	}
	r.endUnknown(e)
}

func readWithin(st *peer.Stream, m wire.Message, d time.Duration) error {
	_ = st.SetReadDeadline(time.Now().Add(d))
	return wire.Read(st.Reader, m)
}

// resumeAt reads the answer from its first part at the given server. It reports
// whether the record ended.
func (r *Record) resumeAt(ctx context.Context, server ident.ServerID) bool {
	b, ok := r.h.backendOf(r.Sub.Service, server)
	if !ok || r.Sub.Plain {
		return false
	}
	srv := r.h.deps.Backends(b.Address, false)
	if _, err := srv.Resume(ctx, r.Sub.ID, 0, &relaySink{r: r}); err != nil {
		return false
	}
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	r.completeAnswered()
	return true
}

// resumeAtAnyServer calls resumeAt for each server of the service in turn. It
// reports whether the record ended.
func (r *Record) resumeAtAnyServer(ctx context.Context) bool {
	inForce := r.h.deps.Config.Current()
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

// relaySink receives a stream from its first part. The record may already have
// the first bytes of the answer: these are compared and only new bytes are
// appended.
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

// ServeAttach sends the answer of a request held here to another host that
// follows it.
func (h *Holder) ServeAttach(st *peer.Stream) {
	defer func() { _ = st.Close() }()
	var req wire.AttachRequest
	if readWithin(st, &req, attachRequestTimeout) != nil {
		return
	}
	r := h.attachable(&req)
	if wire.Write(st, &wire.AnswerHead{Found: r != nil}) != nil || r == nil {
		return
	}
	leave := r.AddReader()
	defer leave()
	r.sendAnswer(st, int(req.Offset))
}

// attachable returns the record of a request that is held here. It returns nil
// for a record that itself follows another host, because two hosts could then
// wait for each other.
func (h *Holder) attachable(req *wire.AttachRequest) *Record {
	id, err := ident.RequestIDFromBytes(req.GetId())
	if err != nil {
		return nil
	}
	r, ok := h.Get(id)
	if !ok || r.State() == stateAttached || r.Sub.LocateOnly || uint32(ident.AccountIDOf(r.Sub.Account)) != req.GetAccount() {
		return nil
	}
	return r
}

// sendAnswer sends the answer from an offset on. While no data arrives it sends
// empty parts as keep-alives.
func (r *Record) sendAnswer(st *peer.Stream, offset int) {
	for {
		ctx, cancel := context.WithTimeout(r.h.ctx, relayTimeout/4)
		data, ended, err := r.answer.Read(ctx, offset)
		cancel()
		data = data[:min(len(data), relayChunkBytes)]
		status, contentType := r.answer.Head()
		part := &wire.AnswerPart{Offset: uint64(offset), Data: data, Status: uint32(status), ContentType: contentType}
		offset += len(data)
		if ended && offset >= r.answer.size() {
			fillFinalPart(part, r.answer, err)
		}
		_ = st.SetWriteDeadline(time.Now().Add(relayTimeout))
		if wire.Write(st, part) != nil || part.End || r.h.ctx.Err() != nil {
			return
		}
	}
}

func fillFinalPart(p *wire.AnswerPart, a *Answer, err error) {
	p.End = true
	if err != nil {
		e := failure.From(err)
		p.Failure, p.Message, p.RetryAfterMs = string(e.Code), e.Message, uint32(e.RetryAfter.Milliseconds())
		p.Unproved = e.Unproved
		return
	}
	length, sum := a.LengthAndChecksum()
	p.Length, p.Checksum = uint64(length), sum
}
