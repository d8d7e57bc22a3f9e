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

const rolloutDuration = 4 * time.Second

// rolloutSite is a site whose operator rolls out a new version of the plain service.
type rolloutSite struct {
	*site
	mu         sync.Mutex
	newServers []*standin.Server
}

// order starts servers of a version in addition to the old ones and writes the order to roll
// it out into the store.
func (s *rolloutSite) order(version string, servers int, fault standin.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newServers = nil
	for i := range servers {
		srv := s.addServer(standin.ServerSpec{
			ID: fmt.Sprintf("i-app-%s-%d", version, i), Service: standin.AppService, Zone: s.zone(i), Address: "127.0.0.1:0",
			Version: version, Slots: 6, Queue: 24, Work: 10 * time.Millisecond,
		})
		srv.SetFault(fault)
		s.newServers = append(s.newServers, srv)
	}
	s.writeOrder(version)
}

// writeOrder writes the order to roll out a version.
func (s *rolloutSite) writeOrder(version string) {
	s.store.Put("op", "rollout/"+standin.AppService, map[string]any{"service": standin.AppService, "to": version, "durationS": rolloutDuration.Seconds()})
}

// state returns the state and target version of the rollout, as operators see it in the store.
func (s *rolloutSite) state() string {
	rows, _, err := platform.NewStore(s.storeAddress).Snapshot(context.Background(), platform.StatusTable)
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

// load sends calls to all hosts until stop is closed. It returns functions that report the
// numbers of calls and of failures so far.
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
	read := func(counter *int) func() int {
		return func() int {
			mu.Lock()
			defer mu.Unlock()
			return *counter
		}
	}
	return read(&n), read(&bad)
}

// runsOn counts the runs at the given servers.
func runsOn(servers []*standin.Server) (n int) {
	for _, srv := range servers {
		n += len(srv.Runs())
	}
	return n
}

func newRolloutSite(o siteOptions) *rolloutSite { return &rolloutSite{site: newSite(o)} }

var _ = Describe("an order to roll out a version", func() {
	// An operator starts servers of a working new version and orders the rollout. The version
	// gets a share of the calls at first, then all. The operator stops the old servers as soon
	// as the rollout is reported complete, so they must not run requests any more by then.
	It("moves the service to a working version and fails no call", func() {
		s := newRolloutSite(siteOptions{hosts: 3, engines: 1, apps: 3})
		old := s.servers[1:]
		stop := make(chan struct{})
		_, failed := s.load(stop)
		time.Sleep(time.Second)
		s.order("v2", 3, standin.Fault{})
		Eventually(s.state).WithTimeout(3 * time.Second).Should(Equal("running v2"))
		Eventually(s.state).WithTimeout(rolloutDuration + 3*time.Second).WithPolling(10 * time.Millisecond).Should(Equal("completed v2"))
		for _, srv := range old {
			srv.Close()
		}
		before := runsOn(s.newServers)
		time.Sleep(time.Second)
		close(stop)
		Expect(runsOn(s.newServers)).To(BeNumerically(">", before))
		Expect(failed()).To(BeZero())
	})

	// Half of a new version's answers are failures. Without an automatic rollback it would get
	// its equal share of the calls until an operator notices.
	It("rolls a bad version back after a few bad answers", func() {
		s := newRolloutSite(siteOptions{hosts: 3, engines: 1, apps: 3})
		stop := make(chan struct{})
		sent, _ := s.load(stop)
		time.Sleep(time.Second)
		before := sent()
		s.order("v2", 3, standin.Fault{FailEvery: 2})
		Eventually(s.state).WithTimeout(rolloutDuration + 3*time.Second).WithPolling(10 * time.Millisecond).Should(Equal("rolled_back v2"))
		exposed, reached := runsOn(s.newServers), sent()-before
		// The settings of the hosts allow a version that is rolled back 0.1 of the calls plus 50.
		Expect(float64(exposed)).To(BeNumerically("<=", 0.05*float64(reached)+25), "half of the allowed runs, of %d calls", reached)
		time.Sleep(500 * time.Millisecond) // until calls in progress have ended
		after := runsOn(s.newServers)
		time.Sleep(time.Second)
		close(stop)
		Expect(runsOn(s.newServers)).To(Equal(after))
	})

	// The home, which controls the rollout, is killed in the middle of it. The next home does not
	// know the results so far; it must neither lose the order nor repeat the whole trial.
	It("is continued by the next home", func() {
		s := newRolloutSite(siteOptions{hosts: 3, engines: 1, apps: 3})
		stop := make(chan struct{})
		s.load(stop)
		time.Sleep(time.Second)
		s.order("v2", 3, standin.Fault{})
		Eventually(s.state).WithTimeout(3 * time.Second).Should(Equal("running v2"))
		for i, h := range s.hosts {
			if isHome(h) {
				h.session.Kill().Wait()
				s.hosts = append(s.hosts[:i:i], s.hosts[i+1:]...)
				break
			}
		}
		Eventually(s.state).WithTimeout(2*rolloutDuration + 5*time.Second).Should(Equal("completed v2"))
		close(stop)
	})

	// The store becomes unreachable while a bad version is tried, so the rollback cannot be
	// written. The version must get no more requests nevertheless, and operators see the
	// rollback once the store is back.
	It("rolls a bad version back while the store is unreachable", func() {
		s := newRolloutSite(siteOptions{hosts: 3, engines: 1, apps: 3})
		stop := make(chan struct{})
		s.load(stop)
		time.Sleep(time.Second)
		s.order("v2", 3, standin.Fault{FailEvery: 2})
		Eventually(s.state).WithTimeout(3 * time.Second).Should(Equal("running v2"))
		s.store.SetDown(true)
		time.Sleep(rolloutDuration)
		runsAfterDecision := runsOn(s.newServers)
		time.Sleep(time.Second)
		Expect(runsOn(s.newServers)).To(Equal(runsAfterDecision))
		s.store.SetDown(false)
		Eventually(s.state).WithTimeout(8 * time.Second).Should(Equal("rolled_back v2"))
		close(stop)
	})

	// Servers of a version without an order register, as happens shortly before hosts read the
	// order. They must get no requests while the old servers are there.
	It("sends nothing to servers of a version that was not ordered", func() {
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

	It("reports invalid orders and continues to serve", func() {
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

var _ = Describe("a rollout around a restore of the store", func() {
	// The copy has the order as if it had just been given, or lacks it until the operator writes it again. A bad
	// version would be tried on callers a second time.
	DescribeTable("that rolled a bad version back isn't tried again",
		func(restore func(s *rolloutSite, beforeOrder, afterOrder standin.StoreCopy), killAll bool) {
			s := newRolloutSite(siteOptions{hosts: 3, engines: 1, apps: 3, largeFirst: true})
			stop := make(chan struct{})
			defer close(stop)
			s.load(stop)
			time.Sleep(time.Second)
			beforeOrder := s.store.Copy()
			s.store.Skip(lostVersions)
			s.order("v2", 3, standin.Fault{FailEvery: 1})
			afterOrder := s.store.Copy()
			Eventually(s.state).WithTimeout(2 * rolloutDuration).Should(Equal("rolled_back v2"))
			restore(s, beforeOrder, afterOrder)
			time.Sleep(time.Second)
			if killAll {
				s.killAndRestartAll()
			}
			tried := runsOn(s.newServers)
			Consistently(func() int { return runsOn(s.newServers) }).WithTimeout(rolloutDuration + time.Second).Should(Equal(tried))
			Eventually(s.state).Should(Equal("rolled_back v2"))
		},
		Entry("with the order in the copy", func(s *rolloutSite, _, after standin.StoreCopy) { s.restore(after, nil) }, false),
		Entry("with the order written again", func(s *rolloutSite, before, _ standin.StoreCopy) {
			s.restore(before, func() { s.writeOrder("v2") })
		}, false),
		Entry("with the order in the copy and written again", func(s *rolloutSite, _, after standin.StoreCopy) {
			s.restore(after, nil)
			time.Sleep(500 * time.Millisecond)
			s.writeOrder("v2")
		}, false),
		Entry("with the order written again and all hosts restarted", func(s *rolloutSite, before, _ standin.StoreCopy) {
			s.restore(before, func() { s.writeOrder("v2") })
			time.Sleep(time.Second)
		}, true),
		Entry("with the home killed", func(s *rolloutSite, _, after standin.StoreCopy) {
			s.restore(after, func() { s.hosts[0].session.Kill().Wait() })
		}, false),
	)

	It("goes on to its end and is reported", func() {
		s := newRolloutSite(siteOptions{hosts: 3, engines: 1, apps: 3, largeFirst: true})
		stop := make(chan struct{})
		defer close(stop)
		_, failed := s.load(stop)
		time.Sleep(time.Second)
		old := s.store.Copy()
		s.store.Skip(lostVersions)
		s.order("v2", 3, standin.Fault{})
		time.Sleep(rolloutDuration / 2)
		s.restore(old, func() { s.writeOrder("v2") })
		Eventually(s.state).WithTimeout(2 * rolloutDuration).Should(Equal("completed v2"))
		Expect(failed()).To(BeNumerically("<", 20))
	})

	// Its row has a lower number than the order that the restore has taken away.
	It("takes an order that follows", func() {
		s := newRolloutSite(siteOptions{hosts: 3, engines: 1, apps: 3, largeFirst: true})
		stop := make(chan struct{})
		defer close(stop)
		s.load(stop)
		old := s.store.Copy()
		s.store.Skip(lostVersions)
		s.order("v2", 3, standin.Fault{FailEvery: 1})
		Eventually(s.state).WithTimeout(2 * rolloutDuration).Should(Equal("rolled_back v2"))
		s.restore(old, nil)
		time.Sleep(time.Second)
		s.order("v3", 3, standin.Fault{})
		Eventually(s.state).WithTimeout(3 * rolloutDuration).Should(Equal("completed v3"))
	})
})
