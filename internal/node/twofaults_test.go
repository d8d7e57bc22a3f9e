package node

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// fleetFault is a fault of some hosts of a fleet. begin starts it and returns the hosts that are no longer in touch.
type fleetFault struct {
	name  string
	begin func(f *testFleet) []*fleetHost
}

// hostsOfZone returns the hosts of a zone. That of the home is zone 0.
func (f *testFleet) hostsOfZone(zone int) (hosts []*fleetHost) {
	for _, h := range f.hosts {
		if h.zone() == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// storeFault makes the store unavailable to the hosts of a zone.
func storeFault(name string, zone int, how availability) fleetFault {
	return fleetFault{name, func(f *testFleet) []*fleetHost {
		hosts := f.hostsOfZone(zone)
		for _, h := range hosts {
			h.makeUnavailable(how)
		}
		return hosts
	}}
}

// freeze makes hosts stand still.
func freeze(name string, first, last int) fleetFault {
	return fleetFault{name, func(f *testFleet) []*fleetHost {
		hosts := f.hosts[first:min(last, len(f.hosts))]
		for _, h := range hosts {
			h.makeUnavailable(frozen)
		}
		return hosts
	}}
}

// cut parts a zone from the other hosts. All hosts still reach the store, so they are in touch.
func cut(name string, zone int) fleetFault {
	return fleetFault{name, func(f *testFleet) []*fleetHost {
		f.cutZone(zone)
		return nil
	}}
}

// TestChangesWhileTwoFaultsFollowEachOther checks that a change is in force in time at each host in touch while the
// sources that it follows fail one after the other: the waits for each must not add up.
func TestChangesWhileTwoFaultsFollowEachOther(t *testing.T) {
	nothing := fleetFault{"nothing", func(*testFleet) []*fleetHost { return nil }}
	pairs := [][2]fleetFault{
		{cut("a zone parted from the others", 2), nothing},
		{cut("the home's zone parted from the others", 0), nothing},
		{storeFault("the home's zone silent to the store", 0, silent), nothing},
		{storeFault("the home's zone silent to the store", 0, silent), freeze("the home frozen", 0, 1)},
		{storeFault("the home's zone silent to the store", 0, silent), freeze("the next reader frozen", 1, 2)},
		{storeFault("the home's zone silent to the store", 0, silent), freeze("the home and four readers frozen", 0, 5)},
		{freeze("the home frozen", 0, 1), freeze("the next reader frozen", 1, 2)},
		{freeze("the home frozen", 0, 1), storeFault("the next reader's zone silent to the store", 1, silent)},
		{freeze("the home frozen", 0, 1), cut("a zone parted from the others", 1)},
		{cut("a zone parted from the others", 2), freeze("the home frozen", 0, 1)},
		{cut("the home's zone parted from the others", 0), freeze("the home frozen", 0, 1)},
		{cut("the home's zone parted from the others", 0), storeFault("the home's zone silent to the store", 0, silent)},
		{storeFault("the home's zone refused by the store", 0, refused), freeze("the next reader frozen", 1, 2)},
	}
	for _, hosts := range []int{7, 30, 195} {
		for _, pair := range pairs {
			t.Run(fmt.Sprintf("%d hosts: %s then %s", hosts, pair[0].name, pair[1].name), func(t *testing.T) {
				worst, after := time.Duration(0), [2]time.Duration{}
				changes := []time.Duration{0, 600 * time.Millisecond}
				seconds := []time.Duration{0, 800 * time.Millisecond, 1400 * time.Millisecond}
				if hosts < 50 { // a large fleet takes a second for each
					changes = append(changes, -300*time.Millisecond, 300*time.Millisecond, 900*time.Millisecond)
					seconds = append(seconds, 400*time.Millisecond)
				}
				for _, change := range changes {
					for _, second := range seconds {
						var delays propagationDelays
						synctest.Test(t, func(t *testing.T) { delays = changeBetweenFaults(NewWithT(t), hosts, pair, second, change) })
						if d := max(delays.config, delays.draining); d > worst {
							worst, after = d, [2]time.Duration{change, second}
						}
					}
				}
				t.Logf("in force after %v at the latest, with the change %v and the second fault %v after the first", worst, after[0], after[1])
				NewWithT(t).Expect(worst).To(BeNumerically("<", drainBound(hosts)))
			})
		}
	}
}

// changeBetweenFaults makes a configuration and the word of a server that leaves known at a time after the first fault, and
// returns the longest delays at the hosts in touch.
func changeBetweenFaults(g Gomega, hosts int, pair [2]fleetFault, second, change time.Duration) (delays propagationDelays) {
	f := startFleet(g, hosts, 4, 1)
	defer f.stop()
	start := time.Now().Add(time.Second)
	var affected []*fleetHost
	var changedAt time.Time
	steps := []struct {
		at time.Duration
		do func()
	}{
		{0, func() { affected = append(affected, pair[0].begin(f)...) }},
		{second, func() { affected = append(affected, pair[1].begin(f)...) }},
		{change, func() {
			f.stopServer(0)
			f.writeConfig(1)
			changedAt = time.Now()
		}},
	}
	slices.SortStableFunc(steps, func(a, b struct {
		at time.Duration
		do func()
	},
	) int {
		return int(a.at - b.at)
	})
	for _, s := range steps {
		time.Sleep(time.Until(start.Add(s.at)))
		s.do()
	}
	time.Sleep(drainBound(hosts) + 2*time.Second)
	for _, h := range f.hosts {
		if !slices.Contains(affected, h) {
			delays.add(h, 0, changedAt)
		}
	}
	for _, h := range affected {
		h.setAvailability(present)
	}
	return delays
}
