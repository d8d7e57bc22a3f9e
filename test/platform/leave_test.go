package platform

import (
	"regexp"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// drainTime is how long a server may still get requests after the store has acknowledged that
// it leaves. It equals the drain time in the hosts' settings.
const drainTime = 2 * time.Second

// runsAt returns the start times of the runs of the given attempts at a server.
func (s *site) runsAt(srv *standin.Server, attempts []string) (at []time.Time) {
	for _, run := range srv.Runs() {
		if slices.Contains(attempts, run.Attempt) {
			at = append(at, run.At)
		}
	}
	return at
}

// logLength returns the size of a host's log in bytes.
func (h *host) logLength() int { return len(h.session.Out.Contents()) }

// expectDropped waits until a host has logged, after offset from of its log, that a server is
// draining or gone.
func (h *host) expectDropped(srv *standin.Server, from int) {
	line := regexp.MustCompile("name=servers_changed [^\n]*server=" + srv.Spec.ID + "@[^\n]*detail=(gone|\"draining)")
	Eventually(func() bool { return line.Match(h.session.Out.Contents()[from:]) }).
		WithTimeout(drainTime).WithPolling(20*time.Millisecond).Should(BeTrue(), h.name+" still uses "+srv.Spec.ID)
}

var _ = Describe("servers that leave while the store turns the home and other readers away", func() {
	// The home and the other hosts that read the store for all cannot reach it, the remaining
	// hosts can. If the remaining hosts wait for the readers' reports, they send requests to
	// servers seconds after the servers have left.
	DescribeTable("get no requests after the drain time",
		func(how mode) {
			const hosts, engines = 8, 1 // more hosts than read the store for others
			s := newSite(siteOptions{hosts: hosts, engines: engines, apps: 9, large: hosts - 2, ownStores: true})
			time.Sleep(time.Second) // until the hosts know which of them read the store for others
			connected := s.hosts[hosts-2:]
			for _, p := range s.proxies[:hosts-2] {
				p.set(how)
			}
			stop := make(chan struct{})
			attempts := make(chan string, 10_000)
			for _, h := range s.hosts {
				go func() {
					defer GinkgoRecover()
					for {
						select {
						case <-stop:
							return
						case <-time.After(10 * time.Millisecond):
							if reply := s.send(h, check()); slices.Contains(connected, h) {
								attempts <- reply.Attempt
							}
						}
					}
				}()
			}
			time.Sleep(500 * time.Millisecond)
			leftAt := map[*standin.Server]time.Time{}
			var drops sync.WaitGroup
			leave := func(srv *standin.Server, how func(*standin.Server)) {
				for _, h := range connected {
					from := h.logLength()
					drops.Go(func() {
						defer GinkgoRecover()
						h.expectDropped(srv, from)
					})
				}
				how(srv)
				leftAt[srv] = time.Now()
			}
			apps := s.servers[engines:]
			leave(apps[0], (*standin.Server).RemoveEntry)
			leave(apps[1], (*standin.Server).Drain)
			time.Sleep(4 * time.Second)
			for _, p := range s.proxies {
				p.set(pass)
			}
			for _, srv := range apps[2:7] { // meanwhile the readers reach the store again
				time.Sleep(300 * time.Millisecond)
				leave(srv, (*standin.Server).RemoveEntry)
			}
			drops.Wait()
			time.Sleep(drainTime)
			close(stop)
			var sent []string
			for len(attempts) > 0 {
				sent = append(sent, <-attempts)
			}
			Expect(len(sent)).To(BeNumerically(">", 300))
			for srv, since := range leftAt {
				for _, at := range s.runsAt(srv, sent) {
					Expect(at.Sub(since)).To(BeNumerically("<", drainTime), srv.Spec.ID)
				}
			}
			s.checkPromises()
		},
		Entry("when it does not answer", silent),
		Entry("when it resets connections", reset),
	)
})

var _ = Describe("servers that leave while the home and the next readers stand still", func() {
	// The home and the hosts next in line to read the store are paused. If the running hosts
	// wait for reports of the paused ones and dial one after the other in vain, they send
	// requests to servers after the drain time.
	It("are dropped in time by the hosts that still run", func() {
		const hosts, paused, engines = 6, 3, 1
		s := newSite(siteOptions{hosts: hosts, engines: engines, apps: 4, large: paused})
		time.Sleep(3 * time.Second) // until the hosts know which of them read the store for others
		for _, h := range s.hosts[:paused] {
			h.session.Signal(syscall.SIGSTOP)
		}
		for _, h := range s.hosts[:paused] {
			Eventually(h.stopped).Should(BeTrue())
		}
		leaving := s.servers[engines]
		var drops sync.WaitGroup
		for _, h := range s.hosts[paused:] {
			from := h.logLength()
			drops.Go(func() {
				defer GinkgoRecover()
				h.expectDropped(leaving, from)
			})
		}
		leaving.Drain()
		drops.Wait()
		for _, h := range s.hosts[:paused] {
			h.session.Signal(syscall.SIGCONT)
		}
	})
})
