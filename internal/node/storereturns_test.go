package node

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// stableWindow is how long a host and the store must have had no fault for the host to be in touch.
const stableWindow = 3 * time.Second

// TestChangesAfterTheStoreFailedOnce checks that a change is in force in time at hosts that are in touch again: the store
// turned them away for a moment, and since then other hosts don't answer them. A host that asks all others before it
// asks the store again is late.
func TestChangesAfterTheStoreFailedOnce(t *testing.T) {
	nothing := fleetFault{"nothing", func(*testFleet) []*fleetHost { return nil }}
	pair := fleetFault{"two zones parted from each other", func(f *testFleet) []*fleetHost {
		f.partPairs(func(a, b *fleetHost) bool { return a.zone() == 0 && b.zone() == 1 })
		return nil
	}}
	for _, hosts := range []int{7, 30, 60} {
		for _, how := range []availability{refused, silent} {
			for _, other := range []fleetFault{nothing, cut("a zone parted from the others", 1), cut("the home's zone parted from the others", 0), pair} {
				t.Run(fmt.Sprintf("%d hosts %v, %s", hosts, how, other.name), func(t *testing.T) {
					worst, after := time.Duration(0), [2]time.Duration{}
					for _, fault := range []time.Duration{-2 * time.Second, 0, 1600 * time.Millisecond} {
						for _, change := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond} {
							synctest.Test(t, func(t *testing.T) {
								if late := changeAfterOutage(NewWithT(t), hosts, how, 1500*time.Millisecond, other, fault, change); late > worst {
									worst, after = late, [2]time.Duration{fault, change}
								}
							})
						}
					}
					t.Logf("late by up to %v, with the other fault %v and the change %v after the end of the outage", worst, after[0], after[1])
					NewWithT(t).Expect(worst).To(BeZero())
				})
			}
		}
	}
}

// changeAfterOutage makes the store unavailable to all hosts for a time and returns how much later than due a change is in
// force at the hosts that have no other fault: due within the bound, and at the end of the stable window at the earliest. The
// other fault and the change come at a time after the end of the outage.
func changeAfterOutage(g Gomega, hosts int, how availability, outage time.Duration, other fleetFault, fault, change time.Duration) (late time.Duration) {
	f := startFleet(g, hosts, 4, 1)
	defer f.stop()
	end := time.Now().Add(4 * time.Second)
	var affected []*fleetHost
	var changedAt time.Time
	type step struct {
		at time.Duration
		do func()
	}
	steps := []step{
		{-outage, func() {
			for _, h := range f.hosts {
				if h.availability() == present {
					h.makeUnavailable(how)
				}
			}
		}},
		{0, func() {
			for _, h := range f.hosts {
				if h.availability() == how {
					h.setAvailability(present)
				}
			}
		}},
		{fault, func() { affected = append(affected, other.begin(f)...) }},
		{change, func() {
			f.writeConfig(1)
			changedAt = time.Now()
		}},
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	for _, s := range steps {
		time.Sleep(time.Until(end.Add(s.at)))
		s.do()
	}
	time.Sleep(10 * time.Second)
	due := changedAt.Add(drainBound(hosts))
	if stable := end.Add(stableWindow); stable.After(due) {
		due = stable
	}
	for _, h := range f.hosts {
		if !slices.Contains(affected, h) {
			late = max(late, h.configDelay(1, due))
		}
	}
	for _, h := range affected {
		h.setAvailability(present)
	}
	return late
}

// TestChangesAfterAnAnswerWasHeldUp checks that an answer with a change that was held up on its way to the home doesn't hide
// a change made just after it, when the home stands still once it has passed the first one on.
func TestChangesAfterAnAnswerWasHeldUp(t *testing.T) { changeAfterHeldUpAnswer(t, 7, 60) }

// TestChangesAfterAnAnswerWasHeldUpWithThirtyHosts is the same at the size at which followers have the least time.
func TestChangesAfterAnAnswerWasHeldUpWithThirtyHosts(t *testing.T) { changeAfterHeldUpAnswer(t, 30) }

func changeAfterHeldUpAnswer(t *testing.T, sizes ...int) {
	for _, hosts := range sizes {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			worst, at := time.Duration(0), [2]time.Duration{}
			for _, delay := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond} {
				for phase := time.Duration(0); phase < 700*time.Millisecond; phase += 100 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) {
						f := startFleet(NewWithT(t), hosts, 4, 1)
						defer f.stop()
						time.Sleep(time.Second + phase)
						home := f.hosts[0]
						home.setStorePath(delay, 0)
						f.writeConfig(1)
						time.Sleep(10 * time.Millisecond)
						f.writeConfig(2)
						second := time.Now()
						time.Sleep(delay + 10*time.Millisecond)
						home.makeUnavailable(frozen)
						time.Sleep(6 * time.Second)
						for _, h := range f.hosts[1:] {
							if d := h.configDelay(2, second); d > worst {
								worst, at = d, [2]time.Duration{delay, phase}
							}
						}
						home.setAvailability(present)
					})
				}
			}
			t.Logf("in force after %v at the latest, with an answer held up for %v, phase %v", worst, at[0], at[1])
			NewWithT(t).Expect(worst).To(BeNumerically("<", drainBound(hosts)))
		})
	}
}

// TestWholeReadsThatTakeTheirTime checks that a reader whose link takes a good half second for a whole table doesn't take the
// store for unavailable each time it reads the table again, and that changes are in force in time meanwhile.
func TestWholeReadsThatTakeTheirTime(t *testing.T) {
	for _, hosts := range []int{1, 7, 30} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(NewWithT(t), hosts, 4, 1)
				defer f.stop()
				for _, h := range f.hosts {
					h.setStorePath(0, 600*time.Millisecond)
				}
				worst, failures := time.Duration(0), 0
				var at [121]time.Time
				for i := 1; i <= 120; i++ {
					f.writeConfig(i)
					at[i] = time.Now()
					for range 26 {
						time.Sleep(10 * time.Millisecond)
						if _, _, err := f.hosts[0].relays.Table(operatorTable).Snapshot(f.ctx); err != nil {
							failures++
						}
					}
				}
				time.Sleep(4 * time.Second)
				for i := 1; i <= 120; i++ {
					for _, h := range f.hosts {
						worst = max(worst, h.configDelay(i, at[i]))
					}
				}
				t.Logf("in force after %v at the latest; the home took the store for unavailable for %v of 31 s", worst, time.Duration(failures)*10*time.Millisecond)
				NewWithT(t).Expect(worst).To(BeNumerically("<", drainBound(hosts)))
				NewWithT(t).Expect(failures).To(BeZero())
			})
		})
	}
}

// TestChangesAtHostsPartedFromAllOthers checks that a change is in force in time at hosts that reach the store and no other
// host, however often they have had to read the store themselves.
func TestChangesAtHostsPartedFromAllOthers(t *testing.T) { changesAtPartedHosts(t, 30, 60, 195) }

// TestChangesAtHostsPartedFromAllOthersOfMany is the same where many hosts take turns.
func TestChangesAtHostsPartedFromAllOthersOfMany(t *testing.T) { changesAtPartedHosts(t, 390) }

func changesAtPartedHosts(t *testing.T, sizes ...int) {
	for _, hosts := range sizes {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			worst, first := time.Duration(0), time.Duration(0)
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(NewWithT(t), hosts, 4, 1)
				defer f.stop()
				parted := f.hosts[20:28]
				f.partPairs(func(a, b *fleetHost) bool { return a != b && slices.Contains(parted, a) })
				var at [21]time.Time
				for i := 1; i <= 20; i++ {
					f.writeConfig(i)
					at[i] = time.Now()
					time.Sleep(1300 * time.Millisecond)
				}
				time.Sleep(20 * time.Second)
				for i := 1; i <= 20; i++ {
					for _, h := range parted {
						d := h.configDelay(i, at[i])
						if worst = max(worst, d); at[i].Sub(at[1]) < drainBound(hosts) {
							first = max(first, d)
						}
					}
				}
			})
			t.Logf("in force after %v at the latest, %v of the changes within a bound of the cut", worst, first)
			NewWithT(t).Expect(worst).To(BeNumerically("<", drainBound(hosts)))
		})
	}
}
