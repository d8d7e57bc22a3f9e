package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is one client attempt.
type call struct {
	method, path string
	key          string
	tokens       string // Gentianflow-Token-Count, for streams
	deadline     time.Duration
	body         string
}

// reply is what came of a client attempt.
type reply struct {
	attempt string
	status  int // 0: no answer
	seal    string
	body    string
	err     error // the connection ended early, or nothing came in time
	sent    time.Time
	ended   time.Time
}

var lastAttempt atomic.Int64

func newAttempt() string { return fmt.Sprintf("%016x", lastAttempt.Add(1)) }

// client keeps one connection to each host, as long as the host does. It repeats nothing by itself.
type client struct {
	record *record
	conns  map[string]*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func newClient(r *record) *client { return &client{record: r, conns: map[string]*clientConn{}} }

func (c *client) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// connect returns the kept connection to a host, or a new one.
func (c *client) connect(address string) (*clientConn, error) {
	if conn := c.conns[address]; conn != nil {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := conn.in.Peek(1)
		if n, ok := err.(net.Error); ok && n.Timeout() {
			return conn, nil
		}
		_ = conn.Close() // the host has closed it
		delete(c.conns, address)
	}
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	conn := &clientConn{Conn: raw, in: bufio.NewReader(raw)}
	c.conns[address] = conn
	return conn, nil
}

// send sends one attempt and waits for its end.
func (c *client) send(address string, what call) reply {
	r := reply{attempt: newAttempt(), sent: time.Now()}
	conn, err := c.connect(address)
	if err != nil {
		r.err, r.ended = err, time.Now()
		c.record.add("client: %s %s to %s: no connection: %v", r.attempt, what.path, address, err)
		return r
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nGentianflow-Attempt-Id: %s\r\nGentianflow-Deadline-Ms: %d\r\n", what.method, what.path, siteHost, r.attempt, what.deadline.Milliseconds())
	if what.key != "" {
		fmt.Fprintf(&head, "Authorization: Bearer %s\r\n", what.key)
	}
	if what.tokens != "" {
		prompt, _, _ := strings.Cut(what.tokens, ",")
		fmt.Fprintf(&head, "Gentianflow-Model: m\r\nGentianflow-Token-Count: %s\r\nGentianflow-Prompt-Prefix: %s:%s\r\n", what.tokens, r.attempt, prompt)
	}
	if what.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(what.body))
	}
	c.record.add("client: sends %s %s %s to %s", r.attempt, what.method, what.path, address)
	_ = conn.SetDeadline(time.Now().Add(what.deadline + time.Second))
	keep := c.exchange(conn, head.String()+"\r\n"+what.body, what.method, &r)
	r.ended = time.Now()
	if !keep {
		_ = conn.Close()
		delete(c.conns, address)
	}
	if r.err != nil {
		c.record.add("client: %s ends after %d ms without a whole answer (status %d, %d bytes of body): %v", r.attempt, r.ended.Sub(r.sent).Milliseconds(), r.status, len(r.body), r.err)
	} else {
		c.record.add("client: %s is answered %d after %d ms (seal %q, %d bytes of body)", r.attempt, r.status, r.ended.Sub(r.sent).Milliseconds(), r.seal, len(r.body))
	}
	return r
}

func (c *client) exchange(conn *clientConn, text, method string, r *reply) (keep bool) {
	if _, r.err = io.WriteString(conn, text); r.err != nil {
		return false
	}
	resp, err := http.ReadResponse(conn.in, &http.Request{Method: method})
	if err != nil {
		r.err = err
		return false
	}
	r.status, r.seal = resp.StatusCode, resp.Header.Get("Gentianflow-Server-Seal")
	body, err := io.ReadAll(resp.Body)
	r.body, r.err = string(body), err
	return err == nil && !resp.Close
}
