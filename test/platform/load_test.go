package platform

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// arrivedBetween counts the requests that reached a server in a span of time.
func arrivedBetween(srv *standin.Server, from, to time.Time) (n int) {
	for _, a := range srv.Arrivals() {
		if !a.At.Before(from) && a.At.Before(to) {
			n++
		}
	}
	return n
}

var _ = Describe("a server that reports in its answers that it is slow for a time", func() {
	// The whole path: the header is read by the host that forwards the answer, reaches the home, moves
	// the placements of all hosts, and can be followed in the logs.
	It("gets few requests of any host meanwhile, and its usual ones afterwards", func() {
		const factor, period, noticed = 8, 2 * time.Second, 300 * time.Millisecond
		s := newSite(siteOptions{hosts: 5, apps: 4, largeFirst: true, policy: "live-load=1"})
		time.Sleep(3 * time.Second) // hosts that have just started do not know the home
		c := newCallers(s, 2, 20*time.Millisecond, check)
		time.Sleep(2 * time.Second)
		slow := s.servers[1]
		begun := time.Now()
		slow.Slow(factor, period)
		end := begun.Add(period)
		time.Sleep(time.Until(end.Add(2 * time.Second)))
		calls := c.end()
		perSecond := func(from, to time.Time) float64 {
			return float64(arrivedBetween(slow, from, to)) / to.Sub(from).Seconds()
		}
		before := perSecond(begun.Add(-1500*time.Millisecond), begun)
		meanwhile := perSecond(begun.Add(noticed), end)
		after := perSecond(end.Add(500*time.Millisecond), end.Add(2*time.Second))
		GinkgoWriter.Printf("requests a second at the slow server: %.0f before, %.0f while it is slow, %.0f after\n", before, meanwhile, after)
		Expect(before).To(BeNumerically(">", 20))
		Expect(meanwhile).To(BeNumerically("<", before/3))
		Expect(after).To(BeNumerically(">", before/2))
		Expect(string(s.hosts[0].session.Out.Contents())).To(MatchRegexp(`server_slowed.*%s`, slow.Spec.ID))
		Expect(string(s.hosts[1].session.Out.Contents())).To(MatchRegexp(`request_answered.* load=\d+/\d+/6/\d+ load_age=`))
		for _, call := range calls {
			Expect(call.reply.Status).To(Equal(http.StatusOK))
		}
		s.checkPromises()
	})
})
