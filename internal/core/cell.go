package core

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

// The limits of a cell before its first Configure.
const (
	defaultWaiting = 10000
	defaultHorizon = 120 * time.Second
)

// Cell is the state of one home. One goroutine owns it; nothing in it is
// safe for concurrent use.
type Cell struct {
	policy  Policy
	waiting int
	horizon time.Duration
	shares  map[ident.AccountID]float64

	servers  []*server // in inventory order, removed ones last until idle
	byID     map[ident.ServerID]*server
	tiers    []*tierQueue // most urgent first
	timers   indexedHeap[*item]
	holders  map[prefix.Key][]*server
	ledger   ledger
	live     []ident.Incarnation // members that may hold requests
	sessions map[ident.Incarnation]*session
	resends  map[ident.RequestID]*resend
	parked   []*item // waiting, but their holder's clock is not fresh
	orphans  []*run

	openUntil Time
	opened    bool
	markNow   uint64 // see server.heldMark
	best      bestCase
	nextSeq   uint64
	waitCount int

	now Time     // of the running Step
	out []Action // of the running Step
}

// NewCell makes the home's state at the moment it opens. Grants begin when
// all live members have reported, or after OpenWait.
func NewCell(now Time, p Policy) *Cell {
	c := &Cell{
		policy: p, waiting: defaultWaiting, horizon: defaultHorizon,
		shares:    map[ident.AccountID]float64{},
		byID:      map[ident.ServerID]*server{},
		holders:   map[prefix.Key][]*server{},
		ledger:    newLedger(),
		sessions:  map[ident.Incarnation]*session{},
		resends:   map[ident.RequestID]*resend{},
		openUntil: now.Add(OpenWait),
	}
	c.timers = indexedHeap[*item]{
		less:  func(a, b *item) bool { return a.timerAt < b.timerAt },
		moved: func(it *item, i int) { it.inTimer = i },
	}
	return c
}

// Step applies one event and appends the actions it leads to.
func (c *Cell) Step(now Time, ev Event, out []Action) []Action {
	c.now, c.out = now, out
	c.apply(ev)
	out, c.out = c.out, nil
	return out
}

func (c *Cell) apply(ev Event) {
	switch e := ev.(type) {
	case Register:
		c.register(e.Request)
	case Finished:
		c.finished(e)
	case Heard:
		c.heard(e)
	case Tick:
		c.tick()
	case Progress:
		c.progress(e)
	case Returned:
		c.returned(e)
	case Withdraw:
		c.withdraw(e)
	case RevokeAnswer:
		c.revokeAnswer(e)
	case LoadReport:
		c.loadReport(e)
	case CacheUpdate:
		c.cacheUpdate(c.now, e)
	default:
		c.applyRare(ev)
	}
}

// applyRare handles what happens when hosts, servers or rules change.
func (c *Cell) applyRare(ev Event) {
	switch e := ev.(type) {
	case Configure:
		c.configure(e)
	case Members:
		c.members(e)
	case Report:
		c.report(e)
	case Left:
		c.left(e)
	case Gone:
		c.gone(e)
	case Inherit:
		c.inherit(e)
	case Locate:
		c.locate(e)
	case ServerSignal:
		c.signal(e.Server, e.Signal)
	case ServerRestarted:
		c.serverRestarted(e.Server)
	}
}

func (c *Cell) emit(a Action) { c.out = append(c.out, a) }

func (c *Cell) server(id ident.ServerID) *server { return c.byID[id] }

func (c *Cell) configure(e Configure) {
	c.waiting, c.horizon = e.Waiting, e.Horizon
	clear(c.shares)
	for _, s := range e.Shares {
		c.shares[s.Account] = s.Share
	}
	named := map[ident.ServerID]bool{}
	for _, spec := range e.Servers {
		named[spec.ID] = true
		c.configureServer(spec)
	}
	for _, s := range append([]*server(nil), c.servers...) {
		if !named[s.id()] {
			c.signal(s.id(), SignalRemove)
			c.dropServer(s)
		}
	}
	c.best = c.findBest()
	c.fillAll()
}

func (c *Cell) configureServer(spec ServerSpec) {
	s := c.byID[spec.ID]
	if s == nil {
		s = newServer(spec)
		c.byID[spec.ID] = s
		c.servers = append(c.servers, s)
	}
	s.spec = spec
	if spec.Leaving {
		c.signal(spec.ID, SignalLeave)
	} else if s.machine.State() == "leaving" {
		c.signal(spec.ID, SignalRestore)
	}
}

// dropServer forgets a removed server. Its runs end at their holders, whose
// Finished events then find no run and only close the ledger entry.
func (c *Cell) dropServer(s *server) {
	for _, r := range s.runs {
		if e := c.ledger.get(r.item.req.ID); e != nil {
			e.run = nil
		}
	}
	c.orphans = dropRunsOf(c.orphans, s)
	c.servers = remove(c.servers, s)
	delete(c.byID, s.id())
}

func dropRunsOf(runs []*run, s *server) []*run {
	kept := runs[:0]
	for _, r := range runs {
		if r.server != s {
			kept = append(kept, r)
		}
	}
	return kept
}

// signal moves a server through its chart and keeps the prefix index to
// usable servers.
func (c *Cell) signal(id ident.ServerID, sig chart.Event) {
	s := c.server(id)
	if s == nil {
		return
	}
	before := s.machine.State()
	was := s.usable()
	if s.machine.Fire(sig) != nil || s.machine.State() == before {
		return // the chart knows no such step from here: nothing changes
	}
	c.best = c.findBest()
	if was && !s.usable() {
		c.hide(s)
	}
	if !was && s.usable() {
		s.stalled = 0
		c.show(s)
		c.fill(s)
	}
	c.emit(Action{Kind: ServerChanged, Server: id, State: s.machine.State()})
}

// serverRestarted empties what is believed of a server whose process is new.
// Its runs end at their holders, who find the streams gone.
func (c *Cell) serverRestarted(id ident.ServerID) {
	s := c.server(id)
	if s == nil {
		return
	}
	c.hide(s)
	s.cache = newCacheModel()
	s.foreign, s.drifted = 0, 0
	s.prefillFree = c.now
	s.prefillScale, s.decodeScale = 1, 1
}

func (c *Cell) progress(e Progress) {
	s := c.server(e.Server)
	if s != nil && s.progress(c.now, e) {
		c.signal(e.Server, SignalFail)
	}
}

// loadReport is also a sign of life: a suspect server that reports is up.
func (c *Cell) loadReport(e LoadReport) {
	s := c.server(e.Server)
	if s == nil {
		return
	}
	s.correct(c.now, e)
	if s.machine.State() == "suspect" {
		c.signal(e.Server, SignalRecover)
	}
}

func (c *Cell) tick() {
	c.open()
	for _, s := range c.servers {
		s.forget(c.now)
	}
	c.best = c.findBest()
	c.fireTimers()
	c.expireOrphans()
	c.ledger.expire(c.now, c.horizon)
	c.expireResends()
	c.expireSessions()
	c.fillAll()
}

// open starts granting once every live member has reported, or when the wait
// for their reports is over.
func (c *Cell) open() {
	if c.opened {
		return
	}
	if c.now < c.openUntil {
		for _, inc := range c.live {
			if s := c.sessions[inc]; s == nil || !s.reported {
				return
			}
		}
		if len(c.live) == 0 {
			return
		}
	}
	c.opened = true
}

// expireOrphans frees the places of requests whose holder died, at their
// predicted end: nobody reports it, and the server may well have gone on.
func (c *Cell) expireOrphans() {
	kept := c.orphans[:0]
	for _, r := range c.orphans {
		if c.now < r.predicted.Add(OrphanGrace) {
			kept = append(kept, r)
			continue
		}
		r.server.finish(c.now, r)
		if e := c.ledger.get(r.item.req.ID); e != nil {
			e.run = nil
		}
	}
	c.orphans = kept
}

// Waiting returns how many requests wait, and Running how many are granted
// and not finished.
func (c *Cell) Waiting() int { return c.waitCount }

// Running returns how many granted requests have not finished.
func (c *Cell) Running() int {
	n := 0
	for _, s := range c.servers {
		n += len(s.runs)
	}
	return n
}

// Pressure is the work that waits, as time that the usable servers need for
// it; look-ups and status show it.
func (c *Cell) Pressure() time.Duration { return c.backlogTime(maxTier) }

// TierCount is the queue of one tier, for status.
type TierCount struct {
	Tier    int `json:"tier"`
	Waiting int `json:"waiting"`
}

// Tiers lists how many requests wait in each tier, most urgent first.
func (c *Cell) Tiers() []TierCount {
	out := make([]TierCount, 0, len(c.tiers))
	for _, q := range c.tiers {
		count := TierCount{Tier: q.number, Waiting: q.len()}
		for _, it := range c.parked {
			if it.req.Tier == q.number {
				count.Waiting++
			}
		}
		out = append(out, count)
	}
	return out
}

// ServerStatus is the home's view of one server, for status.
type ServerStatus struct {
	ID           ident.ServerID `json:"id"`
	State        string         `json:"state"`
	Running      int            `json:"running"`
	Foreign      float64        `json:"foreign"`
	PrefillScale float64        `json:"prefill_scale"`
	DecodeScale  float64        `json:"decode_scale"`
	CachedTokens int            `json:"cached_tokens"`
}

// Servers lists the home's view of its servers.
func (c *Cell) Servers() []ServerStatus {
	out := make([]ServerStatus, 0, len(c.servers))
	for _, s := range c.servers {
		out = append(out, ServerStatus{
			ID: s.id(), State: string(s.machine.State()), Running: len(s.runs), Foreign: s.foreign,
			PrefillScale: s.prefillScale, DecodeScale: s.decodeScale, CachedTokens: s.cache.tokens,
		})
	}
	return out
}
