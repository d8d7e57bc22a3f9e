package core

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/chart"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

// The limits of a cell before its first Configure event.
const (
	defaultWaiting = 10000
	defaultHorizon = 120 * time.Second
)

// Cell is the scheduler state that the home keeps for one service. One
// goroutine owns it; it is not safe for concurrent use.
type Cell struct {
	policy     Policy
	maxWaiting int
	horizon    time.Duration
	shares     map[ident.AccountID]float64

	servers        []*server // in the order of their first Configure
	byID           map[ident.ServerID]*server
	tiers          []*tierQueue // most urgent first
	timers         indexedHeap[*item]
	cachingServers map[prefix.Key][]*server // the prefix index: usable servers that have a prefix cached
	ledger         ledger
	liveMembers    []ident.Incarnation // members that may hold requests
	sessions       map[ident.Incarnation]*session
	resends        map[ident.RequestID]*resend
	parked         []*item // waiting requests of holders whose newest stamp is too old for a grant
	orphans        []*run  // runs of holders whose session has ended

	reportDeadline Time
	grantsEnabled  bool
	currentHitMark uint64 // number of chooseServer calls; see server.cacheHitMark
	best           bestCase
	nextSeq        uint64
	waitCount      int

	now Time     // time of the running Step
	out []Action // actions of the running Step
}

// NewCell returns the state of a home that opens now. Grants begin when all
// live members have reported, or after ReportTimeout.
func NewCell(now Time, p Policy) *Cell {
	c := &Cell{
		policy: p, maxWaiting: defaultWaiting, horizon: defaultHorizon,
		shares:         map[ident.AccountID]float64{},
		byID:           map[ident.ServerID]*server{},
		cachingServers: map[prefix.Key][]*server{},
		ledger:         newLedger(),
		sessions:       map[ident.Incarnation]*session{},
		resends:        map[ident.RequestID]*resend{},
		reportDeadline: now.Add(ReportTimeout),
	}
	c.timers = indexedHeap[*item]{
		less:     func(a, b *item) bool { return a.timerAt < b.timerAt },
		setIndex: func(it *item, i int) { it.timerIndex = i },
	}
	return c
}

// Step applies one event and appends the resulting actions to out.
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
	case Heartbeat:
		c.heartbeat(e)
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

// applyRare handles the less frequent events: changes of hosts, servers and
// configuration.
func (c *Cell) applyRare(ev Event) {
	switch e := ev.(type) {
	case Configure:
		c.configure(e)
	case Members:
		c.members(e)
	case Report:
		c.report(e)
	case HolderLeft:
		c.holderLeft(e)
	case HolderLost:
		c.holderLost(e)
	case LedgerHandover:
		c.ledgerHandover(e)
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
	c.maxWaiting, c.horizon = e.Waiting, e.Horizon
	clear(c.shares)
	for _, s := range e.Shares {
		c.shares[s.Account] = s.Share
	}
	listed := map[ident.ServerID]bool{}
	for _, spec := range e.Servers {
		listed[spec.ID] = true
		c.configureServer(spec)
	}
	for _, s := range append([]*server(nil), c.servers...) {
		if !listed[s.id()] {
			c.signal(s.id(), SignalRemove)
			c.removeServer(s)
		}
	}
	c.best = c.findBestCase()
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

// removeServer deletes a server that left the inventory. Its runs end at their
// holders, whose Finished events then find no run and only close the ledger
// entry.
func (c *Cell) removeServer(s *server) {
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

// signal fires an event of a server's state chart and keeps only usable
// servers in the prefix index.
func (c *Cell) signal(id ident.ServerID, sig chart.Event) {
	s := c.server(id)
	if s == nil {
		return
	}
	oldState := s.machine.State()
	wasUsable := s.usable()
	if s.machine.Fire(sig) != nil || s.machine.State() == oldState {
		return // no transition from this state
	}
	c.best = c.findBestCase()
	if wasUsable && !s.usable() {
		c.unindexServer(s)
	}
	if !wasUsable && s.usable() {
		s.stalled = 0
		c.indexServer(s)
		c.fill(s)
	}
	c.emit(Action{Kind: ServerChanged, Server: id, State: s.machine.State()})
}

// serverRestarted resets the state of a server whose process is new. Its runs
// end at their holders, which find the streams closed.
func (c *Cell) serverRestarted(id ident.ServerID) {
	s := c.server(id)
	if s == nil {
		return
	}
	c.unindexServer(s)
	s.cache = newCacheModel()
	s.foreign, s.excessReports = 0, 0
	s.prefillEndsAt = c.now
	s.prefillScale, s.decodeScale = 1, 1
}

func (c *Cell) progress(e Progress) {
	s := c.server(e.Server)
	if s != nil && s.progress(c.now, e) {
		c.signal(e.Server, SignalFail)
	}
}

// loadReport applies a load report. It also proves that a suspect server is
// up.
func (c *Cell) loadReport(e LoadReport) {
	s := c.server(e.Server)
	if s == nil {
		return
	}
	s.applyLoadReport(c.now, e)
	if s.machine.State() == "suspect" {
		c.signal(e.Server, SignalRecover)
	}
}

func (c *Cell) tick() {
	c.enableGrants()
	for _, s := range c.servers {
		s.decayScales(c.now)
	}
	c.best = c.findBestCase()
	c.processTimers()
	c.expireOrphans()
	c.ledger.expire(c.now, c.horizon)
	c.expireResends()
	c.expireSessions()
	c.fillAll()
}

// enableGrants starts granting once every live member has reported or
// reportDeadline has passed.
func (c *Cell) enableGrants() {
	if c.grantsEnabled {
		return
	}
	if c.now < c.reportDeadline {
		for _, inc := range c.liveMembers {
			if s := c.sessions[inc]; s == nil || !s.reported {
				return
			}
		}
		if len(c.liveMembers) == 0 {
			return
		}
	}
	c.grantsEnabled = true
}

// expireOrphans ends the orphans whose predicted end passed OrphanGrace ago.
// Their slots count as occupied until then, because the server may have
// continued the request and nobody reports its end.
func (c *Cell) expireOrphans() {
	kept := c.orphans[:0]
	for _, r := range c.orphans {
		if c.now < r.predictedEnd.Add(OrphanGrace) {
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

// Waiting returns the number of waiting requests.
func (c *Cell) Waiting() int { return c.waitCount }

// Running returns the number of granted requests that have not finished.
func (c *Cell) Running() int {
	n := 0
	for _, s := range c.servers {
		n += len(s.runs)
	}
	return n
}

// BacklogTime returns the time that the usable servers need for all waiting
// work.
func (c *Cell) BacklogTime() time.Duration { return c.backlogTime(maxTier) }

// TierCount is the queue length of one tier, for status.
type TierCount struct {
	Tier    int `json:"tier"`
	Waiting int `json:"waiting"`
}

// Tiers returns the number of waiting requests of each tier, most urgent
// first.
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

// ServerStatus is the home's view of one server, for status. Foreign is the
// smoothed number of requests at the server that did not come from this cell.
type ServerStatus struct {
	ID           ident.ServerID `json:"id"`
	State        string         `json:"state"`
	Running      int            `json:"running"`
	Foreign      float64        `json:"foreign"`
	PrefillScale float64        `json:"prefill_scale"`
	DecodeScale  float64        `json:"decode_scale"`
	CachedTokens int            `json:"cached_tokens"`
}

// Servers returns the status of all servers.
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
