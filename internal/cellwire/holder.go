// Package cellwire translates between the frames of a cell stream and the
// events and actions of package core. A cell is the queue and scheduler of one
// service. A cell stream connects a holder (the entry host that received a
// request) to the home of a service (the host that runs the scheduler).
package cellwire

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/prefix"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// Event converts a frame from a holder into a core event. now is the home's
// clock, to which deadlines are converted. A frame of a type that is not sent
// to a home fails with BadFrame.
func Event(f *wire.Frame, holder ident.Incarnation, now core.Time) (core.Event, error) {
	switch b := f.Body.(type) {
	case *wire.Frame_Heard:
		return core.Heartbeat{Holder: holder, Stamp: core.Stamp(b.Heard)}, nil
	case *wire.Frame_Register:
		return register(b.Register, holder, now)
	case *wire.Frame_Withdraw:
		id, err := ident.RequestIDFromBytes(b.Withdraw)
		return core.Withdraw{ID: id, Holder: holder}, err
	case *wire.Frame_Locate:
		id, err := ident.RequestIDFromBytes(b.Locate)
		return core.Locate{ID: id, Asker: holder}, err
	case *wire.Frame_RevokeAnswer:
		return revokeAnswer(b.RevokeAnswer, holder)
	case *wire.Frame_Returned:
		id, err := ident.RequestIDFromBytes(b.Returned.GetId())
		return core.Returned{ID: id, Holder: holder, ServerFailed: b.Returned.GetServerFailed()}, err
	case *wire.Frame_Finished:
		return finished(b.Finished, holder)
	case *wire.Frame_Progress:
		return progress(b.Progress), nil
	case *wire.Frame_Left:
		return core.HolderLeft{Holder: holder}, nil
	}
	return nil, failure.New(failure.BadFrame, "unexpected frame %T from a holder", f.Body)
}

func register(r *wire.Register, holder ident.Incarnation, now core.Time) (core.Event, error) {
	id, err := ident.RequestIDFromBytes(r.GetId())
	if err != nil {
		return nil, err
	}
	req := core.Request{
		ID: id, Holder: holder, Attempt: r.GetAttempt(), Account: ident.AccountID(r.GetAccount()), Tier: int(r.GetTier()),
		PromptTokens: int(r.GetPromptTokens()), OutputTokens: int(r.GetOutputTokens()),
		Prefix: prefix.Key(r.GetPrefix()), PrefixTokens: int(r.GetPrefixTokens()), PromptKey: prefix.Key(r.GetWhole()),
		Deadline: now.Add(time.Duration(r.GetDeadlineMs()) * time.Millisecond),
		Resend:   r.GetResend(), Claimed: r.GetClaimed(),
	}
	for _, t := range r.GetTried() {
		req.Tried = append(req.Tried, ident.Incarnation(t))
	}
	return core.Register{Request: req}, nil
}

func revokeAnswer(a *wire.RevokeAnswer, holder ident.Incarnation) (core.Event, error) {
	id, err := ident.RequestIDFromBytes(a.GetId())
	ev := core.RevokeAnswer{ID: id, Holder: holder, Server: ident.ServerID(a.GetServer())}
	if a.GetDispatched() {
		ev.Verdict = core.Dispatched
	}
	return ev, err
}

func finished(f *wire.Finished, holder ident.Incarnation) (core.Event, error) {
	id, err := ident.RequestIDFromBytes(f.GetId())
	return core.Finished{
		ID: id, Holder: holder, PromptTokens: int(f.GetPromptTokens()), OutputTokens: int(f.GetOutputTokens()),
		FirstToken: micros(uint64(f.GetFirstTokenUs())), Total: micros(uint64(f.GetTotalUs())), Failed: f.GetFailed(),
	}, err
}

func progress(p *wire.Progress) core.Event {
	if p.GetRestarted() {
		return core.ServerRestarted{Server: ident.ServerID(p.GetServer())}
	}
	return core.Progress{
		Server: ident.ServerID(p.GetServer()), Tokens: int(p.GetTokens()), StreamTime: micros(p.GetSeqTimeUs()),
	}
}

func micros(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }

// RegisterFrame returns the frame that registers a request. left is the time
// until its deadline.
func RegisterFrame(r *core.Request, left time.Duration) *wire.Frame {
	msg := &wire.Register{
		Id: r.ID[:], Attempt: r.Attempt, Account: uint32(r.Account), Tier: uint32(r.Tier),
		PromptTokens: uint32(r.PromptTokens), OutputTokens: uint32(r.OutputTokens),
		Prefix: uint64(r.Prefix), PrefixTokens: uint32(r.PrefixTokens), Whole: uint64(r.PromptKey),
		DeadlineMs: uint32(max(0, left.Milliseconds())), Resend: r.Resend, Claimed: r.Claimed,
	}
	for _, t := range r.Tried {
		msg.Tried = append(msg.Tried, uint64(t))
	}
	return &wire.Frame{Body: &wire.Frame_Register{Register: msg}}
}

// FinishedFrame returns the frame that reports the end of a dispatched request.
func FinishedFrame(f core.Finished) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Finished{Finished: &wire.Finished{
		Id: f.ID[:], PromptTokens: uint32(f.PromptTokens), OutputTokens: uint32(f.OutputTokens),
		FirstTokenUs: uint32(f.FirstToken.Microseconds()), TotalUs: uint32(min(f.Total.Microseconds(), maxMicros)), Failed: f.Failed,
	}}}
}

// maxMicros is the largest duration in µs that fits into a uint32 field.
const maxMicros = 1<<32 - 1

// Line converts a ledger entry into its wire form. A ledger lists the requests
// of a holder or a home and their states.
func Line(e core.LedgerEntry) *wire.LedgerLine {
	return &wire.LedgerLine{
		Id: e.ID[:], Holder: uint64(e.Holder), Server: uint32(e.Server), State: uint32(e.State),
		Prefix: uint64(e.Prefix), PrefixTokens: uint32(e.PrefixTokens),
	}
}

// Entry converts a ledger line into a ledger entry. It fails with BadFrame for
// an invalid id or state.
func Entry(l *wire.LedgerLine) (core.LedgerEntry, error) {
	id, err := ident.RequestIDFromBytes(l.GetId())
	if err != nil {
		return core.LedgerEntry{}, err
	}
	if l.GetState() > uint32(core.LedgerDone) {
		return core.LedgerEntry{}, failure.New(failure.BadFrame, "invalid ledger state %d", l.GetState())
	}
	return core.LedgerEntry{
		ID: id, Holder: ident.Incarnation(l.GetHolder()), Server: ident.ServerID(l.GetServer()),
		State: core.LedgerState(l.GetState()), Prefix: prefix.Key(l.GetPrefix()), PrefixTokens: int(l.GetPrefixTokens()),
	}, nil
}

// Entries converts ledger lines; it fails at the first invalid one.
func Entries(lines []*wire.LedgerLine) ([]core.LedgerEntry, error) {
	out := make([]core.LedgerEntry, 0, len(lines))
	for _, l := range lines {
		e, err := Entry(l)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}
