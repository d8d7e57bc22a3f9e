package platform

import (
	"bytes"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/explain"
	"github.com/gentianflow/gentianflow/platform/standin"
)

// story reads the logs of all hosts and finds a request in them. Lines are
// written in the background, a moment after the answer; g lets its caller wait.
func (s *site) story(g Gomega, request string) explain.RequestHistory {
	var text []byte
	for _, h := range s.hosts {
		text = append(text, h.session.Out.Contents()...)
	}
	lines, err := explain.Read(bytes.NewReader(text))
	g.Expect(err).NotTo(HaveOccurred())
	found, err := explain.Find(lines, request)
	g.Expect(err).NotTo(HaveOccurred())
	return found
}

var _ = Describe("explaining a failed request from the logs alone", func() {
	It("names a server whose answers are lost", func() {
		s := newSite(siteOptions{hosts: 2, engines: 1, apps: 1})
		s.servers[1].SetFault(standin.Fault{LoseAnswer: true})
		r := s.send(s.hosts[0], confirm())
		Expect(r.Status).To(Equal(http.StatusBadGateway))
		Eventually(func(g Gomega) {
			history := s.story(g, r.Attempt)
			g.Expect(history.Cause()).To(ContainSubstring("may have run"))
			g.Expect(history.Request[0].Name).To(Equal("server_lost"))
			g.Expect(history.Request[0].Server).To(MatchRegexp(`^i-app0@\d+$`), "the server and its start")
		}).Should(Succeed())
	})

	It("names a quota", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 1})
		c := appraise()
		c.Key, c.Prompt = standin.LowQuotaKey, 9000
		refused := ""
		for range 4 {
			if r := s.send(s.hosts[0], c); r.Status == http.StatusTooManyRequests {
				refused = r.Attempt
			}
		}
		Expect(refused).NotTo(BeEmpty())
		Eventually(func(g Gomega) {
			g.Expect(s.story(g, refused).Cause()).To(ContainSubstring("more than its limit"))
		}).Should(Succeed())
	})

	It("names servers that are all out of reach", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 1})
		s.servers[1].Close()
		r := s.send(s.hosts[0], confirm())
		Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
		Eventually(func(g Gomega) {
			history := s.story(g, r.Attempt)
			g.Expect(history.Cause()).To(Or(ContainSubstring("out of reach"), ContainSubstring("Overload")))
			g.Expect(history.Request[0].Name).To(Equal("server_unreachable"))
		}).Should(Succeed())
	})
})
