package core_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/ident"
)

// model simulates holders, homes and the network between them. Holders follow
// the protocol of package holder. The network has unbounded delays, keeps the
// order within a session, and loses messages in transit when a session breaks.
type model struct {
	t       *rapid.T
	now     core.Time
	homes   []*modelHome
	holders []*modelHolder
	ids     []ident.RequestID
	// Ground truth.
	dispatched     map[ident.RequestID]int
	reportedNotRun map[ident.RequestID]bool // reported as not run, and not sent again since
}

type modelHome struct {
	cell *core.Cell
	dead bool
}

type modelHolder struct {
	m           *model
	inc         ident.Incarnation
	offset      core.Stamp // all clocks differ
	dead        bool
	home        int
	sessionOpen bool // the home has received the report of this session
	lastStamp   core.Time
	states      map[ident.RequestID]string // waiting, granted, dispatched, moved, attached, notrun
	validity    map[ident.RequestID]core.Stamp
	attempts    map[ident.RequestID]uint32
	resends     map[ident.RequestID][]ident.Incarnation // tried holders of the ids held as resends
	toHome      []core.Event
	fromHome    []core.Action
}

func (h *modelHolder) stamp() core.Stamp { return core.Stamp(h.m.now) + h.offset }

func (m *model) step(home int, ev core.Event) {
	if r, ok := ev.(core.Report); ok {
		for _, h := range m.holders {
			h.sessionOpen = h.sessionOpen || h.inc == r.Holder
		}
	}
	m.t.Logf("%v home %d receives %T%+v", time.Duration(m.now), home, ev, ev)
	actions := m.homes[home].cell.Step(m.now, ev, nil)
	m.checkTiers(home, actions)
	for _, a := range actions {
		m.t.Logf("    -> %+v", a)
		for _, h := range m.holders {
			if h.inc == a.To && h.sessionOpen && h.home == home && !h.dead {
				h.fromHome = append(h.fromHome, a)
			}
		}
	}
}

// tierOf assigns one of three tiers to an id.
func tierOf(id ident.RequestID) int { return 2 + int(id[15])%3 }

// checkTiers fails if a lower tier still waits at the home after a step that
// shed a request of a higher tier.
func (m *model) checkTiers(home int, actions []core.Action) {
	for _, a := range actions {
		if a.Kind != core.Shed {
			continue
		}
		for _, t := range m.homes[home].cell.Tiers() {
			if t.Tier > tierOf(a.ID) && t.Waiting > 0 {
				m.t.Fatalf("tier %d was shed while %d of tier %d waited", tierOf(a.ID), t.Waiting, t.Tier)
			}
		}
	}
}

// openSession queues the report and then the waiting requests.
func (h *modelHolder) openSession(home int) {
	h.home, h.sessionOpen = home, false
	h.toHome, h.fromHome = nil, nil
	rep := core.Report{Holder: h.inc, Stamp: h.stamp()}
	for _, id := range h.m.ids {
		switch h.states[id] {
		case "waiting":
			rep.Entries = append(rep.Entries, core.LedgerEntry{ID: id, Holder: h.inc, State: core.LedgerWaiting})
		case "granted":
			rep.Entries = append(rep.Entries, core.LedgerEntry{ID: id, Holder: h.inc, Server: 1, State: core.LedgerGranted})
		case "dispatched":
			rep.Entries = append(rep.Entries, core.LedgerEntry{ID: id, Holder: h.inc, Server: 1, State: core.LedgerDone})
		}
	}
	h.toHome = append(h.toHome, rep)
	h.lastStamp = h.m.now
	for _, id := range h.m.ids {
		if h.states[id] == "waiting" {
			h.toHome = append(h.toHome, h.register(id))
		}
	}
}

func (h *modelHolder) register(id ident.RequestID) core.Register {
	tried, resend := h.resends[id]
	return core.Register{Request: core.Request{
		ID: id, Holder: h.inc, Attempt: h.attempts[id], Tier: tierOf(id), PromptTokens: 100, OutputTokens: 10,
		Deadline: h.m.now.Add(time.Hour), Resend: resend, Tried: tried,
	}}
}

func (h *modelHolder) handle(a core.Action) {
	state := h.states[a.ID]
	switch a.Kind {
	case core.Grant:
		if a.Attempt != h.attempts[a.ID] {
			return
		}
		if state == "waiting" {
			h.states[a.ID], h.validity[a.ID] = "granted", a.ValidUntil
		} else if state != "granted" && state != "dispatched" {
			h.toHome = append(h.toHome, core.Withdraw{ID: a.ID, Holder: h.inc})
		}
	case core.Shed:
		if state == "waiting" {
			h.states[a.ID] = "notrun"
			h.m.recordNotRun(h, a.ID, "waiting", "granted", "attached")
		}
	case core.Revoke:
		ans := core.RevokeAnswer{ID: a.ID, Holder: h.inc, Server: 1}
		if state == "dispatched" {
			ans.Verdict = core.Dispatched
		} else {
			h.states[a.ID] = "moved"
		}
		h.toHome = append(h.toHome, ans)
	case core.Attach, core.Unproved:
		if state == "waiting" {
			h.states[a.ID] = "attached"
		}
	}
}

func (m *model) check() {
	for id, n := range m.dispatched {
		if n > 1 {
			m.t.Fatalf("%s was dispatched %d times", id, n)
		}
		if m.reportedNotRun[id] {
			m.t.Fatalf("%s was reported as not run and dispatched", id)
		}
	}
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, dispatched: map[ident.RequestID]int{}, reportedNotRun: map[ident.RequestID]bool{}}
	var live core.Members
	for i := range 3 {
		inc := ident.Incarnation(100 + i)
		m.holders = append(m.holders, &modelHolder{
			m: m, inc: inc, offset: core.Stamp(1e12 * (i + 1)),
			states: map[ident.RequestID]string{}, validity: map[ident.RequestID]core.Stamp{},
			resends: map[ident.RequestID][]ident.Incarnation{}, attempts: map[ident.RequestID]uint32{},
		})
		live.Live = append(live.Live, inc)
	}
	for range 2 {
		h := &modelHome{cell: core.NewCell(0, core.DefaultPolicy())}
		h.cell.Step(0, core.Configure{
			Servers: []core.ServerSpec{{ID: 1, Speed: 1, MaxSequences: 3, CacheTokens: 60000}}, Waiting: 2, Horizon: 120 * time.Second,
		}, nil)
		h.cell.Step(0, live, nil)
		m.homes = append(m.homes, h)
	}
	for _, h := range m.holders {
		h.openSession(0)
	}
	return m
}

// drawFrom draws one of the candidates, or skips the step when there is none.
func drawFrom[T any](t *rapid.T, label string, candidates []T) T {
	if len(candidates) == 0 {
		t.Skip(label)
	}
	return candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, label)]
}

// liveHolders returns the live holders for which ok returns true.
func (m *model) liveHolders(ok func(*modelHolder) bool) []*modelHolder {
	var out []*modelHolder
	for _, h := range m.holders {
		if !h.dead && ok(h) {
			out = append(out, h)
		}
	}
	return out
}

func (h *modelHolder) homeAlive() bool { return !h.m.homes[h.home].dead }

func (h *modelHolder) mayMove() bool {
	return !h.m.homes[1-h.home].dead && (!h.homeAlive() || h.m.now.Sub(h.lastStamp) >= core.MoveHold)
}

// idsIn returns the ids that a holder has in one of the states.
func (h *modelHolder) idsIn(states ...string) []ident.RequestID {
	var out []ident.RequestID
	for _, id := range h.m.ids {
		for _, s := range states {
			if h.states[id] == s {
				out = append(out, id)
			}
		}
	}
	return out
}

const maxModelIDs = 4 // few, so that attempts at the same id coincide

func (m *model) registerNew(t *rapid.T) {
	h := drawFrom(t, "holder", m.liveHolders(func(*modelHolder) bool { return len(m.ids) < maxModelIDs }))
	id := ident.RequestID{15: byte(len(m.ids) + 1)}
	m.ids = append(m.ids, id)
	h.states[id] = "waiting"
	h.toHome = append(h.toHome, h.register(id))
}

func (m *model) resend(t *rapid.T) {
	h := drawFrom(t, "holder", m.liveHolders(func(h *modelHolder) bool { return len(h.idsIn("", "moved", "notrun")) > 0 }))
	id := drawFrom(t, "id", h.idsIn("", "moved", "notrun"))
	var tried []ident.Incarnation
	for _, o := range m.holders {
		if _, ok := o.states[id]; ok && o != h {
			tried = append(tried, o.inc)
		}
	}
	h.states[id], h.resends[id] = "waiting", tried
	h.attempts[id]++
	delete(m.reportedNotRun, id)
	h.toHome = append(h.toHome, h.register(id))
}

// recordNotRun records that the newest attempt was reported as not run. While
// the caller has another attempt in one of the given states at another holder,
// the report covers only this one and is not recorded.
func (m *model) recordNotRun(h *modelHolder, id ident.RequestID, elsewhere ...string) {
	for _, o := range m.holders {
		if o != h && slices.Contains(elsewhere, o.states[id]) {
			return
		}
	}
	m.reportedNotRun[id] = true
}

// withdraw takes back a waiting request whose caller has left. The caller may
// send it again later.
func (m *model) withdraw(t *rapid.T) {
	h := drawFrom(t, "holder", m.liveHolders(func(h *modelHolder) bool { return len(h.idsIn("waiting", "granted")) > 0 }))
	id := drawFrom(t, "id", h.idsIn("waiting", "granted"))
	h.states[id] = "notrun"
	m.recordNotRun(h, id, "waiting", "granted", "attached", "dispatched")
	h.toHome = append(h.toHome, core.Withdraw{ID: id, Holder: h.inc})
}

func (m *model) toHome(t *rapid.T) {
	h := drawFrom(t, "holder", m.liveHolders(func(h *modelHolder) bool { return len(h.toHome) > 0 && h.homeAlive() }))
	ev := h.toHome[0]
	h.toHome = h.toHome[1:]
	home := h.home
	m.step(home, ev)
	if _, left := ev.(core.HolderLeft); left && !m.homes[1-home].dead {
		h.openSession(1 - home)
	}
}

func (m *model) toHolder(t *rapid.T) {
	h := drawFrom(t, "holder", m.liveHolders(func(h *modelHolder) bool { return len(h.fromHome) > 0 }))
	a := h.fromHome[0]
	h.fromHome = h.fromHome[1:]
	h.handle(a)
}

func (m *model) dispatch(t *rapid.T) {
	h := drawFrom(t, "holder", m.liveHolders(func(h *modelHolder) bool { return len(h.idsIn("granted")) > 0 }))
	id := drawFrom(t, "id", h.idsIn("granted"))
	if h.stamp() > h.validity[id] {
		h.states[id] = "waiting"
		h.toHome = append(h.toHome, core.Returned{ID: id, Holder: h.inc}, h.register(id))
		return
	}
	h.states[id] = "dispatched"
	m.dispatched[id]++
}

func (m *model) finish(t *rapid.T) {
	h := drawFrom(t, "holder", m.liveHolders(func(h *modelHolder) bool { return len(h.idsIn("dispatched")) > 0 }))
	id := drawFrom(t, "id", h.idsIn("dispatched"))
	h.toHome = append(h.toHome, core.Finished{ID: id, Holder: h.inc, Total: time.Second})
}

func (m *model) heartbeat(t *rapid.T) {
	h := drawFrom(t, "holder", m.liveHolders((*modelHolder).homeAlive))
	h.toHome = append(h.toHome, core.Heartbeat{Holder: h.inc, Stamp: h.stamp()})
	h.lastStamp = m.now
}

// leave queues a HolderLeft. Events that were queued on the session before are
// delivered first.
func (m *model) leave(t *rapid.T) {
	h := drawFrom(t, "holder", m.liveHolders(func(h *modelHolder) bool { return h.homeAlive() && !m.homes[1-h.home].dead }))
	h.fromHome = nil
	h.toHome = append(h.toHome, core.HolderLeft{Holder: h.inc})
}

func (m *model) holderDies(t *rapid.T) {
	alive := m.liveHolders(func(*modelHolder) bool { return true })
	if len(alive) == 1 || rapid.IntRange(0, 3).Draw(t, "rare") != 0 {
		return
	}
	h := drawFrom(t, "holder", alive)
	h.dead, h.fromHome = true, nil
	if rapid.Bool().Draw(t, "session is read to its end") && h.homeAlive() {
		for _, ev := range h.toHome {
			m.step(h.home, ev)
		}
	}
	h.toHome = nil
}

// reportDeath reports to a home that a holder is gone. Only a real end is proved.
func (m *model) reportDeath(t *rapid.T) {
	h := m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")]
	home := rapid.IntRange(0, 1).Draw(t, "home")
	if !m.homes[home].dead {
		m.step(home, core.HolderLost{Holder: h.inc, Proved: h.dead && rapid.Bool().Draw(t, "proved")})
	}
}

func (m *model) homeDies(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
		m.homes[0].dead = true
	}
}

func (m *model) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1200).Draw(t, "ms")) * time.Millisecond)
	for i, h := range m.homes {
		if !h.dead {
			m.step(i, core.Tick{})
		}
	}
}

// actions are the steps that rapid draws from; frequent ones have several
// entries.
func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"ask": m.registerNew, "resend": m.resend, "dispatch": m.dispatch, "finish": m.finish, "beat": m.heartbeat,
		"to home": m.toHome, "to home too": m.toHome, "to home again": m.toHome,
		"to holder": m.toHolder, "to holder too": m.toHolder,
		"holder dies": m.holderDies, "told of a death": m.reportDeath, "home dies": m.homeDies,
		"withdraw": m.withdraw, "goodbye": m.leave, "time": m.advanceTime, "time too": m.advanceTime,
		"reconnect": func(t *rapid.T) {
			h := drawFrom(t, "holder", m.liveHolders((*modelHolder).homeAlive))
			h.openSession(h.home)
		},
		"move": func(t *rapid.T) { // without HolderLeft, because of a network partition
			h := drawFrom(t, "holder", m.liveHolders((*modelHolder).mayMove))
			h.openSession(1 - h.home)
		},
		"": func(*rapid.T) { m.check() },
	}
}

var _ = Describe("any order of events", func() {
	// A caller resends through host B while host A or the home is paused,
	// partitioned or dead, and grants, revokes and deaths cross in any order. Each
	// host and home knows only part of the state, so two hosts could dispatch the
	// same id and run it twice.
	It("never dispatches an id twice, nor after it was reported as not run", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newModel(t)
			t.Repeat(m.actions())
		})
	})
})
