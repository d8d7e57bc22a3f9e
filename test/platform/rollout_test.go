package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform"
	"github.com/gentianflow/gentianflow/platform/standin"
)

const rolloutTime = 4 * time.Second

// rolloutSite is a site whose operator rolls a new version of the plain service out.
type rolloutSite struct {
	*site
	mu   sync.Mutex
	news []*standin.Server
}

// order starts servers of a version beside the old ones and orders the move to it.
func (s *rolloutSite) order(version string, servers int, fault standin.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.news = nil
	for i := range servers {
		srv := s.addServer(standin.ServerSpec{
			ID: fmt.Sprintf("i-app-%s-%d", version, i), Service: standin.AppService, Zone: s.zone(i), Address: "127.0.0.1:0",
			Version: version, Slots: 6, Queue: 24, Work: 10 * time.Millisecond,
		})
		srv.SetFault(fault)
		s.news = append(s.news, srv)
	}
	s.store.Put("op", "rollout/"+standin.AppService, map[string]any{"service": standin.AppService, "to": version, "durationS": rolloutTime.Seconds()})
}

// state reads what operators are told.
func (s *rolloutSite) state() string {
	rows, _, err := platform.NewStore(s.address).Snapshot(context.Background(), platform.StatusTable)
	if err != nil {
		return "store: " + err.Error()
	}
	for _, row := range rows {
		var status struct{ State, To string }
		if row.Key == "rollout/"+standin.AppService && json.Unmarshal(row.Value, &status) == nil {
			return status.State + " " + status.To
		}
	}
	return ""
}

// load sends calls to all hosts until stop closes, and counts the failures.
func (s *rolloutSite) load(stop <-chan struct{}) (sent, failed func() int) {
	var mu sync.Mutex
	var n, bad int
	hosts := slices.Clone(s.hosts)
	var senders sync.WaitGroup
	for i := range 12 {
		senders.Go(func() {
			defer GinkgoRecover()
			for j := 0; ; j++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				path := standin.ConfirmPath
				if (i+j)%3 == 0 {
					path = standin.CheckPath
				}
				r := s.send(hosts[(i+j)%len(hosts)], standin.Call{Path: path})
				mu.Lock()
				n++
				if r.Status != http.StatusOK || !r.Complete {
					bad++
				}
				mu.Unlock()
			}
		})
	}
	DeferCleanup(senders.Wait)
	read := func(of *int) func() int {
		return func() int {
			mu.Lock()
			defer mu.Unlock()
			return *of
		}
	}
	return read(&n), read(&bad)
}

// runsOn counts the runs at servers.
func runsOn(servers []*standin.Server) (n int) {
	for _, srv := range servers {
		n += len(srv.Runs())
	}
	return n
}

func newRolloutSite(o siteOptions) *rolloutSite { return &rolloutSite{site: newSite(o)} }

var _ = Describe("an order to roll a version out", func() {
	// Story: an operator starts servers of a new version and orders the move. The version is
	// sound. It is tried with a part of the calls, then gets all, and the old servers, which
	// are stopped the moment that the move is told complete, run nothing then.
	It("moves the service to a sound version and loses nothing", func() {
		s := newRolloutSite(siteOptions{hosts: 3, engines: 1, apps: 3})
		old := s.servers[1:]
		stop := make(chan struct{})
		_, failed := s.load(stop)
		time.Sleep(time.Second)
		s.order("v2", 3, standin.Fault{})
		Eventually(s.state).WithTimeout(3 * time.Second).Should(Equal("running v2"))
		Eventually(s.state).WithTimeout(rolloutTime + 3*time.Second).WithPolling(10 * time.Millisecond).Should(Equal("completed v2"))
		for _, srv := range old {
			srv.Close()
		}
		before := runsOn(s.news)
		time.Sleep(time.Second)
		close(stop)
		Expect(runsOn(s.news)).To(BeNumerically(">", before))
		Expect(failed()).To(BeZero())
	})

	// Story: half of a new version's answers are failures. Without a judge it gets its even
	// part of the calls until somebody notices; here it is taken back after a few.
	It("takes a bad version back after a few bad answers", func() {
		s := newRolloutSite(siteOptions{hosts: 3, engines: 1, apps: 3})
		stop := make(chan struct{})
		sent, _ := s.load(stop)
		time.Sleep(time.Second)
		before := sent()
		s.order("v2", 3, standin.Fault{FailEvery: 2})
		Eventually(s.state).WithTimeout(rolloutTime + 3*time.Second).WithPolling(10 * time.Millisecond).Should(Equal("rolled_back v2"))
		exposed, reached := runsOn(s.news), sent()-before
		Expect(float64(exposed)).To(BeNumerically("<=", 0.05*float64(reached)+25), "half of what it may get, of %d", reached)
		time.Sleep(500 * time.Millisecond) // calls that were on their way
		after := runsOn(s.news)
		time.Sleep(time.Second)
		close(stop)
		Expect(runsOn(s.news)).To(Equal(after))
	})

	// Story: the host that carries the roll-out is killed in the middle of it. The next home
	// knows nothing of what was tried; it must neither forget the order nor try as much again.
	It("is carried on by the next home", func() {
		s := newRolloutSite(siteOptions{hosts: 3, engines: 1, apps: 3})
		stop := make(chan struct{})
		s.load(stop)
		time.Sleep(time.Second)
		s.order("v2", 3, standin.Fault{})
		Eventually(s.state).WithTimeout(3 * time.Second).Should(Equal("running v2"))
		for i, h := range s.hosts {
			if leads(h) {
				h.session.Kill().Wait()
				s.hosts = append(s.hosts[:i:i], s.hosts[i+1:]...)
				break
			}
		}
		Eventually(s.state).WithTimeout(2*rolloutTime + 5*time.Second).Should(Equal("completed v2"))
		close(stop)
	})

	// Story: the store goes away while a bad version is tried. The verdict can't be written;
	// the version must get nothing more all the same, and operators learn of it later.
	It("takes a bad version back while the store is away", func() {
		s := newRolloutSite(siteOptions{hosts: 3, engines: 1, apps: 3})
		stop := make(chan struct{})
		s.load(stop)
		time.Sleep(time.Second)
		s.order("v2", 3, standin.Fault{FailEvery: 2})
		Eventually(s.state).WithTimeout(3 * time.Second).Should(Equal("running v2"))
		s.store.SetDown(true)
		time.Sleep(rolloutTime)
		judged := runsOn(s.news)
		time.Sleep(time.Second)
		Expect(runsOn(s.news)).To(Equal(judged))
		s.store.SetDown(false)
		Eventually(s.state).WithTimeout(8 * time.Second).Should(Equal("rolled_back v2"))
		close(stop)
	})

	// Story: servers of a version that no order names register, as they do a moment before
	// their order is read. They get nothing while the old ones are there.
	It("leaves servers of a version alone that nobody has ordered", func() {
		s := newRolloutSite(siteOptions{hosts: 2, engines: 1, apps: 3})
		stop := make(chan struct{})
		s.load(stop)
		early := s.addServer(standin.ServerSpec{
			ID: "i-app-early", Service: standin.AppService, Zone: s.zone(0), Address: "127.0.0.1:0", Version: "v2",
			Slots: 6, Queue: 24, Work: 10 * time.Millisecond,
		})
		time.Sleep(2 * time.Second)
		close(stop)
		Expect(early.Runs()).To(BeEmpty())
	})

	It("tells of orders that make no sense, and goes on", func() {
		s := newRolloutSite(siteOptions{hosts: 2, engines: 1, apps: 1})
		for key, order := range map[string]any{
			"rollout/" + standin.AppService:    map[string]any{"service": standin.AppService, "to": "v2", "durationS": 0},
			"rollout/" + standin.EngineService: "no order",
			"rollout/unknown":                  map[string]any{"service": "unknown", "to": "v2", "durationS": 5},
		} {
			s.store.Put("op", key, order)
		}
		Eventually(func() string { return string(s.hosts[0].session.Out.Contents()) }).WithTimeout(5 * time.Second).
			Should(And(ContainSubstring("it has no duration"), ContainSubstring("decode the order of a roll-out of "+standin.EngineService)))
		Expect(s.send(s.hosts[0], standin.Call{Path: standin.CheckPath}).Status).To(Equal(http.StatusOK))
	})
})
