package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at a backend server.
type run struct {
	ID     string
	Server string
	Header http.Header
	Path   string
	At     time.Time
	Body   int64
	Ended  string // how the run ended
}

// backend is a backend server: it checks who is meant, runs a request and writes the answer.
type backend struct {
	id, service, address, zone string
	slots                      int
	store                      *store
	rec                        *record
	// answer runs a request, writes the answer, and reports how the run ended and whether the connection
	// may be used again.
	answer   func(b *backend, c net.Conn, r *http.Request) (ended string, keep bool)
	born     time.Time
	listener net.Listener

	mu       sync.Mutex
	sequence int
	state    string
	stop     chan struct{}
	stopped  bool
	runs     []*run
	rejected int // requests that expected another server
	running  int
}

// heartbeat is the time between two reports of a server to the store.
const heartbeat = 1200 * time.Millisecond

// start listens and reports to the store until end is called.
func (b *backend) start(ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	b.listener, b.address, b.born, b.state, b.stop = l, l.Addr().String(), time.Now(), "ready", make(chan struct{})
	b.report()
	go b.accept()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				b.report()
			case <-b.stop:
				return
			}
		}
	}()
	return nil
}

// report writes the server's entry, and returns when the store has accepted it.
func (b *backend) report() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped || b.store.isAway() {
		return time.Now()
	}
	b.sequence++
	return b.store.put("servers", b.id, map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": b.state, "coldRemainingMs": 0, "sequence": b.sequence, "born": b.born.UnixMilli(),
	})
}

// drain reports that the server is about to leave.
func (b *backend) drain() time.Time {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	return b.report()
}

// end removes the server's entry and stops listening.
func (b *backend) end() {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return
	}
	b.stopped = true
	b.mu.Unlock()
	close(b.stop)
	_ = b.listener.Close()
	b.store.remove("servers", b.id)
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

func (b *backend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if expected := r.Header.Get("Gentianflow-Expect-Instance"); expected != "" && expected != b.id {
			_, _ = io.Copy(io.Discard, r.Body)
			b.mu.Lock()
			b.rejected++
			b.mu.Unlock()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nGentianflow-Instance-Id: %s\r\nGentianflow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", b.id)
			continue
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		x := &run{ID: r.Header.Get("Gentianflow-Attempt-Id"), Server: b.id, Header: r.Header, Path: r.URL.Path, At: time.Now(), Body: n}
		if !b.begin(x, c, n) {
			continue
		}
		ended, keep := b.answer(b, c, r)
		b.mu.Lock()
		x.Ended = ended
		b.running--
		b.mu.Unlock()
		b.rec.add("run", "id", x.ID, "server", b.id, "path", x.Path, "body", n, "ended", ended)
		if !keep {
			return
		}
	}
}

// begin begins a run, or rejects the request if all slots are taken.
func (b *backend) begin(x *run, c net.Conn, bodyBytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running >= b.slots {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nGentianflow-Attempt-Id: %s\r\nGentianflow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", x.ID)
		return false
	}
	b.running++
	b.runs = append(b.runs, x)
	b.rec.add("begin", "id", x.ID, "server", b.id, "path", x.Path, "body", bodyBytes)
	return true
}

// allRuns returns the runs so far.
func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]run, 0, len(b.runs))
	for _, r := range b.runs {
		out = append(out, *r)
	}
	return out
}

// plainAnswer returns the behaviour of a server that works for some time and answers with a length.
func plainAnswer(work time.Duration) func(*backend, net.Conn, *http.Request) (string, bool) {
	return func(b *backend, c net.Conn, r *http.Request) (string, bool) {
		time.Sleep(work)
		body := "{\"by\":\"" + b.id + "\"}"
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nGentianflow-Attempt-Id: %s\r\nGentianflow-Server-Seal: seal.%s\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get("Gentianflow-Attempt-Id"), b.id, len(body), body)
		if err != nil {
			return "the connection was closed", false
		}
		return "answered", true
	}
}

// unframedStream returns the behaviour of a server whose streams have neither a length nor chunks: they end
// with their connection.
func unframedStream(events int, gap time.Duration) func(*backend, net.Conn, *http.Request) (string, bool) {
	return func(b *backend, c net.Conn, r *http.Request) (string, bool) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nGentianflow-Attempt-Id: %s\r\nGentianflow-Server-Seal: seal.%s\r\nConnection: close\r\n\r\n",
			r.Header.Get("Gentianflow-Attempt-Id"), b.id)
		for i := 1; i <= events; i++ {
			if _, err := io.WriteString(c, "id: "+strconv.Itoa(i)+"\ndata: piece "+strconv.Itoa(i)+" of "+strconv.Itoa(events)+"\n\n"); err != nil {
				return "the connection was closed after event " + strconv.Itoa(i-1), false
			}
			time.Sleep(gap)
		}
		return "all " + strconv.Itoa(events) + " events sent", false
	}
}

// chunkedStream returns the behaviour of a server whose streams are sent in chunks.
func chunkedStream(events int, gap time.Duration) func(*backend, net.Conn, *http.Request) (string, bool) {
	return func(b *backend, c net.Conn, r *http.Request) (string, bool) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nGentianflow-Attempt-Id: %s\r\nGentianflow-Server-Seal: seal.%s\r\nTransfer-Encoding: chunked\r\n\r\n",
			r.Header.Get("Gentianflow-Attempt-Id"), b.id)
		for i := 1; i <= events; i++ {
			time.Sleep(gap)
			event := "id: " + strconv.Itoa(i) + "\ndata: piece\n\n"
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return "the connection was closed after event " + strconv.Itoa(i-1), false
			}
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return "the connection was closed before the end", false
		}
		return "answered", true
	}
}
