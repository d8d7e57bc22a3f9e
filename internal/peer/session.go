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

// past is a deadline that ends reads and writes which are in progress.
var past = time.Unix(1, 0)

// session is one yamux session with its remote identity. mu guards streams and over.
//
// Guard: a read or write that waits in yamux wakes when its session shuts down, finds its
// stream still open and looks again at once, until the session has closed its streams. It
// does so only when its receiving loop has ended; on a host with one core that loop waits
// for a turn behind all who look again, for 10 ms each, and callers wait with it. So whatever
// waits is ended by its deadline first, and nothing begins to wait afterwards.
type session struct {
	mux  *yamux.Session
	conn *sessionConn
	peer Identity

	mu      sync.Mutex
	streams map[*muxStream]bool
	over    bool
}

// newSession starts yamux over a connection that has been greeted.
func newSession(conn *sessionConn, peer Identity, start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	s := &session{conn: conn, peer: peer, streams: map[*muxStream]bool{}}
	conn.muxed = true
	conn.failed = s.releaseWaiting
	mux, err := start(conn, muxConfig())
	if err != nil {
		return nil, err
	}
	s.mux = mux
	return s, nil
}

// muxConfig turns yamux's own keep-alive off: our probe has its deadlines.
// ConnectionWriteTimeout also bounds a Ping.
func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = ProbeDeadline
	c.AcceptBacklog = acceptBacklog
	c.LogOutput = io.Discard
	return c
}

func (s *session) ended() bool { return s.mux.IsClosed() }

// close ends the session and what waits in its streams.
func (s *session) close() {
	s.releaseWaiting()
	_ = s.mux.Close() // never fails
}

// releaseWaiting ends all reads and writes of the session's streams.
func (s *session) releaseWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	for st := range s.streams {
		_ = st.Conn.SetDeadline(past) // never fails
	}
}

func (s *session) open() (net.Conn, error) { return s.adopt(s.mux.Open()) }

func (s *session) accept() (net.Conn, error) { return s.adopt(s.mux.Accept()) }

func (s *session) adopt(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	st := &muxStream{Conn: conn, session: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return nil, failure.New(failure.PeerSilent, "the session has ended")
	}
	s.streams[st] = true
	return st, nil
}

// muxStream is a stream of a session that ends with it. The session's mu guards reading and
// closed.
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
		err = io.EOF // not the deadline that released it
	}
	return n, err
}

// setReading notes that a read begins or ends, and reports whether the session goes on.
func (st *muxStream) setReading(reading bool) bool {
	s := st.session
	s.mu.Lock()
	defer s.mu.Unlock()
	st.reading = reading
	if !reading && st.closed {
		delete(s.streams, st)
	}
	return !s.over
}

// Write implements net.Conn.
func (st *muxStream) Write(b []byte) (int, error) {
	if st.over() {
		return 0, io.ErrClosedPipe
	}
	return st.Conn.Write(b)
}

func (st *muxStream) over() bool {
	st.session.mu.Lock()
	defer st.session.mu.Unlock()
	return st.session.over
}

// Close implements net.Conn. A read that is in progress goes on, and so may have to be
// released later.
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
func (st *muxStream) SetDeadline(t time.Time) error { return st.unlessOver(t, st.Conn.SetDeadline) }

// SetReadDeadline implements net.Conn.
func (st *muxStream) SetReadDeadline(t time.Time) error {
	return st.unlessOver(t, st.Conn.SetReadDeadline)
}

// SetWriteDeadline implements net.Conn.
func (st *muxStream) SetWriteDeadline(t time.Time) error {
	return st.unlessOver(t, st.Conn.SetWriteDeadline)
}

// unlessOver keeps the deadline that has released what waits.
func (st *muxStream) unlessOver(t time.Time, set func(time.Time) error) error {
	s := st.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return nil
	}
	return set(t)
}

// probe closes a session that this host opened when it does not answer in time. One that
// has just brought something, and on which this host has spoken too, needs no probe.
//
// Only one end probes, so a host that hundreds follow answers probes but sends none:
// probed from both ends and busy or not, 195 sessions cost it 1,600 messages a second.
func (m *Manager) probe(s *session) {
	tick := time.NewTicker(ProbePeriod)
	defer tick.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-tick.C:
		}
		if max(s.conn.quiet(), s.conn.mute()) < ProbePeriod {
			continue
		}
		if _, err := s.mux.Ping(); err != nil {
			m.silent(s, err.Error())
			return
		}
	}
}

// listen closes a session that another host opened when it has brought nothing for
// acceptedSilence, not even a probe.
func (m *Manager) listen(s *session) {
	tick := time.NewTicker(acceptedSilence / 2)
	defer tick.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-tick.C:
		}
		if quiet := s.conn.quiet(); quiet > acceptedSilence {
			m.silent(s, "nothing came for "+quiet.String())
			return
		}
	}
}

// silent ends a session whose other end does not answer.
func (m *Manager) silent(s *session, why string) {
	if !s.ended() {
		m.events.Record(event.PeerSilent, event.Fields{Peer: s.peer.Host, Detail: why})
	}
	s.close()
}
