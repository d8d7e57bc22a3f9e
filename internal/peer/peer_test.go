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

// writes counts the writes to a connection.
type writes struct {
	net.Conn
	n atomic.Int64
}

func (w *writes) Write(b []byte) (int, error) {
	w.n.Add(1)
	return w.Conn.Write(b)
}

// nobody ignores what sessions tell.
type nobody struct{}

func (nobody) ProveDead(ident.Incarnation, string) {}
func (nobody) Broke(ident.Incarnation)             {}

// hostAt runs a manager that echoes what streams bring.
func hostAt(inc ident.Incarnation) (m *Manager, l net.Listener, traffic *Traffic) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	traffic = &Traffic{}
	echo := func(st *Stream) {
		_, _ = io.Copy(st, st.R) // ends with the stream
		_ = st.Close()
	}
	events := event.NewRecorder("h", inc.String(), 64, log.NewNopLogger())
	m = NewManager(Identity{Incarnation: inc, Host: "h", Fleet: "f"}, l.Addr().String(), echo, nobody{}, events, traffic)
	go m.Serve(l)
	DeferCleanup(func() {
		_ = l.Close()
		m.Close()
	})
	return m, l, traffic
}

var _ = Describe("a session between hosts", func() {
	// A host that schedules for hundreds is late by a quarter of a second on a calm day.
	// Each message left it in two writes, the frame's header and its body, which cost
	// both ends a packet and a wake-up more.
	It("sends the header and the body of a frame in one write", func() {
		near, far := net.Pipe()
		count := &writes{Conn: near}
		c := newSessionConn(count, &Traffic{})
		c.muxed = true
		got := make(chan []byte, 1)
		go func() {
			b := make([]byte, frameHeader+3)
			_, _ = io.ReadFull(far, b) // what is missing shows below
			got <- b
		}()
		header := make([]byte, frameHeader)
		header[frameHeader-1] = 3
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
		c.muxed = true
		go func() { _, _ = c.Write(make([]byte, frameHeader)) }()
		Expect(far.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		_, err := io.ReadFull(far, make([]byte, frameHeader))
		Expect(err).NotTo(HaveOccurred())
	})

	// The same host probed each of 195 sessions twice a second, from both ends, whether
	// they were busy or not: more messages than the requests brought.
	It("is probed by the end that opened it only, and not while it is busy", func() {
		a, _, sent := hostAt(1)
		_, l, answered := hostAt(2)
		st, err := a.OpenStream(context.Background(), Target{Address: l.Addr().String()}, wire.StreamKind_STREAM_TABLES, "")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(st.Abort)
		talk := func() {
			_, err := st.Write([]byte("x"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(st.R, make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
		}
		talk()
		before := sent.Sent.Load()
		const rounds = 12
		for range rounds {
			time.Sleep(ProbePeriod / 4)
			talk()
		}
		Expect(sent.Sent.Load()-before).To(BeNumerically("==", rounds*(frameHeader+1)), "no probe beside the messages")
		quiet := answered.Received.Load()
		time.Sleep(3 * ProbePeriod)
		Expect(answered.Received.Load()-quiet).To(BeNumerically("~", 2*frameHeader, 2*frameHeader), "probes of one end")
		Expect(answered.Received.Load()).To(BeNumerically(">", quiet))
		talk()
	})

	// A host hears from its home all the time and has nothing to say. It needs no probe
	// for itself, and the home took it for silent.
	It("is probed by a host that hears and says nothing", func() {
		a, _, _ := hostAt(1)
		chat := make(chan *Stream, 1)
		b := NewManager(Identity{Incarnation: 3, Host: "h", Fleet: "f"}, "none", func(st *Stream) { chat <- st }, nobody{}, event.NewRecorder("h", "i", 64, log.NewNopLogger()), &Traffic{})
		talker, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go b.Serve(talker)
		DeferCleanup(func() {
			_ = talker.Close()
			b.Close()
		})
		st, err := a.OpenStream(context.Background(), Target{Address: talker.Addr().String()}, wire.StreamKind_STREAM_TABLES, "")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(st.Abort)
		far := <-chat
		for begun := time.Now(); time.Since(begun) < 2*acceptedSilence; time.Sleep(ProbePeriod / 5) {
			_, err := far.Write([]byte("x"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(st.R, make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against a host that stands still and holds up whoever dials it: its kernel
	// accepts, nothing is said, and the caller waited past the end of its own time.
	It("is not awaited beyond the time of whoever dials", func() {
		m, _, _ := hostAt(1)
		still, err := net.Listen("tcp", "127.0.0.1:0") // accepts in its backlog and says nothing
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(still.Close)
		late := make(chan time.Duration, 3)
		for _, own := range []time.Duration{150 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond} {
			go func() {
				begun := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), own)
				defer cancel()
				_, _ = m.OpenStream(ctx, Target{Address: still.Addr().String()}, wire.StreamKind_STREAM_TABLES, "")
				late <- time.Since(begun) - own
			}()
		}
		for range 3 {
			Eventually(late).WithTimeout(5 * time.Second).Should(Receive(BeNumerically("<", 300*time.Millisecond)))
		}
	})

	// Something between two hosts has forgotten their connection: it stays open and
	// carries nothing. The host that accepted it sends no probes, and would keep what
	// the other one has waiting there for ever.
	It("is closed by the end that accepted it when nothing comes", func() {
		_, l, _ := hostAt(2)
		conn, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		hello := &wire.Hello{Version: wire.Version, Incarnation: 9, Host: "mute", Fleet: "f"}
		Expect(wire.Write(conn, hello)).To(Succeed())
		Expect(conn.SetReadDeadline(time.Now().Add(4 * acceptedSilence))).To(Succeed())
		begun := time.Now()
		_, err = io.Copy(io.Discard, conn)
		Expect(err).NotTo(HaveOccurred(), "closed, not timed out")
		Expect(time.Since(begun)).To(BeNumerically(">", acceptedSilence))
	})

	// Story: a host loses its link to another one, on which dozens of its duties wait for
	// word, and for as long as the connection takes to close it takes whole cores and answers
	// its callers late. Each wait woke when the session began to end, found its stream open
	// and looked again at once.
	It("takes no processor while it ends, whoever waits in its streams", func() {
		const readers, closes = 50, 400 * time.Millisecond
		var waiting atomic.Int64
		handler := func(st *Stream) {
			waiting.Add(1)
			_, _ = io.Copy(io.Discard, st.R) // ends with the session
			waiting.Add(-1)
		}
		m := NewManager(Identity{Incarnation: 1, Host: "near", Fleet: "f"}, "none", handler, nobody{}, event.NewRecorder("h", "i", 64, log.NewNopLogger()), &Traffic{})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		far, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		near, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		go m.accept(newSessionConn(&slowToClose{Conn: near, takes: closes}, &Traffic{}))
		opener := NewManager(Identity{Incarnation: 2, Host: "far", Fleet: "f"}, "none", func(*Stream) {}, nobody{}, event.NewRecorder("h", "i", 64, log.NewNopLogger()), &Traffic{})
		_, err = opener.greet(context.Background(), far)
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
		before := processorTime()
		m.Close()
		Eventually(waiting.Load).WithTimeout(2 * closes).Should(BeZero())
		Expect(processorTime() - before).To(BeNumerically("<", closes/4))
	})
})

// slowToClose is a connection that goes on for a while when it is closed.
type slowToClose struct {
	net.Conn
	takes time.Duration
}

func (c *slowToClose) Close() error {
	time.Sleep(c.takes)
	return c.Conn.Close()
}

// processorTime is what this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
