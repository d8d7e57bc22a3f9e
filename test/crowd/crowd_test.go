// Package crowd starts entry hosts with low limits as real processes on loopback, and sends them what clients
// outside anybody's control send: large, slow, unfinished and endless requests on many connections. It checks
// that the process lives, that its memory and descriptors stay within its limits, and that one ordinary
// request is answered afterwards. Nothing here depends on the speed of the machine, but for the length of a
// run; the package runs alone.
package crowd

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestCrowd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crowd")
}

var _ = BeforeSuite(func() {
	SetDefaultEventuallyTimeout(10 * time.Second)
	var err error
	hostProgram, err = gexec.Build("github.com/gentianflow/gentianflow/cmd/gentianhost")
	Expect(err).NotTo(HaveOccurred())
	ownProgram, err = gexec.Build("github.com/gentianflow/gentianflow/cmd/gentiand")
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// observer samples what a process uses.
type observer struct {
	session *gexec.Session
	ip      string
	stop    chan struct{}
	done    chan struct{}

	mu          sync.Mutex // guards the peaks
	memory      int        // the largest sum in MB of resident memory and bytes that were received and not read
	descriptors int        // the largest number of open files
}

// samplePeriod is the time between two samples. The kernel records the peak of the resident memory itself.
const samplePeriod = 20 * time.Millisecond

func observe(session *gexec.Session, ip string) *observer {
	o := &observer{session: session, ip: ip, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		for {
			o.sample()
			select {
			case <-o.stop:
				return
			case <-time.After(samplePeriod):
			}
		}
	}()
	return o
}

func (o *observer) sample() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if files, err := os.ReadDir(o.procFile("fd")); err == nil {
		o.descriptors = max(o.descriptors, len(files))
	}
	resident := o.status("VmRSS:")
	o.memory = max(o.memory, (resident+unreadBytes(o.ip))/1e6)
}

func (o *observer) procFile(name string) string {
	return fmt.Sprintf("/proc/%d/%s", o.session.Command.Process.Pid, name)
}

// status returns a field of the process's status in bytes, 0 once it has ended.
func (o *observer) status(field string) int {
	text, err := os.ReadFile(o.procFile("status"))
	if err != nil {
		return 0
	}
	_, value, _ := strings.Cut(string(text), field)
	fields := strings.Fields(value)
	if len(fields) == 0 {
		return 0
	}
	kb, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kb << 10
}

// unreadBytes returns how many bytes the sockets of an address have received that their process has not read.
func unreadBytes(ip string) (sum int) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	v4 := net.ParseIP(ip).To4()
	prefix := fmt.Sprintf("%02X%02X%02X%02X:", v4[3], v4[2], v4[1], v4[0])
	const listening = "0A" // their queue counts connections
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], prefix) || fields[3] == listening {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(unread, 16, 64); err == nil {
			sum += int(n)
		}
	}
	return sum
}

// end stops sampling and returns the peaks, memory in MB.
func (o *observer) end() (memory, descriptors int) {
	close(o.stop)
	<-o.done
	return max(o.memory, o.status("VmHWM:")/1e6), o.descriptors
}

// writersAtOnce is how many connections of a crowd write at the same time, and writeTimeout how long one may
// be blocked in it. A host need not read what it refuses.
const (
	writersAtOnce = 200
	writeTimeout  = 3 * time.Second
)

// client is one client of a crowd. Its errors are ignored: a host may refuse it or close its connection.
type client func(conn net.Conn, i int)

// crowd is a number of connections that stay open until leave.
type crowd struct{ conns []net.Conn }

// gather opens n connections to an address, and runs the client on each.
func gather(n int, address string, c client) *crowd {
	g := &crowd{conns: make([]net.Conn, n)}
	var writers sync.WaitGroup
	places := make(chan struct{}, writersAtOnce)
	for i := range n {
		places <- struct{}{}
		writers.Go(func() {
			defer func() { <-places }()
			conn, err := net.DialTimeout("tcp", address, writeTimeout)
			if err != nil {
				return
			}
			g.conns[i] = conn
			c(conn, i)
		})
	}
	writers.Wait()
	return g
}

func (g *crowd) leave() {
	for _, conn := range g.conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// sendAll writes the parts one after the other.
func sendAll(conn net.Conn, parts ...[]byte) bool {
	for _, p := range parts {
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(p); err != nil {
			return false
		}
	}
	return true
}

// repeat writes unit again and again, up to so many bytes.
func repeat(conn net.Conn, unit string, bytes int) {
	block := []byte(strings.Repeat(unit, 1+(16<<10)/len(unit)))
	for sent := 0; sent < bytes && sendAll(conn, block); sent += len(block) {
	}
}

// tempFile returns a path in the spec's own folder.
func tempFile(name string) string { return filepath.Join(GinkgoT().TempDir(), name) }
