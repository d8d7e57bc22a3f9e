// Package peer manages the sessions between entry hosts: yamux over TCP, one
// session for each pair of hosts, opened on first use. Sessions are probed with
// a deadline, since a connection that a middlebox has dropped from its state
// stays open but carries nothing. Both ends close a silent session, and the next
// stream dials a new one.
//
// A Manager owns the sessions of one host. A Stream belongs to the caller of OpenStream or,
// at the other end, to the Handler.
package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// Timeouts of a session. The host that opened a session detects its silence within the probe period,
// ProbePeriod unless SetProbePeriod sets another one, plus ProbeDeadline, the other host within about
// acceptedIdleTimeout.
const (
	DialTimeout   = 1 * time.Second
	ProbePeriod   = 500 * time.Millisecond
	ProbeDeadline = 1 * time.Second
	// MaxProbePeriod is the longest probe period. The rest of acceptedIdleTimeout is for a late probe.
	MaxProbePeriod = 1 * time.Second
	// acceptedIdleTimeout is how long nothing may arrive on a session that another
	// host opened. That host probes the session in each probe period unless it is busy.
	acceptedIdleTimeout = ProbePeriod + ProbeDeadline
	helloTimeout        = 1 * time.Second
	acceptBacklog       = 256
)

// Identity identifies a host in the handshake of a session.
type Identity struct {
	Incarnation ident.Incarnation
	Host        string
	Fleet       string
}

// Stream is one stream of a session. Reader is the buffered reader of its Conn.
type Stream struct {
	net.Conn
	Reader *bufio.Reader
	Peer   Identity
	Open   *wire.Open
}

// Abort closes the stream and interrupts pending reads.
//
// Closing a yamux stream only closes its write side. A pending read would block
// until the other end closes too, which a paused or unreachable host does not do.
// A deadline in the past interrupts the read.
func (s *Stream) Abort() {
	_ = s.SetDeadline(time.Unix(1, 0))
	_ = s.Close()
}

// Handler serves a stream that another host opened, and owns it.
type Handler func(*Stream)

// Observer is notified of what sessions show about other hosts.
type Observer interface {
	// ProveDead is called for an incarnation that has provably ended.
	ProveDead(inc ident.Incarnation, how string)
	// SessionEnded is called for an incarnation when a session with it has ended.
	SessionEnded(inc ident.Incarnation)
}

// Manager owns the sessions of one host. mu guards sessions, the live field of
// each sessionSlot, accepted and closed.
type Manager struct {
	self     Identity
	address  string       // this host's control address, as other hosts know it
	dialFrom *net.TCPAddr // local address of the sessions that this host opens
	dial     DialFunc     // nil: TCP
	handler  Handler
	observer Observer
	events   *event.Recorder
	traffic  *Traffic
	// probePeriod is how long a session may be idle before it is probed.
	probePeriod time.Duration

	mu       sync.Mutex
	sessions map[string]*sessionSlot // by remote control address
	accepted map[*session]bool
	closed   bool
	wg       sync.WaitGroup
}

// sessionSlot holds the session to one address. The channel dialToken is a lock that is
// held while dialing, so that streams opened at the same time share one session.
type sessionSlot struct {
	dialToken chan struct{}
	live      *session
}

// NewManager returns a Manager. handler serves the streams that other hosts open.
func NewManager(self Identity, address string, handler Handler, observer Observer, events *event.Recorder, traffic *Traffic) *Manager {
	return &Manager{
		self: self, address: address, handler: handler, observer: observer, events: events, traffic: traffic, probePeriod: ProbePeriod,
		sessions: map[string]*sessionSlot{}, accepted: map[*session]bool{},
	}
}

// SetProbePeriod sets how long a session is idle before it is probed, MaxProbePeriod at most. It must be set
// before the first session.
func (m *Manager) SetProbePeriod(d time.Duration) { m.probePeriod = d }

// SetLocalIP sets the local IP address of the sessions that this host opens, so that
// other hosts see the same address of a host that has several.
func (m *Manager) SetLocalIP(ip net.IP) { m.dialFrom = &net.TCPAddr{IP: ip} }

// DialFunc opens a connection to another host.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// SetDial sets how connections to other hosts are opened, in place of TCP. It must be set before the first session.
func (m *Manager) SetDial(d DialFunc) { m.dial = d }

// Serve accepts sessions until the listener closes.
func (m *Manager) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // probably out of file descriptors: wait for some to close
			continue
		}
		m.wg.Go(func() { m.accept(newSessionConn(conn, m.traffic)) })
	}
}

func (m *Manager) accept(conn *sessionConn) {
	remote, err := m.handshake(context.Background(), conn)
	if err != nil {
		// A connection that ends before its Hello was only a check whether this
		// port refuses connections.
		if !failure.Is(err, failure.PeerSilent) {
			m.events.Record(event.PeerRefused, event.Fields{Peer: conn.RemoteAddr().String(), Detail: err.Error()})
		}
		_ = conn.Close()
		return
	}
	s, err := newSession(conn, remote, yamux.Server)
	if err != nil {
		_ = conn.Close()
		return
	}
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		s.close()
		return
	}
	m.accepted[s] = true
	m.mu.Unlock()
	m.wg.Go(func() { m.watchIdle(s) })
	m.serveStreams(s)
	m.mu.Lock()
	delete(m.accepted, s)
	m.mu.Unlock()
}

func (m *Manager) serveStreams(s *session) {
	for {
		conn, err := s.accept()
		if err != nil {
			s.close()
			m.observer.SessionEnded(s.peer.Incarnation)
			return
		}
		m.wg.Go(func() { m.serveStream(conn, s.peer) })
	}
}

func (m *Manager) serveStream(conn net.Conn, remote Identity) {
	st := &Stream{Conn: conn, Reader: bufio.NewReader(conn), Peer: remote, Open: &wire.Open{}}
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	if err := wire.Read(st.Reader, st.Open); err != nil {
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	m.events.Witness(st.Open.Lamport)
	m.handler(st)
}

// handshake exchanges Hello messages and checks the version and fleet of the other
// host. Each host sends its Hello without waiting, so that both know the other's
// version and log it on a mismatch.
func (m *Manager) handshake(ctx context.Context, conn net.Conn) (Identity, error) {
	deadline := time.Now().Add(helloTimeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	_ = conn.SetDeadline(deadline)
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	mine := &wire.Hello{Version: wire.Version, Incarnation: uint64(m.self.Incarnation), Host: m.self.Host, Fleet: m.self.Fleet}
	if err := wire.Write(conn, mine); err != nil {
		return Identity{}, err
	}
	// Read byte by byte, since the bytes after the Hello belong to yamux.
	theirs := &wire.Hello{}
	if err := wire.Read(bufio.NewReaderSize(oneByteReader{conn}, 16), theirs); err != nil {
		return Identity{}, err
	}
	if theirs.Version != wire.Version || theirs.Fleet != m.self.Fleet {
		return Identity{}, failure.New(failure.BadPeer, "peer %q speaks version %d of fleet %q; this host speaks version %d of fleet %q",
			theirs.Host, theirs.Version, theirs.Fleet, wire.Version, m.self.Fleet)
	}
	return Identity{Incarnation: ident.Incarnation(theirs.Incarnation), Host: theirs.Host, Fleet: theirs.Fleet}, nil
}

// oneByteReader prevents a buffered reader from reading ahead.
type oneByteReader struct{ io.Reader }

func (r oneByteReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:1]) }

// Target is a host to open a stream to. Incarnation 0 accepts any incarnation.
type Target struct {
	Address     string
	Incarnation ident.Incarnation
}

// OpenStream opens a stream to a host and dials if there is no session. It fails
// with PeerSilent if the host does not answer, and notifies the Observer if the
// expected incarnation has ended.
func (m *Manager) OpenStream(ctx context.Context, to Target, kind wire.StreamKind, service string) (*Stream, error) {
	open := &wire.Open{Kind: kind, Service: service, Lamport: m.events.Clock()}
	if to.Address == m.address {
		return m.openLocal(open), nil
	}
	s, err := m.session(ctx, to)
	if err != nil {
		return nil, err
	}
	conn, err := s.open()
	if err != nil {
		s.close()
		return nil, failure.Wrap(failure.PeerSilent, err, "open stream to %s", to.Address)
	}
	if err := wire.Write(conn, open); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Stream{Conn: conn, Reader: bufio.NewReader(conn), Peer: s.peer, Open: open}, nil
}

// openLocal opens a stream to this host's own handler without a socket.
func (m *Manager) openLocal(open *wire.Open) *Stream {
	a, b := net.Pipe()
	m.wg.Go(func() {
		m.handler(&Stream{Conn: b, Reader: bufio.NewReader(b), Peer: m.self, Open: open})
	})
	return &Stream{Conn: a, Reader: bufio.NewReader(a), Peer: m.self, Open: open}
}

func (m *Manager) session(ctx context.Context, to Target) (*session, error) {
	m.mu.Lock()
	slot := m.sessions[to.Address]
	if slot == nil {
		slot = &sessionSlot{dialToken: make(chan struct{}, 1)}
		m.sessions[to.Address] = slot
	}
	m.mu.Unlock()
	select {
	case slot.dialToken <- struct{}{}:
		defer func() { <-slot.dialToken }()
	case <-ctx.Done():
		return nil, failure.Wrap(failure.PeerSilent, ctx.Err(), "wait for the session to %s", to.Address)
	}
	m.mu.Lock()
	s := slot.live
	m.mu.Unlock()
	if s != nil && !s.ended() {
		return s, m.checkIncarnation(to, s.peer)
	}
	s, err := m.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	if !m.installSession(slot, s) {
		s.close()
		return nil, failure.New(failure.PeerSilent, "this host is shutting down")
	}
	return s, m.checkIncarnation(to, s.peer)
}

// installSession makes s the live session of a slot and starts its goroutines. It
// reports false if the manager is closed.
func (m *Manager) installSession(slot *sessionSlot, s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	slot.live = s
	m.wg.Go(func() { m.probe(s) })
	m.wg.Go(func() { m.serveStreams(s) })
	return true
}

// checkIncarnation fails and notifies the Observer if another incarnation than the
// expected one has answered.
func (m *Manager) checkIncarnation(to Target, got Identity) error {
	if to.Incarnation == 0 || to.Incarnation == got.Incarnation {
		return nil
	}
	m.observer.ProveDead(to.Incarnation, "another incarnation answers at its address")
	return failure.New(failure.PeerSilent, "%s is now incarnation %s", to.Address, got.Incarnation)
}

// connect dials a host and starts a session. The caller holds the slot's dialToken.
func (m *Manager) connect(ctx context.Context, to Target) (*session, error) {
	dialed, err := m.dialTo(ctx, to.Address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) && to.Incarnation != 0 {
			m.observer.ProveDead(to.Incarnation, "its port refuses connections")
		}
		return nil, failure.Wrap(failure.PeerSilent, err, "dial %s", to.Address)
	}
	conn := newSessionConn(dialed, m.traffic)
	remote, err := m.handshake(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s, err := newSession(conn, remote, yamux.Client)
	if err != nil {
		_ = conn.Close()
		return nil, failure.Wrap(failure.PeerSilent, err, "session to %s", to.Address)
	}
	m.events.Record(event.PeerOpened, event.Fields{Peer: remote.Host})
	return s, nil
}

func (m *Manager) dialTo(ctx context.Context, address string) (net.Conn, error) {
	if m.dial != nil {
		ctx, cancel := context.WithTimeout(ctx, DialTimeout)
		defer cancel()
		return m.dial(ctx, address)
	}
	dialer := net.Dialer{Timeout: DialTimeout}
	if m.dialFrom != nil {
		dialer.LocalAddr = m.dialFrom
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Discard closes the session to an address, so that the next stream dials a new
// one. Callers use it when they detect silence before the probe does.
func (m *Manager) Discard(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slot := m.sessions[address]; slot != nil && slot.live != nil {
		slot.live.close()
		slot.live = nil
	}
}

// Close closes all sessions. It does not wait for their goroutines.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	for _, slot := range m.sessions {
		if slot.live != nil {
			slot.live.close()
		}
	}
	for s := range m.accepted {
		s.close()
	}
	m.mu.Unlock()
}
