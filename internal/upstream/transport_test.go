package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a checked transport", func() {
	const whole = "Content-Length: 2\r\nConnection: close\r\n\r\nok"
	serve := func(text string) string {
		return "http://" + serveRaw(func(conn net.Conn, r *bufio.Reader, s *rawServer) {
			if s.read(r) {
				fmt.Fprint(conn, text)
			}
			_ = conn.Close()
		}).l.Addr().String()
	}
	get := func(url string, trace *httptrace.ClientTrace) (string, error) {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		Expect(err).NotTo(HaveOccurred())
		if trace != nil {
			req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
		}
		client := http.Client{Transport: CheckedTransport{&http.Transport{}}}
		defer client.CloseIdleConnections()
		resp, err := client.Do(req)
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}
	ignoreInterim := &httptrace.ClientTrace{Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil }}

	// Guards against answers of faulty servers that the readers of net/http's answers take for whole.
	DescribeTable("refuses malformed headers", func(text string) {
		url := serve(text)
		_, err := get(url, nil)
		Expect(err).To(MatchError(ContainSubstring("malformed answer")))
		_, err = get(url, ignoreInterim)
		Expect(err).To(MatchError(ContainSubstring("malformed answer")))
	},
		Entry("status 000", "HTTP/1.1 000 Trouble\r\n"+whole),
		Entry("status 099", "HTTP/1.1 099 Trouble\r\n"+whole),
		Entry("status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n"),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nX Bad: 1\r\n"+whole),
		Entry("a blank after a name", "HTTP/1.1 200 OK\r\nX-Bad : 1\r\n"+whole),
		Entry("a blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\n"+whole),
		Entry("a blank in a name of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Bad: 1\r\n\r\n"),
		Entry("version 2.0", "HTTP/2.0 200 OK\r\n"+whole),
	)

	// Guards against a trace that lifts net/http's limit of interim answers.
	It("refuses interim answers without end, unless the request has a trace that takes them", func() {
		const interim = "HTTP/1.1 102 Processing\r\n\r\n"
		url := serve(strings.Repeat(interim, 50) + "HTTP/1.1 200 OK\r\n" + whole)
		_, err := get(url, nil)
		Expect(err).To(HaveOccurred())
		var seen atomic.Int64
		body, err := get(url, &httptrace.ClientTrace{Got1xxResponse: func(int, textproto.MIMEHeader) error {
			seen.Add(1)
			return nil
		}})
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("ok"))
		Expect(seen.Load()).To(Equal(int64(50)))
	})

	It("passes on a sound answer after interim answers", func() {
		body, err := get(serve("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"+whole), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("ok"))
	})
})
