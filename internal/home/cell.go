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
	inputQueueSize  = 8192
	outputQueueSize = 4096
	busyTickPeriod  = 20 * time.Millisecond
	idleTickPeriod  = 200 * time.Millisecond
)

// input is one item of the cell's input ring: an event, a link that opened or
// closed, or a function to call on the cell's goroutine.
type input struct {
	event  core.Event
	link   *link // the link of a holder's stream that opened
	closed *link // the link of a stream that broke
	call   func(*core.Cell)
}

// link is the home's end of the stream from one holder. out carries frames to
// the goroutine that writes the stream.
type link struct {
	holder ident.Incarnation
	out    *ring.Ring[*wire.Frame]
	cancel context.CancelFunc
}

// cell runs the queue and scheduler of one service. Its goroutine owns core,
// links and serverNames; other goroutines send it input through in.
type cell struct {
	service     string
	events      *event.Recorder
	in          *ring.Ring[input]
	start       time.Time
	core        *core.Cell
	links       map[ident.Incarnation]*link
	serverNames map[ident.ServerID]string

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

func newCell(ctx context.Context, service string, policy core.Policy, events *event.Recorder) *cell {
	ctx, stop := context.WithCancel(ctx)
	c := &cell{
		service: service, events: events, in: ring.New[input](inputQueueSize), start: time.Now(),
		links: map[ident.Incarnation]*link{}, serverNames: map[ident.ServerID]string{}, ctx: ctx, stop: stop,
	}
	c.core = core.NewCell(c.now(), policy)
	c.tasks.Go(c.run)
	return c
}

// now reads the cell's monotonic clock.
func (c *cell) now() core.Time { return core.Time(time.Since(c.start)) }

// push sends an input to the cell's goroutine. It blocks while the ring is
// full.
func (c *cell) push(in input) {
	if c.in.TryPush(in) {
		return
	}
	c.events.Record(event.HomeFull, event.Fields{Service: c.service})
	_ = c.in.Push(c.ctx, in) // fails only when the cell is stopped
}

func (c *cell) run() {
	tick := time.NewTimer(idleTickPeriod)
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
		return busyTickPeriod
	}
	return idleTickPeriod
}

func (c *cell) handle(in input, actions []core.Action) []core.Action {
	switch {
	case in.call != nil:
		in.call(c.core)
	case in.link != nil:
		c.addLink(in.link)
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

// addLink makes l the link of its holder and cancels an older one.
func (c *cell) addLink(l *link) {
	if old := c.links[l.holder]; old != nil {
		old.cancel()
	}
	c.links[l.holder] = l
}

func (c *cell) closeLinks() {
	for _, l := range c.links {
		l.cancel()
	}
}

// send passes the actions of one batch of inputs to the links. A link whose ring
// is full belongs to a holder that does not read: it is cancelled, and its
// holder sends a new report when it reconnects.
func (c *cell) send(actions []core.Action) {
	for _, a := range actions {
		c.record(a)
		f := cellwire.Frame(a)
		l := c.links[a.To]
		if f == nil || l == nil {
			continue
		}
		if !l.out.TryPush(f) {
			l.cancel()
		}
	}
}

func (c *cell) record(a core.Action) {
	f := event.Fields{Service: c.service, Server: c.serverNames[a.Server]}
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

// configure sends the cell the servers of the inventory and the accounts'
// shares.
func (c *cell) configure(doc *config.Document, svc *config.Service) {
	ev := core.Configure{Waiting: doc.Rules.Limits.Waiting, Horizon: doc.Rules.Limits.Horizon.Std()}
	serverNames := map[ident.ServerID]string{}
	for _, b := range svc.BackendServers {
		id := ident.ServerIDOf(b.Name)
		serverNames[id] = b.Name
		ev.Servers = append(ev.Servers, core.ServerSpec{
			ID: id, Speed: b.Speed, MaxSequences: b.MaxSequences, CacheTokens: b.CacheTokens,
			Plain: svc.Kind == config.PlainService, Leaving: b.State == config.ServerLeaving,
		})
	}
	for _, a := range doc.ClientAccounts {
		ev.Shares = append(ev.Shares, core.AccountShare{Account: ident.AccountIDOf(a.Name), Share: a.Share})
	}
	c.push(input{event: ev, call: func(*core.Cell) { c.serverNames = serverNames }})
}

// updateMembers sends the cell the live holders and ends those that are dead.
func (c *cell) updateMembers(all []member.Member) {
	var live core.Members
	for _, m := range all {
		if m.State == member.Dead {
			c.push(input{event: core.HolderLost{Holder: m.Incarnation, Proved: m.Proved}})
			continue
		}
		live.Live = append(live.Live, m.Incarnation)
	}
	c.push(input{event: live})
}

// query runs f on the cell's goroutine and waits for it. It returns false when
// the cell stops first.
func (c *cell) query(f func(*core.Cell)) bool {
	done := make(chan struct{})
	c.push(input{call: func(cc *core.Cell) {
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
