package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// hostProgram is the path of the built gentianhost.
var hostProgram string

// The limits of the hosts. The platform reserves some descriptors for files.
const (
	memoryMB            = 80
	descriptors         = 700
	reservedDescriptors = 200
	metricsPort         = 7614
	peerPort            = 7600
	maxBodyBytes        = 1 << 20 // of the stand-in's configuration, as is maxHeadBytes
	maxHeadBytes        = 16 << 10
)

// fleet is two entry hosts in front of the stand-in of the platform. The crowd goes to the first one.
type fleet struct {
	store    *standin.Store
	api      *httptest.Server
	servers  []*standin.Server
	settings []standin.HostSettings
	paths    []string
	sessions []*gexec.Session
}

func newFleet(limits standin.HostSettings) *fleet {
	f := &fleet{store: standin.NewStore()}
	f.api = httptest.NewServer(f.store.Handler())
	DeferCleanup(f.stop)
	standin.NewConfig().Put(f.store)
	for i := range 2 {
		f.add(standin.ServerSpec{ID: fmt.Sprint("i-app", i), Service: standin.AppService, Slots: 6, Queue: 24, Work: 10 * time.Millisecond})
		f.add(standin.ServerSpec{ID: fmt.Sprint("i-engine", i), Service: standin.EngineService, Streams: true, Slots: 8, Queue: 8, PerEvent: 5 * time.Millisecond})
	}
	subnet := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
	for i := range 2 {
		set := limits
		set.Name, set.IP, set.Zone, set.Store = fmt.Sprint("front-", i), subnet+strconv.Itoa(i+1), "fukuoka-hall", f.api.Listener.Addr().String()
		set.Seeds = []string{subnet + "1", subnet + "2"}
		f.settings, f.paths = append(f.settings, set), append(f.paths, tempFile(set.Name))
		Expect(set.Write(f.paths[i])).To(Succeed())
		cmd := exec.Command(hostProgram, "--metrics-port", strconv.Itoa(metricsPort))
		cmd.Env = append(os.Environ(), "GENTIANFLOW_CONFIG="+f.paths[i])
		session, err := gexec.Start(cmd, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		f.sessions = append(f.sessions, session)
	}
	for i := range 2 {
		Eventually(func() int { return f.get(i, standin.ReadyPort, "/ready") }).Should(Equal(http.StatusOK))
	}
	Eventually(func() int { return f.ordinary(0).Status }).Should(Equal(http.StatusOK))
	return f
}

func (f *fleet) add(spec standin.ServerSpec) {
	spec.Zone, spec.Address = "fukuoka-hall", "127.0.0.1:0"
	server, err := standin.StartServer(f.store, spec)
	Expect(err).NotTo(HaveOccurred())
	f.servers = append(f.servers, server)
}

func (f *fleet) stop() {
	for i, s := range f.sessions {
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Printf("the last lines of host %d:\n%s\n", i, lastLines(s.Out.Contents()))
		}
		s.Kill()
		Eventually(s).Should(gexec.Exit())
	}
	for _, s := range f.servers {
		s.Close()
	}
	f.store.SetDown(true)
	f.api.Close()
}

func lastLines(out []byte) []byte { return out[max(0, len(out)-8<<10):] }

// get returns the status of a GET from a host on a new connection, 0 if there is no answer.
func (f *fleet) get(host, port int, path string) int {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := c.Get("http://" + f.settings[host].Address(port) + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// ordinary sends one request with a small body on a new connection, as ordinary clients do.
func (f *fleet) ordinary(host int) standin.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return standin.NewCaller().Send(ctx, f.settings[host].Address(standin.EntryPort), standin.Call{
		Path: standin.ConfirmPath + "a", Key: standin.DefaultAccountKey, Body: "payload", Deadline: 5 * time.Second,
	})
}

// triesOfClients is how often a client sends a request at most, each time on a new connection.
const triesOfClients = 4

// answersOrdinary sends an ordinary request until it is answered, as often as ordinary clients do.
func (f *fleet) answersOrdinary(host int) (last standin.Reply) {
	for range triesOfClients {
		if last = f.ordinary(host); last.Status == http.StatusOK && last.Complete {
			return last
		}
		time.Sleep(max(last.RetryAfter, 100*time.Millisecond))
	}
	return last
}

// expectSound checks that the first host lives and answers an ordinary request and a look-up.
func (f *fleet) expectSound(when string) {
	Expect(f.sessions[0].ExitCode()).To(Equal(-1), "%s: the process lives", when)
	last := f.answersOrdinary(0)
	Expect(last.Status).To(Equal(http.StatusOK), "%s: an ordinary request: %s %v", when, last.Body, last.Err)
	Expect(f.get(0, standin.LookupPort, "/resolve?name="+standin.Host+"&zone=fukuoka-hall")).To(Equal(http.StatusOK), "%s: a look-up", when)
	Expect(f.get(0, standin.ReadyPort, "/ready")).To(Equal(http.StatusOK), "%s: the platform's check", when)
}

// bear sends a crowd to a port of the first host, and checks that the host stays within its limits and serves
// ordinary requests while the crowd sits still and after it has left.
func (f *fleet) bear(n, port int, c client) {
	o := observe(f.sessions[0], f.settings[0].IP)
	g := gather(n, f.settings[0].Address(port), c)
	o.sample()
	f.expectSound("beside the crowd")
	o.sample()
	g.leave()
	f.expectSound("after the crowd")
	memory, open := o.end()
	GinkgoWriter.Printf("peaks: %d MB, %d descriptors\n", memory, open)
	Expect(memory).To(BeNumerically("<", f.settings[0].MemoryMB), "MB of memory and unread bytes")
	Expect(open).To(BeNumerically("<=", f.settings[0].Descriptors-reservedDescriptors), "open descriptors")
}

// head returns the head of a request without its empty last line.
func head(path, framing string, more ...string) []byte {
	lines := []string{"POST " + path + " HTTP/1.1", "Host: " + standin.Host, "Gentianflow-Deadline-Ms: 30000", framing}
	if !strings.HasPrefix(path, standin.PublicPath) {
		lines = append(lines, "Authorization: Bearer "+standin.DefaultAccountKey)
	}
	return []byte(strings.Join(append(lines, more...), "\r\n") + "\r\n")
}

func withLength(n int) string { return "Content-Length: " + strconv.Itoa(n) }

const inChunks = "Transfer-Encoding: chunked"

var (
	endOfHead   = []byte("\r\n")
	largestBody = bytes.Repeat([]byte("x"), maxBodyBytes)
	chunk64K    = []byte(fmt.Sprintf("%x\r\n%s\r\n", 64<<10, largestBody[:64<<10]))
)

// shortLines returns header lines of different names, so many bytes in all.
func shortLines(size int) string {
	var b strings.Builder
	const letters = "abcdefghijklmnopqrstuvwxyz"
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "q%c%c%c:\r\n", letters[i/676%26], letters[i/26%26], letters[i%26])
	}
	return strings.TrimSuffix(b.String(), "\r\n")
}

// sameLines returns header lines of one name, so many bytes in all.
func sameLines(size int) string {
	return strings.TrimSuffix(strings.Repeat("a:\r\n", size/4), "\r\n")
}

// largeHead is the size in bytes of the lines that a client adds to a head to come near the limit.
const largeHead = 15000

func almostWholeBody(path string) client {
	return func(conn net.Conn, i int) {
		sendAll(conn, head(path, withLength(maxBodyBytes), fmt.Sprintf("Gentianflow-Attempt-Id: c%d", i)), endOfHead, largestBody[1:])
	}
}

var crowds = map[string]struct {
	connections, port int
	client            client
}{
	"bodies that lack their last byte":                   {120, standin.EntryPort, almostWholeBody(standin.ConfirmPath + "a")},
	"bodies that lack their last byte on a public route": {120, standin.EntryPort, almostWholeBody(standin.PublicPath + "a")},
	"bodies that lack their last byte on no route":       {120, standin.EntryPort, almostWholeBody("/elsewhere/a")},
	"chunks without the last one": {120, standin.EntryPort, func(conn net.Conn, _ int) {
		if !sendAll(conn, head(standin.ConfirmPath+"a", inChunks), endOfHead) {
			return
		}
		for range maxBodyBytes/(64<<10) - 1 {
			if !sendAll(conn, chunk64K) {
				return
			}
		}
	}},
	"whole bodies at once": {160, standin.EntryPort, func(conn net.Conn, _ int) {
		sendAll(conn, head(standin.ConfirmPath+"a", withLength(maxBodyBytes)), endOfHead, largestBody)
	}},
	"whole bodies for streams": {160, standin.EntryPort, func(conn net.Conn, _ int) {
		sendAll(conn, head(standin.StreamPath+"a", withLength(maxBodyBytes), "Gentianflow-Token-Count: 1000,6000"), endOfHead, largestBody)
	}},
	"heads of short lines with half a body": {400, standin.EntryPort, func(conn net.Conn, _ int) {
		sendAll(conn, head(standin.ConfirmPath+"a", withLength(100), shortLines(largeHead)), endOfHead, largestBody[:50])
	}},
	"heads of lines of one name with half a body": {400, standin.EntryPort, func(conn net.Conn, _ int) {
		sendAll(conn, head(standin.ConfirmPath+"a", withLength(100), sameLines(largeHead)), endOfHead, largestBody[:50])
	}},
	"heads of short lines one after the other": {300, standin.EntryPort, func(conn net.Conn, _ int) {
		request := append(head(standin.ConfirmPath+"a", withLength(0), shortLines(largeHead)), endOfHead...)
		r := bufio.NewReader(conn)
		for range 20 {
			if !sendAll(conn, request) {
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(writeTimeout))
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	}},
	"requests behind a stream": {450, standin.EntryPort, func(conn net.Conn, _ int) {
		stream := append(head(standin.StreamPath+"a", withLength(0), "Gentianflow-Token-Count: 1000,6000"), endOfHead...)
		request := append(head("/elsewhere/a", withLength(0), shortLines(largeHead)), endOfHead...)
		sendAll(conn, stream, bytes.Repeat(request, 20))
	}},
	"attempt ids and parts as long as a head may be": {400, standin.EntryPort, func(conn net.Conn, i int) {
		sendAll(conn, head(standin.StreamPath+"a", withLength(100), "Gentianflow-Attempt-Id: "+strings.Repeat("i", 7000)+strconv.Itoa(i),
			"Gentianflow-Token-Count: 7000,100", "Gentianflow-Prompt-Prefix: "+strings.Repeat("a:1,", 1800)+"b:1"), endOfHead, largestBody[:100])
	}},
	"a head without end":               {200, standin.EntryPort, func(conn net.Conn, _ int) { repeatHead(conn, "name: value\r\n") }},
	"a line without end":               {200, standin.EntryPort, func(conn net.Conn, _ int) { repeatHead(conn, "x") }},
	"a request line without end":       {200, standin.EntryPort, func(conn net.Conn, _ int) { repeat(conn, "x", 256<<10) }},
	"empty lines without end":          {200, standin.EntryPort, func(conn net.Conn, _ int) { repeat(conn, "\r\n", 256<<10) }},
	"a head without end for a look-up": {200, standin.LookupPort, func(conn net.Conn, _ int) { repeatHead(conn, "name: value\r\n") }},
	"a head without end for the check": {200, standin.ReadyPort, func(conn net.Conn, _ int) { repeatHead(conn, "name: value\r\n") }},
	"a head without end for metrics":   {200, metricsPort, func(conn net.Conn, _ int) { repeatHead(conn, "name: value\r\n") }},
	"heads that are begun":             {800, standin.EntryPort, func(conn net.Conn, _ int) { sendAll(conn, head(standin.ConfirmPath+"a", withLength(10))) }},
	"heads of look-ups that are begun": {800, standin.LookupPort, func(conn net.Conn, _ int) {
		sendAll(conn, []byte("GET /resolve HTTP/1.1\r\nHost: "))
	}},
	"heads of checks that are begun": {800, standin.ReadyPort, func(conn net.Conn, _ int) {
		sendAll(conn, []byte("GET /ready HTTP/1.1\r\nHost: "))
	}},
	"look-ups with a body that does not come": {400, standin.LookupPort, func(conn net.Conn, _ int) {
		sendAll(conn, []byte("GET /resolve?name="+standin.Host+" HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"))
	}},
	"checks with a body that does not come": {400, standin.ReadyPort, func(conn net.Conn, _ int) {
		sendAll(conn, []byte("GET /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"))
	}},
	"requests on no route with a body that does not come": {400, standin.EntryPort, func(conn net.Conn, _ int) {
		sendAll(conn, head("/elsewhere/a", withLength(100)), endOfHead, []byte("half"))
	}},
	"silent connections at the port between hosts": {800, peerPort, func(net.Conn, int) {}},
	"a long frame at the port between hosts": {200, peerPort, func(conn net.Conn, _ int) {
		sendAll(conn, []byte{0xff, 0xff, 0xff, 0x7f}, largestBody)
	}},
	"connections without a request": {800, standin.EntryPort, func(net.Conn, int) {}},
	"connections idle after a request": {800, standin.EntryPort, func(conn net.Conn, _ int) {
		request := bytes.Replace(head(standin.CheckPath+"a", withLength(0)), []byte("POST"), []byte("GET"), 1)
		if sendAll(conn, request, endOfHead) {
			_ = conn.SetReadDeadline(time.Now().Add(writeTimeout))
			_, _ = conn.Read(make([]byte, 1024))
		}
	}},
}

// repeatHead begins a request and goes on with unit.
func repeatHead(conn net.Conn, unit string) {
	if sendAll(conn, head(standin.ConfirmPath+"a", withLength(10))) {
		repeat(conn, unit, 1<<20)
	}
}

var _ = Describe("a crowd of clients that do not behave", Serial, func() {
	limits := standin.HostSettings{MemoryMB: memoryMB, Descriptors: descriptors}
	for name, c := range crowds {
		// Guards against a host whose memory or descriptors clients use up.
		It("does not exhaust a host: "+name, func() {
			newFleet(limits).bear(c.connections, c.port, c.client)
		})
	}

	// Guards against limits that are read only when the process starts.
	It("does not exhaust a host whose limits were lowered while it runs", func() {
		f := newFleet(standin.HostSettings{})
		f.settings[0].MemoryMB, f.settings[0].Descriptors = memoryMB, descriptors
		Expect(f.settings[0].Write(f.paths[0])).To(Succeed())
		f.sessions[0].Signal(syscall.SIGHUP)
		Eventually(f.sessions[0].Out.Contents).Should(ContainSubstring("settings_read"))
		f.bear(900, standin.EntryPort, func(conn net.Conn, i int) {
			if i < 120 {
				almostWholeBody(standin.ConfirmPath+"a")(conn, i)
			}
		})
	})
})
