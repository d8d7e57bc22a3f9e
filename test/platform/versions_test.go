package platform

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform"
	"github.com/gentianflow/gentianflow/platform/standin"
)

// takenUp is a stream that its caller takes up at other hosts until it is whole.
type takenUp struct {
	attempts []standin.Reply
	body     string // events of all attempts, joined
	whole    bool
}

const eventEnd = "\n\n"

// takeUp sends a call and, where its answer breaks off, takes the stream up at the next host, up to
// maxAttempts attempts.
func (s *site) takeUp(c standin.Call, hosts []*host, maxAttempts int) takenUp {
	var t takenUp
	first := ""
	for i := range maxAttempts {
		c.Header = nil
		if first != "" {
			c.Header = map[string]string{"Last-Event-Id": fmt.Sprint(strings.Count(t.body, eventEnd)), "Resumes": first}
		}
		r := s.send(hosts[i%len(hosts)], c)
		t.attempts = append(t.attempts, r)
		switch {
		case r.Status == http.StatusOK:
			body := r.Body[:strings.LastIndex(r.Body, eventEnd)+len(eventEnd)*min(1, strings.Count(r.Body, eventEnd))]
			if first == "" && body != "" {
				first = r.Attempt
			}
			t.body += body
			if r.Complete {
				t.whole = true
				return t
			}
		case r.RetryAfter > 0:
			time.Sleep(min(r.RetryAfter, 300*time.Millisecond))
		}
	}
	return t
}

// versions returns the versions of the servers that sent events of the stream.
func (s *site) versions(t takenUp) map[string]bool {
	versions := map[string]bool{}
	for _, r := range t.attempts {
		for _, run := range s.runsOf(r.Attempt) {
			if run.Events > 0 {
				versions[run.Version] = true
			}
		}
	}
	return versions
}

// versionSite is a site with engines of two versions without an order. Engines break off every third stream
// after three events.
func versionSite(o siteOptions) *site {
	o.engines, o.apps = 5, 1
	o.engine.PerEvent, o.engine.Slots = 20*time.Millisecond, 8
	s := newSite(o)
	for i := range 4 {
		s.addServer(standin.ServerSpec{
			ID: fmt.Sprintf("i-new%d", i), Service: standin.EngineService, Streams: true, Zone: s.zone(i), Address: "127.0.0.1:0",
			Version: "v1.1", Slots: o.engine.Slots, Queue: 8, PerEvent: o.engine.PerEvent,
		})
	}
	// More than half of the old servers leave, so that the new ones get requests.
	for i := range 3 {
		s.servers[i].Drain()
		time.Sleep(200 * time.Millisecond)
	}
	for _, srv := range s.servers {
		srv.SetFault(standin.Fault{CutAfter: 3, CutEvery: 3})
	}
	// Until new streams begin at both versions.
	Eventually(func() map[string]bool {
		versions := map[string]bool{}
		for _, t := range s.streamAll(40, func(i int) []*host { return rotated(s.hosts, i) }, func() {}) {
			for _, run := range s.runsOf(t.attempts[0].Attempt) {
				versions[run.Version] = true
			}
		}
		return versions
	}).Should(HaveLen(2))
	return s
}

// maxMixed is the number of streams with events of two versions that the platform's rule allows.
const maxMixed = 2

// checkVersions checks that streams stay at the version that began them, and that of those that were taken
// up at least half as large a share goes on as of the new ones begins.
func (s *site) checkVersions(streams []takenUp) {
	var mixed []string
	begun, resumed, goOn := 0, 0, 0
	for _, t := range streams {
		if versions := s.versions(t); len(versions) > 1 {
			mixed = append(mixed, fmt.Sprintf("%s: %v", t.attempts[0].Attempt, versions))
		}
		expected := appraise().Expected(t.attempts[0].Attempt)
		Expect(strings.Count(expected, eventEnd)).To(BeNumerically(">=", strings.Count(t.body, eventEnd)), "events come once")
		if t.body == "" {
			continue
		}
		begun++
		if len(t.attempts) > 1 {
			resumed++
			if t.whole {
				goOn++
			}
		}
	}
	AddReportEntry("streams", fmt.Sprintf("%d begun of %d, %d taken up, %d of them whole, %d of two versions", begun, len(streams), resumed, goOn, len(mixed)))
	Expect(len(mixed)).To(BeNumerically("<=", maxMixed), strings.Join(mixed, "\n"))
	Expect(resumed).To(BeNumerically(">=", 12), "streams that were taken up")
	Expect(float64(goOn)/float64(resumed)).To(BeNumerically(">=", 0.5*float64(begun)/float64(len(streams))), "%d of %d go on", goOn, resumed)
}

// streamAll sends n calls at once, each to the hosts of its order in turn until its stream is whole, and runs
// during meanwhile.
func (s *site) streamAll(n int, order func(i int) []*host, during func()) []takenUp {
	streams := make([]takenUp, n)
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() {
			defer GinkgoRecover()
			streams[i] = s.takeUp(appraise(), order(i), 6)
		})
	}
	during()
	calls.Wait()
	return streams
}

// rotated returns the hosts from index i on.
func rotated(hosts []*host, i int) []*host {
	i %= len(hosts)
	return slices.Concat(hosts[i:], hosts[:i])
}

var _ = Describe("streams of a service with two versions", func() {
	// Guards against events of two versions in one answer, and over the attempts of a caller whose stream broke.
	It("go on at the version that began them, in one answer and at another host", func() {
		s := versionSite(siteOptions{hosts: 3})
		var streams []takenUp
		for range 4 {
			streams = append(streams, s.streamAll(40, func(i int) []*host { return rotated(s.hosts, i) }, func() {})...)
		}
		s.checkVersions(streams)
	})

	// Guards against a version that is forgotten with the hosts whose end breaks the streams.
	DescribeTable("go on at the version that began them when",
		func(down ...int) {
			s := versionSite(siteOptions{hosts: 4, largeFirst: true}) // host 0 is the home
			var dying, alive []*host
			for i, h := range s.hosts {
				if slices.Contains(down, i) {
					dying = append(dying, h)
				} else {
					alive = append(alive, h)
				}
			}
			streams := s.streamAll(60, func(i int) []*host { return append(rotated(dying, i)[:1], rotated(alive, i)...) }, func() {
				time.Sleep(200 * time.Millisecond)
				for _, h := range dying {
					h.session.Kill()
				}
			})
			s.checkVersions(streams)
		},
		Entry("their host is killed", 3),
		Entry("the home is killed", 0),
		Entry("their host and the home are killed at once", 0, 3),
	)

	// Guards against a guess of a host that schedules alone.
	It("don't go on at another version while the home is frozen", func() {
		s := versionSite(siteOptions{hosts: 4, largeFirst: true})
		alive := s.hosts[1:]
		streams := s.streamAll(60, func(i int) []*host { return rotated(alive, i) }, func() {
			time.Sleep(150 * time.Millisecond)
			s.hosts[0].session.Signal(syscall.SIGSTOP)
			time.Sleep(50 * time.Millisecond)
			s.hosts[3].session.Kill()
			time.Sleep(2 * time.Second)
			s.hosts[0].session.Signal(syscall.SIGCONT)
		})
		s.checkVersions(streams)
	})

	// Guards against a guess where nobody can know: all hosts have lost what they had recorded.
	It("don't go on at another version after all hosts were killed", func() {
		s := versionSite(siteOptions{hosts: 3})
		streams := s.streamAll(40, func(i int) []*host { return rotated(s.hosts, i) }, func() {
			time.Sleep(200 * time.Millisecond)
			s.killAndRestartAll()
		})
		for _, t := range streams {
			Expect(len(s.versions(t))).To(BeNumerically("<=", 1), t.attempts[0].Attempt)
		}
	})
})

var _ = Describe("streams of a service with one version", func() {
	// Guards against streams that can't go on because the record of their version was lost, also for
	// callers that don't name the attempt which began them.
	DescribeTable("go on after all hosts were killed",
		func(named bool) {
			s := newSite(siteOptions{hosts: 3, engines: 3, apps: 1, engine: standin.ServerSpec{PerEvent: 20 * time.Millisecond}})
			Eventually(func() int {
				rows, _, _ := platform.NewStore(s.storeAddress).Snapshot(context.Background(), platform.VersionTable)
				return len(rows)
			}).Should(Equal(2))
			first := s.send(s.hosts[0], appraise())
			Expect(first.Complete).To(BeTrue())
			s.killAndRestartAll()
			c := appraise()
			c.Header = map[string]string{"Last-Event-Id": "2"}
			if named {
				c.Header["Resumes"] = first.Attempt
			}
			var r standin.Reply
			Eventually(func() int {
				r = s.send(s.hosts[1], c)
				return r.Status
			}).WithTimeout(3 * time.Second).Should(Equal(http.StatusOK))
			Expect(r.Body).To(HavePrefix("id: 3\n"))
		},
		Entry("and their callers name the attempt that began them", true),
		Entry("and their callers don't", false),
	)
})
