package platform

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

const (
	fatalBody = "fatal"
	// restartTime is how long an engine is away after its end, entryLapse how long the
	// store lists it then.
	restartTime = 1500 * time.Millisecond
	entryLapse  = 3 * time.Second
	// learnTime and fatalRetries bound the sends of a request that ends servers: three
	// ends may be needed to know it, and later than learnTime after the third it may
	// reach three more servers at most.
	learnTime    = 3 * time.Second
	fatalRetries = 3
)

// engineRoom starts engines anew that ended under a request. mu guards its fields.
type engineRoom struct {
	mu   sync.Mutex
	site *site
	ends []time.Time
}

// newFatalSite starts a site whose engines end under fatalBody.
func newFatalSite(o siteOptions) (*site, *engineRoom) {
	room := &engineRoom{}
	o.engine.FatalBody, o.engine.Ended = fatalBody, room.ended
	s := newSite(o)
	room.mu.Lock()
	defer room.mu.Unlock()
	room.site = s
	return s, room
}

func (r *engineRoom) ended(old *standin.Server) {
	r.mu.Lock()
	r.ends = append(r.ends, time.Now())
	next := fmt.Sprintf("%s-%d", old.Spec.ID, len(r.ends))
	r.mu.Unlock()
	time.AfterFunc(entryLapse, old.Expire)
	time.AfterFunc(restartTime, func() { r.restart(old, next) })
}

func (r *engineRoom) restart(old *standin.Server, id string) {
	spec := old.Spec
	spec.ID, spec.Address = id, "127.0.0.1:0"
	r.mu.Lock()
	defer r.mu.Unlock()
	if srv, err := standin.StartServer(r.site.store, spec); err == nil {
		r.site.replace(old, srv)
	}
}

// replace lists a server in the place of one that ended.
func (s *site) replace(old, started *standin.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = append(s.left, old)
	i := slices.Index(s.servers, old)
	s.servers[i] = started
}

func (r *engineRoom) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ends)
}

// runsOfBody lists when requests with a body began to run, in order of time.
func (s *site) runsOfBody(body string) (at []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range slices.Concat(s.servers, s.left) {
		for _, run := range srv.Runs() {
			if run.Body == body {
				at = append(at, run.At)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// lateRuns counts the runs later than learnTime after the third.
func lateRuns(runs []time.Time) int {
	if len(runs) <= fatalRetries {
		return 0
	}
	bound := runs[2].Add(learnTime)
	return len(runs) - slices.IndexFunc(append(runs, bound.Add(time.Hour)), bound.Before)
}

func fatal() standin.Call {
	c := digest()
	c.Body = fatalBody
	return c
}

// keepSending sends the fatal request by each host in turn until stop is closed, as its
// callers come again, and returns the newest reply of each host.
func (s *site) keepSending(each time.Duration, stop <-chan struct{}) []standin.Reply {
	replies := make([]standin.Reply, len(s.hosts))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return replies
		case <-time.After(each):
			replies[i%len(s.hosts)] = s.send(s.hosts[i%len(s.hosts)], fatal())
		}
	}
}

var _ = Describe("a request that ends the servers which run it", func() {
	// Story: a poem's review crashes the engine that begins to run it. Its caller sends it
	// again, under a new id, to whatever host it is told of; each host passes it on to the
	// next engine. One engine after the other ends, with all that runs there, and as soon
	// as one is back it ends again. Nothing outlived an attempt, so nobody knew.
	It("is not sent on once it has ended three", func() {
		s, room := newFatalSite(siteOptions{hosts: 3, engines: 6, apps: 1})
		var replies []standin.Reply
		s.under(20*time.Millisecond, func() {
			stop, done := make(chan struct{}), make(chan []standin.Reply, 1)
			go func() {
				defer GinkgoRecover()
				done <- s.keepSending(50*time.Millisecond, stop)
			}()
			time.Sleep(10 * time.Second)
			close(stop)
			Eventually(done).WithTimeout(10 * time.Second).Should(Receive(&replies))
		})
		runs := s.runsOfBody(fatalBody)
		Expect(room.count()).To(BeNumerically(">=", 3), "the request ends engines")
		Expect(lateRuns(runs)).To(BeNumerically("<=", fatalRetries), "%d runs", len(runs))
		for _, r := range replies {
			Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.RetryAfter).To(BeNumerically(">", learnTime))
		}
	})
})
