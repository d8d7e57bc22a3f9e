package dispatch

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/origin"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// encodeRequest encodes a placement request. Clocks of hosts differ, so points in time are
// sent as durations relative to the time of sending.
func encodeRequest(now time.Time, id uint64, a *PlacementRequest) *wire.Ask {
	m := &wire.Ask{
		Id: id, Service: a.Service, Account: a.Account, Priority: uint32(a.Priority),
		PromptTokens: uint32(a.PromptTokens), OutputTokens: uint32(a.OutputTokens), Units: uint32(a.Units),
		DeadlineMs: millis(a.Deadline.Sub(now)), AimMs: millis(a.LatencyTarget.Sub(now)), WaitedMs: millis(now.Sub(a.Arrived)),
		PauseMs: millis(a.MaxPause), Repeat: a.Retry, Avoid: a.Avoid, Fingerprint: a.Fingerprint.Bytes(),
		Route: a.Route, Repeatable: a.Interruptible,
	}
	m.Origin = uint64(a.Origin)
	if stream := a.Resumed; stream != nil {
		m.Resumed, m.Resumes, m.VersionKnown, m.Version = true, uint64(stream.From), stream.Known, stream.Version
	}
	if !a.CallerTimeoutAt.IsZero() {
		m.LeavesMs = max(1, millis(a.CallerTimeoutAt.Sub(now)))
	}
	for _, p := range a.PromptParts {
		m.Parts = append(m.Parts, &wire.Part{Key: p.Key, Tokens: uint32(p.Tokens)})
	}
	m.SharedParts = uint32(a.SharedParts)
	return m
}

func millis(d time.Duration) uint32 {
	return uint32(max(0, d.Milliseconds()))
}

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func decodeRequest(now sched.Time, holder uint64, zone string, m *wire.Ask) sched.Request {
	r := sched.Request{
		Key: sched.Key{Holder: holder, ID: m.Id}, Zone: zone, Service: m.Service, Account: m.Account,
		Priority: int(m.Priority), PromptTokens: int(m.PromptTokens), OutputTokens: int(m.OutputTokens),
		Units: float64(m.Units), Arrived: now - fromMillis(m.WaitedMs), LatencyTarget: now + fromMillis(m.AimMs),
		Deadline: now + fromMillis(m.DeadlineMs), MaxPause: fromMillis(m.PauseMs), Retry: m.Repeat, Avoid: m.Avoid, Fingerprint: quarantine.FingerprintFromBytes(m.Fingerprint),
		Route: m.Route, Interruptible: m.Repeatable,
	}
	r.Origin = origin.Key(m.Origin)
	if m.Resumed {
		r.Resumed = &sched.Resumed{From: origin.Key(m.Resumes), Known: m.VersionKnown, Version: m.Version}
		if m.VersionKnown {
			r.Resumed.Source = sched.FromHolder
		}
	}
	if m.LeavesMs > 0 {
		r.CallerTimeoutAt = now + fromMillis(m.LeavesMs)
	}
	for _, p := range m.Parts {
		r.PromptParts = append(r.PromptParts, sched.Part{Key: p.Key, Tokens: int(p.Tokens)})
	}
	r.SharedParts = min(int(m.SharedParts), len(r.PromptParts))
	return r
}

func encodeOutcome(o sched.Outcome) *wire.Outcome {
	return &wire.Outcome{
		Id: o.ID, Result: uint32(o.Result),
		FirstUs: uint32(o.FirstEvent.Microseconds()), PaceUs: uint32(o.TokenTime.Microseconds()),
		OutputTokens: uint32(max(0, o.OutputTokens)),
		GapUs:        uint32(o.LongestGap.Microseconds()),
	}
}

func decodeOutcome(holder uint64, m *wire.Outcome) sched.Outcome {
	return sched.Outcome{
		Key: sched.Key{Holder: holder, ID: m.Id}, Result: sched.Result(m.Result),
		FirstEvent: time.Duration(m.FirstUs) * time.Microsecond, TokenTime: time.Duration(m.PaceUs) * time.Microsecond,
		OutputTokens: int(m.OutputTokens),
		LongestGap:   time.Duration(m.GapUs) * time.Microsecond,
	}
}

func encodeRunning(now time.Time, id uint64, p *pending) *wire.Running {
	return &wire.Running{
		Id: id, Service: p.request.Service, Server: p.server, PromptTokens: uint32(p.request.PromptTokens),
		OutputTokens: uint32(p.request.OutputTokens), ElapsedMs: millis(now.Sub(p.placedAt)), PauseMs: millis(p.request.MaxPause),
		Account: p.request.Account, Fingerprint: p.request.Fingerprint.Bytes(), Repeatable: p.request.Interruptible,
		Priority: uint32(p.request.Priority) + 1, Route: p.request.Route, SharedParts: p.request.sharedPartKeys(),
	}
}

func decodeRunning(holder uint64, m *wire.Running) sched.AdoptedRun {
	return sched.AdoptedRun{
		Key: sched.Key{Holder: holder, ID: m.Id}, Service: m.Service, Server: m.Server,
		PromptTokens: int(m.PromptTokens), OutputTokens: int(m.OutputTokens), Elapsed: fromMillis(m.ElapsedMs), MaxPause: fromMillis(m.PauseMs),
		Account: m.Account, Fingerprint: quarantine.FingerprintFromBytes(m.Fingerprint), Interruptible: m.Repeatable,
		Priority: int(m.Priority) - 1, Route: m.Route, SharedParts: m.SharedParts,
	}
}

func encodePaces(learned []sched.Learned) []*wire.Pace {
	out := make([]*wire.Pace, 0, len(learned))
	for _, l := range learned {
		out = append(out, &wire.Pace{Server: l.Server, TokenUs: uint32(l.TokenTime.Microseconds())})
	}
	return out
}

func decodePaces(paces []*wire.Pace) []sched.Learned {
	out := make([]sched.Learned, 0, len(paces))
	for _, p := range paces {
		out = append(out, sched.Learned{Server: p.Server, TokenTime: time.Duration(p.TokenUs) * time.Microsecond})
	}
	return out
}

func encodePauses(learned []sched.PauseEstimate) []*wire.StreamPause {
	var out []*wire.StreamPause
	for _, l := range learned {
		out = append(out, &wire.StreamPause{Service: l.Service, EventTimesPermille: uint32(1000 * l.EventTimes), Samples: uint32(l.Samples)})
	}
	return out
}

func decodePauses(pauses []*wire.StreamPause) []sched.PauseEstimate {
	var out []sched.PauseEstimate
	for _, p := range pauses {
		out = append(out, sched.PauseEstimate{Service: p.Service, EventTimes: float64(p.EventTimesPermille) / 1000, Samples: int(p.Samples)})
	}
	return out
}

// addDecision adds a decision to the message for its holder.
func addDecision(m *wire.ToHolder, d sched.Decision) {
	if d.Reason != 0 {
		m.Refusals = append(m.Refusals, &wire.Refusal{
			Id: d.ID, Reason: uint32(d.Reason), RetryAfterMs: millis(d.RetryAfter),
			Waiting: uint32(d.Waiting), Usable: uint32(d.Usable), Detail: d.Detail,
		})
		return
	}
	m.Places = append(m.Places, &wire.Place{Id: d.ID, Server: d.Server, Address: d.Address, Version: d.Version, VersionSource: string(d.Source), WaitedMs: millis(d.Waited), ReportBegin: d.ReportBegin})
}

func decodePlace(holder uint64, m *wire.Place) sched.Decision {
	return sched.Decision{
		Key: sched.Key{Holder: holder, ID: m.Id}, Server: m.Server, Address: m.Address, Version: m.Version, Source: sched.VersionSource(m.VersionSource), Waited: fromMillis(m.WaitedMs), ReportBegin: m.ReportBegin,
	}
}

func decodeRefusal(holder uint64, m *wire.Refusal) sched.Decision {
	return sched.Decision{
		Key: sched.Key{Holder: holder, ID: m.Id}, Reason: sched.Reason(m.Reason), RetryAfter: fromMillis(m.RetryAfterMs),
		Waiting: int(m.Waiting), Usable: int(m.Usable), Detail: m.Detail,
	}
}
