package node

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/dispatch"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/store"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// These tests run the discovery of hosts and the choice of the home in virtual time, and add up the
// shares of the quotas that all hosts use.

// schedulingHost is the part of a startingHost that follows the home or schedules by itself. mu guards
// share and bursts.
type schedulingHost struct {
	h       *startingHost
	client  *dispatch.Client
	started atomic.Bool // the fields above and the host's Node are complete
	mu      sync.Mutex
	share   sched.Share
	bursts  int // how often it began with half of the bursts of the quotas
}

type neverLeaving struct{}

func (neverLeaving) Leaving(string) bool { return false }
func (neverLeaving) Age() time.Duration  { return 0 }

// run starts the host's scheduler and its choice of the home.
func (s *schedulingHost) run(h *startingHost) {
	n, tasks := h.n, &h.fleet.tasks
	s.h = h
	n.home = dispatch.NewHome(n.loop, func() []uint64 { return dispatch.HomeAndSuccessors(n.members) })
	s.client = dispatch.NewClient(n.incarnation, "zone", n.loop, neverLeaving{}, n.events)
	n.follower = dispatch.NewFollower(s.client, n.members, s, n.home, n.events, n.knownFleetSize, n.gossip.Discovery().Fleet, func(share sched.Share) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.share.Quotas < 1 && share.Quotas == 1 && !share.BurstsSpent {
			s.bursts++
		}
		s.share = share
	})
	s.started.Store(true)
	tasks.Go(func() { n.loop.Run(h.ctx) })
	tasks.Go(func() { n.follower.Run(h.ctx) })
}

// OpenStream implements dispatch.Sessions.
func (s *schedulingHost) OpenStream(ctx context.Context, to peer.Target, kind wire.StreamKind, service string) (*peer.Stream, error) {
	f := s.h.fleet
	f.mu.Lock()
	other := f.byName[to.Incarnation.String()]
	f.mu.Unlock()
	time.Sleep(datagramDelay)
	if !other.schedule.started.Load() || other.ctx.Err() != nil {
		return nil, failure.New(failure.PeerSilent, "host %s has ended", to.Incarnation)
	}
	a, b := net.Pipe()
	for _, host := range []*startingHost{s.h, other} {
		context.AfterFunc(host.ctx, func() {
			_, _ = a.Close(), b.Close() // a pipe's close never fails
		})
	}
	id := peer.Identity{Incarnation: s.h.n.incarnation, Host: s.h.n.settings.Host}
	f.tasks.Go(func() {
		other.n.home.Serve(other.ctx, &peer.Stream{Conn: b, Reader: bufio.NewReader(b), Peer: id, Open: &wire.Open{Kind: kind, Service: service}})
	})
	return &peer.Stream{Conn: a, Reader: bufio.NewReader(a)}, nil
}

// Discard implements dispatch.Sessions.
func (s *schedulingHost) Discard(string) {}

// quotaInUse is the share of the quotas that the host gives out by itself.
func (s *schedulingHost) quotaInUse() float64 {
	if !s.started.Load() || s.h.ctx.Err() != nil || s.client.FollowsHome() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.share.Quotas
}

// takeBursts returns how often the host has begun with half of the bursts since the last call.
func (s *schedulingHost) takeBursts() (bursts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bursts, s.bursts = s.bursts, 0
	return bursts
}

// quotaMeter adds up the shares of the quotas in use over all hosts, each sharePeriod.
type quotaMeter struct {
	f       *startingFleet
	samples []float64
}

const (
	sharePeriod = 10 * time.Millisecond
	// testQuotaWindow and testQuotaOver are the window over which quotas are counted and what is allowed
	// beyond them on the deployments.
	testQuotaWindow = 8 * time.Second
	testQuotaOver   = 0.1
)

// watch samples for d.
func (m *quotaMeter) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(sharePeriod) {
		sum := 0.0
		for _, h := range m.f.hosts {
			sum += h.schedule.quotaInUse()
		}
		m.samples = append(m.samples, sum)
	}
}

// busiest returns the largest share of the quotas in use over a window.
func (m *quotaMeter) busiest() (most float64) {
	n, sum := int(testQuotaWindow/sharePeriod), 0.0
	for i, s := range m.samples {
		sum += s
		if i >= n {
			sum -= m.samples[i-n]
		}
		most = max(most, sum/float64(n))
	}
	return most
}

// start adds a scheduling host that starts after delay.
func (f *startingFleet) start(address string, delay time.Duration, seeds []string, rng *rand.Rand) *startingHost {
	h := f.newHost(address, rng)
	h.schedule = &schedulingHost{}
	i := len(f.hosts)
	f.tasks.Go(func() {
		time.Sleep(delay)
		h.run(i, 192, seeds)
	})
	return h
}

func testAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250+1) }

// startScheduling starts hosts within startSpread, the first three of which are the seeds.
func (f *startingFleet) startScheduling(hosts int, rng *rand.Rand) {
	seeds := []string{testAddress(0), testAddress(1), testAddress(2)}
	for i := range hosts {
		f.start(testAddress(i), time.Duration(rng.Int64N(int64(startSpread))), seeds, rng)
	}
}

// homeHost returns the host that schedules for all, nil if there is none or more than one.
func (f *startingFleet) homeHost() (home *startingHost) {
	for _, h := range f.hosts {
		if h.ctx.Err() == nil && h.schedule.started.Load() && h.n.home.Leads() {
			if home != nil {
				return nil
			}
			home = h
		}
	}
	return home
}

// writeGoneHost writes the row of a host that is gone, which knew of a number of hosts.
func (f *startingFleet) writeGoneHost(address string, hosts int) {
	f.tables[hostTable].write(store.Row{Key: "gone", Value: fmt.Appendf(nil, `{"control":%q,"hosts":%d}`, address, hosts)})
}

var goneSeeds = []string{"10.9.0.1:7600", "10.9.0.2:7600", "10.9.0.3:7600"}

// TestNewHostsThatTheStoreTurnsAway guards against hosts that take all quotas because nobody has told them
// of the others: neither the store, which turns them away, nor a host of their settings.
func TestNewHostsThatTheStoreTurnsAway(t *testing.T) {
	type scenario struct {
		hosts, added int
		away         time.Duration
		seeds        func(i int) []string // of the i-th new host
		homeKilled   bool                 // when the store serves the new hosts again
	}
	gone := func(int) []string { return goneSeeds }
	each := func(i int) []string { return []string{testAddress(100 + i ^ 1), goneSeeds[0]} }
	together := func(int) []string { return []string{testAddress(100), testAddress(101), goneSeeds[0]} }
	scenarios := map[string]scenario{
		"three, each alone":              {7, 3, 7500 * time.Millisecond, gone, false},
		"one, the store away for long":   {4, 1, 30 * time.Second, gone, false},
		"one, the store away for 3 s":    {6, 1, 3 * time.Second, gone, false},
		"six at once":                    {7, 6, 7500 * time.Millisecond, gone, false},
		"ten at once, large fleet":       {60, 10, 10 * time.Second, gone, false},
		"pairs that know each other":     {7, 4, 7500 * time.Millisecond, each, false},
		"six that find each other first": {7, 6, 10 * time.Second, together, false},
		"three while the home is killed": {7, 3, 7500 * time.Millisecond, gone, true},
		"six together, the home killed":  {7, 6, 7500 * time.Millisecond, together, true},
		"ten while the home is killed":   {15, 10, 5 * time.Second, gone, true},
	}
	for name, sc := range scenarios {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					rng := rand.New(rand.NewPCG(seed, 1))
					f, stop := newStartingFleet()
					f.startScheduling(sc.hosts, rng)
					time.Sleep(joinDuration)
					home := f.homeHost()
					g.Expect(home).NotTo(BeNil())
					meter := &quotaMeter{f: f}
					var added []*startingHost
					for i := range sc.added {
						h := f.start(testAddress(100+i), time.Duration(rng.Int64N(int64(startSpread))), sc.seeds(i), rng)
						h.storeAway.Store(true)
						added = append(added, h)
					}
					meter.watch(sc.away)
					for _, h := range added {
						h.storeAway.Store(false)
					}
					if sc.homeKilled {
						home.kill()
					}
					meter.watch(20 * time.Second)
					stop()
					f.tasks.Wait()
					g.Expect(meter.busiest()).To(BeNumerically("<=", 1+testQuotaOver))
				})
			})
		}
	}
}

// TestNewHostsFollowTheHome guards against new hosts that stay alone for long once the store has told them
// of the others.
func TestNewHostsFollowTheHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(1, 1))
		f, stop := newStartingFleet()
		f.startScheduling(7, rng)
		time.Sleep(joinDuration)
		h := f.start(testAddress(100), 0, goneSeeds, rng)
		h.storeAway.Store(true)
		time.Sleep(7500 * time.Millisecond)
		h.storeAway.Store(false)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(h.schedule.started.Load()).To(BeTrue())
		follows := h.schedule.client.FollowsHome() || h.n.home.Leads()
		stop()
		f.tasks.Wait()
		g.Expect(follows).To(BeTrue())
	})
}

// TestLoneHostServesOn guards against a host that waits for hosts that are gone for good.
func TestLoneHostServesOn(t *testing.T) {
	// A host that reaches the store and hears nobody may hold back as long as a partition usually lasts.
	for name, tc := range map[string]struct {
		listed int // hosts that the store lists and that are gone, 0: none
		within time.Duration
	}{
		"that the store lists nobody beside":    {0, 2 * time.Second},
		"that the store lists gone ones beside": {7, 17 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f, stop := newStartingFleet()
				if tc.listed > 0 {
					f.writeGoneHost("10.9.0.9:7600", tc.listed)
				}
				h := f.start(testAddress(0), 0, goneSeeds, rand.New(rand.NewPCG(1, 1)))
				time.Sleep(tc.within)
				used := h.schedule.quotaInUse()
				stop()
				f.tasks.Wait()
				g.Expect(used).To(Equal(1.0))
			})
		})
	}
}

// TestFleetThatRestartsLeadsAtOnce guards against a fleet that holds back after all its hosts were killed,
// although all are back.
func TestFleetThatRestartsLeadsAtOnce(t *testing.T) {
	for _, hosts := range []int{6, 60} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				rng := rand.New(rand.NewPCG(2, 1))
				f, stop := newStartingFleet()
				f.startScheduling(hosts, rng)
				time.Sleep(joinDuration)
				for _, h := range f.hosts {
					h.kill()
				}
				time.Sleep(500 * time.Millisecond)
				f.startScheduling(hosts, rng)
				time.Sleep(startSpread + 900*time.Millisecond)
				home := f.homeHost()
				quota := 0.0
				if home != nil {
					quota = home.schedule.quotaInUse()
				}
				stop()
				f.tasks.Wait()
				g.Expect(quota).To(Equal(1.0))
			})
		})
	}
}

// TestHomesKilledAgainAndAgain guards against homes that follow each other closely and each give out half of
// the bursts of the quotas anew.
func TestHomesKilledAgainAndAgain(t *testing.T) {
	const (
		// The quota of an account is rate x window + burst, here with a burst of burstSeconds x rate.
		burstSeconds = 1.0
		restartAfter = 500 * time.Millisecond
	)
	for name, tc := range map[string]struct {
		hosts, kills int
		every        time.Duration
	}{
		"eight kills 1 s apart":       {7, 8, time.Second},
		"five kills 1.2 s apart":      {7, 5, 1200 * time.Millisecond},
		"four kills 1.5 s apart":      {7, 4, 1500 * time.Millisecond},
		"three kills 2 s apart":       {7, 3, 2 * time.Second},
		"two kills 1 s apart":         {7, 2, time.Second},
		"eight kills, a larger fleet": {30, 8, time.Second},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					rng := rand.New(rand.NewPCG(seed, 3))
					f, stop := newStartingFleet()
					f.startScheduling(tc.hosts, rng)
					time.Sleep(joinDuration)
					for _, h := range f.hosts {
						h.schedule.takeBursts()
					}
					seeds := []string{testAddress(0), testAddress(1), testAddress(2)}
					meter := &quotaMeter{f: f}
					for range tc.kills {
						home := f.homeHost()
						if home == nil { // none has taken over yet
							home = f.hosts[len(f.hosts)-1]
						}
						home.kill()
						f.start(home.address, restartAfter, seeds, rng)
						meter.watch(tc.every)
					}
					meter.watch(testQuotaWindow)
					bursts := 0
					for _, h := range f.hosts {
						bursts += h.schedule.takeBursts()
					}
					stop()
					f.tasks.Wait()
					used := meter.busiest()*testQuotaWindow.Seconds() + burstSeconds*(1+0.5*float64(bursts))
					g.Expect(used).To(BeNumerically("<=", (testQuotaWindow.Seconds()+burstSeconds)*(1+testQuotaOver)), "%d half bursts", bursts)
				})
			})
		}
	}
}
