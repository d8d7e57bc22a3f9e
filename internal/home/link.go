package home

import (
	"context"

	"github.com/gentianflow/gentianflow/internal/cellwire"
	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// serveLink passes the frames of a holder's stream to the cell until the stream
// breaks, and writes the frames that the cell sends.
func (c *cell) serveLink(st *peer.Stream) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	l := &link{holder: st.Peer.Incarnation, out: ring.New[*wire.Frame](outputQueueSize), cancel: cancel}
	context.AfterFunc(ctx, st.Abort) // ends the reads below
	c.tasks.Go(func() { c.writeLink(ctx, st, l) })
	report, err := readReport(st)
	if err != nil {
		return
	}
	report.Holder = l.holder
	c.events.Record(event.HomeReport, event.Fields{Service: c.service, Peer: st.Peer.Host})
	c.push(input{link: l, event: report})
	c.readLink(st, l)
	c.push(input{closed: l})
}

// readReport reads the report with which a stream starts. It may arrive in
// several messages.
func readReport(st *peer.Stream) (core.Report, error) {
	var out core.Report
	for {
		var b wire.Batch
		if err := wire.Read(st.Reader, &b); err != nil {
			return out, err
		}
		for _, f := range b.Frames {
			part := f.GetReport()
			if part == nil {
				continue
			}
			entries, err := cellwire.Entries(part.GetLines())
			if err != nil {
				return out, err
			}
			out.Stamp = core.Stamp(part.GetStamp())
			out.Entries = append(out.Entries, entries...)
			if part.GetLast() {
				return out, nil
			}
		}
	}
}

func (c *cell) readLink(st *peer.Stream, l *link) {
	for {
		var b wire.Batch
		if err := wire.Read(st.Reader, &b); err != nil {
			return
		}
		c.events.Witness(b.Lamport)
		for _, f := range b.Frames {
			if !c.handleFrame(f, l) {
				return
			}
		}
	}
}

// handleFrame passes one frame to the cell as an event. An invalid frame ends
// the stream, since the frames after it cannot be trusted either.
func (c *cell) handleFrame(f *wire.Frame, l *link) bool {
	ev, err := cellwire.Event(f, l.holder, c.now())
	if err != nil {
		c.events.Record(event.DutyFailed, event.Fields{Service: c.service, Detail: err.Error()})
		return false
	}
	c.push(input{event: ev})
	switch b := f.Body.(type) {
	case *wire.Frame_Heard:
		l.out.TryPush(&wire.Frame{Body: &wire.Frame_Echo{Echo: b.Heard}})
	case *wire.Frame_Left:
		l.out.TryPush(&wire.Frame{Body: &wire.Frame_LeftNoted{LeftNoted: true}})
	}
	return true
}

// writeLink writes the queued frames, all that are waiting in one batch.
func (c *cell) writeLink(ctx context.Context, st *peer.Stream, l *link) {
	var frames []*wire.Frame
	for {
		select {
		case <-l.out.Ready():
		case <-ctx.Done():
			return
		}
		frames = l.out.Drain(frames[:0])
		if len(frames) == 0 {
			continue
		}
		if wire.Write(st, &wire.Batch{Lamport: c.events.Clock(), Frames: frames}) != nil {
			l.cancel()
			return
		}
	}
}
