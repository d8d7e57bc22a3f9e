package experiment

import (
	"math"
	"runtime"
	"slices"
	"sync"
	"time"
)

// PartCrashScenarios returns the simulated scenarios of prompt parts that crash servers.
func PartCrashScenarios() []*PartCrashes {
	one := []BadPart{{Share: 1}}
	base := func(name string, change func(p *PartCrashes)) *PartCrashes {
		p := &PartCrashes{Name: name, Engines: 9, SoundRate: 40, BadRate: 10, Bad: one, BadAccounts: 1}
		if change != nil {
			change(p)
		}
		return p
	}
	return []*PartCrashes{
		base("middle", nil),
		base("first", func(p *PartCrashes) { p.Bad = []BadPart{{Share: 1, First: true}} }),
		base("two", func(p *PartCrashes) { p.Bad = []BadPart{{Share: 0.5}, {Share: 0.5, First: true}} }),
		base("four", func(p *PartCrashes) {
			p.Bad = []BadPart{{Share: 0.25}, {Share: 0.25, First: true}, {Share: 0.25}, {Share: 0.25, First: true}}
		}),
		base("rare", func(p *PartCrashes) { p.BadRate = 1.1 }),
		base("frequent", func(p *PartCrashes) { p.BadRate = 30 }),
		base("few-engines", func(p *PartCrashes) { p.Engines, p.SoundRate, p.BadRate = 3, 12, 3 }),
		base("many-engines", func(p *PartCrashes) { p.Engines, p.SoundRate, p.BadRate = 40, 160, 20 }),
		base("little-traffic", func(p *PartCrashes) { p.SoundRate, p.BadRate = 3, 1 }),
		base("nine-in-ten", func(p *PartCrashes) { p.CrashShare = 0.9 }),
		base("half", func(p *PartCrashes) { p.CrashShare = 0.5 }),
		base("after-events", func(p *PartCrashes) { p.AfterEvents = true }),
		base("companion", func(p *PartCrashes) { p.Companion = 0.1 }),
		base("new-documents", func(p *PartCrashes) { p.NewDocuments = 0.4 }),
		base("accounts", func(p *PartCrashes) { p.BadAccounts = soundAccounts }),
		base("repeated", func(p *PartCrashes) { p.Repeats = 2 }),
		base("bodies", func(p *PartCrashes) { p.BadBodies, p.BadRate = true, 3 }),
		base("own-ends", func(p *PartCrashes) { p.BadRate, p.Bad, p.EndEvery, p.NewDocuments = 0, nil, 900*time.Millisecond, 0.4 }),
		base("racks", func(p *PartCrashes) { p.BadRate, p.Bad, p.RackEvery, p.NewDocuments = 0, nil, 4*time.Second, 0.4 }),
		base("middle-own-ends", func(p *PartCrashes) { p.EndEvery, p.NewDocuments = 2*time.Second, 0.4 }),
	}
}

// PartCrashesSummary summarizes simulations of a scenario with different seeds.
type PartCrashesSummary struct {
	Runs          int
	MedianCrashes int // under one bad part
	MaxCrashes    int
	Tolerable     float64 // share of the bad parts with at most tolerableCrashes crashes
	MaxLate       int
	BegunBefore   float64 // share of sound requests
	BegunAfter    float64
	OnTime        float64
	SoundRefused  int
	Ended         float64 // servers in a run, mean
}

// SimulatePartCrashesWithSeeds plays a scenario with the seeds from 0 on.
func SimulatePartCrashesWithSeeds(p *PartCrashes, seeds int) (sum PartCrashesSummary) {
	results := make([]PartCrashesResult, seeds)
	var workers sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range results {
		slots <- struct{}{}
		workers.Go(func() {
			results[seed] = SimulatePartCrashes(p, uint64(seed))
			<-slots
		})
	}
	workers.Wait()
	var crashes []int
	var total PartCrashesResult
	for _, r := range results {
		crashes = append(crashes, r.Crashes...)
		for _, late := range r.Late {
			sum.MaxLate = max(sum.MaxLate, late)
		}
		total.SoundBefore += r.SoundBefore
		total.BegunBefore += r.BegunBefore
		total.SoundAfter += r.SoundAfter
		total.BegunAfter += r.BegunAfter
		total.Sound += r.Sound
		total.SoundOnTime += r.SoundOnTime
		total.Ended += r.Ended
		sum.SoundRefused += r.SoundRefused
	}
	slices.Sort(crashes)
	tolerable := 0
	for _, n := range crashes {
		tolerable += count(n <= tolerableCrashes)
	}
	if len(crashes) > 0 {
		sum.MedianCrashes, sum.MaxCrashes = crashes[len(crashes)/2], crashes[len(crashes)-1]
		sum.Tolerable = float64(tolerable) / float64(len(crashes))
	}
	sum.Runs, sum.Ended = seeds, float64(total.Ended)/float64(seeds)
	sum.BegunBefore = share(total.BegunBefore, total.SoundBefore)
	sum.BegunAfter = share(total.BegunAfter, total.SoundAfter)
	sum.OnTime = share(total.SoundOnTime, total.Sound)
	return sum
}

// falseBlameRate is the chance at which a test may blame a part by mistake.
const falseBlameRate = 1.0 / 20_000

// BestCrashes returns how many crashes under a bad part the best sequential test needs in the mean (Wald's
// bound), if it may blame one of candidates innocent parts once in 20,000 times: risk is the chance that a run
// is lost for another reason before it begins to be answered, crashShare the share of the runs with the bad part
// that crash their server. The requests that run beside the first one until it has crashed add to these.
func BestCrashes(risk, crashShare float64, candidates int) float64 {
	perCrash := math.Log(crashShare / risk)
	if crashShare < 1 {
		perCrash += (1 - crashShare) / crashShare * math.Log((1-crashShare)/(1-risk))
	}
	return math.Log(float64(max(1, candidates))/falseBlameRate) / perCrash
}

// BestCrashes returns the bound for the scenario. The risk is that of servers which end by themselves, and
// at least what can be known from the answers before the first crash.
func (p *PartCrashes) BestCrashes() float64 {
	const toFirstEvent = 130 * time.Millisecond
	risk := 1 / (p.SoundRate * partsQuietTime.Seconds())
	if p.EndEvery > 0 {
		risk += float64(toFirstEvent) / float64(p.EndEvery) / float64(p.Engines)
	}
	crashShare := p.CrashShare
	if crashShare == 0 {
		crashShare = 1
	}
	beside := int(p.SoundRate * toFirstEvent.Seconds() / float64(p.Engines))
	return BestCrashes(risk, crashShare, 1+beside*partsShared)
}
