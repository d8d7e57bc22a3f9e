package core_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/ident"
)

// world is a model of holders, homes and the network between them. Holders
// follow the protocol of package holder; the network delays without bound,
// keeps the order of a session, and loses what is on its way when a session
// breaks.
type world struct {
	t       *rapid.T
	now     core.Time
	homes   []*modelHome
	holders []*modelHolder
	ids     []ident.RequestID
	// truth
	dispatched map[ident.RequestID]int
	notRun     map[ident.RequestID]bool // told, and not sent again since
}

type modelHome struct {
	cell *core.Cell
	dead bool
}

type modelHolder struct {
	w         *world
	inc       ident.Incarnation
	offset    core.Stamp // its clock differs from every other
	dead      bool
	home      int
	open      bool // the home has taken the report of this session
	lastStamp core.Time
	states    map[ident.RequestID]string // waiting, granted, dispatched, moved, attached, notrun
	validity  map[ident.RequestID]core.Stamp
	attempts  map[ident.RequestID]uint32
	resends   map[ident.RequestID][]ident.Incarnation // held as a resend, with the holders tried
	toHome    []core.Event
	fromHome  []core.Action
}

func (h *modelHolder) stamp() core.Stamp { return core.Stamp(h.w.now) + h.offset }

func (w *world) step(home int, ev core.Event) {
	if r, ok := ev.(core.Report); ok {
		for _, h := range w.holders {
			h.open = h.open || h.inc == r.Holder
		}
	}
	w.t.Logf("%v home %d takes %T%+v", time.Duration(w.now), home, ev, ev)
	actions := w.homes[home].cell.Step(w.now, ev, nil)
	w.checkTiers(home, actions)
	for _, a := range actions {
		w.t.Logf("    -> %+v", a)
		for _, h := range w.holders {
			if h.inc == a.To && h.open && h.home == home && !h.dead {
				h.fromHome = append(h.fromHome, a)
			}
		}
	}
}

// tierOf spreads the ids over three tiers.
func tierOf(id ident.RequestID) int { return 2 + int(id[15])%3 }

// checkTiers looks for a lower tier that still waits at the home after a step
// in which a higher one was shed.
func (w *world) checkTiers(home int, actions []core.Action) {
	for _, a := range actions {
		if a.Kind != core.Shed {
			continue
		}
		for _, t := range w.homes[home].cell.Tiers() {
			if t.Tier > tierOf(a.ID) && t.Waiting > 0 {
				w.t.Fatalf("tier %d was shed while %d of tier %d waited", tierOf(a.ID), t.Waiting, t.Tier)
			}
		}
	}
}

// join opens a session: the report, then what waits.
func (h *modelHolder) join(home int) {
	h.home, h.open = home, false
	h.toHome, h.fromHome = nil, nil
	rep := core.Report{Holder: h.inc, Stamp: h.stamp()}
	for _, id := range h.w.ids {
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
	h.lastStamp = h.w.now
	for _, id := range h.w.ids {
		if h.states[id] == "waiting" {
			h.toHome = append(h.toHome, h.register(id))
		}
	}
}

func (h *modelHolder) register(id ident.RequestID) core.Register {
	tried, resend := h.resends[id]
	return core.Register{Request: core.Request{
		ID: id, Holder: h.inc, Attempt: h.attempts[id], Tier: tierOf(id), PromptTokens: 100, OutputTokens: 10,
		Deadline: h.w.now.Add(time.Hour), Resend: resend, Tried: tried,
	}}
}

func (h *modelHolder) act(a core.Action) {
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
			h.w.tellNotRun(h, a.ID, "waiting", "granted", "attached")
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

func (w *world) check() {
	for id, n := range w.dispatched {
		if n > 1 {
			w.t.Fatalf("%s was dispatched %d times", id, n)
		}
		if w.notRun[id] {
			w.t.Fatalf("%s was told not run and dispatched", id)
		}
	}
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, dispatched: map[ident.RequestID]int{}, notRun: map[ident.RequestID]bool{}}
	var live core.Members
	for i := range 3 {
		inc := ident.Incarnation(100 + i)
		w.holders = append(w.holders, &modelHolder{
			w: w, inc: inc, offset: core.Stamp(1e12 * (i + 1)),
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
		w.homes = append(w.homes, h)
	}
	for _, h := range w.holders {
		h.join(0)
	}
	return w
}

// choose draws one of the candidates, or skips the step when there is none.
func choose[T any](t *rapid.T, what string, from []T) T {
	if len(from) == 0 {
		t.Skip(what)
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(t, what)]
}

// where lists the holders for which ok holds.
func (w *world) where(ok func(*modelHolder) bool) []*modelHolder {
	var out []*modelHolder
	for _, h := range w.holders {
		if !h.dead && ok(h) {
			out = append(out, h)
		}
	}
	return out
}

func (h *modelHolder) homeAlive() bool { return !h.w.homes[h.home].dead }

func (h *modelHolder) mayMove() bool {
	return !h.w.homes[1-h.home].dead && (!h.homeAlive() || h.w.now.Sub(h.lastStamp) >= core.MoveHold)
}

// idsIn lists the ids that a holder has in one of the states.
func (h *modelHolder) idsIn(states ...string) []ident.RequestID {
	var out []ident.RequestID
	for _, id := range h.w.ids {
		for _, s := range states {
			if h.states[id] == s {
				out = append(out, id)
			}
		}
	}
	return out
}

const modelIDs = 4 // few, so that attempts at one id meet

func (w *world) ask(t *rapid.T) {
	h := choose(t, "holder", w.where(func(*modelHolder) bool { return len(w.ids) < modelIDs }))
	id := ident.RequestID{15: byte(len(w.ids) + 1)}
	w.ids = append(w.ids, id)
	h.states[id] = "waiting"
	h.toHome = append(h.toHome, h.register(id))
}

func (w *world) resend(t *rapid.T) {
	h := choose(t, "holder", w.where(func(h *modelHolder) bool { return len(h.idsIn("", "moved", "notrun")) > 0 }))
	id := choose(t, "id", h.idsIn("", "moved", "notrun"))
	var tried []ident.Incarnation
	for _, o := range w.holders {
		if _, ok := o.states[id]; ok && o != h {
			tried = append(tried, o.inc)
		}
	}
	h.states[id], h.resends[id] = "waiting", tried
	h.attempts[id]++
	delete(w.notRun, id)
	h.toHome = append(h.toHome, h.register(id))
}

// tellNotRun notes the word of the newest attempt. While the caller has
// another attempt in one of the given states at another holder, the word on
// this one says nothing about that.
func (w *world) tellNotRun(h *modelHolder, id ident.RequestID, elsewhere ...string) {
	for _, o := range w.holders {
		if o != h && slices.Contains(elsewhere, o.states[id]) {
			return
		}
	}
	w.notRun[id] = true
}

// withdraw takes a waiting request back: nobody reads it any more. Its caller
// may ask again later.
func (w *world) withdraw(t *rapid.T) {
	h := choose(t, "holder", w.where(func(h *modelHolder) bool { return len(h.idsIn("waiting", "granted")) > 0 }))
	id := choose(t, "id", h.idsIn("waiting", "granted"))
	h.states[id] = "notrun"
	w.tellNotRun(h, id, "waiting", "granted", "attached", "dispatched")
	h.toHome = append(h.toHome, core.Withdraw{ID: id, Holder: h.inc})
}

func (w *world) toHome(t *rapid.T) {
	h := choose(t, "holder", w.where(func(h *modelHolder) bool { return len(h.toHome) > 0 && h.homeAlive() }))
	ev := h.toHome[0]
	h.toHome = h.toHome[1:]
	home := h.home
	w.step(home, ev)
	if _, goodbye := ev.(core.Left); goodbye && !w.homes[1-home].dead {
		h.join(1 - home)
	}
}

func (w *world) toHolder(t *rapid.T) {
	h := choose(t, "holder", w.where(func(h *modelHolder) bool { return len(h.fromHome) > 0 }))
	a := h.fromHome[0]
	h.fromHome = h.fromHome[1:]
	h.act(a)
}

func (w *world) dispatch(t *rapid.T) {
	h := choose(t, "holder", w.where(func(h *modelHolder) bool { return len(h.idsIn("granted")) > 0 }))
	id := choose(t, "id", h.idsIn("granted"))
	if h.stamp() > h.validity[id] {
		h.states[id] = "waiting"
		h.toHome = append(h.toHome, core.Returned{ID: id, Holder: h.inc}, h.register(id))
		return
	}
	h.states[id] = "dispatched"
	w.dispatched[id]++
}

func (w *world) finish(t *rapid.T) {
	h := choose(t, "holder", w.where(func(h *modelHolder) bool { return len(h.idsIn("dispatched")) > 0 }))
	id := choose(t, "id", h.idsIn("dispatched"))
	h.toHome = append(h.toHome, core.Finished{ID: id, Holder: h.inc, Total: time.Second})
}

func (w *world) beat(t *rapid.T) {
	h := choose(t, "holder", w.where((*modelHolder).homeAlive))
	h.toHome = append(h.toHome, core.Heard{Holder: h.inc, Stamp: h.stamp()})
	h.lastStamp = w.now
}

// goodbye leaves the home in order; what else the holder had to say on this
// session comes before it.
func (w *world) goodbye(t *rapid.T) {
	h := choose(t, "holder", w.where(func(h *modelHolder) bool { return h.homeAlive() && !w.homes[1-h.home].dead }))
	h.fromHome = nil
	h.toHome = append(h.toHome, core.Left{Holder: h.inc})
}

func (w *world) die(t *rapid.T) {
	alive := w.where(func(*modelHolder) bool { return true })
	if len(alive) == 1 || rapid.IntRange(0, 3).Draw(t, "rare") != 0 {
		return
	}
	h := choose(t, "holder", alive)
	h.dead, h.fromHome = true, nil
	if rapid.Bool().Draw(t, "session is read to its end") && h.homeAlive() {
		for _, ev := range h.toHome {
			w.step(h.home, ev)
		}
	}
	h.toHome = nil
}

// tellDeath tells a home that a holder is gone. Only a real end is proved.
func (w *world) tellDeath(t *rapid.T) {
	h := w.holders[rapid.IntRange(0, len(w.holders)-1).Draw(t, "holder")]
	home := rapid.IntRange(0, 1).Draw(t, "home")
	if !w.homes[home].dead {
		w.step(home, core.Gone{Holder: h.inc, Proved: h.dead && rapid.Bool().Draw(t, "proved")})
	}
}

func (w *world) homeDies(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
		w.homes[0].dead = true
	}
}

func (w *world) time(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1200).Draw(t, "ms")) * time.Millisecond)
	for i, h := range w.homes {
		if !h.dead {
			w.step(i, core.Tick{})
		}
	}
}

// actions are the steps that rapid picks from; frequent ones stand twice.
func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"ask": w.ask, "resend": w.resend, "dispatch": w.dispatch, "finish": w.finish, "beat": w.beat,
		"to home": w.toHome, "to home too": w.toHome, "to home again": w.toHome,
		"to holder": w.toHolder, "to holder too": w.toHolder,
		"holder dies": w.die, "told of a death": w.tellDeath, "home dies": w.homeDies,
		"withdraw": w.withdraw, "goodbye": w.goodbye, "time": w.time, "time too": w.time,
		"reconnect": func(t *rapid.T) {
			h := choose(t, "holder", w.where((*modelHolder).homeAlive))
			h.join(h.home)
		},
		"move": func(t *rapid.T) { // without goodbye: the network parted
			h := choose(t, "holder", w.where((*modelHolder).mayMove))
			h.join(1 - h.home)
		},
		"": func(*rapid.T) { w.check() },
	}
}

var _ = Describe("any order of events", func() {
	// Story: a caller resends through host B while host A, or the home, is
	// paused, parted or dead; grants, revocations and deaths cross in any
	// order. A family would see two coats reserved if two hosts dispatched
	// the same id. Cause: each host and home knows only part of the truth.
	It("never dispatches an id twice, nor after it was told not run", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(t)
			t.Repeat(w.actions())
		})
	})
})
