package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an answer with a malformed head", func() {
	const end = "Content-Length: 2\r\n\r\nok"
	notLate := func(h http.Header) bool { return h.Get("X-Id") != "old" }

	// Guards against answers of faulty servers that reach callers, or whose body is not the server's.
	DescribeTable("is no answer",
		func(text string) {
			s := serveRaw(func(conn net.Conn, r *bufio.Reader, s *rawServer) {
				if s.read(r) {
					fmt.Fprint(conn, text)
				}
				_ = conn.Close()
			})
			body, _, resp, err := roundTrip(NewPool(nil), s.server(), post(""), notLate)
			Expect(err).To(HaveOccurred(), "%v %q", resp, body)
		},
		Entry("status 000", "HTTP/1.1 000 Trouble\r\n"+end),
		Entry("status 000 with an answer as its body", "HTTP/1.1 000 Trouble\r\nContent-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\n"+end),
		Entry("status 000 without a reason", "HTTP/1.1 000\r\n"+end),
		Entry("status 001", "HTTP/1.1 001 Trouble\r\n"+end),
		Entry("status 099", "HTTP/1.1 099 Trouble\r\n"+end),
		Entry("a signed status", "HTTP/1.1 +20 OK\r\n"+end),
		Entry("a status of two digits", "HTTP/1.1 20 OK\r\n"+end),
		Entry("a status of four digits", "HTTP/1.1 2000 OK\r\n"+end),
		Entry("status 101 that was not asked for", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nok"),
		Entry("status 101 without an upgrade", "HTTP/1.1 101 Switching Protocols\r\n"+end),
		Entry("an interim answer with status 000", "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n"+end),
		Entry("an interim answer with a body", "HTTP/1.1 103 Early Hints\r\nContent-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\n"+end),
		Entry("an interim answer in chunks", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n"+end),
		Entry("a blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\n"+end),
		Entry("a blank in a name of a late answer", "HTTP/1.1 200 OK\r\nX-Id: old\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"+end),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nX Bad: 1\r\n"+end),
		Entry("a blank after the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok, and more"),
		Entry("a blank after the name of the coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		Entry("a blank before the first name", "HTTP/1.1 200 OK\r\n X-Bad: 1\r\n"+end),
		Entry("a tab in a name", "HTTP/1.1 200 OK\r\nX\tBad: 1\r\n"+end),
		Entry("a tab after a name", "HTTP/1.1 200 OK\r\nX-Bad\t: 1\r\n"+end),
		Entry("a control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\n"+end),
		Entry("a zero byte in a name", "HTTP/1.1 200 OK\r\nX\x00Bad: 1\r\n"+end),
		Entry("a carriage return in a name", "HTTP/1.1 200 OK\r\nX\rBad: 1\r\n"+end),
		Entry("DEL in a name", "HTTP/1.1 200 OK\r\nX\x7fBad: 1\r\n"+end),
		Entry("a quote in a name", "HTTP/1.1 200 OK\r\nX\"Bad: 1\r\n"+end),
		Entry("a byte over 127 in a name", "HTTP/1.1 200 OK\r\nX\xe4Bad: 1\r\n"+end),
		Entry("an empty name", "HTTP/1.1 200 OK\r\n: 1\r\n"+end),
		Entry("no colon", "HTTP/1.1 200 OK\r\nX-Bad\r\n"+end),
		Entry("a control byte in a value", "HTTP/1.1 200 OK\r\nX-Bad: a\x01b\r\n"+end),
		Entry("a zero byte in a value", "HTTP/1.1 200 OK\r\nX-Bad: a\x00b\r\n"+end),
		Entry("a carriage return in a value", "HTTP/1.1 200 OK\r\nX-Bad: a\rb\r\n"+end),
		Entry("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"+end),
		Entry("a signed length", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok"),
		Entry("an unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok"),
		Entry("a doubled coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		Entry("a coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		Entry("a length and chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		Entry("version 0.9", "HTTP/0.9 200 OK\r\n"+end),
		Entry("version 2.0", "HTTP/2.0 200 OK\r\n"+end),
		Entry("version 9.9", "HTTP/9.9 200 OK\r\n"+end),
		Entry("a signed chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n"),
		Entry("a blank in a name of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Bad: 1\r\n\r\n"),
		Entry("a blank after a name of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Bad : 1\r\n\r\n"),
		Entry("a control byte in a name of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\x01Bad: 1\r\n\r\n"),
		Entry("a control byte in a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: a\x01b\r\n\r\n"),
	)

	// Guards against a check that refuses what the protocol allows.
	DescribeTable("is accepted where only its form is unusual",
		func(text string) {
			s := serveRaw(func(conn net.Conn, r *bufio.Reader, s *rawServer) {
				if s.read(r) {
					fmt.Fprint(conn, text)
				}
				_ = conn.Close()
			})
			body, _, _, err := roundTrip(NewPool(nil), s.server(), post(""), anyAnswer)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("ok"))
		},
		Entry("HTTP/1.0", "HTTP/1.0 200 OK\r\n"+end),
		Entry("a later minor version", "HTTP/1.2 200 OK\r\n"+end),
		Entry("no reason", "HTTP/1.1 200\r\n"+end),
		Entry("status 299", "HTTP/1.1 299 Unknown\r\n"+end),
		Entry("status 599", "HTTP/1.1 599 Unknown\r\n"+end),
		Entry("every byte that a name may have", "HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~09Z: 1\r\n"+end),
		Entry("blanks, tabs and bytes over 127 in a value", "HTTP/1.1 200 OK\r\nX-Text:\t a \t\xe4 : b \r\n"+end),
		Entry("an empty value", "HTTP/1.1 200 OK\r\nX-Empty:\r\n"+end),
		Entry("line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"),
		Entry("a folded value", "HTTP/1.1 200 OK\r\nX-Long: a\r\n b\r\n"+end),
		Entry("a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n"),
		Entry("interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"+end),
		Entry("an interim answer with length 0", "HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"+end),
		Entry("equal lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+end),
	)
})
