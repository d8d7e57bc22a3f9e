package platform

import (
	"bytes"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/explain"
	"github.com/gentianflow/gentianflow/platform/standin"
)

// explanation finds a request in the logs of all hosts. Hosts write log lines in the
// background after the answer, so it fails through g, which lets Eventually retry.
func (s *site) explanation(g Gomega, request string) explain.RequestHistory {
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
	It("reports a server whose answers are lost", func() {
		s := newSite(siteOptions{hosts: 2, engines: 1, apps: 1})
		s.servers[1].SetFault(standin.Fault{LoseAnswer: true})
		r := s.send(s.hosts[0], confirm())
		Expect(r.Status).To(Equal(http.StatusBadGateway))
		Eventually(func(g Gomega) {
			explanation := s.explanation(g, r.Attempt)
			g.Expect(explanation.Cause()).To(ContainSubstring("may have run"))
			g.Expect(explanation.Request[0].Name).To(Equal("server_lost"))
			g.Expect(explanation.Request[0].Server).To(MatchRegexp(`^i-app0@\d+$`), "the server ID and its start time")
		}).Should(Succeed())
	})

	It("reports an exceeded quota", func() {
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
			g.Expect(s.explanation(g, refused).Cause()).To(ContainSubstring("more than its limit"))
		}).Should(Succeed())
	})

	It("reports that all servers are unreachable", func() {
		s := newSite(siteOptions{hosts: 1, engines: 1, apps: 1})
		s.servers[1].Close()
		r := s.send(s.hosts[0], confirm())
		Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
		Eventually(func(g Gomega) {
			explanation := s.explanation(g, r.Attempt)
			g.Expect(explanation.Cause()).To(Or(ContainSubstring("out of reach"), ContainSubstring("Overload")))
			g.Expect(explanation.Request[0].Name).To(Equal("server_unreachable"))
		}).Should(Succeed())
	})
})
