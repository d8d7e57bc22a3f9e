// Package peer keeps the sessions between entry hosts: yamux over TCP, one
// session for a pair of hosts, opened when it is first needed. A session is
// judged by answers: each is probed with a deadline, since a connection that
// something in between forgot stays open and carries nothing. A silent one
// is closed at both ends and the next stream dials anew.
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

// Deadlines of a session. A silent one is noticed within ProbePeriod plus
// ProbeDeadline at the end that opened it, and within acceptedSilence at the other.
const (
	DialTimeout   = 1 * time.Second
	ProbePeriod   = 500 * time.Millisecond
	ProbeDeadline = 1 * time.Second
	// acceptedSilence is how long a session that another host opened may bring
	// nothing: that host probes it each ProbePeriod when nothing else is said.
	acceptedSilence = ProbePeriod + ProbeDeadline
	helloTimeout    = 1 * time.Second
	acceptBacklog   = 256
)

// Identity is what this host says of itself on each session.
type Identity struct {
	Incarnation ident.Incarnation
	Host        string
	Fleet       string
}

// Stream is one exchange within a session. R reads what W's end wrote.
type Stream struct {
	net.Conn
	R    *bufio.Reader
	Peer Identity
	Open *wire.Open
}

// Abort ends the stream at once, with reads that are in progress.
//
// Guard: closing a yamux stream only ends what this end writes; a read goes on
// until the other end closes too, which one that is paused or out of reach
// does not. The deadline in the past ends it here.
func (s *Stream) Abort() {
	_ = s.SetDeadline(time.Unix(1, 0))
	_ = s.Close()
}

// Handler serves a stream that another host opened. It owns the stream.
type Handler func(*Stream)

// Observer learns what sessions tell about other hosts.
type Observer interface {
	// ProveDead is told of an incarnation that has provably ended.
	ProveDead(inc ident.Incarnation, how string)
	// Broke is told of an incarnation whose session ended at its side.
	Broke(inc ident.Incarnation)
}

// Manager owns the sessions of one host. mu guards sessions, the live field of
// each slot, accepted and closed.
type Manager struct {
	self    Identity
	address string       // our own control address, as others know it
	from    *net.TCPAddr // local address of the sessions we open
	handler Handler
	news    Observer
	events  *event.Recorder
	traffic *Traffic

	mu       sync.Mutex
	sessions map[string]*slot // by remote control address
	accepted map[*session]bool
	closed   bool
	duties   sync.WaitGroup
}

// slot is the place of the session to one address. dial holds one token, which is taken
// while one is dialed, so that many streams that are opened at once share it.
type slot struct {
	dial chan struct{}
	live *session
}

// NewManager makes the sessions' owner. handler serves incoming streams.
func NewManager(self Identity, address string, handler Handler, news Observer, events *event.Recorder, traffic *Traffic) *Manager {
	return &Manager{
		self: self, address: address, handler: handler, news: news, events: events, traffic: traffic,
		sessions: map[string]*slot{}, accepted: map[*session]bool{},
	}
}

// DialFrom makes sessions start from the IP number of this host's settings,
// so that a host with several ones is known by one.
func (m *Manager) DialFrom(ip net.IP) { m.from = &net.TCPAddr{IP: ip} }

// Serve accepts sessions until the listener closes.
func (m *Manager) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of descriptors: let some close
			continue
		}
		m.duties.Go(func() { m.accept(newSessionConn(conn, m.traffic)) })
	}
}

func (m *Manager) accept(conn *sessionConn) {
	remote, err := m.greet(context.Background(), conn)
	if err != nil {
		// A connection that ends before its Hello only asked whether this
		// port refuses.
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
	m.duties.Go(func() { m.listen(s) })
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
			m.news.Broke(s.peer.Incarnation)
			return
		}
		m.duties.Go(func() { m.serveStream(conn, s.peer) })
	}
}

func (m *Manager) serveStream(conn net.Conn, remote Identity) {
	st := &Stream{Conn: conn, R: bufio.NewReader(conn), Peer: remote, Open: &wire.Open{}}
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	if err := wire.Read(st.R, st.Open); err != nil {
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	m.events.Witness(st.Open.Lamport)
	m.handler(st)
}

// greet exchanges Hello messages and checks the other end's version and
// fleet. Each end speaks first, so both learn the other's version and name it
// in their logs when they refuse.
func (m *Manager) greet(ctx context.Context, conn net.Conn) (Identity, error) {
	until := time.Now().Add(helloTimeout)
	if own, ok := ctx.Deadline(); ok && own.Before(until) {
		until = own
	}
	_ = conn.SetDeadline(until)
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	mine := &wire.Hello{Version: wire.Version, Incarnation: uint64(m.self.Incarnation), Host: m.self.Host, Fleet: m.self.Fleet}
	if err := wire.Write(conn, mine); err != nil {
		return Identity{}, err
	}
	// Read byte by byte: what follows the Hello belongs to yamux.
	theirs := &wire.Hello{}
	if err := wire.Read(bufio.NewReaderSize(oneByte{conn}, 16), theirs); err != nil {
		return Identity{}, err
	}
	if theirs.Version != wire.Version || theirs.Fleet != m.self.Fleet {
		return Identity{}, failure.New(failure.BadPeer, "peer %q speaks version %d of fleet %q; this host speaks version %d of fleet %q",
			theirs.Host, theirs.Version, theirs.Fleet, wire.Version, m.self.Fleet)
	}
	return Identity{Incarnation: ident.Incarnation(theirs.Incarnation), Host: theirs.Host, Fleet: theirs.Fleet}, nil
}

// oneByte keeps a buffered reader from reading ahead.
type oneByte struct{ io.Reader }

func (r oneByte) Read(p []byte) (int, error) { return r.Reader.Read(p[:1]) }

// Target names a host to open a stream to.
type Target struct {
	Address     string
	Incarnation ident.Incarnation
}

// OpenStream opens a stream to a host, dialing when there is no session. It
// fails with PeerSilent when the host does not answer, and tells the Observer
// when the expected incarnation turns out to have ended.
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
	return &Stream{Conn: conn, R: bufio.NewReader(conn), Peer: s.peer, Open: open}, nil
}

// openLocal joins a duty of this host to another one without a socket.
func (m *Manager) openLocal(open *wire.Open) *Stream {
	a, b := net.Pipe()
	m.duties.Go(func() {
		m.handler(&Stream{Conn: b, R: bufio.NewReader(b), Peer: m.self, Open: open})
	})
	return &Stream{Conn: a, R: bufio.NewReader(a), Peer: m.self, Open: open}
}

func (m *Manager) session(ctx context.Context, to Target) (*session, error) {
	m.mu.Lock()
	place := m.sessions[to.Address]
	if place == nil {
		place = &slot{dial: make(chan struct{}, 1)}
		m.sessions[to.Address] = place
	}
	m.mu.Unlock()
	select {
	case place.dial <- struct{}{}:
		defer func() { <-place.dial }()
	case <-ctx.Done():
		return nil, failure.Wrap(failure.PeerSilent, ctx.Err(), "wait for the session to %s", to.Address)
	}
	m.mu.Lock()
	s := place.live
	m.mu.Unlock()
	if s != nil && !s.ended() {
		return s, m.expect(to, s.peer)
	}
	s, err := m.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	if !m.keep(place, s) {
		s.close()
		return nil, failure.New(failure.PeerSilent, "this host stops")
	}
	return s, m.expect(to, s.peer)
}

// keep makes s the live session of its place and starts its duties, unless
// the manager has stopped.
func (m *Manager) keep(place *slot, s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	place.live = s
	m.duties.Go(func() { m.probe(s) })
	m.duties.Go(func() { m.serveStreams(s) })
	return true
}

// expect compares who answered with who was expected.
func (m *Manager) expect(to Target, got Identity) error {
	if to.Incarnation == 0 || to.Incarnation == got.Incarnation {
		return nil
	}
	m.news.ProveDead(to.Incarnation, "another incarnation answers at its address")
	return failure.New(failure.PeerSilent, "%s is now incarnation %s", to.Address, got.Incarnation)
}

// connect dials and greets. The caller holds the slot's dial.
func (m *Manager) connect(ctx context.Context, to Target) (*session, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	if m.from != nil {
		dialer.LocalAddr = m.from
	}
	dialed, err := dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) && to.Incarnation != 0 {
			m.news.ProveDead(to.Incarnation, "its port refuses")
		}
		return nil, failure.Wrap(failure.PeerSilent, err, "dial %s", to.Address)
	}
	conn := newSessionConn(dialed, m.traffic)
	remote, err := m.greet(ctx, conn)
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

// Discard closes the session to an address, so that the next stream dials
// anew. Whoever notices silence sooner than the probe calls it.
func (m *Manager) Discard(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if place := m.sessions[address]; place != nil && place.live != nil {
		place.live.close()
		place.live = nil
	}
}

// Close ends all sessions and waits for their duties.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	for _, place := range m.sessions {
		if place.live != nil {
			place.live.close()
		}
	}
	for s := range m.accepted {
		s.close()
	}
	m.mu.Unlock()
}
