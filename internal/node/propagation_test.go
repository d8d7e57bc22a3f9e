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

// These specs run the duties that follow the tables of servers and of the operator for whole
// fleets, in virtual time: hosts that read the store, relays, and what each host knows.

// drainBound is how long after the store has acknowledged that a server leaves it may still
// be sent work, by the size of the fleet.
func drainBound(hosts int) time.Duration {
	switch {
	case hosts < 50:
		return 2 * time.Second
	case hosts < 150:
		return 3 * time.Second
	}
	return 4 * time.Second
}

// fleetSizes are the sizes at which the specs run, from the smallest site to the largest
// planned one.
var fleetSizes = []int{6, 60, 195, 390}

// lateSpan is the longest that hosts went on using servers that had left, after the store had
// acknowledged it, by how these servers left; and lacked a configuration.
type lateSpan struct{ draining, gone, config time.Duration }

// add takes what a host did after the i-th server left and the configuration changed.
func (l *lateSpan) add(h *fleetHost, i int, at time.Time) {
	late := h.lateness(server(i), at)
	if i%2 == 0 {
		l.draining = max(l.draining, late)
	} else {
		l.gone = max(l.gone, late)
	}
	l.config = max(l.config, h.lacked(i+1, at))
}

func (l lateSpan) check(t *testing.T, who string, hosts int) {
	for what, late := range map[string]time.Duration{"entry taken away": l.gone, "draining": l.draining, "configuration": l.config} {
		t.Run(who+", "+what, func(t *testing.T) {
			t.Log(late)
			NewWithT(t).Expect(late).To(BeNumerically("<", drainBound(hosts)))
		})
	}
}

// Guards against servers that get work long after they have left: the store turns all its
// readers and a third of the others away while it serves the rest, and servers leave, by
// saying so or by taking their entry away, meanwhile and after its return.
func TestServersThatLeaveWhileTheReadersAreTurnedAway(t *testing.T) {
	for _, how := range []absence{silent, refused} {
		for _, hosts := range fleetSizes {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%d hosts %v seed %d", hosts, how, seed), func(t *testing.T) {
					var home, inTouch lateSpan
					synctest.Test(t, func(t *testing.T) {
						f := startFleet(NewWithT(t), hosts, leavers+20, seed)
						defer f.stop()
						var cut []*fleetHost
						for i, h := range f.hosts {
							if i < testReaders || i != testReaders && f.seed.IntN(3) == 0 {
								h.setAbsence(how)
								cut = append(cut, h)
							}
						}
						home, inTouch = f.leaveWithout(cut, 9*time.Second)
					})
					inTouch.check(t, "hosts in touch", hosts)
					home.check(t, "home", hosts)
				})
			}
		}
	}
}

// Guards against the same while the home stands still, alone and with the next readers: hosts
// wait for their word, and dial them in vain.
func TestServersThatLeaveWhileReadersStandStill(t *testing.T) {
	for _, hosts := range fleetSizes {
		for still := 1; still <= 3; still++ {
			t.Run(fmt.Sprintf("%d hosts %d still", hosts, still), func(t *testing.T) {
				var inTouch lateSpan
				synctest.Test(t, func(t *testing.T) {
					f := startFleet(NewWithT(t), hosts, leavers+20, uint64(still))
					defer f.stop()
					for _, h := range f.hosts[:still] {
						h.strike(frozen)
					}
					_, inTouch = f.leaveWithout(f.hosts[:still], 4*time.Second)
				})
				inTouch.check(t, "hosts in touch", hosts)
			})
		}
	}
}

// Of leavers, one leaves each leaveEvery.
const (
	leavers    = 52
	leaveEvery = 250 * time.Millisecond
)

// leaveWithout lets servers leave while hosts are away, and after their return. It returns how
// late the home was, whose list decides for all hosts, and how late those in touch all along.
func (f *testFleet) leaveWithout(away []*fleetHost, span time.Duration) (home, inTouch lateSpan) {
	begun := time.Now()
	left := make([]time.Time, leavers)
	for i := range leavers {
		time.Sleep(time.Until(begun.Add(time.Duration(i)*leaveEvery + time.Duration(f.seed.Int64N(int64(leaveEvery))))))
		if time.Since(begun) > span {
			for _, h := range away {
				h.setAbsence(present)
			}
		}
		f.leave(i)
		f.configure(i + 1)
		left[i] = time.Now()
	}
	time.Sleep(10 * time.Second)
	for i, at := range left {
		home.add(f.hosts[0], i, at)
		for _, h := range f.hosts {
			if !slices.Contains(away, h) {
				inTouch.add(h, i, at)
			}
		}
	}
	return home, inTouch
}

// Guards against the same in outages of any part of the fleet, one after the other: a third to
// a half of the hosts hear nothing of the store or are refused, or some readers stand still.
// PROPAGATION_SEEDS is how many seeds are played; without it one, and those that failed once.
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
				var late lateSpan
				synctest.Test(t, func(t *testing.T) { late = leaveInRandomOutages(NewWithT(t), hosts, seed) })
				late.check(t, "hosts in touch", hosts)
			})
		}
	}
}

// leaveInRandomOutages returns how late hosts were that were in touch from an outage before
// until the bound.
func leaveInRandomOutages(g Gomega, hosts int, seed uint64) (late lateSpan) {
	const (
		outages = 4
		rest    = 4 * time.Second // longer than any bound of these sizes
	)
	f := startFleet(g, hosts, leavers+20, seed)
	defer f.stop()
	next := 0
	for range outages {
		kind := absence(1 + f.seed.IntN(3))
		away := f.draw(kind)
		for _, h := range away {
			h.strike(kind)
		}
		span := time.Duration(3+f.seed.IntN(7)) * time.Second
		left := map[int]time.Time{}
		for begun := time.Now(); time.Since(begun) < span+rest; {
			if time.Since(begun) > span {
				for _, h := range away {
					h.setAbsence(present)
				}
			}
			if time.Since(begun) < span+rest-drainBound(hosts) && next < leavers {
				f.leave(next)
				f.configure(next + 1)
				left[next] = time.Now()
				next++
			}
			time.Sleep(time.Duration(300+f.seed.IntN(900)) * time.Millisecond)
		}
		for i, at := range left {
			for _, h := range f.hosts {
				if !slices.Contains(away, h) {
					late.add(h, i, at)
				}
			}
		}
	}
	return late
}

// draw picks the hosts that an outage strikes: some readers that stand still, or a part of all.
func (f *testFleet) draw(kind absence) (away []*fleetHost) {
	if kind == frozen {
		return f.hosts[:1+f.seed.IntN(3)]
	}
	share := 1/3.0 + f.seed.Float64()/6
	for _, h := range f.hosts {
		if f.seed.Float64() < share {
			away = append(away, h)
		}
	}
	return away
}

// Guards against a fleet without servers: the store is away for all, entries of servers that
// live lapse meanwhile, and are back within two seconds of its return.
func TestServersWhoseEntriesLapseInAnOutage(t *testing.T) {
	for _, how := range []absence{silent, refused} {
		for _, hosts := range fleetSizes {
			for _, away := range []time.Duration{3 * time.Second, 4500 * time.Millisecond, 9 * time.Second} {
				t.Run(fmt.Sprintf("%d hosts %v for %v", hosts, how, away), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { lapseInAnOutage(NewWithT(t), hosts, how, away) })
				})
			}
		}
	}
}

func lapseInAnOutage(g Gomega, hosts int, how absence, away time.Duration) {
	const servers = 40
	f := startFleet(g, hosts, servers, 1)
	defer f.stop()
	for _, h := range f.hosts {
		h.setAbsence(how)
	}
	time.Sleep(away)
	for i := range servers {
		f.tables[serverTable].write(gone(server(i)))
	}
	for _, h := range f.hosts {
		h.setAbsence(present)
	}
	returned := time.Now()
	for i := range servers {
		time.Sleep(time.Until(returned.Add(time.Duration(i) * 1900 * time.Millisecond / servers)))
		f.tables[serverTable].write(ready(server(i)))
		for _, h := range f.hosts {
			g.Expect(h.uses()).To(Equal(servers), "host %d of %d, %v after the return", h.index, hosts, time.Since(returned))
		}
	}
	time.Sleep(5 * time.Second)
	for _, h := range f.hosts {
		g.Expect(h.uses()).To(Equal(servers))
	}
}
