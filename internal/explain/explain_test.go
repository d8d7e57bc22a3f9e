package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/failure"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}

const logs = `  1.25 front-1 level=info ts=2026-12-02T20:00:01Z host=front-1 event=609 name=server_lost request=r1 service=s server=i-9 detail="unexpected EOF runs=1"
level=info ts=2026-12-02T20:00:02.5Z host=front-1 event=214 name=request_refused request=r1 service=s server=i-9 detail="502 server_lost: a run gave no answer and there is no place for another (may have run)"
level=info ts=2026-12-02T20:00:02Z host=front-1 event=610 name=servers_changed server=i-9 detail=gone
level=info ts=2026-12-02T20:00:02Z host=front-1 event=610 name=servers_changed server=i-8 detail=gone
level=error ts=2026-12-02T20:00:00Z host=front-2 event=701 name=store_down detail="table op"
level=error ts=2026-12-02T19:00:00Z host=front-1 event=701 name=store_down detail="table op"
panic: some other text
level=warn ts=2026-12-02T20:00:00Z host=front-2 event=611 name=server_ended request=r5 service=s server=i-5 detail="fingerprint=ab12 ran=90ms"
level=warn ts=2026-12-02T20:00:00Z host=front-1 event=611 name=server_ended request=r6 service=s server=i-5 detail="fingerprint=cd34 ran=2s"
level=error ts=2026-12-02T20:00:01Z host=front-2 event=217 name=request_quarantined service=s detail="fingerprint=ab12 account=a ended: i-5 1.0s ago; in quarantine by front-2 for 0.0s"
level=info ts=2026-12-02T20:00:03Z host=front-1 event=214 name=request_refused request=r4 service=s detail="503 quarantined: the same request is in quarantine: servers ended while they ran it; this attempt was not run fingerprint=ab12 ended: i-5 3.0s ago; in quarantine by front-2 for 2.0s"
level=warn ts=2026-12-02T20:00:00Z host=front-2 event=611 name=server_ended request=r7 service=s server=i-6 detail="fingerprint=ef56 ran=90ms first=0s route=a account=x parts=f0,bad0bad0"
level=warn ts=2026-12-02T20:00:00Z host=front-2 event=611 name=server_ended request=r8 service=s server=i-7 detail="fingerprint=ef57 ran=90ms first=0s route=a account=x parts=f0,c0"
level=error ts=2026-12-02T20:00:01Z host=front-2 event=219 name=trait_quarantined service=s detail="key=trait-1 part=bad0bad0 ended: i-6 1.0s ago answers_begun=0 answers_whole=0; in quarantine by front-2 for 0.0s"
level=info ts=2026-12-02T20:00:03Z host=front-1 event=214 name=request_refused request=r9 service=s detail="503 quarantined: a part of the prompt is in quarantine: servers ended while they ran requests with it; this attempt was not run fingerprint=ab99 parts=f1,bad0bad0 part=bad0bad0 ended: i-6 3.0s ago; in quarantine by front-2 for 2.0s"
level=info ts=2026-12-02T20:00:02Z host=front-1 event=214 name=request_refused request=r2 detail="429 overload: the account is over its quota (3 waiting, 9 servers usable)"
`

var _ = Describe("explaining a request", func() {
	lines, err := Read(strings.NewReader(logs))

	It("returns its own lines and the events of its host and servers around that time", func() {
		Expect(err).NotTo(HaveOccurred())
		s, err := Find(lines, "r1")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Request).To(HaveLen(2))
		Expect(s.Request[0].Name).To(Equal("server_lost"))
		Expect(s.Host).To(ConsistOf(And(HaveField("Server", "i-9"), HaveField("Detail", "gone"))))
		Expect(s.Cause()).To(ContainSubstring("may have run"))
	})
	// An on-call engineer has only the id of a refused request. The runs that ended servers had
	// other ids, on other hosts.
	It("returns the servers that ended under the same request, and what ran on one", func() {
		s, err := Find(lines, "r4")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Cause()).To(ContainSubstring("kept from further ones"))
		Expect(s.Ends).To(HaveExactElements(
			And(HaveField("Request", "r5"), HaveField("Server", "i-5")),
			HaveField("Name", "request_quarantined"),
		))
		Expect(ServerEnd(lines, "i-5")).To(ConsistOf(HaveField("Request", "r5"), HaveField("Request", "r6")))
	})
	// No two requests with the part are alike, so no fingerprint leads from one to the others.
	It("returns the servers that ended under requests with the same part", func() {
		s, err := Find(lines, "r9")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Cause()).To(ContainSubstring("one of its prompt parts"))
		Expect(s.Ends).To(HaveExactElements(And(HaveField("Request", "r7"), HaveField("Server", "i-6")), HaveField("Name", "trait_quarantined")))
	})
	It("names the usual cause", func() {
		s, err := Find(lines, "r2")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Cause()).To(ContainSubstring("more than its limit"))
	})
	// Both say that no server had room; only one of them has waited.
	It("tells a refusal by forecast from one after a wait", func() {
		const refused = "503 overload: no server had room in time (183 waiting, 17 servers usable) waited=1ms"
		Expect(RequestHistory{Request: []Line{{Detail: refused + " forecast=1.2s room=0.4s before=83 rate=210/s"}}}.Cause()).To(ContainSubstring("expected to take the places"))
		Expect(RequestHistory{Request: []Line{{Detail: refused}}}.Cause()).To(ContainSubstring("waited its part"))
	})
	DescribeTable("names the phase that took most of the time of an answer", func(detail, phrase string) {
		s := RequestHistory{Request: []Line{{Name: "request_answered", Detail: detail}}}
		Expect(s.Cause()).To(ContainSubstring(phrase))
	},
		Entry(nil, "200 waited=1.03s first=53ms after=1.083s", "waited for a place"),
		Entry(nil, "200 waited=3ms first=900ms after=1.1s", "its server took"),
		Entry(nil, "200 waited=3ms first=90ms after=4s", "the stream itself"),
	)
	It("fails with UnknownRequest when no line names it", func() {
		_, err := Find(lines, "r3")
		Expect(failure.Is(err, failure.UnknownRequest)).To(BeTrue())
	})
})
