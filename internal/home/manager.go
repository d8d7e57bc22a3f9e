// Package home runs the schedulers of the services whose home is this host. The
// home of a service is the host that runs its scheduler. The cell of a service
// is its queue and scheduler: one goroutine for each service owns a core.Cell
// and feeds it events from a bounded ring. Manager owns the cells: it opens and
// closes them as membership and configuration require, watches the backend
// servers and serves the streams of the holders, the entry hosts that received
// the requests.
package home

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/cellwire"
	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/configsync"
	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/platform"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// closeGrace is how long a cell is kept after another host became the home, for
// holders that have not moved yet.
const closeGrace = 3 * time.Second

// Dependencies are the components that a Manager depends on.
type Dependencies struct {
	Members *member.Table
	Config  *configsync.Syncer
	Peers   *peer.Manager
	// ServerTransport is the HTTP transport for reading the reports of backend
	// servers and for ordering their states.
	ServerTransport http.RoundTripper
	// Table stores the leases under which orders are sent to backend servers.
	Table platform.Table
}

// Manager opens and closes the cells of this host. mu guards cells and
// leaving.
type Manager struct {
	deps   Dependencies
	policy core.Policy
	events *event.Recorder
	ctx    context.Context

	mu      sync.Mutex
	cells   map[string]*hostedCell
	leaving map[string]bool // addresses that are leaving according to the host list
}

// hostedCell is a cell with the manager's state for it.
type hostedCell struct {
	cell     *cell
	watchers map[string]context.CancelFunc // by server address
	lostAt   time.Time                     // when another host became the home; zero while this host is
	draining map[string]bool               // addresses of servers that report that they are draining
	applied  *configsync.InForce
}

// NewManager returns a manager. SetPeers must be called before Run.
func NewManager(ctx context.Context, deps Dependencies, policy core.Policy, events *event.Recorder) *Manager {
	return &Manager{
		deps: deps, policy: policy, events: events, ctx: ctx,
		cells: map[string]*hostedCell{}, leaving: map[string]bool{},
	}
}

// SetPeers sets the manager of the sessions with other hosts. That manager is
// created after this one, which serves streams of the sessions.
func (m *Manager) SetPeers(p *peer.Manager) { m.deps.Peers = p }

// reconcilePeriod bounds how long a missed notification delays a change.
const reconcilePeriod = 500 * time.Millisecond

// Run reconciles the cells with membership and configuration until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	members := m.deps.Members.Subscribe()
	configs := m.deps.Config.Subscribe()
	tick := time.NewTicker(reconcilePeriod)
	defer tick.Stop()
	for {
		m.reconcile()
		select {
		case <-members:
		case <-configs:
		case <-tick.C:
		case <-ctx.Done():
			m.closeAll()
			return
		}
	}
}

func (m *Manager) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, h := range m.cells {
		m.closeCell(name, h)
	}
}

// reconcile opens, updates and closes cells as the membership and the
// configuration in force require.
func (m *Manager) reconcile() {
	inForce := m.deps.Config.Current()
	if inForce == nil {
		return
	}
	all := m.deps.Members.All()
	self := m.deps.Members.Self().Incarnation
	doc := inForce.Document
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range doc.Services {
		svc := &doc.Services[i]
		home, ok := member.Home(svc.Name, all, doc.Rules.Lookup.HostsPerService)
		h := m.cells[svc.Name]
		switch {
		case ok && home.Incarnation == self:
			h = m.openCell(svc.Name)
			h.lostAt = time.Time{}
		case h != nil && h.lostAt.IsZero():
			h.lostAt = time.Now()
			m.handOver(svc.Name, h, home)
		case h != nil && time.Since(h.lostAt) > closeGrace && len(h.connectedHolders()) == 0:
			m.handOver(svc.Name, h, home)
			m.closeCell(svc.Name, h)
			continue
		}
		if h != nil {
			m.update(h, inForce, svc, all)
		}
	}
	for name, h := range m.cells {
		if _, ok := doc.Service(name); !ok {
			m.closeCell(name, h)
		}
	}
}

// openCell returns the cell of a service and creates it if there is none. The
// caller holds mu.
func (m *Manager) openCell(service string) *hostedCell {
	h := m.cells[service]
	if h == nil {
		h = &hostedCell{
			cell:     newCell(m.ctx, service, m.policy, m.events),
			watchers: map[string]context.CancelFunc{}, draining: map[string]bool{},
		}
		m.cells[service] = h
		h.cell.tasks.Go(func() { m.reconcileServerStates(h, service) })
		m.events.Record(event.HomeOpened, event.Fields{Service: service})
	}
	return h
}

func (m *Manager) closeCell(service string, h *hostedCell) {
	for _, stop := range h.watchers {
		stop()
	}
	h.cell.stop()
	delete(m.cells, service)
	m.events.Record(event.HomeClosed, event.Fields{Service: service})
}

// connectedHolders returns the holders that have a stream to the cell.
func (h *hostedCell) connectedHolders() []ident.Incarnation {
	var out []ident.Incarnation
	h.cell.query(func(*core.Cell) {
		for inc := range h.cell.links {
			out = append(out, inc)
		}
	})
	return out
}

// update applies the current configuration and members to a cell. The caller
// holds mu.
func (m *Manager) update(h *hostedCell, inForce *configsync.InForce, svc *config.Service, all []member.Member) {
	if h.applied != inForce {
		h.applied = inForce
		m.configure(h, inForce.Document, svc)
		m.watchServers(h, svc)
	}
	h.cell.updateMembers(all)
}

// configure sends a cell its configuration. It marks a server as leaving when
// any source reports that: the configuration, the host list or the server
// itself.
func (m *Manager) configure(h *hostedCell, doc *config.Document, svc *config.Service) {
	marked := *svc
	marked.BackendServers = append([]config.BackendServer(nil), svc.BackendServers...)
	for i := range marked.BackendServers {
		b := &marked.BackendServers[i]
		if m.leaving[b.Address] || h.draining[b.Address] {
			b.State = config.ServerLeaving
		}
	}
	h.cell.configure(doc, &marked)
}

// SetLeavingServers sets the addresses of the backend servers that are leaving
// according to the host list.
func (m *Manager) SetLeavingServers(addresses map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if sameKeys(m.leaving, addresses) {
		return
	}
	m.leaving = addresses
	m.reconfigureAll()
}

// setDraining records whether a server reports that it is draining.
func (m *Manager) setDraining(service, address string, draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.cells[service]
	if h == nil || h.draining[address] == draining {
		return
	}
	if draining {
		h.draining[address] = true
	} else {
		delete(h.draining, address)
	}
	m.reconfigureAll()
}

// reconfigureAll sends every cell its configuration again. The caller holds mu.
func (m *Manager) reconfigureAll() {
	for name, h := range m.cells {
		if h.applied == nil {
			continue
		}
		if svc, ok := h.applied.Document.Service(name); ok {
			m.configure(h, h.applied.Document, svc)
		}
	}
}

func sameKeys(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for k := range a {
		if !b[k] {
			return false
		}
	}
	return true
}

// ServeCell serves a holder's stream. It opens the cell if needed, because a
// holder may detect earlier than this host that this host became the home.
func (m *Manager) ServeCell(st *peer.Stream) {
	defer func() { _ = st.Close() }()
	inForce := m.deps.Config.Current()
	if inForce == nil {
		return
	}
	svc, ok := inForce.Document.Service(st.Open.Service)
	if !ok {
		return
	}
	m.mu.Lock()
	h := m.cells[svc.Name]
	if h == nil {
		h = m.openCell(svc.Name)
		m.update(h, inForce, svc, m.deps.Members.All())
	}
	m.mu.Unlock()
	h.cell.serveLink(st)
}

// handOver sends the ledger of a cell, its list of requests and their states, to
// the new home. It also sends the covered holders: those that ended and whose
// granted requests are all in the ledger.
func (m *Manager) handOver(service string, h *hostedCell, to member.Member) {
	if to.Incarnation == 0 {
		return
	}
	h.cell.tasks.Go(func() {
		var ledger core.LedgerHandover
		if !h.cell.query(func(c *core.Cell) { ledger = c.Handover() }) {
			return
		}
		msg := &wire.Handover{}
		for _, e := range ledger.Entries {
			msg.Lines = append(msg.Lines, cellwire.Line(e))
		}
		for _, inc := range ledger.Covered {
			msg.Covered = append(msg.Covered, uint64(inc))
		}
		target := peer.Target{Address: to.ControlAddress, Incarnation: to.Incarnation}
		st, err := m.deps.Peers.OpenStream(m.ctx, target, wire.StreamKind_STREAM_HANDOVER, service)
		if err != nil {
			return // the new home rebuilds the ledger from the holders' reports
		}
		defer func() { _ = st.Close() }()
		if wire.Write(st, msg) == nil && wire.Read(st.Reader, &wire.HandoverNoted{}) == nil {
			m.events.Record(event.HomeHandover, event.Fields{Service: service, Peer: to.Host})
		}
	})
}

// ServeHandover receives the ledger of the previous home.
func (m *Manager) ServeHandover(st *peer.Stream) {
	defer func() { _ = st.Close() }()
	var msg wire.Handover
	if wire.Read(st.Reader, &msg) != nil {
		return
	}
	entries, err := cellwire.Entries(msg.Lines)
	if err != nil {
		return
	}
	ev := core.LedgerHandover{Entries: entries}
	for _, inc := range msg.Covered {
		ev.Covered = append(ev.Covered, ident.Incarnation(inc))
	}
	m.mu.Lock()
	h := m.cells[st.Open.Service]
	m.mu.Unlock()
	if h != nil {
		h.cell.push(input{event: ev})
	}
	_ = wire.Write(st, &wire.HandoverNoted{Taken: h != nil})
}

// Status is the status of one cell for operators. Ours is set while this host
// is the home.
type Status struct {
	Service string              `json:"service"`
	IsHome  bool                `json:"ours"`
	Holders int                 `json:"holders"`
	Running int                 `json:"running"`
	Tiers   []core.TierCount    `json:"tiers"`
	Servers []core.ServerStatus `json:"servers"`
}

// Status returns the status of all cells of this host.
func (m *Manager) Status() []Status {
	m.mu.Lock()
	cells := make(map[string]*hostedCell, len(m.cells))
	for k, v := range m.cells {
		cells[k] = v
	}
	m.mu.Unlock()
	var out []Status
	for name, h := range cells {
		s := Status{Service: name, IsHome: h.lostAt.IsZero()}
		if h.cell.query(func(c *core.Cell) {
			s.Holders, s.Running, s.Tiers, s.Servers = len(h.cell.links), c.Running(), c.Tiers(), c.Servers()
		}) {
			out = append(out, s)
		}
	}
	return out
}
