package replay

import (
	"encoding/binary"
	"time"

	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

const (
	theHolder      = ident.Incarnation(1)
	defaultWaiting = 10000
	ledgerHorizon  = 120 * time.Second
)

// coreScheduler runs the core as the daemon does, for one holder.
type coreScheduler struct {
	policy  core.Policy
	host    Host
	servers []Line
	waiting int
	cell    *core.Cell
	epoch   time.Duration // virtual time at which the home opened
	open    map[int]*Line // waiting or running, for the next home's report
	granted map[int]int   // server of a running request
	lostAt  time.Duration // a lost home's successor opens then
	out     []core.Action
}

// Core builds the scheduler of the daemon with a policy.
func Core(p core.Policy) func([]Line, Line, Host) Scheduler {
	return func(servers []Line, opt Line, h Host) Scheduler {
		s := &coreScheduler{policy: p, host: h, servers: servers, waiting: opt.Waiting, open: map[int]*Line{}, granted: map[int]int{}}
		if s.waiting == 0 {
			s.waiting = defaultWaiting
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

// openHome starts a home: its servers, its members, the holder's report and
// what waits.
func (s *coreScheduler) openHome(now time.Duration) {
	s.epoch = now
	s.cell = core.NewCell(0, s.policy)
	cfg := core.Configure{Waiting: s.waiting, Horizon: ledgerHorizon}
	for i, l := range s.servers {
		cfg.Servers = append(cfg.Servers, core.ServerSpec{ID: serverID(i), Speed: l.Speed, MaxSequences: maxSequences, CacheTokens: cacheTokens})
	}
	s.step(now, cfg)
	s.step(now, core.Members{Live: []ident.Incarnation{theHolder}})
	rep := core.Report{Holder: theHolder, Stamp: core.Stamp(now)}
	for _, i := range sortedKeys(s.granted) {
		a := s.open[i]
		rep.Entries = append(rep.Entries, core.LedgerEntry{
			ID: requestID(i), Holder: theHolder, Server: serverID(s.granted[i]), State: core.LedgerGranted,
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
	s.out = s.cell.Step(s.now(now), ev, s.out[:0])
	for _, a := range s.out {
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
		ID: requestID(index), Holder: theHolder, Account: ident.AccountID(a.Account), Tier: a.Tier,
		PromptTokens: a.PrefixTokens + a.OwnTokens, OutputTokens: a.OutputTokens,
		Prefix: prefix.Key(a.Prefix), PrefixTokens: a.PrefixTokens,
		Whole:    prefix.Key(1<<40 + index),
		Deadline: s.now(arrived + time.Duration(a.DeadlineMS)*time.Millisecond),
	}})
}

func (s *coreScheduler) Finished(now time.Duration, _ int, f Finish) {
	delete(s.open, f.Index)
	delete(s.granted, f.Index)
	s.step(now, core.Finished{
		ID: requestID(f.Index), Holder: theHolder, PromptTokens: f.Computed, OutputTokens: f.Output, FirstToken: f.First, Total: f.Total,
	})
}

func (s *coreScheduler) Tick(now time.Duration) {
	if s.cell == nil {
		if now >= s.lostAt {
			s.openHome(now)
		}
		return
	}
	s.step(now, core.Heard{Holder: theHolder, Stamp: core.Stamp(now)})
	s.step(now, core.Tick{})
}

func (s *coreScheduler) Progress(now time.Duration, server, tokens int, seqTime time.Duration) {
	if seqTime > 0 {
		s.step(now, core.Progress{Server: serverID(server), Tokens: tokens, SeqTime: seqTime})
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
		s.lostAt = now + time.Duration(l.DelayMS)*time.Millisecond
	}
}
