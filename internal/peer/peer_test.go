package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// writeCounter is a connection that counts writes.
type writeCounter struct {
	net.Conn
	n atomic.Int64
}

func (w *writeCounter) Write(b []byte) (int, error) {
	w.n.Add(1)
	return w.Conn.Write(b)
}

// nopObserver ignores all notifications.
type nopObserver struct{}

func (nopObserver) ProveDead(ident.Incarnation, string) {}
func (nopObserver) SessionEnded(ident.Incarnation)      {}

// startHost runs a manager that echoes the bytes of each stream.
func startHost(inc ident.Incarnation) (m *Manager, l net.Listener, traffic *Traffic) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	traffic = &Traffic{}
	echo := func(st *Stream) {
		_, _ = io.Copy(st, st.Reader) // ends with the stream
		_ = st.Close()
	}
	events := event.NewRecorder("h", inc.String(), 64, log.NewNopLogger())
	m = NewManager(Identity{Incarnation: inc, Host: "h", Fleet: "f"}, l.Addr().String(), echo, nopObserver{}, events, traffic)
	go m.Serve(l)
	DeferCleanup(func() {
		_ = l.Close()
		m.Close()
	})
	return m, l, traffic
}

var _ = Describe("a session between hosts", func() {
	// Regression: each message was sent in two writes, the frame's header and its body,
	// which cost both hosts an additional packet and wake-up. A home with hundreds of hosts
	// connected was late by a quarter of a second even at low load.
	It("sends the header and the body of a frame in one write", func() {
		near, far := net.Pipe()
		count := &writeCounter{Conn: near}
		c := newSessionConn(count, &Traffic{})
		c.framed = true
		got := make(chan []byte, 1)
		go func() {
			b := make([]byte, frameHeaderSize+3)
			_, _ = io.ReadFull(far, b) // missing bytes fail the check below
			got <- b
		}()
		header := make([]byte, frameHeaderSize)
		header[frameHeaderSize-1] = 3
		for _, b := range [][]byte{header, []byte("abc")} {
			n, err := c.Write(b)
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(len(b)))
		}
		Eventually(got).Should(Receive(Equal(append(header, "abc"...))))
		Expect(count.n.Load()).To(BeNumerically("==", 1))
	})

	It("sends frames without a body at once", func() {
		near, far := net.Pipe()
		c := newSessionConn(near, &Traffic{})
		c.framed = true
		go func() { _, _ = c.Write(make([]byte, frameHeaderSize)) }()
		Expect(far.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		_, err := io.ReadFull(far, make([]byte, frameHeaderSize))
		Expect(err).NotTo(HaveOccurred())
	})

	// Regression: each of a home's 195 sessions was probed twice a second by both hosts,
	// busy or not, which took more messages than the requests.
	It("is probed only by the host that opened it, and not while it is busy", func() {
		a, _, sent := startHost(1)
		_, l, answered := startHost(2)
		st, err := a.OpenStream(context.Background(), Target{Address: l.Addr().String()}, wire.StreamKind_STREAM_TABLES, "")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(st.Abort)
		exchange := func() {
			_, err := st.Write([]byte("x"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(st.Reader, make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
		}
		exchange()
		before := sent.Sent.Load()
		const rounds = 12
		for range rounds {
			time.Sleep(ProbePeriod / 4)
			exchange()
		}
		Expect(sent.Sent.Load()-before).To(BeNumerically("==", rounds*(frameHeaderSize+1)), "no probes, only the messages")
		beforeIdle := answered.Received.Load()
		time.Sleep(3 * ProbePeriod)
		Expect(answered.Received.Load()-beforeIdle).To(BeNumerically("~", 2*frameHeaderSize, 2*frameHeaderSize), "probes of one host")
		Expect(answered.Received.Load()).To(BeNumerically(">", beforeIdle))
		exchange()
	})

	// Regression: a host that received messages from its home all the time and sent none
	// saw no need to probe the session, so the home considered it silent.
	It("is probed by a host that receives messages and sends none", func() {
		a, _, _ := startHost(1)
		accepted := make(chan *Stream, 1)
		b := NewManager(Identity{Incarnation: 3, Host: "h", Fleet: "f"}, "none", func(st *Stream) { accepted <- st }, nopObserver{}, event.NewRecorder("h", "i", 64, log.NewNopLogger()), &Traffic{})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go b.Serve(listener)
		DeferCleanup(func() {
			_ = listener.Close()
			b.Close()
		})
		st, err := a.OpenStream(context.Background(), Target{Address: listener.Addr().String()}, wire.StreamKind_STREAM_TABLES, "")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(st.Abort)
		far := <-accepted
		for started := time.Now(); time.Since(started) < 2*acceptedIdleTimeout; time.Sleep(ProbePeriod / 5) {
			_, err := far.Write([]byte("x"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(st.Reader, make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Regression: the kernel of a frozen host accepts connections but the host sends
	// nothing, so callers that dialed it waited past their own deadline.
	It("is not waited for beyond the caller's deadline", func() {
		m, _, _ := startHost(1)
		silent, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts into the backlog; nothing is sent
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		overrun := make(chan time.Duration, 3)
		for _, timeout := range []time.Duration{150 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond} {
			go func() {
				started := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				_, _ = m.OpenStream(ctx, Target{Address: silent.Addr().String()}, wire.StreamKind_STREAM_TABLES, "")
				overrun <- time.Since(started) - timeout
			}()
		}
		for range 3 {
			Eventually(overrun).WithTimeout(5 * time.Second).Should(Receive(BeNumerically("<", 300*time.Millisecond)))
		}
	})

	// Probes at fixed ticks skip one after any message, so that the silence of a host whose last message
	// came just after a tick was noticed half a second later than that of others.
	It("notices a host that stands still in the same time whenever its last message came", func() {
		a, _, _ := startHost(1)
		_, l, _ := startHost(2)
		const phases = 8
		silences := make(chan time.Duration, phases)
		for i := range phases {
			go func() {
				defer GinkgoRecover()
				p := startFreezer(l.Addr().String())
				st, err := a.OpenStream(context.Background(), Target{Address: p.address}, wire.StreamKind_STREAM_TABLES, "")
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(ProbePeriod + time.Duration(i)*ProbePeriod/phases)
				_, err = st.Write([]byte("x"))
				Expect(err).NotTo(HaveOccurred())
				_, err = io.ReadFull(st.Reader, make([]byte, 1))
				Expect(err).NotTo(HaveOccurred())
				p.frozen.Store(true)
				start := time.Now()
				_, _ = st.Reader.ReadByte()
				silences <- time.Since(start)
			}()
		}
		for range phases {
			Eventually(silences).WithTimeout(10 * time.Second).Should(Receive(BeNumerically("<", ProbePeriod+ProbeDeadline+ProbePeriod/4)))
		}
	})

	// A middlebox may drop a connection from its state: the connection stays open and
	// carries nothing. The host that accepted it sends no probes, so without a timeout it
	// would keep the other host's waiting requests forever.
	It("is closed by the host that accepted it when nothing arrives", func() {
		_, l, _ := startHost(2)
		conn, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		hello := &wire.Hello{Version: wire.Version, Incarnation: 9, Host: "mute", Fleet: "f"}
		Expect(wire.Write(conn, hello)).To(Succeed())
		Expect(conn.SetReadDeadline(time.Now().Add(4 * acceptedIdleTimeout))).To(Succeed())
		started := time.Now()
		_, err = io.Copy(io.Discard, conn)
		Expect(err).NotTo(HaveOccurred(), "closed, not timed out")
		Expect(time.Since(started)).To(BeNumerically(">", acceptedIdleTimeout))
	})

	// Regression: when a session began to close, each pending read woke, found its stream
	// still open and retried at once, in a busy loop. While the connection took its time to
	// close, a host with dozens of such reads used whole cores and answered its callers late.
	It("uses no CPU while it closes, however many reads are pending", func() {
		const readers, closeDelay = 50, 400 * time.Millisecond
		var waiting atomic.Int64
		handler := func(st *Stream) {
			waiting.Add(1)
			_, _ = io.Copy(io.Discard, st.Reader) // ends with the session
			waiting.Add(-1)
		}
		m := NewManager(Identity{Incarnation: 1, Host: "near", Fleet: "f"}, "none", handler, nopObserver{}, event.NewRecorder("h", "i", 64, log.NewNopLogger()), &Traffic{})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		far, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		near, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		go m.accept(newSessionConn(&slowCloseConn{Conn: near, delay: closeDelay}, &Traffic{}))
		opener := NewManager(Identity{Incarnation: 2, Host: "far", Fleet: "f"}, "none", func(*Stream) {}, nopObserver{}, event.NewRecorder("h", "i", 64, log.NewNopLogger()), &Traffic{})
		_, err = opener.handshake(context.Background(), far)
		Expect(err).NotTo(HaveOccurred())
		mux, err := yamux.Client(far, muxConfig())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(mux.Close)
		for range readers {
			st, err := mux.Open()
			Expect(err).NotTo(HaveOccurred())
			Expect(wire.Write(st, &wire.Open{})).To(Succeed())
		}
		Eventually(waiting.Load).Should(BeEquivalentTo(readers))
		before := cpuTime()
		m.Close()
		Eventually(waiting.Load).WithTimeout(2 * closeDelay).Should(BeZero())
		Expect(cpuTime() - before).To(BeNumerically("<", closeDelay/4))
	})
})

// slowCloseConn is a connection that takes a while to close.
type slowCloseConn struct {
	net.Conn
	delay time.Duration
}

func (c *slowCloseConn) Close() error {
	time.Sleep(c.delay)
	return c.Conn.Close()
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// freezer forwards connections to a target until it is frozen.
type freezer struct {
	address string
	frozen  atomic.Bool
}

func startFreezer(target string) *freezer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	f := &freezer{address: l.Addr().String()}
	forward := func(to, from net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := from.Read(buf)
			if err != nil {
				_ = to.Close()
				return
			}
			if f.frozen.Load() {
				continue
			}
			_, _ = to.Write(buf[:n])
		}
	}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go forward(far, near)
			go forward(near, far)
		}
	}()
	return f
}
