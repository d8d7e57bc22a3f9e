package cellwire

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// Frame converts an action for a holder into its frame. It returns nil for
// actions that are only logged.
func Frame(a core.Action) *wire.Frame {
	switch a.Kind {
	case core.Grant:
		return &wire.Frame{Body: &wire.Frame_Grant{Grant: &wire.Grant{Id: a.ID[:], Server: uint32(a.Server), ValidUntil: int64(a.ValidUntil), Attempt: a.Attempt}}}
	case core.Shed:
		return &wire.Frame{Body: &wire.Frame_Shed{Shed: &wire.Shed{Id: a.ID[:], Reason: string(a.Reason), RetryAfterMs: uint32(a.RetryAfter.Milliseconds())}}}
	case core.Revoke:
		return &wire.Frame{Body: &wire.Frame_Revoke{Revoke: a.ID[:]}}
	case core.Attach:
		return &wire.Frame{Body: &wire.Frame_Attach{Attach: &wire.Attach{Id: a.ID[:], Holder: uint64(a.Holder), Server: uint32(a.Server)}}}
	case core.Unproved:
		return &wire.Frame{Body: &wire.Frame_Unproved{Unproved: &wire.Unproved{Id: a.ID[:], Reason: string(a.Reason)}}}
	}
	return nil
}

// Action converts a frame from a home into an action. Frames that only concern
// the stream, such as echoes of heartbeats, and frames of a type that is not
// sent to a holder fail with BadFrame.
func Action(f *wire.Frame) (core.Action, error) {
	var a core.Action
	var raw []byte
	switch b := f.Body.(type) {
	case *wire.Frame_Grant:
		raw = b.Grant.GetId()
		a = core.Action{Kind: core.Grant, Server: ident.ServerID(b.Grant.GetServer()), ValidUntil: core.Stamp(b.Grant.GetValidUntil()), Attempt: b.Grant.GetAttempt()}
	case *wire.Frame_Shed:
		raw = b.Shed.GetId()
		a = core.Action{
			Kind: core.Shed, Reason: failure.Code(b.Shed.GetReason()),
			RetryAfter: time.Duration(b.Shed.GetRetryAfterMs()) * time.Millisecond,
		}
	case *wire.Frame_Revoke:
		raw = b.Revoke
		a = core.Action{Kind: core.Revoke}
	case *wire.Frame_Attach:
		raw = b.Attach.GetId()
		a = core.Action{Kind: core.Attach, Holder: ident.Incarnation(b.Attach.GetHolder()), Server: ident.ServerID(b.Attach.GetServer())}
	case *wire.Frame_Unproved:
		raw = b.Unproved.GetId()
		a = core.Action{Kind: core.Unproved, Reason: failure.Code(b.Unproved.GetReason())}
	default:
		return a, failure.New(failure.BadFrame, "unexpected frame %T from a home", f.Body)
	}
	id, err := ident.RequestIDFromBytes(raw)
	a.ID = id
	return a, err
}
