package test

import (
	"net"
	"sync"
	"time"

	. "github.com/onsi/gomega"
)

// relay forwards TCP and UDP to one address. It can stop forwarding without
// closing connections, like a middlebox that has lost its connection state.
type relay struct {
	target string
	tcp    net.Listener
	udp    net.PacketConn

	mu       sync.Mutex
	blocked  map[string]bool // by source IP address; "*" is all
	conns    map[*relayedConn]bool
	udpConns map[string]net.Conn // UDP sockets by source address
}

// relayedConn is one forwarded TCP connection.
type relayedConn struct {
	sourceIP       string
	frozen         chan struct{} // closed when forwarding has stopped
	once           sync.Once
	client, server net.Conn
}

func newRelay(ip string, withUDP bool) *relay {
	r := &relay{blocked: map[string]bool{}, conns: map[*relayedConn]bool{}, udpConns: map[string]net.Conn{}}
	Eventually(func() error {
		var err error
		if r.tcp, err = net.Listen("tcp", ip+":0"); err != nil || !withUDP {
			return err
		}
		if r.udp, err = net.ListenPacket("udp", r.tcp.Addr().String()); err != nil {
			_ = r.tcp.Close()
		}
		return err
	}).Should(Succeed())
	return r
}

func (r *relay) address() string { return r.tcp.Addr().String() }

// forward starts forwarding to an address.
func (r *relay) forward(target string) {
	r.target = target
	go r.acceptTCP()
	if r.udp != nil {
		go r.forwardUDP()
	}
}

func (r *relay) isBlocked(sourceIP string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blocked["*"] || r.blocked[sourceIP]
}

func (r *relay) acceptTCP() {
	for {
		client, err := r.tcp.Accept()
		if err != nil {
			return
		}
		sourceIP, _, _ := net.SplitHostPort(client.RemoteAddr().String())
		c := &relayedConn{sourceIP: sourceIP, frozen: make(chan struct{}), client: client}
		if r.isBlocked(sourceIP) {
			c.freeze()
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.connect(c)
	}
}

func (r *relay) connect(c *relayedConn) {
	select {
	case <-c.frozen: // a new connection from a blocked address is accepted and receives nothing
		return
	default:
	}
	server, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = c.client.(*net.TCPConn).SetLinger(0)
		_ = c.client.Close()
		return
	}
	c.server = server
	go c.copy(c.client, server)
	c.copy(server, c.client)
}

func (c *relayedConn) freeze() { c.once.Do(func() { close(c.frozen) }) }

func (c *relayedConn) copy(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-c.frozen:
			return // both ends stay open
		default:
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (r *relay) forwardUDP() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.udp.ReadFrom(buf)
		if err != nil {
			return
		}
		ip, _, _ := net.SplitHostPort(from.String())
		if r.isBlocked(ip) {
			continue
		}
		if c := r.udpConn(from); c != nil {
			_, _ = c.Write(buf[:n])
		}
	}
}

func (r *relay) udpConn(from net.Addr) net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.udpConns[from.String()]; c != nil {
		return c
	}
	c, err := net.Dial("udp", r.target)
	if err != nil {
		return nil
	}
	r.udpConns[from.String()] = c
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			if _, isNetError := err.(net.Error); isNetError && n == 0 {
				if opErr, ok := err.(*net.OpError); ok && opErr.Err.Error() == "use of closed network connection" {
					return
				}
				continue
			}
			ip, _, _ := net.SplitHostPort(from.String())
			if n > 0 && !r.isBlocked(ip) {
				_, _ = r.udp.WriteTo(buf[:n], from)
			}
		}
	}()
	return c
}

// freezeOpenConns stops forwarding on the open connections and returns their
// number. New connections work.
func (r *relay) freezeOpenConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for c := range r.conns {
		c.freeze()
		n++
	}
	r.conns = map[*relayedConn]bool{}
	return n
}

// block stops forwarding for a source IP address, on open and new connections,
// until unblock.
func (r *relay) block(sourceIP string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked[sourceIP] = true
	for c := range r.conns {
		if sourceIP == "*" || c.sourceIP == sourceIP {
			c.freeze()
		}
	}
}

func (r *relay) unblock(sourceIP string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.blocked, sourceIP)
}

func (r *relay) close() {
	_ = r.tcp.Close()
	if r.udp != nil {
		_ = r.udp.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.client.Close()
		if c.server != nil {
			_ = c.server.Close()
		}
	}
	for _, c := range r.udpConns {
		_ = c.Close()
	}
}
