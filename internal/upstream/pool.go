package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server identifies an incarnation of a backend server and its address.
type Server struct {
	ID      string
	Address string
}

const (
	// defaultIdleTimeout is how long an idle connection is kept if the server announces no
	// timeout. idleTimeoutMargin is subtracted from an announced timeout.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = 500 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 8
)

// Pool keeps idle connections to backend servers and bounds their number. The number of
// connections in use is bounded by the placements that the scheduler grants. mu guards
// idle.
type Pool struct {
	connect DialFunc
	mu      sync.Mutex
	idle    map[Server][]*Conn
}

// DialFunc opens a connection to the address of a server. It returns errors of package net.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewPool returns an empty pool. A nil connect dials over TCP.
func NewPool(connect DialFunc) *Pool {
	if connect == nil {
		connect = connectTCP
	}
	return &Pool{connect: connect, idle: map[Server][]*Conn{}}
}

// TakeIdle returns the newest idle connection to a server without pending input, nil if there is none.
//
// Servers sometimes close idle connections earlier than announced. This is detected before
// a request is sent, except during the millisecond while the close is in transit. An idle
// limit of 1 s for requests that may not be retried does not help: for 3,800 requests under
// heavy load it opened 1,850 connections instead of 1,360 and lost as many requests.
func (p *Pool) TakeIdle(s Server) *Conn {
	for {
		c := p.take(s)
		if c == nil {
			return nil
		}
		if c.noPendingInput() {
			c.reused = true
			return c
		}
		c.Close()
	}
}

// Dial opens a connection to the address of a server. It returns errors of package net; nothing was
// sent.
func (p *Pool) Dial(ctx context.Context, address string) (net.Conn, error) {
	return p.connect(ctx, address)
}

// NewConn returns the Conn of a new connection to a server.
func (p *Pool) NewConn(conn net.Conn, s Server) *Conn {
	in := &boundedReader{conn: conn}
	return &Conn{net: conn, in: in, r: bufio.NewReaderSize(in, readBufferBytes), pool: p, server: s}
}

// NewTunnel returns the Conn of a connection that is carried by another host. It serves one request,
// since the other end may close it unnoticed while it is idle.
func (p *Pool) NewTunnel(conn net.Conn, s Server) *Conn {
	c := p.NewConn(conn, s)
	c.singleUse = true
	return c
}

func (p *Pool) take(s Server) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[s]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[s] = list[:len(list)-1]
	return c
}

// put keeps an idle connection for the duration keepFor.
func (p *Pool) put(c *Conn, keepFor time.Duration) {
	c.idleSince = time.Now()
	p.mu.Lock()
	discard := len(p.idle[c.server]) >= maxIdlePerServer || keepFor <= 0
	if !discard {
		p.idle[c.server] = append(p.idle[c.server], c)
	}
	p.mu.Unlock()
	if discard {
		c.Close()
		return
	}
	time.AfterFunc(keepFor, func() { p.expire(c, keepFor) })
}

// CloseIdle closes the idle connections to a server. It is used when one of them broke
// before any answer arrived, since the others are as likely to be dead.
func (p *Pool) CloseIdle(s Server) { p.Retain(func(have Server) bool { return have != s }) }

// expire closes c if it is still in the pool and has been idle for keepFor.
func (p *Pool) expire(c *Conn, keepFor time.Duration) {
	p.mu.Lock()
	list := p.idle[c.server]
	found := false
	for i, have := range list {
		if have == c && time.Since(c.idleSince) >= keepFor {
			p.idle[c.server] = append(list[:i], list[i+1:]...)
			found = true
			break
		}
	}
	p.mu.Unlock()
	if found {
		c.Close()
	}
}

// Retain closes the idle connections to servers that wanted rejects.
func (p *Pool) Retain(wanted func(Server) bool) {
	var drop []*Conn
	p.mu.Lock()
	for s, list := range p.idle {
		if !wanted(s) {
			drop = append(drop, list...)
			delete(p.idle, s)
		}
	}
	p.mu.Unlock()
	for _, c := range drop {
		c.Close()
	}
}

// keepAliveTimeout returns how long to keep an idle connection, from the Keep-Alive field.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			return defaultIdleTimeout
		}
		return time.Duration(seconds)*time.Second - idleTimeoutMargin
	}
	return defaultIdleTimeout
}

func appendInt(b []byte, n int) []byte { return strconv.AppendInt(b, int64(n), 10) }
