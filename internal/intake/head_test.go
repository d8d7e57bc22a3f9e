package intake

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// request is a request to /echo with what the answer must be.
type request struct{ text, answer string }

// randomRequest returns a request of any framing and size.
func randomRequest(rng *rand.Rand, number int) request {
	const names = "abcdefghijklmnopqrst"
	lines := rng.IntN(len(names))
	if rng.IntN(4) > 0 {
		lines = rng.IntN(3)
	}
	var head strings.Builder
	for i := range lines {
		fmt.Fprintf(&head, "X-%c: %s\r\n", names[i], strings.Repeat("v", rng.IntN(800)))
	}
	body := strings.Repeat("\r\n\r\nbody", rng.IntN(40))
	if rng.IntN(10) == 0 {
		body = strings.Repeat("b", rng.IntN(100000))
	}
	fields, framing := lines+2, ""
	switch rng.IntN(3) {
	case 0:
		body, fields = "", fields-1
	case 1:
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	default:
		framing, fields = "Transfer-Encoding: chunked\r\n", fields-1 // net/http takes the field out
	}
	text := fmt.Sprintf("POST /echo HTTP/1.1\r\nHost: x\r\nNumber: %d\r\n%s%s\r\n", number, head.String(), framing)
	if strings.HasPrefix(framing, "T") {
		if body != "" {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		text += "0\r\n\r\n"
	} else {
		text += body
	}
	return request{text, fmt.Sprintf("%d %d %s", number, fields, body)}
}

var _ = Describe("a head", func() {
	// Guards against a request that is lost, mixed up or never read where heads, bodies and further requests
	// arrive in pieces or behind one another.
	It("is read whatever pieces it arrives in", func() {
		s := newTestServer(Limits{Connections: 1000, Memory: 64 << 20, WithBodies: 64 << 20})
		for seed := range uint64(150) {
			rng := rand.New(rand.NewPCG(seed, 1))
			conn := s.dial()
			requests := make([]request, 1+rng.IntN(6))
			var stream strings.Builder
			for i := range requests {
				requests[i] = randomRequest(rng, i)
				stream.WriteString(requests[i].text)
			}
			go func() {
				rest, largest := stream.String(), 1+rng.IntN(6000)
				for pause := rng.IntN(3) == 0; rest != ""; {
					n := min(len(rest), 1+rng.IntN(largest))
					if _, err := io.WriteString(conn, rest[:n]); err != nil {
						return
					}
					if rest = rest[n:]; pause && len(rest) < 20000 {
						time.Sleep(time.Duration(rng.IntN(200)) * time.Microsecond)
					}
				}
			}()
			answers := bufio.NewReader(conn)
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			for i, r := range requests {
				resp, err := http.ReadResponse(answers, nil)
				Expect(err).NotTo(HaveOccurred(), "seed %d request %d of %d", seed, i, len(requests))
				body, err := io.ReadAll(resp.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(string(body) == r.answer).To(BeTrue(), "seed %d request %d: %.100q", seed, i, body)
			}
			_ = conn.Close()
			Eventually(func() Usage { return s.in.Usage() }).Should(And(HaveField("Connections", 0), HaveField("Memory", int64(0))), "seed %d", seed)
		}
	})

	// Guards against a limit of the size that a request behind another one passes by.
	It("is refused beyond the longest, also on a used connection", func() {
		s := newTestServer(Limits{Connections: 1000, Memory: 64 << 20, WithBodies: 64 << 20})
		for _, before := range []int{0, 1} {
			conn := s.dial()
			for range before {
				expectAnswer(conn)
			}
			go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nLong: "+strings.Repeat("x", 70<<10)) }()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		}
	})

	// Guards against a large request that takes all memory from small ones, and against a refusal without a
	// promise.
	It("is refused for want of memory while smaller ones are admitted", func() {
		s := newTestServer(Limits{Connections: 1000, Memory: 400 << 10, WithBodies: 400 << 10})
		conn := s.dial()
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 3000)+"\r\n")
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get("Retry-After")).To(Equal("0.100"))
		Expect(resp.Close).To(BeTrue())
		expectAnswer(s.dial())
	})

	// Guards against clients that hold all memory and send nothing more.
	It("gets the memory of clients that the server has waited for", func() {
		s := newTestServer(Limits{Connections: 1000, Memory: 1 << 20, WithBodies: 1 << 20})
		for range 60 {
			conn, err := io.WriteString(s.dial(), "GET / HTTP/1.1\r\nHost: x\r\nLong: "+strings.Repeat("x", 7000))
			Expect(err).NotTo(HaveOccurred(), "%d", conn)
		}
		Eventually(func() (int, error) {
			conn := s.dial()
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nLong: "+strings.Repeat("x", 15000)+"\r\n\r\n"); err != nil {
				return 0, err
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return 0, err
			}
			return resp.StatusCode, nil
		}).WithTimeout(4 * time.Second).Should(Equal(http.StatusOK))
	})
})
