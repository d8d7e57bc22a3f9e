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

// drainTime is how long after the store has acknowledged that a server leaves it may still get
// requests, as the settings of the hosts say.
const drainTime = 2 * time.Second

// runsAt lists when a server ran calls that were sent to some hosts.
func (s *site) runsAt(srv *standin.Server, attempts []string) (at []time.Time) {
	for _, run := range srv.Runs() {
		if slices.Contains(attempts, run.Attempt) {
			at = append(at, run.At)
		}
	}
	return at
}

// logged is how much a host has logged.
func (h *host) logged() int { return len(h.session.Out.Contents()) }

// drops waits until a host has logged, behind from, that a server leaves or is gone.
func (h *host) drops(srv *standin.Server, from int) {
	line := regexp.MustCompile("name=servers_changed [^\n]*server=" + srv.Spec.ID + "@[^\n]*detail=(gone|\"draining)")
	Eventually(func() bool { return line.Match(h.session.Out.Contents()[from:]) }).
		WithTimeout(drainTime).WithPolling(20*time.Millisecond).Should(BeTrue(), h.name+" goes on using "+srv.Spec.ID)
}

var _ = Describe("servers that leave while the store turns the home and other readers away", func() {
	// Guards against servers that get work seconds after they have left, from hosts that the
	// store answers all along.
	DescribeTable("get nothing after their time",
		func(how mode) {
			const hosts, engines = 8, 1 // more hosts than read the store for all
			s := newSite(siteOptions{hosts: hosts, engines: engines, apps: 9, large: hosts - 2, ownStores: true})
			time.Sleep(time.Second) // hosts that have just started learn who reads for whom
			inTouch := s.hosts[hosts-2:]
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
							if reply := s.send(h, check()); slices.Contains(inTouch, h) {
								attempts <- reply.Attempt
							}
						}
					}
				}()
			}
			time.Sleep(500 * time.Millisecond)
			left := map[*standin.Server]time.Time{}
			var drops sync.WaitGroup
			leaves := func(srv *standin.Server, how func(*standin.Server)) {
				for _, h := range inTouch {
					from := h.logged()
					drops.Go(func() {
						defer GinkgoRecover()
						h.drops(srv, from)
					})
				}
				how(srv)
				left[srv] = time.Now()
			}
			apps := s.servers[engines:]
			leaves(apps[0], (*standin.Server).RemoveEntry)
			leaves(apps[1], (*standin.Server).Drain)
			time.Sleep(4 * time.Second)
			for _, p := range s.proxies {
				p.set(pass)
			}
			for _, srv := range apps[2:7] { // the readers hear of the store again meanwhile
				time.Sleep(300 * time.Millisecond)
				leaves(srv, (*standin.Server).RemoveEntry)
			}
			drops.Wait()
			time.Sleep(drainTime)
			close(stop)
			var sent []string
			for len(attempts) > 0 {
				sent = append(sent, <-attempts)
			}
			Expect(len(sent)).To(BeNumerically(">", 300))
			for srv, since := range left {
				for _, at := range s.runsAt(srv, sent) {
					Expect(at.Sub(since)).To(BeNumerically("<", drainTime), srv.Spec.ID)
				}
			}
			s.keepsPromises()
		},
		Entry("when it says nothing", silent),
		Entry("when it resets connections", reset),
	)
})

var _ = Describe("servers that leave while the home and the next readers stand still", func() {
	// Guards against servers that get work after their time: the others wait for the word of
	// hosts that stand still, and dial one after the other in vain.
	It("are dropped in time by the hosts that go on", func() {
		const hosts, still, engines = 6, 3, 1
		s := newSite(siteOptions{hosts: hosts, engines: engines, apps: 4, large: still})
		time.Sleep(3 * time.Second) // hosts that have just started learn who reads for whom
		for _, h := range s.hosts[:still] {
			h.session.Signal(syscall.SIGSTOP)
		}
		for _, h := range s.hosts[:still] {
			Eventually(h.stopped).Should(BeTrue())
		}
		leaving := s.servers[engines]
		var drops sync.WaitGroup
		for _, h := range s.hosts[still:] {
			from := h.logged()
			drops.Go(func() {
				defer GinkgoRecover()
				h.drops(leaving, from)
			})
		}
		leaving.Drain()
		drops.Wait()
		for _, h := range s.hosts[:still] {
			h.session.Signal(syscall.SIGCONT)
		}
	})
})
