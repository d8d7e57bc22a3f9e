package test

import (
	"net"
	"sync"
	"time"

	. "github.com/onsi/gomega"
)

// relay carries TCP and UDP to one address and can stop carrying without
// closing anything, as a middle box does that lost track of its connections.
type relay struct {
	to  string
	tcp net.Listener
	udp net.PacketConn

	mu      sync.Mutex
	blocked map[string]bool // source IP numbers; "*" is all
	conns   map[*relayed]bool
	peers   map[string]net.Conn // UDP sockets by source address
}

// relayed is one carried connection.
type relayed struct {
	from   string
	frozen chan struct{} // closed when it carries nothing any more
	once   sync.Once
	a, b   net.Conn
}

func newRelay(ip string, withUDP bool) *relay {
	r := &relay{blocked: map[string]bool{}, conns: map[*relayed]bool{}, peers: map[string]net.Conn{}}
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

// carry starts to carry to an address.
func (r *relay) carry(to string) {
	r.to = to
	go r.acceptTCP()
	if r.udp != nil {
		go r.carryUDP()
	}
}

func (r *relay) isBlocked(from string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blocked["*"] || r.blocked[from]
}

func (r *relay) acceptTCP() {
	for {
		a, err := r.tcp.Accept()
		if err != nil {
			return
		}
		from, _, _ := net.SplitHostPort(a.RemoteAddr().String())
		c := &relayed{from: from, frozen: make(chan struct{}), a: a}
		if r.isBlocked(from) {
			c.freeze()
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.join(c)
	}
}

func (r *relay) join(c *relayed) {
	select {
	case <-c.frozen: // a blocked newcomer is accepted and hears nothing
		return
	default:
	}
	b, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil {
		_ = c.a.(*net.TCPConn).SetLinger(0)
		_ = c.a.Close()
		return
	}
	c.b = b
	go c.copy(c.a, b)
	c.copy(b, c.a)
}

func (c *relayed) freeze() { c.once.Do(func() { close(c.frozen) }) }

func (c *relayed) copy(from, to net.Conn) {
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

func (r *relay) carryUDP() {
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
		if c := r.udpPeer(from); c != nil {
			_, _ = c.Write(buf[:n])
		}
	}
}

func (r *relay) udpPeer(from net.Addr) net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.peers[from.String()]; c != nil {
		return c
	}
	c, err := net.Dial("udp", r.to)
	if err != nil {
		return nil
	}
	r.peers[from.String()] = c
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			if _, closed := err.(net.Error); closed && n == 0 {
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

// freezeOpen silences the connections of now; new ones work.
func (r *relay) freezeOpen() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for c := range r.conns {
		c.freeze()
		n++
	}
	r.conns = map[*relayed]bool{}
	return n
}

// block silences what comes from an IP number, old and new, until unblock.
func (r *relay) block(from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked[from] = true
	for c := range r.conns {
		if from == "*" || c.from == from {
			c.freeze()
		}
	}
}

func (r *relay) unblock(from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.blocked, from)
}

func (r *relay) close() {
	_ = r.tcp.Close()
	if r.udp != nil {
		_ = r.udp.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.a.Close()
		if c.b != nil {
			_ = c.b.Close()
		}
	}
	for _, c := range r.peers {
		_ = c.Close()
	}
}
