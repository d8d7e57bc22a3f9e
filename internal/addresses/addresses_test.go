package addresses

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAddresses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "addresses")
}

// fleet returns n hosts of a zone.
func fleet(zone string, n int, capacity, linkMbps uint32) (out []Host) {
	for i := range n {
		name := fmt.Sprint(zone, "-", capacity, "-", linkMbps, "-", i)
		out = append(out, Host{Address: name, Zone: zone, Capacity: capacity, LinkMbps: linkMbps})
	}
	return out
}

func withLoad(load uint32, hosts []Host) []Host {
	for i := range hosts {
		hosts[i].Load = load
	}
	return hosts
}

func join(groups ...[]Host) (out []Host) {
	for _, g := range groups {
		out = append(out, g...)
	}
	return out
}

const answers = 2000

// parts returns the part of the callers of a zone that each host gets, over many answers of directories
// that are built anew now and then. It checks what holds for each answer.
func parts(zone string, hosts []Host, homes *Zones) map[string]float64 {
	GinkgoHelper()
	rng := rand.New(rand.NewPCG(1, 2))
	out := map[string]float64{}
	var d *Directory
	for i := range answers {
		if i%20 == 0 {
			d = NewDirectory(hosts, homes, rng)
		}
		list := d.List(zone, rng)
		Expect(len(list)).To(BeNumerically("<=", MaxEntries))
		distinct := map[string]bool{}
		for _, h := range list {
			out[h.Address] += 1 / float64(len(list)) / answers
			distinct[h.Address] = true
		}
		Expect(len(distinct)).To(BeNumerically(">=", min(MinHosts, len(hosts))))
	}
	return out
}

// sum adds the parts of hosts.
func sum(parts map[string]float64, hosts []Host) (total float64) {
	for _, h := range hosts {
		total += parts[h.Address]
	}
	return total
}

var _ = Describe("the hosts of a zone", func() {
	// Hosts of 0.19 and of 0.8 cores got the same number of callers, so that the small ones were full
	// while the large ones had room.
	DescribeTable("get callers in proportion to what they can carry",
		func(small, large int) {
			smallHosts, largeHosts := fleet("a", small, 190, 0), fleet("a", large, 800, 0)
			p := parts("a", join(smallHosts, largeHosts), &Zones{})
			carried := float64(190*small + 800*large)
			for _, h := range join(smallHosts, largeHosts) {
				part := float64(h.Capacity) / carried
				drawn := part * answers * min(MaxEntries, carried/800) // at least, in the mean
				Expect(p[h.Address]/part).To(BeNumerically("~", 1, 5/math.Sqrt(drawn)), h.Address)
			}
			Expect(sum(p, largeHosts) * carried / 800 / float64(large)).To(BeNumerically("~", 1, 0.05))
			GinkgoWriter.Printf("%d of 0.19, %d of 0.8 cores: a large host gets %.2f times a small one's callers (4.21)\n",
				small, large, sum(p, largeHosts)/float64(large)/(sum(p, smallHosts)/float64(small)))
		},
		Entry("few, with entries more than once", 3, 3),
		Entry("a fleet of 22", 11, 11),
		Entry("one large host", 40, 1),
		Entry("a large fleet", 500, 50),
	)

	// A host behind a link of 10 Mbit/s was sent as many bytes as one behind 200 Mbit/s.
	It("get callers by their links where these are what limits them", func() {
		narrow, wide := fleet("a", 10, 800, 10), fleet("a", 10, 800, 200)
		p := parts("a", join(narrow, wide), &Zones{})
		Expect(sum(p, wide) / sum(p, narrow)).To(BeNumerically("~", 8, 1))
	})

	// Capacity alone sends the most callers to the largest hosts, of which one is the home. While it is busy
	// with callers, the requests of all hosts wait for its decisions.
	It("get half of their callers while they run the scheduler", func() {
		home, others := fleet("a", 1, 800, 0), join(fleet("a", 5, 801, 0), fleet("a", 52, 192, 0))
		home[0].Home = true
		p := parts("a", join(home, others), &Zones{})
		Expect(sum(p, home) / (sum(p, fleet("a", 5, 801, 0)) / 5)).To(BeNumerically("~", 0.5, 0.05))
	})

	// A host of another build doesn't state what it can carry.
	It("count as the mean of the others while what they can carry is unknown", func() {
		unknown := fleet("a", 10, 0, 0)
		p := parts("a", join(unknown, fleet("a", 10, 200, 0), fleet("a", 10, 800, 0)), &Zones{})
		Expect(sum(p, unknown)).To(BeNumerically("~", 1.0/3, 0.02))
	})

	// A deployment of equal hosts must see no change.
	It("need no directory when they are all alike and there is one zone", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		uniform := func(hosts ...[]Host) bool { return NewDirectory(join(hosts...), &Zones{}, rng).Uniform() }
		Expect(uniform(fleet("a", 100, 800, 200))).To(BeTrue())
		Expect(uniform(withLoad(200, fleet("a", 1, 800, 200)), fleet("a", 9, 800, 200))).To(BeTrue())
		Expect(uniform(fleet("a", 5, 0, 0))).To(BeTrue())
		Expect(uniform(nil)).To(BeTrue())
		Expect(uniform(fleet("a", 5, 800, 0), fleet("a", 5, 190, 0))).To(BeFalse())
		Expect(uniform(fleet("a", 5, 800, 0), fleet("b", 5, 800, 0))).To(BeFalse())
		Expect(uniform(fleet("a", 5, 800, 0), withLoad(Refusing, fleet("b", 5, 800, 0)))).To(BeFalse())
	})

	// With a fixed order, the same hosts would always be in an answer together, or some never.
	It("are all in some answer, equally often if they are alike", func() {
		for _, n := range []int{1, 7, 9, 72, 200} {
			p := parts("a", join(fleet("a", n, 800, 0), fleet("b", 50, 800, 0)), &Zones{})
			own := 0
			for _, h := range fleet("a", n, 800, 0) {
				Expect(p[h.Address]*float64(n)).To(BeNumerically("~", 1, 0.25), "%d hosts", n)
				own++
			}
			Expect(own).To(Equal(n))
		}
	})
})

var _ = Describe("a host's load", func() {
	// A host that is nearly full got as many callers as the others until it refused them.
	It("reduces its callers", func() {
		idle, busy, full := fleet("a", 10, 800, 0), withLoad(191, fleet("a", 10, 801, 0)), withLoad(240, fleet("a", 10, 802, 0))
		p := parts("a", join(idle, busy, full, fleet("b", 1, 800, 0)), &Zones{})
		Expect(sum(p, busy) / sum(p, idle)).To(BeNumerically("~", 0.75, 0.05))
		Expect(sum(p, full) / sum(p, idle)).To(BeNumerically("~", 0.56, 0.05))
	})

	It("takes it out of the answers while it refuses requests, unless all do", func() {
		refusing, others := withLoad(Refusing, fleet("a", 4, 190, 0)), fleet("a", 20, 800, 0)
		Expect(sum(parts("a", join(refusing, others), &Zones{}), refusing)).To(BeZero())
		Expect(sum(parts("a", refusing, &Zones{}), refusing)).To(BeNumerically("~", 1, 1e-6))
	})

	// A figure that gossip delivered long ago says nothing about the host now: a host that was full then
	// would get no callers until the next one arrives, which takes minutes in a large fleet.
	It("counts no longer once it is out of date", func() {
		old, others := withLoad(Refusing, fleet("a", 10, 800, 0)), fleet("a", 10, 801, 0)
		for i := range old {
			old[i].LoadAge = maxLoadAge
		}
		p := parts("a", join(old, others, fleet("b", 1, 800, 0)), &Zones{})
		Expect(sum(p, old)).To(BeNumerically("~", 0.5, 0.02))
	})

	// All callers sent to the one idle host would fill it at once.
	It("gives a host that has just started its part and no more", func() {
		started, others := fleet("a", 1, 801, 0), withLoad(150, fleet("a", 19, 800, 0))
		p := parts("a", join(started, others, fleet("b", 20, 800, 0)), &Zones{})
		Expect(sum(p, started)).To(BeNumerically("<", 0.06))
		Expect(sum(p, started)).To(BeNumerically(">=", 0.05))
	})
})

var _ = Describe("the availability zone", func() {
	// Bytes between zones are paid for, and most callers were sent to other zones.
	It("keeps its callers while its hosts can carry them", func() {
		own := withLoad(120, fleet("a", 10, 800, 0))
		hosts := join(own, withLoad(20, fleet("b", 30, 800, 0)))
		homes := &Zones{}
		homes.Update(time.Unix(0, 0), hosts)
		Expect(sum(parts("a", hosts, homes), own)).To(BeNumerically("~", 1, 1e-6))
		Expect(sum(parts("b", hosts, homes), own)).To(BeZero())
	})

	// The loss of a zone's few hosts leaves its callers two seconds with nothing else.
	It("lists some hosts of others when it has few, and gives these few callers", func() {
		own := fleet("a", 2, 800, 0)
		p := parts("a", join(own, fleet("b", 30, 800, 0)), &Zones{})
		Expect(sum(p, own)).To(BeNumerically("~", 1-6.0/MaxEntries, 0.01))
	})

	It("lists the hosts of others when its own are all gone, when all refuse, or when it is unknown", func() {
		others := join(fleet("b", 10, 800, 0), fleet("c", 10, 200, 0))
		for _, zone := range []string{"a", ""} {
			p := parts(zone, others, &Zones{})
			Expect(sum(p, fleet("c", 10, 200, 0))).To(BeNumerically("~", 0.2, 0.02))
		}
		own := withLoad(Refusing, fleet("a", 10, 800, 0))
		Expect(sum(parts("a", join(own, others), &Zones{}), others)).To(BeNumerically("~", 1, 1e-6))
	})

	// A step that is repeated before its effect shows sends nearly all callers away.
	It("sends part of its callers to others near its limits, one step at a time", func() {
		homes, now := &Zones{}, time.Unix(0, 0)
		hosts := func(load uint32) []Host {
			return join(withLoad(load, fleet("a", 10, 800, 0)), withLoad(50, fleet("b", 30, 800, 0)))
		}
		homes.Update(now, hosts(230))
		first := homes.Share("a")
		Expect(first).To(BeNumerically("~", aimedLoad/(230.0/255), 0.01))
		homes.Update(now.Add(stepTime-time.Millisecond), hosts(230))
		Expect(homes.Share("a")).To(Equal(first))
		homes.Update(now.Add(stepTime), hosts(255))
		Expect(homes.Share("a")).To(Equal(first / 2))
		Expect(homes.Share("b")).To(BeNumerically("==", 1))
		p := parts("a", hosts(255-20), homes)
		Expect(sum(p, fleet("a", 10, 800, 0))).To(BeNumerically("~", first/2, 0.02))
		for i := range 3 {
			homes.Update(now.Add(time.Duration(i+2)*stepTime), hosts(30))
		}
		Expect(homes.Share("a")).To(BeNumerically("==", 1))
	})

	// Memory stays in use long after the callers that needed it have gone, and a zone whose load stayed
	// between two bounds would never get them back.
	It("gets its callers back while its load is below the limits but not low", func() {
		homes, now := &Zones{}, time.Unix(0, 0)
		hosts := func(load uint32) []Host {
			return join(withLoad(load, fleet("a", 10, 800, 0)), withLoad(50, fleet("b", 30, 800, 0)))
		}
		homes.Update(now, hosts(250))
		Expect(homes.Share("a")).To(BeNumerically("==", 0.5))
		for i := range 15 {
			homes.Update(now.Add(time.Duration(i+1)*stepTime), hosts(180))
		}
		Expect(homes.Share("a")).To(BeNumerically("==", 1))
	})

	It("keeps its callers where the others are as full, or where there are no others", func() {
		homes := &Zones{}
		homes.Update(time.Unix(0, 0), join(withLoad(240, fleet("a", 10, 800, 0)), withLoad(235, fleet("b", 30, 800, 0))))
		Expect(homes.Share("a")).To(BeNumerically("==", 1))
		homes.Update(time.Unix(9, 0), withLoad(255, fleet("a", 10, 800, 0)))
		Expect(homes.Share("a")).To(BeNumerically("==", 1))
	})

	// Figures of other zones are often out of date in a large fleet.
	It("sends callers to others of which the load is unknown", func() {
		homes := &Zones{}
		homes.Update(time.Unix(0, 0), join(withLoad(240, fleet("a", 10, 800, 0)), fleet("b", 30, 800, 0)))
		Expect(homes.Share("a")).To(BeNumerically("<", 1))
	})
})

// playCallers plays callers of zones a and b, of whom some look up in each second and keep the answer for
// two, and hosts whose load follows from their callers, as a figure of three seconds ago. demand is in
// thousandths of a core, by zone. It returns the mean load of each zone's hosts and the load of each host,
// in each second.
func playCallers(hosts []Host, seconds, lookups int, demand func(second int, zone string) float64) (byZone map[string][]float64, byHost [][]float64) {
	const delay = 3 // of load figures, seconds
	rng := rand.New(rand.NewPCG(3, 4))
	homes := &Zones{}
	history := make([][]float64, 0, seconds+delay)
	kept := map[string][2]map[string]float64{} // by zone, parts of the hosts by the look-ups of the last two seconds
	out := map[string][]float64{}
	for second := range seconds {
		for i := range hosts {
			hosts[i].Load = 0
			if at := second - delay; at >= 0 {
				hosts[i].Load = uint32(max(1, min(254, history[at][i]*255)))
			}
		}
		homes.Update(time.Unix(int64(second), 0), hosts)
		carried := map[string]float64{}
		for _, zone := range []string{"a", "b"} {
			d := NewDirectory(hosts, homes, rng)
			p := map[string]float64{}
			for range lookups {
				list := d.List(zone, rng)
				for _, h := range list {
					p[h.Address] += 1 / float64(len(list)) / float64(lookups)
				}
			}
			before := kept[zone][1]
			if before == nil {
				before = p
			}
			kept[zone] = [2]map[string]float64{before, p}
			for _, h := range hosts {
				carried[h.Address] += (before[h.Address] + p[h.Address]) / 2 * demand(second, zone)
			}
		}
		loads := make([]float64, len(hosts))
		mean, n := map[string]float64{}, map[string]float64{}
		for i, h := range hosts {
			loads[i] = carried[h.Address] / float64(h.Capacity)
			mean[h.Zone] += loads[i]
			n[h.Zone]++
		}
		for zone := range mean {
			out[zone] = append(out[zone], mean[zone]/n[zone])
		}
		history = append(history, loads)
	}
	return out, history
}

var _ = Describe("callers and hosts together", func() {
	// One zone with two hosts and four times the callers that these can carry.
	It("bring a full zone below its limits within half a minute, and keep it there", func() {
		hosts := join(fleet("a", 2, 400, 0), fleet("b", 20, 800, 0))
		loads, _ := playCallers(hosts, 120, 100, func(_ int, zone string) float64 {
			return map[string]float64{"a": 3200, "b": 3000}[zone]
		})
		GinkgoWriter.Printf("zone a %.2f\nzone b %.2f\n", loads["a"], loads["b"])
		for second := 30; second < 120; second++ {
			Expect(loads["a"][second]).To(BeNumerically("~", (aimedLoad+highLoad)/2, 0.2), "second %d", second)
		}
	})

	// A surplus that ends must not leave callers in other zones for good.
	It("bring the callers back after a surplus", func() {
		hosts := join(fleet("a", 10, 800, 0), fleet("b", 20, 800, 0))
		loads, _ := playCallers(hosts, 120, 100, func(second int, zone string) float64 {
			if zone == "a" && second >= 10 && second < 40 {
				return 12000
			}
			return 3000
		})
		GinkgoWriter.Printf("zone a %.2f\nzone b %.2f\n", loads["a"], loads["b"])
		Expect(loads["a"][35]).To(BeNumerically("<", 0.95))
		for second := 70; second < 120; second++ {
			Expect(loads["a"][second]).To(BeNumerically("~", 0.375, 0.02), "second %d", second)
		}
	})

	// Hosts that are avoided and used again in turn are full half of the time.
	It("don't make hosts of one zone take turns in being full", func() {
		hosts := join(fleet("a", 10, 800, 0), fleet("a", 10, 400, 0), fleet("b", 20, 800, 0))
		for _, demand := range []float64{6000, 8400, 10200} {
			loads, byHost := playCallers(hosts, 90, 600, func(_ int, zone string) float64 {
				return map[string]float64{"a": demand, "b": 0}[zone]
			})
			GinkgoWriter.Printf("zone a at %.0f of 12000: %.2f\n", demand, loads["a"])
			widest := 0.0
			for second := 60; second < 90; second++ {
				Expect(loads["a"][second]).To(BeNumerically("<=", max(demand/12000, highLoad)+0.05))
				Expect(loads["a"][second]).To(BeNumerically(">=", min(demand/12000, aimedLoad)-0.05))
				own := byHost[second][:20]
				widest = max(widest, slices.Max(own)-slices.Min(own))
			}
			GinkgoWriter.Printf("widest difference between two hosts %.2f\n", widest)
			Expect(widest).To(BeNumerically("<", 0.35))
		}
	})
})

// BenchmarkList measures one answer.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{250, 2000, 20000} {
		hosts := join(fleet("a", n/2, 190, 0), fleet("b", n/2, 800, 0))
		rng := rand.New(rand.NewPCG(1, 2))
		b.Run(fmt.Sprint("hosts ", n), func(b *testing.B) {
			d := NewDirectory(hosts, &Zones{}, rng)
			for b.Loop() {
				d.List("a", rng)
			}
		})
		b.Run(fmt.Sprint("build ", n), func(b *testing.B) {
			for b.Loop() {
				NewDirectory(hosts, &Zones{}, rng)
			}
		})
	}
}
