package entry

import (
	"context"
	"errors"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/reach"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// Reports about connections and answers that failed. Each waits until it is known whether the server is at
// fault, in a goroutine of its own, so that the request and its caller don't wait for it.

// maxCheckTime bounds the check of what is at fault after a connection failed.
const maxCheckTime = time.Second

// reportUnreachable reports to the scheduler that the server was not reached, if the server is at fault.
// It runs in its own goroutine so that the request does not wait until that is known.
func (t *attempt) reportUnreachable(err error) {
	verdict := reach.Unknown
	var failed *reach.Failed
	if errors.As(err, &failed) {
		verdict = failed.Verdict()
	} else {
		verdict = t.check()
	}
	result := sched.Unused
	if verdict == reach.Unreachable || verdict == reach.Ended {
		result = sched.Unreachable
	}
	t.x.h.Placer.Finish(t.placement.ID, result, 0, 0)
}

// check finds out what is at fault after the connection to the server failed.
func (t *attempt) check() reach.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), maxCheckTime)
	defer cancel()
	return t.x.h.Servers.Check(ctx, t.server())
}

// reportSilent reports a run of which nothing arrived before the deadline.
func (t *attempt) reportSilent() {
	result := sched.Broken
	if t.check() == reach.PathLost {
		result = sched.PathLost
	}
	t.x.h.Placer.Finish(t.placement.ID, result, 0, 0)
}

// reportBroken reports a broken answer to the scheduler, and whether the server process has ended:
// the address of an ended process refuses new connections at once, whichever host tries. It runs in
// its own goroutine so that the caller does not wait for it.
func (t *attempt) reportBroken() {
	x, ran := t.x, time.Since(t.sent)
	report := sched.RunReport{FirstEvent: t.timeToFirst, OutputTokens: t.outputTokens}
	switch verdict := t.check(); {
	case verdict == reach.PathLost || verdict == reach.Reached && t.via != "":
		x.h.Placer.FinishStream(t.placement.ID, sched.PathLost, report)
	case verdict != reach.Ended:
		x.h.Placer.FinishStream(t.placement.ID, sched.Broken, report)
	default:
		x.h.Placer.FinishStream(t.placement.ID, sched.ServerEnded, report)
		x.h.Meter.ServerEnded()
		x.h.Events.Record(event.ServerEnded, event.Fields{
			Request: x.head.ID, Service: x.service, Server: t.placement.Server,
			Detail: "fingerprint=" + x.fingerprint.String() + " ran=" + formatDuration(ran) + " first=" + formatDuration(report.FirstEvent) +
				" route=" + x.route.Name + " account=" + x.callerAccount() + x.partFields(),
		})
	}
}
