package test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/caller"
	"github.com/gentianflow/gentianflow/internal/callerapi"
	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// sendRaw sends text to an address over TCP and returns all bytes of the answer.
func sendRaw(address, text string) string {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

var _ = Describe("bad input", Ordered, func() {
	// Clients and peers send malformed input. Each request must get a clear typed
	// error, and requests of other clients must not be affected.
	var f *fleet
	BeforeAll(func() {
		f = newFleet(fleetOptions{hosts: 2, engines: 1, speed: 1})
		d := f.doc
		d.Rules.Limits.BodyBytes = 20000
		d.Rules.Limits.ReadTimeout = config.Duration(time.Second)
		f.apply(d)
		f.eventuallyInForce(f.version)
	})
	AfterAll(func() {
		c := f.client(modelService)
		a, err := c.Do(context.Background(), &caller.Request{Kind: "chat", Prompt: "still there?", MaxTokens: 3})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Body).NotTo(BeEmpty())
		for _, h := range f.hosts {
			Expect(h.session.ExitCode()).To(Equal(-1), "no panic")
			Expect(h.timeline(event.DutyFailed)).To(BeEmpty())
		}
	})

	DescribeTable("from callers gets a typed error",
		func(path, body string, headers map[string]string, status int, code failure.Code) {
			req, err := http.NewRequest(http.MethodPost, "http://"+f.hosts[0].callerAddr+path, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+secret)
			for k, v := range headers {
				req.Header.Set(k, v)
			}
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			var e callerapi.ErrorBody
			Expect(json.NewDecoder(resp.Body).Decode(&e)).To(Succeed())
			Expect(resp.StatusCode).To(Equal(status))
			Expect(e.Error.Code).To(Equal(code))
			outcome := failure.NotRun
			if headers[callerapi.HeaderTried] != "" {
				outcome = failure.Unknown // a resend may have run on a host that was tried before
			}
			Expect(e.Error.Outcome).To(Equal(outcome))
			Expect(e.Error.Message).NotTo(BeEmpty())
		},
		Entry("invalid JSON", "/v1/completions", "{", nil, 400, failure.BadRequest),
		Entry("wrong type", "/v1/completions", `{"model":5}`, nil, 400, failure.BadRequest),
		Entry("unknown service", "/v1/completions", `{"model":"x"}`, nil, 404, failure.UnknownService),
		Entry("a plain service in place of a model service", "/v1/completions", `{"model":"loop-app"}`, nil, 400, failure.BadRequest),
		Entry("an unknown secret", "/v1/completions", `{"model":"tsumugi-llm"}`, map[string]string{"Authorization": "Bearer wrong"}, 401, failure.Unauthenticated),
		Entry("oversized", "/v1/completions", `{"model":"tsumugi-llm","prompt":"`+strings.Repeat("x", 30000)+`"}`, nil, 413, failure.TooLarge),
		Entry("a bad id", "/v1/completions", `{"model":"tsumugi-llm"}`, map[string]string{callerapi.HeaderRequestID: "xyz"}, 400, failure.BadRequest),
		Entry("a bad kind", "/v1/completions", `{"model":"tsumugi-llm"}`, map[string]string{callerapi.HeaderKind: "poem"}, 400, failure.BadRequest),
		Entry("a bad deadline", "/v1/completions", `{"model":"tsumugi-llm"}`, map[string]string{callerapi.HeaderDeadline: "-5"}, 400, failure.BadRequest),
		Entry("bad hosts tried", "/v1/completions", `{"model":"tsumugi-llm"}`, map[string]string{callerapi.HeaderTried: "a,b"}, 400, failure.BadRequest),
		Entry("too many tokens", "/v1/completions", `{"model":"tsumugi-llm","max_tokens":99999999}`, nil, 400, failure.BadRequest),
		Entry("an unknown path", "/v1/poems", `{}`, nil, 400, failure.BadRequest),
	)

	It("that arrives too slowly is refused within the read timeout", func() {
		head := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{\"model\"", secret)
		begin := time.Now()
		Expect(sendRaw(f.hosts[0].callerAddr, head)).To(ContainSubstring("too_slow"))
		Expect(time.Since(begin)).To(BeNumerically("<", 5*time.Second))
	})

	It("with oversized headers is refused", func() {
		text := "GET /v1/lookup HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("y", 64<<10) + "\r\n\r\n"
		Expect(sendRaw(f.hosts[0].callerAddr, text)).To(ContainSubstring("431"))
	})

	// Guards against an empty success for a caller that closes only its sending side.
	DescribeTable("from a caller that closes its sending side gets no empty success",
		func(stream string) {
			conn, err := net.Dial("tcp", f.hosts[0].callerAddr)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			body := `{"model":"tsumugi-llm","prompt":"a","max_tokens":400,"stream":` + stream + `}`
			_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", secret, len(body), body)
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
			_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
			answer := bufio.NewReader(conn)
			for status := http.StatusProcessing; status < http.StatusOK; {
				resp, err := http.ReadResponse(answer, nil)
				if err != nil {
					return // the connection ended without an answer
				}
				status = resp.StatusCode
				if status == http.StatusOK {
					text, err := io.ReadAll(resp.Body)
					Expect(err != nil || len(text) > 0).To(BeTrue(), "%v", resp.Header)
				}
			}
		},
		Entry("whole", "false"),
		Entry("as a stream", "true"),
	)

	DescribeTable("on the internal port closes that connection only", func(send func(net.Conn)) {
		conn, err := net.Dial("tcp", f.hosts[0].controlAddr)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		send(conn)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = io.Copy(io.Discard, conn)
		var netErr net.Error // a reset and an orderly close both count as closed
		Expect(errors.As(err, &netErr) && netErr.Timeout()).To(BeFalse(), "the connection must be closed")
	},
		Entry("noise", func(c net.Conn) { _, _ = c.Write([]byte(strings.Repeat("\xff", 300))) }),
		Entry("a truncated handshake", func(c net.Conn) { _, _ = c.Write([]byte{20, 1}) }),
		Entry("another version", func(c net.Conn) {
			_ = wire.Write(c, &wire.Hello{Version: wire.Version + 1, Host: "old", Fleet: "test"})
		}),
		Entry("another fleet", func(c net.Conn) { _ = wire.Write(c, &wire.Hello{Version: wire.Version, Host: "x", Fleet: "other"}) }),
	)

	It("records the protocol version of a refused peer", func() {
		conn, err := net.Dial("tcp", f.hosts[1].controlAddr)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		Expect(wire.Write(conn, &wire.Hello{Version: 99, Host: "old", Fleet: "test"})).To(Succeed())
		_, _ = io.Copy(io.Discard, bufio.NewReader(conn))
		Eventually(func() []event.Event { return f.hosts[1].timeline(event.PeerRefused) }, 5*time.Second).Should(
			ContainElement(HaveField("Detail", ContainSubstring("speaks version 99"))))
	})
})
