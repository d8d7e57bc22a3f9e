package tunnel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/reach"
	"github.com/gentianflow/gentianflow/internal/upstream"
	"github.com/gentianflow/gentianflow/internal/wire"
)

func TestTunnel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tunnel")
}

type nopObserver struct{}

func (nopObserver) ProveDead(ident.Incarnation, string) {}
func (nopObserver) SessionEnded(ident.Incarnation)      {}

// carrier is a host that carries tunnels.
type carrier struct {
	host   Host
	peers  *peer.Manager
	server *Server
	asked  atomic.Int64

	unusable, isolated atomic.Bool // it knows its path to be lost, it reaches no server
	dialError          atomic.Pointer[error]
	silent             atomic.Bool // it accepts streams and never replies
	lost               atomic.Int64
}

// Connect implements Paths.
func (c *carrier) Connect(ctx context.Context, s upstream.Server) (net.Conn, error) {
	if err := c.dialError.Load(); err != nil {
		return nil, *err
	}
	return new(net.Dialer).DialContext(ctx, "tcp", s.Address)
}

// Usable implements Paths.
func (c *carrier) Usable(string) bool { return !c.unusable.Load() }

// ReachesOthers implements Paths.
func (c *carrier) ReachesOthers(context.Context, upstream.Server, time.Time) bool {
	return !c.isolated.Load()
}

// Lose implements Paths.
func (c *carrier) Lose(upstream.Server) { c.lost.Add(1) }

func (c *carrier) failsWith(err error) { c.dialError.Store(&err) }

func startCarrier(inc ident.Incarnation, zone string) *carrier {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	c := &carrier{host: Host{Name: "carrier-" + inc.String(), Zone: zone, Target: peer.Target{Address: l.Addr().String(), Incarnation: inc}}}
	c.server = NewServer(c, func(id, _ string) bool { return id != "unlisted" }, metrics.NewRegistry())
	c.peers = newManager(inc, l.Addr().String(), func(st *peer.Stream) {
		c.asked.Add(1)
		if c.silent.Load() {
			return
		}
		c.server.Serve(st)
	})
	go c.peers.Serve(l)
	DeferCleanup(func() {
		_ = l.Close()
		c.peers.Close()
	})
	return c
}

func newManager(inc ident.Incarnation, address string, handle peer.Handler) *peer.Manager {
	events := event.NewRecorder("h", inc.String(), 64, log.NewNopLogger())
	return peer.NewManager(peer.Identity{Incarnation: inc, Host: "h", Fleet: "f"}, address, handle, nopObserver{}, events, &peer.Traffic{})
}

// fixedHosts implements Hosts.
type fixedHosts []*carrier

func (f fixedHosts) Sample(int) (out []Host) {
	for _, c := range f {
		out = append(out, c.host)
	}
	return out
}
func (fixedHosts) ServerZone(string) string { return "z" }
func (fixedHosts) Zone() string             { return "z" }

func newTestOpener(carriers ...*carrier) *Opener {
	m := newManager(1, "127.0.0.1:1", func(*peer.Stream) {})
	DeferCleanup(m.Close)
	return NewOpener(m, fixedHosts(carriers))
}

// listen runs a server that handles each connection.
func listen(handle func(net.Conn)) upstream.Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return upstream.Server{ID: "s", Address: l.Addr().String()}
}

func echo(c net.Conn) {
	_, _ = io.Copy(c, c)
	_ = c.Close()
}

func request(s upstream.Server) reach.TunnelRequest {
	return reach.TunnelRequest{Server: s, Timeout: 200 * time.Millisecond}
}

func open(o *Opener, s upstream.Server) net.Conn {
	conn, _, t := o.Open(context.Background(), request(s))
	Expect(t.Reached).To(BeTrue())
	Expect(conn).NotTo(BeNil())
	return conn
}

var _ = Describe("a tunnel", func() {
	It("carries bytes both ways", func() {
		conn := open(newTestOpener(startCarrier(2, "z")), listen(echo))
		text := strings.Repeat("0123456789", 100_000)
		go func() { _, _ = io.WriteString(conn, text) }()
		got := make([]byte, len(text))
		_, err := io.ReadFull(conn, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(text))
	})

	It("ends where the server closes the connection", func() {
		conn := open(newTestOpener(startCarrier(2, "z")), listen(func(c net.Conn) {
			_, _ = io.WriteString(c, "whole")
			_ = c.Close()
		}))
		got, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal("whole"))
	})

	// An answer without a length ends with its connection, so one that was reset on the way would look
	// complete.
	It("fails where the server resets the connection", func() {
		conn := open(newTestOpener(startCarrier(2, "z")), listen(func(c net.Conn) {
			_, _ = io.WriteString(c, "part")
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}))
		got, err := io.ReadAll(conn)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(string(got)).To(Equal("part"))
	})

	// Guards against a reset that only the write of the request reports, after which the read ends in order.
	DescribeTable("fails where the server resets the connection during an upload",
		func(after time.Duration) {
			o := newTestOpener(startCarrier(2, "z"))
			s := listen(func(c net.Conn) {
				_, _ = c.Read(make([]byte, 4096))
				_, _ = io.WriteString(c, "part")
				time.Sleep(after)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			})
			for range 50 {
				conn := open(o, s)
				go func() { _, _ = conn.Write(make([]byte, 8<<20)) }()
				_, err := io.ReadAll(conn)
				_ = conn.Close()
				Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			}
		},
		Entry("at once", time.Duration(0)),
		Entry("after a millisecond", time.Millisecond),
	)

	It("ends where the server closes its sending side during an upload", func() {
		received := make(chan int64, 1)
		conn := open(newTestOpener(startCarrier(2, "z")), listen(func(c net.Conn) {
			_, _ = io.WriteString(c, "whole")
			_ = c.(*net.TCPConn).CloseWrite()
			n, _ := io.CopyN(io.Discard, c, 8<<20)
			received <- n
		}))
		go func() { _, _ = conn.Write(make([]byte, 8<<20)) }()
		got, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal("whole"))
		Eventually(received).Should(Receive(Equal(int64(8 << 20))))
	})

	It("fails where the host that carries it ends", func() {
		carrier := startCarrier(2, "z")
		conn := open(newTestOpener(carrier), listen(func(net.Conn) {}))
		time.AfterFunc(50*time.Millisecond, carrier.peers.Close)
		_, err := io.ReadAll(conn)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	// A server works on for a caller that has left until its connection closes.
	It("closes the connection to the server when it is closed, and frees its slot", func() {
		closed := make(chan struct{})
		carrier := startCarrier(2, "z")
		o := newTestOpener(carrier)
		conn := open(o, listen(func(c net.Conn) {
			_, _ = io.Copy(io.Discard, c)
			close(closed)
		}))
		Expect([]int{o.Active(), carrier.server.Active()}).To(Equal([]int{1, 1}))
		Expect(conn.Close()).To(Succeed())
		Eventually(closed).WithTimeout(500 * time.Millisecond).Should(BeClosed())
		Expect(o.Active()).To(BeZero())
		Eventually(carrier.server.Active).Should(BeZero())
	})

	// A host that shuts down would cut off the answers that it carries for others.
	It("is waited for by the host that carries it, as long as that may", func() {
		carrier := startCarrier(2, "z")
		conn := open(newTestOpener(carrier), listen(echo))
		wait := func(limit time.Duration) time.Duration {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			begin := time.Now()
			carrier.server.Wait(ctx)
			return time.Since(begin)
		}
		Expect(wait(100 * time.Millisecond)).To(BeNumerically(">=", 100*time.Millisecond))
		time.AfterFunc(100*time.Millisecond, func() { _ = conn.Close() })
		Expect(wait(10 * time.Second)).To(BeNumerically("<", 2*time.Second))
	})

	It("is closed under a pending read", func() {
		conn := open(newTestOpener(startCarrier(2, "z")), listen(func(net.Conn) {}))
		time.AfterFunc(50*time.Millisecond, func() { _ = conn.Close() })
		begin := time.Now()
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
	})

	// A server or caller that does not read must not fill the memory of the hosts between.
	It("stops the sender while the other end does not read", func() {
		conn := open(newTestOpener(startCarrier(2, "z")), listen(func(c net.Conn) { _ = c.(*net.TCPConn).SetReadBuffer(4096) }))
		Expect(conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))).To(Succeed())
		n, err := conn.Write(make([]byte, 64<<20))
		Expect(err).To(HaveOccurred())
		Expect(n).To(BeNumerically("<", 8<<20))
	})

	It("passes events on as they come", func() {
		next := make(chan string)
		conn := open(newTestOpener(startCarrier(2, "z")), listen(func(c net.Conn) {
			for text := range next {
				_, _ = io.WriteString(c, text)
			}
		}))
		buf := make([]byte, 64)
		for _, text := range []string{"data: 1\n\n", "data: 2\n\n"} {
			next <- text
			Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			n, err := conn.Read(buf)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(buf[:n])).To(Equal(text))
		}
		close(next)
	})
})

var _ = Describe("the hosts that are asked for a tunnel", func() {
	unreachable := error(&net.OpError{Op: "dial", Err: errors.New("i/o timeout")})

	It("open no connection to an address that is not in the list of servers", func() {
		carrier := startCarrier(2, "z")
		s := listen(echo)
		s.ID = "unlisted"
		conn, _, t := newTestOpener(carrier).Open(context.Background(), request(s))
		Expect(conn).To(BeNil())
		Expect(t).To(Equal(reach.PeerResults{Asked: 1}))
	})

	It("confirm no failure if they reach no server themselves, and learn that they don't", func() {
		carrier := startCarrier(2, "z")
		carrier.failsWith(unreachable)
		carrier.isolated.Store(true)
		_, _, t := newTestOpener(carrier).Open(context.Background(), request(listen(echo)))
		Expect(t).To(Equal(reach.PeerResults{Asked: 1}))
		Expect(carrier.lost.Load()).To(Equal(int64(1)))
	})

	// A circle of hosts without paths would carry a request round and round.
	It("don't pass the request on if their own path is lost", func() {
		carrier := startCarrier(2, "z")
		carrier.unusable.Store(true)
		conn, _, t := newTestOpener(carrier).Open(context.Background(), request(listen(echo)))
		Expect(conn).To(BeNil())
		Expect(t).To(Equal(reach.PeerResults{Asked: 1}))
	})

	DescribeTable("confirm the failure of a server that two of them don't reach",
		func(err error, expected reach.PeerResults) {
			var carriers []*carrier
			for i := range 4 {
				c := startCarrier(ident.Incarnation(i+2), "z")
				c.failsWith(err)
				carriers = append(carriers, c)
			}
			_, _, t := newTestOpener(carriers...).Open(context.Background(), request(listen(echo)))
			Expect(t.Refused).To(Equal(expected.Refused))
			Expect(t.Unreachable).To(Equal(expected.Unreachable))
			Expect(t.Reached).To(BeFalse())
		},
		Entry("it refuses", syscall.ECONNREFUSED, reach.PeerResults{Refused: 2}),
		Entry("it does not answer", unreachable, reach.PeerResults{Unreachable: 2}),
	)

	It("are asked in turn until one has a path", func() {
		cut, busy, has := startCarrier(2, "z"), startCarrier(3, "z"), startCarrier(4, "z")
		cut.unusable.Store(true)
		for range maxServed {
			busy.server.slots <- struct{}{}
		}
		conn, via, _ := newTestOpener(cut, busy, has).Open(context.Background(), request(listen(echo)))
		Expect(conn).NotTo(BeNil())
		Expect(via).To(Equal(has.host.Name))
	})

	It("are not waited for if they don't reply", func() {
		frozen, has := startCarrier(2, "z"), startCarrier(3, "z")
		frozen.silent.Store(true)
		begin := time.Now()
		_, via, _ := newTestOpener(frozen, has).Open(context.Background(), request(listen(echo)))
		Expect(via).To(Equal(has.host.Name))
		Expect(time.Since(begin)).To(BeNumerically("<", nextHostDelay+80*time.Millisecond))
	})

	It("are asked after the others for a while if they could not carry one", func() {
		cut, has := startCarrier(2, "z"), startCarrier(3, "z")
		cut.unusable.Store(true)
		o, s := newTestOpener(cut, has), listen(echo)
		open(o, s)
		before := cut.asked.Load()
		for range 5 {
			open(o, s)
		}
		Expect(cut.asked.Load()).To(Equal(before))
	})

	It("share the tunnels, and those in a zone of this host or of the server come first", func() {
		near, alike, far := startCarrier(2, "z"), startCarrier(3, "z"), startCarrier(4, "far")
		o, s := newTestOpener(near, alike, far), listen(echo)
		for range 6 {
			open(o, s)
		}
		Expect([]int64{near.asked.Load(), alike.asked.Load(), far.asked.Load()}).To(Equal([]int64{3, 3, 0}))
	})

	It("stay bounded however many there are", func() {
		var carriers []*carrier
		for i := range 12 {
			c := startCarrier(ident.Incarnation(i+2), "z")
			c.unusable.Store(true)
			carriers = append(carriers, c)
		}
		_, _, t := newTestOpener(carriers...).Open(context.Background(), request(listen(echo)))
		Expect(t.Asked).To(Equal(maxAsked))
	})

	It("answer a check without carrying anything", func() {
		carrier := startCarrier(2, "z")
		r := request(listen(echo))
		r.Check = true
		conn, via, t := newTestOpener(carrier).Open(context.Background(), r)
		Expect(conn).To(BeNil())
		Expect(via).NotTo(BeEmpty())
		Expect(t.Reached).To(BeTrue())
		Eventually(carrier.server.Active).Should(BeZero())
	})
})

var _ = Describe("a tunnel request that cannot be read", func() {
	DescribeTable("ends the stream",
		func(request []byte) {
			carrier := startCarrier(2, "z")
			m := newManager(1, "127.0.0.1:1", func(*peer.Stream) {})
			DeferCleanup(m.Close)
			st, err := m.OpenStream(context.Background(), carrier.host.Target, wire.StreamKind_STREAM_TUNNEL, "")
			Expect(err).NotTo(HaveOccurred())
			_, err = st.Write(request)
			Expect(err).NotTo(HaveOccurred())
			_ = st.SetReadDeadline(time.Now().Add(2 * requestTimeout))
			_, err = io.Copy(io.Discard, st.Reader)
			Expect(err).NotTo(HaveOccurred())
			Expect(carrier.server.Active()).To(BeZero())
		},
		Entry("no message", bytes.Repeat([]byte{0xff}, 64)),
		Entry("nothing at all", []byte{}),
	)
})
