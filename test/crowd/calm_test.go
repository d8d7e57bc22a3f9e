package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// answerTo writes the parts of a request, with a pause before each but the first, and returns the status of
// the answer, 0 if there is none.
func answerTo(conn net.Conn, pause time.Duration, parts ...[]byte) int {
	go func() { // an early answer ends the wait for the rest
		for i, p := range parts {
			if i > 0 {
				time.Sleep(pause)
			}
			if !sendAll(conn, p) {
				return
			}
		}
	}()
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func chunks(n, size int) []byte {
	one := fmt.Sprintf("%x\r\n%s\r\n", size, largestBody[:size])
	return append(bytes.Repeat([]byte(one), n), "0\r\n\r\n"...)
}

var _ = Describe("a single request inside the limits", Serial, func() {
	path := standin.ConfirmPath + "a"
	requests := map[string][][]byte{
		"a head of short lines":           {head(path, withLength(1), shortLines(largeHead)), endOfHead, []byte("x")},
		"a head of lines of one name":     {head(path, withLength(1), sameLines(largeHead)), endOfHead, []byte("x")},
		"a head with one long line":       {head(path, withLength(1), "Long: "+strings.Repeat("x", 15500)), endOfHead, []byte("x")},
		"the largest body":                {head(path, withLength(maxBodyBytes)), endOfHead, largestBody},
		"the largest body in 256 chunks":  {head(path, inChunks), endOfHead, chunks(256, maxBodyBytes/256)},
		"a body in 100,000 chunks":        {head(path, inChunks), endOfHead, chunks(100000, 1)},
		"a body that is expected to wait": {head(path, withLength(1), "Expect: 100-continue"), endOfHead, []byte("x")},
	}
	for name, parts := range requests {
		// Guards against limits that sound clients meet.
		It("is served: "+name, func() {
			f := newFleet(standin.HostSettings{MemoryMB: memoryMB, Descriptors: descriptors})
			conn, err := net.Dial("tcp", f.settings[0].Address(standin.EntryPort))
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			if strings.Contains(name, "wait") {
				Expect(answerTo(conn, 0, parts...)).To(Or(Equal(http.StatusContinue), Equal(http.StatusOK)))
				return
			}
			Expect(answerTo(conn, 0, parts...)).To(Equal(http.StatusOK))
		})
	}

	// Guards against a pause of a sound client that ends its request.
	It("is served when its head takes 2.4 s", func() {
		f := newFleet(standin.HostSettings{MemoryMB: memoryMB, Descriptors: descriptors})
		conn, err := net.Dial("tcp", f.settings[0].Address(standin.EntryPort))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		Expect(answerTo(conn, 600*time.Millisecond, []byte("POST "+path+" HTTP/1.1\r\n"), []byte("Host: "+standin.Host+"\r\n"),
			[]byte("Authorization: Bearer "+standin.DefaultAccountKey+"\r\n"), []byte("Content-Length: 1\r\n\r"), []byte("\nx"))).To(Equal(http.StatusOK))
	})

	// Guards against an idle connection that is closed while its client may still use it.
	It("is served on a connection that was idle for 11.5 s", func() {
		f := newFleet(standin.HostSettings{MemoryMB: memoryMB, Descriptors: descriptors})
		conn, err := net.Dial("tcp", f.settings[0].Address(standin.EntryPort))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		request := append(head(path, withLength(1)), "\r\nx"...)
		Expect(answerTo(conn, 0, request)).To(Equal(http.StatusOK))
		time.Sleep(11500 * time.Millisecond)
		Expect(answerTo(conn, 0, request)).To(Equal(http.StatusOK))
	})
})
