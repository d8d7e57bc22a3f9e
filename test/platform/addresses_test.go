package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// shareOf returns the part of the entries of some look-ups that name hosts of a zone, and the number of
// different hosts that they name.
func (s *site) shareOf(zone string, asked *host) (share float64, hosts int) {
	own, entries, distinct := 0, 0, map[string]bool{}
	for range 20 {
		for _, a := range s.lookupFrom(asked, zone) {
			entries++
			distinct[a] = true
			for _, h := range s.hosts {
				if h.zone == zone && a == h.at(entryPort) {
					own++
				}
			}
		}
	}
	return float64(own) / float64(max(1, entries)), len(distinct)
}

var _ = Describe("look-ups by capacity", func() {
	// The zone of a look-up has to reach the choice, and the hosts' zones have to reach it by gossip. The
	// loss of a zone's hosts must not leave its callers without others.
	It("name the hosts of the caller's zone, and others when these are gone", func() {
		s := newSite(siteOptions{hosts: 12, engines: 1, apps: 1, byCapacity: true})
		asked, zone := s.hosts[0], s.zone(1)
		Eventually(func() float64 {
			share, _ := s.shareOf(zone, asked)
			return share
		}).Should(BeNumerically("~", 60.0/64, 0.02))
		_, hosts := s.shareOf(zone, asked)
		Expect(hosts).To(BeNumerically(">=", 8))
		for _, h := range s.hosts {
			if h.zone == zone {
				h.session.Signal(syscall.SIGKILL)
				Eventually(h.session).Should(gexec.Exit())
			}
		}
		Eventually(func() float64 {
			share, hosts := s.shareOf(zone, asked)
			Expect(hosts).To(BeNumerically(">=", 4))
			return share
		}).WithTimeout(10 * time.Second).Should(BeZero())
	})

	// Bodies that are announced at the same time fit in memory one by one, but not together. The process
	// would be killed, with all its requests.
	It("come with a refusal of bodies that would exhaust a host's memory, until there is room again", func() {
		s := newSite(siteOptions{hosts: 2, engines: 1, apps: 1, byCapacity: true})
		h := s.hosts[0]
		const bodies, bodyBytes = 160, 1 << 20 // the limit is 134 MB
		var conns []net.Conn
		refused := make(chan string, bodies)
		for range bodies {
			conn, err := net.Dial("tcp", h.at(entryPort))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = conn.Close() }) // closed below unless the spec fails
			conns = append(conns, conn)
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", standin.PublicPath, standin.Host, bodyBytes)
			Expect(err).NotTo(HaveOccurred())
			go func() {
				answer, _ := io.ReadAll(conn) // ends when the connection closes
				if len(answer) > 0 {
					refused <- string(answer)
				}
			}()
		}
		// 0.9 of the limit less what the process uses leaves room for 70 to 110 bodies.
		count := func() int { return len(refused) }
		Eventually(count).Should(BeNumerically(">=", bodies-110))
		Consistently(count).Should(BeNumerically("<=", bodies-70))
		n := count()
		GinkgoWriter.Printf("%d of %d bodies of 1 MB refused\n", n, bodies)
		for range n {
			answer := <-refused
			Expect(answer).To(HavePrefix("HTTP/1.1 503"))
			Expect(answer).To(ContainSubstring("host_full"))
			Expect(strings.ToLower(answer)).To(And(ContainSubstring("retry-after: 0.100"), ContainSubstring("connection: close")))
		}
		for _, conn := range conns {
			Expect(conn.Close()).To(Succeed())
		}
		Eventually(func() int {
			resp, err := http.Post("http://"+h.at(entryPort)+standin.PublicPath, "text/plain", strings.NewReader(strings.Repeat("x", bodyBytes/2)))
			if err != nil {
				return 0
			}
			_ = resp.Body.Close()
			return resp.StatusCode
		}).ShouldNot(Equal(http.StatusServiceUnavailable))
		Expect(h.session.ExitCode()).To(Equal(-1)) // it runs
	})
})
