package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
)

// pastDeadline is a deadline that interrupts pending reads and writes.
var pastDeadline = time.Unix(1, 0)

// session is one yamux session with its remote identity. mu guards streams and closing.
//
// When a yamux session shuts down, its pending reads and writes busy-loop until yamux has
// closed the streams, which happens only after its receive loop has ended. On a host with
// one core, the receive loop waits 10 ms for each busy goroutine, and the callers
// are delayed too. So all pending reads and writes are interrupted by a deadline before the
// shutdown, and none may block afterwards.
type session struct {
	mux  *yamux.Session
	conn *sessionConn
	peer Identity

	mu      sync.Mutex
	streams map[*muxStream]bool
	closing bool
}

// newSession starts yamux on a connection after the handshake.
func newSession(conn *sessionConn, peer Identity, start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	s := &session{conn: conn, peer: peer, streams: map[*muxStream]bool{}}
	conn.framed = true
	conn.onEnd = s.unblockStreams
	mux, err := start(conn, muxConfig())
	if err != nil {
		return nil, err
	}
	s.mux = mux
	return s, nil
}

// muxConfig disables yamux's keep-alive, since probe has its own deadlines.
// ConnectionWriteTimeout is also the timeout of a Ping.
func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = ProbeDeadline
	c.AcceptBacklog = acceptBacklog
	c.LogOutput = io.Discard
	return c
}

func (s *session) ended() bool { return s.mux.IsClosed() }

// close closes the session after interrupting the reads and writes of its streams.
func (s *session) close() {
	s.unblockStreams()
	_ = s.mux.Close() // never fails
}

// unblockStreams interrupts all reads and writes of the session's streams, now and later.
func (s *session) unblockStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for st := range s.streams {
		_ = st.Conn.SetDeadline(pastDeadline) // never fails
	}
}

func (s *session) open() (net.Conn, error) { return s.trackStream(s.mux.Open()) }

func (s *session) accept() (net.Conn, error) { return s.trackStream(s.mux.Accept()) }

func (s *session) trackStream(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	st := &muxStream{Conn: conn, session: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil, failure.New(failure.PeerSilent, "the session has ended")
	}
	s.streams[st] = true
	return st, nil
}

// muxStream is a yamux stream whose reads and writes end as soon as its session closes. The
// session's mu guards reading and closed.
type muxStream struct {
	net.Conn
	session *session
	reading bool
	closed  bool
}

// Read implements net.Conn.
func (st *muxStream) Read(b []byte) (int, error) {
	if !st.setReading(true) {
		return 0, io.EOF
	}
	n, err := st.Conn.Read(b)
	if !st.setReading(false) && err != nil {
		err = io.EOF // hides the deadline set by unblockStreams
	}
	return n, err
}

// setReading records the start or end of a read and reports whether the session is still
// open.
func (st *muxStream) setReading(reading bool) bool {
	s := st.session
	s.mu.Lock()
	defer s.mu.Unlock()
	st.reading = reading
	if !reading && st.closed {
		delete(s.streams, st)
	}
	return !s.closing
}

// Write implements net.Conn.
func (st *muxStream) Write(b []byte) (int, error) {
	if st.closing() {
		return 0, io.ErrClosedPipe
	}
	return st.Conn.Write(b)
}

func (st *muxStream) closing() bool {
	st.session.mu.Lock()
	defer st.session.mu.Unlock()
	return st.session.closing
}

// Close implements net.Conn. A pending read is not interrupted, so the stream stays tracked
// until the read has ended.
func (st *muxStream) Close() error {
	s := st.session
	s.mu.Lock()
	st.closed = true
	if !st.reading {
		delete(s.streams, st)
	}
	s.mu.Unlock()
	return st.Conn.Close()
}

// SetDeadline implements net.Conn.
func (st *muxStream) SetDeadline(t time.Time) error { return st.unlessClosing(t, st.Conn.SetDeadline) }

// SetReadDeadline implements net.Conn.
func (st *muxStream) SetReadDeadline(t time.Time) error {
	return st.unlessClosing(t, st.Conn.SetReadDeadline)
}

// SetWriteDeadline implements net.Conn.
func (st *muxStream) SetWriteDeadline(t time.Time) error {
	return st.unlessClosing(t, st.Conn.SetWriteDeadline)
}

// unlessClosing sets a deadline unless unblockStreams has set its own.
func (st *muxStream) unlessClosing(t time.Time, set func(time.Time) error) error {
	s := st.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil
	}
	return set(t)
}

// probe pings a session that this host opened and closes it if a ping is not answered in
// time. A ping is due when one of the hosts has sent nothing for the probe period.
//
// Only the host that opened a session probes, so that a home (the host that runs the scheduler),
// to which hundreds of hosts have sessions, answers probes but sends none. If both hosts
// probed, busy or not, 195 sessions would cost it 1,600 messages a second.
func (m *Manager) probe(s *session) {
	timer := time.NewTimer(m.probePeriod)
	defer timer.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-timer.C:
		}
		if due := m.probePeriod - max(s.conn.receiveIdle(), s.conn.sendIdle()); due > 0 {
			timer.Reset(due)
			continue
		}
		if err := s.ping(); err != nil {
			m.closeSilent(s, err.Error())
			return
		}
		timer.Reset(m.probePeriod)
	}
}

// ping fails if the other host does not answer within ProbeDeadline. Sending a ping and waiting for its
// answer have a timeout each.
func (s *session) ping() error {
	done := make(chan error, 1)
	go func() {
		_, err := s.mux.Ping()
		done <- err
	}()
	select {
	case err := <-done:
		return err
	case <-time.After(ProbeDeadline):
		return yamux.ErrTimeout
	}
}

// watchIdle closes a session that another host opened if nothing, not even a probe, has
// arrived for acceptedIdleTimeout.
func (m *Manager) watchIdle(s *session) {
	tick := time.NewTicker(acceptedIdleTimeout / 2)
	defer tick.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-tick.C:
		}
		if receiveIdle := s.conn.receiveIdle(); receiveIdle > acceptedIdleTimeout {
			m.closeSilent(s, "nothing received for "+receiveIdle.String())
			return
		}
	}
}

// closeSilent closes a session whose other end does not answer, and logs the reason.
func (m *Manager) closeSilent(s *session, reason string) {
	if !s.ended() {
		m.events.Record(event.PeerSilent, event.Fields{Peer: s.peer.Host, Detail: reason})
	}
	s.close()
}
