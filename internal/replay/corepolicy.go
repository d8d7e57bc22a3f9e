package replay

import (
	"encoding/binary"
	"time"

	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

const (
	holderIncarnation   = ident.Incarnation(1) // of the only holder
	defaultWaitingLimit = 10000
	ledgerHorizon       = 120 * time.Second
)

// coreScheduler runs package core as the daemon does, with a single holder.
type coreScheduler struct {
	policy       core.Policy
	host         Host
	servers      []Line
	waitingLimit int           // limit of waiting requests
	cell         *core.Cell    // scheduler of the home; nil while there is no home
	epoch        time.Duration // virtual time at which the home started
	open         map[int]*Line // waiting and running requests, which are reported to the next home
	granted      map[int]int   // server of each running request
	reopenAt     time.Duration // time at which the next home starts after a loss
	actions      []core.Action
}

// Core returns a function that builds the daemon's scheduler with a policy.
func Core(p core.Policy) func([]Line, Line, Host) Scheduler {
	return func(servers []Line, opt Line, h Host) Scheduler {
		s := &coreScheduler{policy: p, host: h, servers: servers, waitingLimit: opt.Waiting, open: map[int]*Line{}, granted: map[int]int{}}
		if s.waitingLimit == 0 {
			s.waitingLimit = defaultWaitingLimit
		}
		s.openHome(0)
		return s
	}
}

func requestID(index int) ident.RequestID {
	var id ident.RequestID
	binary.BigEndian.PutUint64(id[8:], uint64(index)+1)
	return id
}

func indexOf(id ident.RequestID) int { return int(binary.BigEndian.Uint64(id[8:])) - 1 }

func serverID(i int) ident.ServerID { return ident.ServerID(i + 1) }

func (s *coreScheduler) now(now time.Duration) core.Time { return core.Time(now - s.epoch) }

// openHome starts a home and passes it the configuration, the members, the holder's
// report and the waiting requests.
func (s *coreScheduler) openHome(now time.Duration) {
	s.epoch = now
	s.cell = core.NewCell(0, s.policy)
	cfg := core.Configure{Waiting: s.waitingLimit, Horizon: ledgerHorizon}
	for i, l := range s.servers {
		cfg.Servers = append(cfg.Servers, core.ServerSpec{ID: serverID(i), Speed: l.Speed, MaxSequences: maxSequences, CacheTokens: cacheTokens})
	}
	s.step(now, cfg)
	s.step(now, core.Members{Live: []ident.Incarnation{holderIncarnation}})
	rep := core.Report{Holder: holderIncarnation, Stamp: core.Stamp(now)}
	for _, i := range sortedKeys(s.granted) {
		a := s.open[i]
		rep.Entries = append(rep.Entries, core.LedgerEntry{
			ID: requestID(i), Holder: holderIncarnation, Server: serverID(s.granted[i]), State: core.LedgerGranted,
			Prefix: prefix.Key(a.Prefix), PrefixTokens: a.PrefixTokens,
		})
	}
	s.step(now, rep)
	for _, i := range sortedKeys(s.open) {
		if _, runs := s.granted[i]; !runs {
			s.register(now, i)
		}
	}
}

func sortedKeys[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sortInts(keys)
	return keys
}

func (s *coreScheduler) step(now time.Duration, ev core.Event) {
	if s.cell == nil {
		return
	}
	s.actions = s.cell.Step(s.now(now), ev, s.actions[:0])
	for _, a := range s.actions {
		switch a.Kind {
		case core.Grant:
			s.granted[indexOf(a.ID)] = int(a.Server) - 1
			s.host.Dispatch(now, indexOf(a.ID), int(a.Server)-1)
		case core.Shed:
			delete(s.open, indexOf(a.ID))
			s.host.Shed(now, indexOf(a.ID))
		}
	}
}

func (s *coreScheduler) Arrive(now time.Duration, index int, a *Line) {
	s.open[index] = a
	s.register(now, index)
}

func (s *coreScheduler) register(now time.Duration, index int) {
	a := s.open[index]
	arrived := time.Duration(a.AtMS * float64(time.Millisecond))
	s.step(now, core.Register{Request: core.Request{
		ID: requestID(index), Holder: holderIncarnation, Account: ident.AccountID(a.Account), Tier: a.Tier,
		PromptTokens: a.PrefixTokens + a.OwnTokens, OutputTokens: a.OutputTokens,
		Prefix: prefix.Key(a.Prefix), PrefixTokens: a.PrefixTokens,
		PromptKey: prefix.Key(1<<40 + index),
		Deadline:  s.now(arrived + time.Duration(a.DeadlineMS)*time.Millisecond),
	}})
}

func (s *coreScheduler) Finished(now time.Duration, _ int, f Finish) {
	delete(s.open, f.Index)
	delete(s.granted, f.Index)
	s.step(now, core.Finished{
		ID: requestID(f.Index), Holder: holderIncarnation, PromptTokens: f.Computed, OutputTokens: f.Output, FirstToken: f.First, Total: f.Total,
	})
}

func (s *coreScheduler) Tick(now time.Duration) {
	if s.cell == nil {
		if now >= s.reopenAt {
			s.openHome(now)
		}
		return
	}
	s.step(now, core.Heartbeat{Holder: holderIncarnation, Stamp: core.Stamp(now)})
	s.step(now, core.Tick{})
}

func (s *coreScheduler) Progress(now time.Duration, server, tokens int, seqTime time.Duration) {
	if seqTime > 0 {
		s.step(now, core.Progress{Server: serverID(server), Tokens: tokens, StreamTime: seqTime})
	}
}

func (s *coreScheduler) Load(now time.Duration, server, running int, age time.Duration) {
	s.step(now, core.LoadReport{Server: serverID(server), Running: running, Age: age})
}

func (s *coreScheduler) Evicted(now time.Duration, server int, keys []int, gap bool, age time.Duration) {
	ev := core.CacheUpdate{Server: serverID(server), Gap: gap, Age: age}
	for _, k := range keys {
		ev.Evicted = append(ev.Evicted, prefix.Key(k))
	}
	s.step(now, ev)
}

func (s *coreScheduler) Fault(now time.Duration, l *Line) {
	if l.Fault == FaultHomeLoss {
		s.cell = nil
		s.reopenAt = now + time.Duration(l.DelayMS)*time.Millisecond
	}
}
