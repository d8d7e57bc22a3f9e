package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/routing"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// noDialect reads and writes no header fields.
type noDialect struct{ Dialect }

func (noDialect) ReadRequest(http.Header) RequestHead { return RequestHead{ID: "1"} }
func (noDialect) WriteAnswer(http.Header, string)     {}

// fakeGate refuses requests while full, and records what it was asked for.
type fakeGate struct {
	full     bool
	asked    []int64
	released int
}

func (g *fakeGate) Admit(bodyBytes int64) (func(), error) {
	g.asked = append(g.asked, bodyBytes)
	if g.full {
		return nil, failure.Retry(failure.HostFull, 100*time.Millisecond, "full")
	}
	return func() { g.released++ }, nil
}

// newGatedHandler returns a handler with one route. It has no placer, so that a request which is admitted
// must not get as far as its placement.
func newGatedHandler(gate Gate, maxBody int64) *Handler {
	var routes routing.CurrentTable
	routes.Replace(routing.NewTable(routing.Config{
		Version: 1, MaxBody: maxBody, Services: []sched.Service{{Name: "svc"}},
		Routes: []routing.Route{{Name: "r", Host: "host", Prefix: "/", Kind: routing.Safe, MaxAttempts: 2, Timeout: time.Second, LatencyTarget: time.Second, Targets: []routing.Target{{Service: "svc", Weight: 1}}}},
	}))
	return NewHandler(Dependencies{
		Routes: &routes, Dialect: noDialect{}, Gate: gate,
		Events: event.NewRecorder("h", "i", 64, log.NewNopLogger()), Meter: NewMeter(metrics.NewRegistry()),
	})
}

func newPost() *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/a", http.NoBody)
	r.Host = "host"
	return r
}

var _ = Describe("a host near its limits", func() {
	// A host without memory that reads a long body before it refuses the request runs out of memory by
	// the refusals.
	It("refuses a request before its body is sent, and closes the connection", func() {
		gate := &fakeGate{full: true}
		server := httptest.NewServer(newGatedHandler(gate, 0))
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = fmt.Fprint(conn, "POST /a HTTP/1.1\r\nHost: host\r\nContent-Length: 50000000\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get("Retry-After")).To(Equal("0.100"))
		Expect(string(body)).To(ContainSubstring(string(failure.HostFull)))
		Expect(resp.Close).To(BeTrue())
		Expect(gate.asked).To(Equal([]int64{50000000}))
	})

	// A body that is read still counts as memory to come, so that a host seems full forever.
	It("releases what it holds for a body once the body is read", func() {
		gate := &fakeGate{}
		x := &exchange{h: newGatedHandler(gate, 0), w: httptest.NewRecorder(), r: newPost(), arrived: time.Now()}
		Expect(x.admit()).To(Succeed())
		Expect(gate.released).To(Equal(1))
	})

	// A caller whose body is too long must be told that, not to come back.
	It("reserves nothing for a body that is too long to be read", func() {
		gate := &fakeGate{}
		r := newPost()
		r.ContentLength = 2000
		w := httptest.NewRecorder()
		newGatedHandler(gate, 1000).ServeHTTP(w, r)
		Expect(w.Code).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(gate.asked).To(Equal([]int64{0}))
		Expect(gate.released).To(Equal(1))
	})
})
