package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/backend"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
)

func TestBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backend")
}

// rawServer answers each request that it reads with the given text, or closes
// the connection when the text is empty. It counts the requests.
func rawServer(answers func(n int64) string) (address string, seen *atomic.Int64) {
	seen = &atomic.Int64{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				for {
					if !readRequest(r) {
						return
					}
					text := answers(seen.Add(1))
					if text == "" {
						return
					}
					_, _ = conn.Write([]byte(text))
				}
			}()
		}
	}()
	return l.Addr().String(), seen
}

// answerOnce answers one request with the given text and closes the connection.
func answerOnce(text string) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if readRequest(bufio.NewReader(conn)) {
			_, _ = conn.Write([]byte(text))
		}
		_ = conn.Close()
	}()
	return l.Addr().String()
}

func readRequest(r *bufio.Reader) bool {
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return false
		}
		if _, err := fmt.Sscanf(line, "Content-Length: %d", &length); err == nil {
			continue
		}
		if line == "\r\n" {
			_, err := r.Discard(length)
			return err == nil
		}
	}
}

func plainAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// stream returns an engine's answer with the given server-sent events.
func stream(events ...string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" + strings.Join(events, "\n\n") + "\n\n"
}

type recordingSink struct{ parts []string }

func (s *recordingSink) Begin(int, string) {}

func (s *recordingSink) Part(p backend.Part) bool {
	if p.Index != len(s.parts) {
		return false
	}
	s.parts = append(s.parts, string(p.Data))
	return true
}

var _ = Describe("a dispatch", func() {
	call := backend.Call{ID: ident.RequestID{1}, Path: "/pickup", ContentType: "application/json", Body: []byte(`{}`)}

	// net/http itself retries a request that it considers safe to repeat. If the
	// server reads a non-idempotent request from a reused connection and closes
	// it without an answer, such a retry would run the request twice.
	It("is never repeated by the transport", func() {
		address, seen := rawServer(func(n int64) string {
			if n == 1 {
				return plainAnswer("ok")
			}
			return ""
		})
		newServer, transport := backend.NewFactory()
		DeferCleanup(transport.CloseIdleConnections)
		srv := newServer(address, true)
		_, err := srv.Send(context.Background(), call, &recordingSink{})
		Expect(err).NotTo(HaveOccurred())
		_, err = srv.Send(context.Background(), call, &recordingSink{})
		Expect(failure.Is(err, failure.ServerLost)).To(BeTrue(), "a byte was written: it may have run")
		Expect(backend.NotDispatched(err)).To(BeFalse())
		Expect(seen.Load()).To(Equal(int64(2)))
	})

	// A holder that is paused while it connects must not send after its grant has
	// expired.
	It("is not dispatched if it is no longer allowed when the connection is open", func() {
		address, seen := rawServer(func(int64) string { return "" })
		newServer, _ := backend.NewFactory()
		for _, plain := range []bool{true, false} {
			late := call
			late.Allowed = func() bool { return false }
			_, err := newServer(address, plain).Send(context.Background(), late, &recordingSink{})
			Expect(backend.NotDispatched(err)).To(BeTrue())
		}
		Expect(seen.Load()).To(BeZero())
	})

	It("is provably not dispatched if the connection is refused", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		newServer, _ := backend.NewFactory()
		_, err = newServer(address, true).Send(context.Background(), call, &recordingSink{})
		Expect(backend.NotDispatched(err)).To(BeTrue())
	})
})

var _ = Describe("a model engine's stream", func() {
	id := ident.RequestID{1}
	send := func(text string) (*recordingSink, error) {
		address, _ := rawServer(func(int64) string { return text })
		newServer, _ := backend.NewFactory()
		sink := &recordingSink{}
		_, err := newServer(address, false).Send(context.Background(), backend.Call{ID: id, Path: "/v1/completions", Body: []byte(`{}`)}, sink)
		return sink, err
	}
	part := func(owner ident.RequestID, i int) string { return fmt.Sprintf("id: %s:%d\ndata: p%d", owner, i, i) }

	It("is complete with a valid end mark", func() {
		sink, err := send(stream(part(id, 0), ": waiting", part(id, 1), "event: end\ndata: {\"parts\":2}"))
		Expect(err).NotTo(HaveOccurred())
		Expect(sink.parts).To(Equal([]string{"p0", "p1"}))
	})

	// An engine or a middlebox may mix up two streams. The caller must not
	// receive a part of another caller's answer.
	DescribeTable("is refused as incomplete or mixed up", func(events ...string) {
		_, err := send(stream(events...))
		Expect(failure.Is(err, failure.ServerLost)).To(BeTrue())
	},
		Entry("cut before its end mark", part(id, 0)),
		Entry("with a part of another answer", part(id, 0), part(ident.RequestID{2}, 1), "event: end\ndata: {\"parts\":2}"),
		Entry("with a part missing", part(id, 0), part(id, 2), "event: end\ndata: {\"parts\":2}"),
		Entry("with a part twice", part(id, 0), part(id, 0), "event: end\ndata: {\"parts\":2}"),
		Entry("with an end mark that counts more", part(id, 0), "event: end\ndata: {\"parts\":2}"),
	)
})

var _ = Describe("an answer of a plain service", func() {
	// Guards against an answer that was cut off and has a checksum of ours as if it were whole.
	DescribeTable("is whole only if its framing says so",
		func(answer string, whole bool) {
			address := answerOnce(answer)
			newServer, transport := backend.NewFactory()
			DeferCleanup(transport.CloseIdleConnections)
			sink := &recordingSink{}
			_, err := newServer(address, true).Send(context.Background(), backend.Call{ID: ident.RequestID{1}, Path: "/p", Body: []byte(`{}`)}, sink)
			if whole {
				Expect(err).NotTo(HaveOccurred())
				Expect(sink.parts).To(HaveLen(1))
				return
			}
			Expect(failure.Is(err, failure.ServerLost)).To(BeTrue(), "%v", err)
			Expect(sink.parts).To(BeEmpty())
		},
		Entry("by length", plainAnswer("ok"), true),
		Entry("by chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true),
		Entry("no content", "HTTP/1.1 204 No Content\r\n\r\n", true),
		Entry("shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok", false),
		Entry("chunks without the last", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n", false),
		Entry("neither", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", false),
		Entry("by length, with status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok", false),
		Entry("by length, with status 101", "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 2\r\n\r\nok", false),
		Entry("by length, with a blank in a name", "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\nok", false),
		Entry("by a length with a blank after its name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok, and more", false),
	)
})
