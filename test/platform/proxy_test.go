package platform

import (
	"net"
	"sync"
	"time"

	. "github.com/onsi/gomega"
)

// mode is the way a proxy treats its connections.
type mode int

const (
	pass   mode = iota // data is forwarded
	delay              // each read is forwarded after proxyDelay
	silent             // nothing is forwarded either way, connections stay open
	oneWay             // requests are forwarded, answers are not
	reset              // connections are reset, also new ones
	modeCount
)

const proxyDelay = 80 * time.Millisecond

// proxy forwards TCP connections of hosts to a server or the store. mu guards the fields
// below it.
type proxy struct {
	target string
	l      net.Listener

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	conns   map[net.Conn]bool
}

// proxy starts a proxy for the target address and returns the address of the proxy.
func (s *site) proxy(target string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{target: target, l: l, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	s.proxies = append(s.proxies, p)
	go p.serve()
	return l.Addr().String()
}

func (p *proxy) serve() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		if m, _ := p.current(); m == reset {
			abort(c)
			continue
		}
		up, err := net.Dial("tcp", p.target)
		if err != nil {
			abort(c)
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[up] = true, true
		p.mu.Unlock()
		go p.copy(up, c, false)
		go p.copy(c, up, true)
	}
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) current() (mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// copy forwards one direction of a connection according to the current mode.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() {
		abort(to)
		abort(from)
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		m, changed := p.current()
		for m == silent || m == oneWay && answers {
			<-changed
			m, changed = p.current()
		}
		if m == delay {
			time.Sleep(proxyDelay)
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			return
		}
	}
}

// set changes the mode. The mode reset also resets open connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == reset {
		for c := range p.conns {
			abort(c)
		}
	}
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.set(reset)
}
