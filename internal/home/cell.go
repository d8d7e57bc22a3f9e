package home

import (
	"context"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/cellwire"
	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	inputSize  = 8192
	outputSize = 4096
	busyTick   = 20 * time.Millisecond
	idleTick   = 200 * time.Millisecond
)

// input is one item of the cell's ring: an event, a link that opens or
// closes, or a question about the cell's state.
type input struct {
	event  core.Event
	link   *link // set when a holder's stream opened
	closed *link // set when it broke
	ask    func(*core.Cell)
}

// link is the home's end of one holder's stream. out carries frames to the
// goroutine that writes the stream.
type link struct {
	holder ident.Incarnation
	out    *ring.Ring[*wire.Frame]
	cut    context.CancelFunc
}

// cell is the duty of one home. Its goroutine owns core, links and servers;
// others talk to it through in.
type cell struct {
	service string
	events  *event.Recorder
	in      *ring.Ring[input]
	start   time.Time
	core    *core.Cell
	links   map[ident.Incarnation]*link
	names   map[ident.ServerID]string

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
}

func newCell(ctx context.Context, service string, policy core.Policy, events *event.Recorder) *cell {
	ctx, stop := context.WithCancel(ctx)
	c := &cell{
		service: service, events: events, in: ring.New[input](inputSize), start: time.Now(),
		links: map[ident.Incarnation]*link{}, names: map[ident.ServerID]string{}, ctx: ctx, stop: stop,
	}
	c.core = core.NewCell(c.now(), policy)
	c.done.Go(c.run)
	return c
}

// now is the cell's monotonic clock.
func (c *cell) now() core.Time { return core.Time(time.Since(c.start)) }

// push hands an event to the cell's goroutine.
func (c *cell) push(in input) {
	if c.in.TryPush(in) {
		return
	}
	c.events.Record(event.HomeFull, event.Fields{Service: c.service})
	_ = c.in.Push(c.ctx, in) // fails only when the cell stops
}

func (c *cell) run() {
	tick := time.NewTimer(idleTick)
	defer tick.Stop()
	var batch []input
	var actions []core.Action
	for {
		ticked := false
		select {
		case <-c.in.Ready():
		case <-tick.C:
			ticked = true
		case <-c.ctx.Done():
			c.closeLinks()
			return
		}
		batch = c.in.Drain(batch[:0])
		actions = actions[:0]
		for i := range batch {
			actions = c.handle(batch[i], actions)
		}
		if ticked {
			actions = c.core.Step(c.now(), core.Tick{}, actions)
			tick.Reset(c.tickPeriod())
		}
		c.send(actions)
	}
}

func (c *cell) tickPeriod() time.Duration {
	if c.core.Waiting() > 0 {
		return busyTick
	}
	return idleTick
}

func (c *cell) handle(in input, actions []core.Action) []core.Action {
	switch {
	case in.ask != nil:
		in.ask(c.core)
	case in.link != nil:
		c.attach(in.link)
	case in.closed != nil:
		if c.links[in.closed.holder] == in.closed {
			delete(c.links, in.closed.holder)
		}
	}
	if in.event == nil {
		return actions
	}
	return c.core.Step(c.now(), in.event, actions)
}

// attach makes l the stream of its holder; an older one is cut.
func (c *cell) attach(l *link) {
	if old := c.links[l.holder]; old != nil {
		old.cut()
	}
	c.links[l.holder] = l
}

func (c *cell) closeLinks() {
	for _, l := range c.links {
		l.cut()
	}
}

// send hands the actions of one round to the links. A link whose ring is
// full belongs to a holder that does not read: it is cut, and its holder
// reports again when it comes back.
func (c *cell) send(actions []core.Action) {
	for _, a := range actions {
		c.record(a)
		f := cellwire.Frame(a)
		l := c.links[a.To]
		if f == nil || l == nil {
			continue
		}
		if !l.out.TryPush(f) {
			l.cut()
		}
	}
}

func (c *cell) record(a core.Action) {
	f := event.Fields{Service: c.service, Server: c.names[a.Server]}
	switch a.Kind {
	case core.Grant:
		f.Request = a.ID.String()
		c.events.Record(event.HomeGranted, f)
	case core.Shed:
		f.Request, f.Detail = a.ID.String(), string(a.Reason)
		c.events.Record(event.HomeShed, f)
	case core.Revoke:
		f.Request = a.ID.String()
		c.events.Record(event.HomeRevoke, f)
	case core.ServerChanged:
		f.Detail = string(a.State)
		c.events.Record(event.HomeServerState, f)
	case core.HolderUncovered:
		f.Detail = a.Holder.String()
		c.events.Record(event.HomeUncovered, f)
	}
}

// configure gives the cell the inventory's servers and the accounts' shares.
func (c *cell) configure(doc *config.Document, svc *config.Service) {
	ev := core.Configure{Waiting: doc.Rules.Limits.Waiting, Horizon: doc.Rules.Limits.Horizon.Std()}
	names := map[ident.ServerID]string{}
	for _, b := range svc.BackendServers {
		id := ident.ServerIDOf(b.Name)
		names[id] = b.Name
		ev.Servers = append(ev.Servers, core.ServerSpec{
			ID: id, Speed: b.Speed, MaxSequences: b.MaxSequences, CacheTokens: b.CacheTokens,
			Plain: svc.Kind == config.PlainService, Leaving: b.State == config.ServerLeaving,
		})
	}
	for _, a := range doc.ClientAccounts {
		ev.Shares = append(ev.Shares, core.AccountShare{Account: ident.AccountIDOf(a.Name), Share: a.Share})
	}
	c.push(input{event: ev, ask: func(*core.Cell) { c.names = names }})
}

// tellMembers gives the cell the live holders and ends those that died.
func (c *cell) tellMembers(all []member.Member) {
	var live core.Members
	for _, m := range all {
		if m.State == member.Dead {
			c.push(input{event: core.Gone{Holder: m.Incarnation, Proved: m.Proved}})
			continue
		}
		live.Live = append(live.Live, m.Incarnation)
	}
	c.push(input{event: live})
}

// query runs f on the cell's goroutine and waits for it.
func (c *cell) query(f func(*core.Cell)) bool {
	done := make(chan struct{})
	c.push(input{ask: func(cc *core.Cell) {
		f(cc)
		close(done)
	}})
	select {
	case <-done:
		return true
	case <-c.ctx.Done():
		return false
	}
}
