package platform

import (
	"context"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// allowedFalls is how often servers may fall over in one time in which they are brittle.
func allowedFalls(servers int) float64 { return 2 + float64(servers)/10 }

// falls returns how often the site's servers have fallen over.
func (s *site) falls() (n int) {
	for _, srv := range s.servers {
		n += srv.Falls()
	}
	return n
}

// sendAndLeave sends streams to a host until stop closes; the callers leave after the given time.
func (s *site) sendAndLeave(h *host, after time.Duration, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		ctx, cancel := context.WithTimeout(context.Background(), after)
		c := appraise()
		c.Key, c.Deadline = standin.DefaultAccountKey, 8*time.Second
		s.caller.Send(ctx, h.at(entryPort), c)
		cancel()
	}
}

var _ = Describe("brittle servers", func() {
	// Servers that work on for callers who have left have less room than the scheduler knows of. While they
	// are brittle, what they must reject makes them fall over, and callers lose them for seconds.
	overload := func(n standin.Notice) (s *site, served int) {
		s = newSite(siteOptions{hosts: 3, engines: 4, apps: 1})
		for _, srv := range s.servers[:4] {
			srv.SetFault(standin.Fault{LingerAfterLeave: true})
			srv.SetNotice(n)
		}
		stop := make(chan struct{})
		var leaving sync.WaitGroup
		for _, h := range s.hosts {
			for range 8 {
				leaving.Go(func() { s.sendAndLeave(h, 60*time.Millisecond, stop) })
			}
		}
		staying := newCallers(s, 8, 10*time.Millisecond, appraise)
		time.Sleep(5 * time.Second)
		close(stop)
		leaving.Wait()
		for _, c := range staying.end() {
			if c.reply.Status == 200 && c.reply.Complete {
				served++
			}
		}
		s.checkPromises()
		return s, served
	}

	It("fall over no more often than allowed in an overload", func() {
		s, served := overload(standin.Notice{Brittle: "4"})
		Expect(float64(s.falls())).To(BeNumerically("<=", allowedFalls(4)))
		Expect(served).To(BeNumerically(">", 0))
		Eventually(func() bool {
			for _, h := range s.hosts {
				if strings.Contains(string(h.logged()), "name=server_brittle") {
					return true
				}
			}
			return false
		}).Should(BeTrue())
	})

	It("of which nothing is known fall over more often", func() {
		s, _ := overload(standin.Notice{Brittle: "4", Unstated: true})
		Expect(float64(s.falls())).To(BeNumerically(">", allowedFalls(4)))
	})
})
