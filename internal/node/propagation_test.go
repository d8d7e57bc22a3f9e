package node

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// These tests run the watchers of the tables of servers and of the operator for whole fleets in
// virtual time: hosts that read the store, relays, and what each host learns.

// drainBound is how long, by the size of the fleet, a server may still be sent work after the
// store has acknowledged that it leaves.
func drainBound(hosts int) time.Duration {
	switch {
	case hosts < 50:
		return 2 * time.Second
	case hosts < 150:
		return 3 * time.Second
	}
	return 4 * time.Second
}

// fleetSizes are the sizes at which the tests run. PROPAGATION_HOSTS names another one, since a fleet
// of 1,000 hosts takes minutes.
var fleetSizes = func() []int {
	if n, err := strconv.Atoi(os.Getenv("PROPAGATION_HOSTS")); err == nil {
		return []int{n}
	}
	return []int{6, 60, 195, 390}
}()

// propagationDelays holds the longest times, after the store's acknowledgement, that hosts
// still used servers that had left (draining, or with their entry deleted) and lacked a
// configuration.
type propagationDelays struct{ draining, deleted, config time.Duration }

// add includes a host's delays after the i-th server left and the configuration changed at the
// same moment.
func (d *propagationDelays) add(h *fleetHost, i int, at time.Time) {
	delay := h.removalDelay(serverName(i), at)
	if i%2 == 0 {
		d.draining = max(d.draining, delay)
	} else {
		d.deleted = max(d.deleted, delay)
	}
	d.config = max(d.config, h.configDelay(i+1, at))
}

func (d propagationDelays) check(t *testing.T, who string, hosts int) {
	for what, delay := range map[string]time.Duration{"entry deleted": d.deleted, "draining": d.draining, "configuration": d.config} {
		t.Run(who+", "+what, func(t *testing.T) {
			t.Log(delay)
			NewWithT(t).Expect(delay).To(BeNumerically("<", drainBound(hosts)))
		})
	}
}

// TestServersThatLeaveWhileTheReadersAreTurnedAway checks that a server that has left does not get
// work for long. The store refuses the calls of all its readers and of a third of the other hosts,
// or does not answer them, while it serves the remaining hosts. Servers drain or delete their
// entries during the outage and after it.
func TestServersThatLeaveWhileTheReadersAreTurnedAway(t *testing.T) {
	for _, how := range []availability{silent, refused} {
		for _, hosts := range fleetSizes {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%d hosts %v seed %d", hosts, how, seed), func(t *testing.T) {
					var home, connected propagationDelays
					synctest.Test(t, func(t *testing.T) {
						f := startFleet(NewWithT(t), hosts, stoppedServers+20, seed)
						defer f.stop()
						var unavailable []*fleetHost
						for i, h := range f.hosts {
							if i < testReaders || i != testReaders && f.rng.IntN(3) == 0 {
								h.setAvailability(how)
								unavailable = append(unavailable, h)
							}
						}
						home, connected = f.stopServersDuringOutage(unavailable, 9*time.Second)
					})
					connected.check(t, "connected hosts", hosts)
					home.check(t, "home", hosts)
				})
			}
		}
	}
}

// TestServersThatLeaveWhileReadersStandStill checks that a server that has left does not get work
// for long while the home is frozen, alone or with the next readers: the other hosts wait for its
// updates and fail to connect to it.
func TestServersThatLeaveWhileReadersStandStill(t *testing.T) {
	for _, hosts := range fleetSizes {
		for frozenHosts := 1; frozenHosts <= 3; frozenHosts++ {
			t.Run(fmt.Sprintf("%d hosts %d frozen", hosts, frozenHosts), func(t *testing.T) {
				var connected propagationDelays
				synctest.Test(t, func(t *testing.T) {
					f := startFleet(NewWithT(t), hosts, stoppedServers+20, uint64(frozenHosts))
					defer f.stop()
					for _, h := range f.hosts[:frozenHosts] {
						h.makeUnavailable(frozen)
					}
					_, connected = f.stopServersDuringOutage(f.hosts[:frozenHosts], 4*time.Second)
				})
				connected.check(t, "connected hosts", hosts)
			})
		}
	}
}

// One of stoppedServers leaves in each stopInterval.
const (
	stoppedServers = 52
	stopInterval   = 250 * time.Millisecond
)

// stopServersDuringOutage makes servers leave while hosts are unavailable, and after they are
// back. It returns the delays of the home, whose server list decides for all hosts, and those
// of the hosts that were connected throughout.
func (f *testFleet) stopServersDuringOutage(unavailable []*fleetHost, outage time.Duration) (home, connected propagationDelays) {
	start := time.Now()
	stoppedAt := make([]time.Time, stoppedServers)
	for i := range stoppedServers {
		time.Sleep(time.Until(start.Add(time.Duration(i)*stopInterval + time.Duration(f.rng.Int64N(int64(stopInterval))))))
		if time.Since(start) > outage {
			for _, h := range unavailable {
				h.setAvailability(present)
			}
		}
		f.stopServer(i)
		f.writeConfig(i + 1)
		stoppedAt[i] = time.Now()
	}
	time.Sleep(10 * time.Second)
	for i, at := range stoppedAt {
		home.add(f.hosts[0], i, at)
		for _, h := range f.hosts {
			if !slices.Contains(unavailable, h) {
				connected.add(h, i, at)
			}
		}
	}
	return home, connected
}

// TestServersThatLeaveInRandomOutages checks that a server that has left does not get work for long
// in a sequence of outages that affect random parts of the fleet: a third to a half of the hosts get
// no answer from the store or are refused, or some readers are frozen.
//
// PROPAGATION_SEEDS is the number of seeds to run. Without it the test runs seed 0 and the
// seeds that failed before.
func TestServersThatLeaveInRandomOutages(t *testing.T) {
	seeds := []uint64{0, 1, 4, 12, 14, 18, 20}
	if n, err := strconv.Atoi(os.Getenv("PROPAGATION_SEEDS")); err == nil {
		seeds = nil
		for seed := range uint64(n) {
			seeds = append(seeds, seed)
		}
	}
	for _, hosts := range []int{6, 60} {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%d hosts seed %d", hosts, seed), func(t *testing.T) {
				var delays propagationDelays
				synctest.Test(t, func(t *testing.T) { delays = stopServersInRandomOutages(NewWithT(t), hosts, seed) })
				delays.check(t, "connected hosts", hosts)
			})
		}
	}
}

// stopServersInRandomOutages returns the delays of the hosts that stayed connected to the store
// during an outage, until the bound has passed.
func stopServersInRandomOutages(g Gomega, hosts int, seed uint64) (delays propagationDelays) {
	const (
		outages  = 4
		recovery = 4 * time.Second // exceeds drainBound at these sizes
	)
	f := startFleet(g, hosts, stoppedServers+20, seed)
	defer f.stop()
	next := 0
	for range outages {
		kind := availability(1 + f.rng.IntN(3))
		unavailable := f.pickHosts(kind)
		for _, h := range unavailable {
			h.makeUnavailable(kind)
		}
		outage := time.Duration(3+f.rng.IntN(7)) * time.Second
		stoppedAt := map[int]time.Time{}
		for start := time.Now(); time.Since(start) < outage+recovery; {
			if time.Since(start) > outage {
				for _, h := range unavailable {
					h.setAvailability(present)
				}
			}
			if time.Since(start) < outage+recovery-drainBound(hosts) && next < stoppedServers {
				f.stopServer(next)
				f.writeConfig(next + 1)
				stoppedAt[next] = time.Now()
				next++
			}
			time.Sleep(time.Duration(300+f.rng.IntN(900)) * time.Millisecond)
		}
		for i, at := range stoppedAt {
			for _, h := range f.hosts {
				if !slices.Contains(unavailable, h) {
					delays.add(h, i, at)
				}
			}
		}
	}
	return delays
}

// pickHosts selects the hosts that an outage affects: some readers if they freeze, else a
// random part of all hosts.
func (f *testFleet) pickHosts(kind availability) (unavailable []*fleetHost) {
	if kind == frozen {
		return f.hosts[:1+f.rng.IntN(3)]
	}
	fraction := 1/3.0 + f.rng.Float64()/6
	for _, h := range f.hosts {
		if f.rng.Float64() < fraction {
			unavailable = append(unavailable, h)
		}
	}
	return unavailable
}

// TestServersWhoseEntriesLapseInAnOutage checks that a fleet does not lose its servers in an outage
// of the store. The store fails for all hosts, the entries of live servers expire meanwhile, and
// they are written again within two seconds after the outage.
func TestServersWhoseEntriesLapseInAnOutage(t *testing.T) {
	for _, how := range []availability{silent, refused} {
		for _, hosts := range fleetSizes {
			for _, outage := range []time.Duration{3 * time.Second, 4500 * time.Millisecond, 9 * time.Second} {
				t.Run(fmt.Sprintf("%d hosts %v for %v", hosts, how, outage), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { expireEntriesInOutage(NewWithT(t), hosts, how, outage) })
				})
			}
		}
	}
}

func expireEntriesInOutage(g Gomega, hosts int, how availability, outage time.Duration) {
	const servers = 40
	f := startFleet(g, hosts, servers, 1)
	defer f.stop()
	for _, h := range f.hosts {
		h.setAvailability(how)
	}
	time.Sleep(outage)
	for i := range servers {
		f.tables[serverTable].write(deletedRow(serverName(i)))
	}
	for _, h := range f.hosts {
		h.setAvailability(present)
	}
	returned := time.Now()
	for i := range servers {
		time.Sleep(time.Until(returned.Add(time.Duration(i) * 1900 * time.Millisecond / servers)))
		f.tables[serverTable].write(readyRow(serverName(i)))
		for _, h := range f.hosts {
			g.Expect(h.countUsable()).To(Equal(servers), "host %d of %d, %v after the outage", h.index, hosts, time.Since(returned))
		}
	}
	time.Sleep(5 * time.Second)
	for _, h := range f.hosts {
		g.Expect(h.countUsable()).To(Equal(servers))
	}
}
