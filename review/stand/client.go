package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// reply is what a client got for a request.
type answer struct {
	Status int
	Sealed bool
	Body   string
	Err    error // how the answer ended if it did not end in order
	Took   time.Duration
}

// call is one request of a client.
type call struct {
	ID       string
	Host     string // of the route
	Method   string
	Path     string
	Deadline time.Duration
	Key      string
	Body     []byte
	Header   string // further header lines
}

func (c call) head() string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nGentianflow-Attempt-Id: %s\r\nGentianflow-Deadline-Ms: %d\r\n%s", c.Method, c.Path, c.Host, c.ID, c.Deadline.Milliseconds(), c.Header)
	if c.Key != "" {
		h += "Authorization: Bearer " + c.Key + "\r\n"
	}
	return h + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(c.Body))
}

// send sends a request on a new connection and reads the answer until it ends.
func send(rec *record, address string, c call) answer {
	begun := time.Now()
	rec.add("sent", "id", c.ID, "to", address, "method", c.Method, "path", c.Path, "body", len(c.Body))
	a := exchange(address, c)
	a.Took = time.Since(begun)
	rec.add("answer", "id", c.ID, "status", a.Status, "sealed", a.Sealed, "bytes", len(a.Body), "ended", fmt.Sprint(a.Err), "took_ms", a.Took.Milliseconds())
	return a
}

func exchange(address string, c call) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{Err: err}
	}
	defer func() { _ = conn.Close() }()
	return onConn(conn, bufio.NewReader(conn), c)
}

// onConn sends a request on an open connection.
func onConn(conn net.Conn, in *bufio.Reader, c call) answer {
	_ = conn.SetDeadline(time.Now().Add(c.Deadline + time.Second))
	if _, err := io.Copy(conn, io.MultiReader(strings.NewReader(c.head()), strings.NewReader(string(c.Body)))); err != nil {
		return answer{Err: err}
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: c.Method})
	if err != nil {
		return answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{Status: resp.StatusCode, Sealed: resp.Header.Get("Gentianflow-Server-Seal") != "", Body: string(body), Err: err}
}
