// Package addresses chooses the entry addresses that a look-up returns: which live hosts, and how
// often each.
//
// Callers pick one address of an answer at random for each new connection, so a host's part of the
// callers is its part of the entries of all answers. A Directory is built from the live hosts about once
// a second. List draws one answer from it, at a cost that does not depend on the number of hosts. Zones
// holds the part of each availability zone's callers that stays in the zone.
package addresses

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Host is a live entry host.
type Host struct {
	ID       uint64 // of its incarnation
	Address  string
	Zone     string
	Capacity uint32 // thousandths of a processor core, 0: unknown
	LinkMbps uint32 // 0: unknown
	Load     uint32 // the part in use of its scarcest resource in 255ths, 0: unknown
	LoadAge  time.Duration
	Home     bool // runs the scheduler for all hosts
}

const (
	// MaxEntries is the maximum number of entries in an answer; callers keep no more.
	MaxEntries = 64
	// MinHosts is the minimum number of different hosts in an answer where there are as many. Callers
	// keep an answer for two seconds and try again once, and several hosts may end at the same time.
	MinHosts = 8
	// Refusing is the load figure of a host that refuses new requests. Lower figures are at most
	// Refusing-1.
	Refusing = 255
	// maxLoadAge is the age from which a load figure counts as unknown. Hosts of a zone of 40 hear a
	// figure of each other every two seconds or so; in a fleet of 2,000, most figures of other zones
	// are older and don't count.
	maxLoadAge = 10 * time.Second
	// mbpsPerCore is the traffic in one direction that keeps one core of an entry host busy: 1 ms a
	// request (docs/CAPACITY.md) of 12.5 KB. The size is an estimate, so links count only where they
	// are far smaller than the processors beside them.
	mbpsPerCore = 100
	// alikeRatio is the ratio of the largest capacity to the smallest up to which hosts count as alike.
	alikeRatio = 1.1
	// relievedLoad is the load from which a host gets less than its part of the callers. From there
	// its part falls linearly to minRelief at full load. Up to a load of 0.75 a host's part then falls
	// by about as much as its load rises. With a fall to 0.3 hosts took turns in being full, since load
	// figures and answers are seconds old: in the spec of callers and hosts together, the loads of two
	// hosts then differed by 0.80, with this one by 0.14.
	relievedLoad = 0.5
	minRelief    = 0.5
	// homeRelief is the part of its callers that the home gets. Its scheduler uses up to 0.26 of 0.8
	// cores (docs/CAPACITY.md), and the requests of all hosts wait while it is slow.
	homeRelief = 0.5
)

// knownLoad returns the load of a host as a fraction, and whether it is known and not out of date.
func (h *Host) knownLoad() (float64, bool) {
	if h.Load == 0 || h.LoadAge >= maxLoadAge {
		return 0, false
	}
	return float64(min(h.Load, Refusing)) / Refusing, true
}

// refuses reports whether the host refuses new requests, as far as is known.
func (h *Host) refuses() bool {
	_, known := h.knownLoad()
	return known && h.Load >= Refusing
}

// carries returns what a host can carry in thousandths of a core, 0 if that is unknown.
func (h *Host) carries() float64 {
	capacity, link := float64(h.Capacity), float64(h.LinkMbps)*1000/mbpsPerCore
	if capacity == 0 || link > 0 && link < capacity {
		return link
	}
	return capacity
}

// relief returns the factor by which a host's load and its duties reduce its part of the callers. A host without a
// known load, such as one that has just started, gets its part in full, but never more than that.
func (h *Host) relief() float64 {
	factor := 1.0
	if h.Home {
		factor = homeRelief
	}
	if load, _ := h.knownLoad(); load > relievedLoad {
		factor *= 1 - (1-minRelief)*(load-relievedLoad)/(1-relievedLoad)
	}
	return factor
}

// zone is the range of a zone's hosts in a directory.
type zone struct {
	from, to int
	alike    float64 // the sum of the weights divided by the largest one: how many full hosts they make
}

// Directory is what answers are drawn from. It is not changed once built, except for its random source.
type Directory struct {
	hosts   []Host    // by zone
	weights []float64 // by host
	before  []float64 // the sum of the weights of the hosts before it, and at the end of all hosts
	zones   map[string]zone
	all     zone
	uniform bool
	homes   *Zones
}

// NewDirectory builds the directory of the live hosts. rng decides the order of hosts, so that the
// answers drawn from different directories combine hosts differently.
func NewDirectory(hosts []Host, homes *Zones, rng *rand.Rand) *Directory {
	d := &Directory{hosts: byZone(usable(hosts), rng), zones: map[string]zone{}, uniform: uniform(hosts), homes: homes}
	carried, _ := carriedBy(d.hosts)
	d.before = make([]float64, 1, len(d.hosts)+1)
	for i := range d.hosts {
		weight := carried[i] * d.hosts[i].relief()
		d.weights = append(d.weights, weight)
		d.before = append(d.before, d.before[i]+weight)
	}
	for from, to := 0, 0; from < len(d.hosts); from = to {
		name := d.hosts[from].Zone
		for to = from; to < len(d.hosts) && d.hosts[to].Zone == name; to++ {
			continue
		}
		d.zones[name] = d.zoneOf(from, to)
	}
	d.all = d.zoneOf(0, len(d.hosts))
	return d
}

// uniform reports whether the hosts are alike and in one zone, whatever their load.
func uniform(hosts []Host) bool {
	_, alike := carriedBy(hosts)
	for i := range hosts {
		alike = alike && hosts[i].Zone == hosts[0].Zone
	}
	return alike
}

// byZone returns the hosts of each zone together and in random order.
func byZone(hosts []Host, rng *rand.Rand) []Host {
	zones := map[string][]int{}
	for _, i := range rng.Perm(len(hosts)) {
		zones[hosts[i].Zone] = append(zones[hosts[i].Zone], i)
	}
	out := make([]Host, 0, len(hosts))
	for _, of := range zones {
		for _, i := range of {
			out = append(out, hosts[i])
		}
	}
	return out
}

// usable returns the hosts that accept requests, or all hosts if none is known to.
func usable(hosts []Host) []Host {
	out := make([]Host, 0, len(hosts))
	for _, h := range hosts {
		if !h.refuses() {
			out = append(out, h)
		}
	}
	if len(out) == 0 {
		return append(out, hosts...)
	}
	return out
}

// carriedBy returns what each host can carry, and whether that is about the same for all. A host of
// which it is unknown counts as the mean of the others.
func carriedBy(hosts []Host) (carried []float64, alike bool) {
	sum, known := 0.0, 0
	for i := range hosts {
		c := hosts[i].carries()
		carried = append(carried, c)
		if c > 0 {
			sum += c
			known++
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	smallest, largest := mean, mean
	for i, c := range carried {
		if c == 0 {
			carried[i] = mean
			continue
		}
		smallest, largest = min(smallest, c), max(largest, c)
	}
	return carried, largest <= smallest*alikeRatio
}

func (d *Directory) zoneOf(from, to int) zone {
	z := zone{from: from, to: to}
	largest := 0.0
	for _, w := range d.weights[from:to] {
		largest = max(largest, w)
	}
	if largest > 0 {
		z.alike = (d.before[to] - d.before[from]) / largest
	}
	return z
}

// Uniform reports whether the hosts are all alike and in one zone. A random sample of them is then the
// right answer, and the directory isn't needed.
func (d *Directory) Uniform() bool { return d.uniform }

// List returns the hosts of one answer to a caller of a zone, in random order. A host that is to get
// several times the callers of others may be in it more than once.
func (d *Directory) List(callerZone string, rng *rand.Rand) []Host {
	own, ok := d.zones[callerZone]
	away := 0.0
	switch {
	case !ok:
		own = d.all // an unknown zone, or one of which no host is left
	case own != d.all:
		away = 1 - d.homes.Share(callerZone)
	}
	entries := own.entries()
	fromOthers := roundRandomly(float64(entries)*away, rng)
	others := ranges{{0, own.from}, {own.to, len(d.hosts)}}
	chosen := d.draw(ranges{{own.from, own.to}}, entries-fromOthers, nil, rng)
	chosen = d.draw(others, fromOthers, chosen, rng)
	chosen = d.fillUp(chosen, others, rng)
	rng.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	out := make([]Host, len(chosen))
	for i, at := range chosen {
		out[i] = d.hosts[at]
	}
	return out
}

// entries returns the number of entries of an answer from the zone: as many as can be drawn without a
// host that is drawn twice, or MaxEntries if these would be fewer than MinHosts. A few hosts then have
// their parts of the callers by the number of their entries.
func (z zone) entries() int {
	if distinct := int(z.alike + 1e-9); distinct >= MinHosts { // 1e-9: sums of equal weights are not exact
		return min(distinct, MaxEntries)
	}
	return MaxEntries
}

// roundRandomly rounds x up or down so that the mean of many calls is x.
func roundRandomly(x float64, rng *rand.Rand) int {
	n := int(x)
	if rng.Float64() < x-float64(n) {
		n++
	}
	return n
}

// ranges are ranges of positions in a directory, each from its first to before its second.
type ranges [][2]int

// draw appends n positions from the ranges to chosen, each drawn in proportion to its weight.
//
// The draw is systematic: n points at equal distances on the line of all weights, from a random start. A
// host is then drawn as often as its weight says, rounded up or down, and never twice unless its weight
// is more than an nth of all.
func (d *Directory) draw(from ranges, n int, chosen []int, rng *rand.Rand) []int {
	total := 0.0
	for _, r := range from {
		total += d.before[r[1]] - d.before[r[0]]
	}
	if n <= 0 || total <= 0 {
		return chosen
	}
	step := total / float64(n)
	point := rng.Float64() * step
	for _, r := range from {
		width := d.before[r[1]] - d.before[r[0]]
		for ; point < width; point += step {
			chosen = append(chosen, d.at(r, point))
		}
		point -= width
	}
	return chosen
}

// at returns the position at a point on the line of the weights of a range.
func (d *Directory) at(r [2]int, point float64) int {
	i := sort.SearchFloat64s(d.before[r[0]+1:r[1]+1], d.before[r[0]]+point)
	return min(r[0]+i, r[1]-1)
}

// fillUp makes a choice name at least MinHosts different hosts if there are as many. Those it adds
// replace second entries of others where the answer is full.
func (d *Directory) fillUp(chosen []int, others ranges, rng *rand.Rand) []int {
	count := map[int]int{}
	for _, at := range chosen {
		count[at]++
	}
	missing := min(MinHosts, len(d.hosts)) - len(count)
	if missing <= 0 {
		return chosen
	}
	for _, at := range d.unchosen(count, missing, others, rng) {
		if len(chosen) < MaxEntries {
			chosen = append(chosen, at)
			continue
		}
		most := 0
		for i, c := range chosen {
			if count[c] > count[chosen[most]] {
				most = i
			}
		}
		count[chosen[most]]--
		chosen[most] = at
		count[at]++
	}
	return chosen
}

// unchosen returns n hosts that are not in count, preferably from the caller's zone. It looks at up to
// fillUpLooks hosts in each of the ranges, so that its cost does not grow with the fleet.
func (d *Directory) unchosen(count map[int]int, n int, others ranges, rng *rand.Rand) (found []int) {
	own := [2]int{others[0][1], others[1][0]}
	for _, r := range append(ranges{own}, others...) {
		size := r[1] - r[0]
		if size == 0 {
			continue
		}
		start := rng.IntN(size)
		for i := range min(size, fillUpLooks) {
			if at := r[0] + (start+i)%size; count[at] == 0 && len(found) < n {
				found = append(found, at)
			}
		}
	}
	return found
}

// fillUpLooks is more than the hosts that can be chosen already when the answer needs filling up.
const fillUpLooks = 2 * MinHosts
