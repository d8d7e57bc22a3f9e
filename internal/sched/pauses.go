package sched

import (
	"math"
	"time"
)

// The pause model predicts how long a stream pauses while the engine prefills prompts beside it.
//
// Engines prefill prompts in chunks between the tokens of the running streams. An event holds
// Stride tokens, so the time before it is at most that of Stride steps with one chunk each, however
// much prefill is pending. The chunk sizes of engines aren't known. The model learns them from the
// longest gap between two events that holders report for each run.
//
// Pauses and prefill are measured in event times, the time in which the server generates the tokens
// of one event. This makes fast and slow engines of a service comparable, as prefill and generation
// slow down alike. Samples are kept by the prefill that was pending beside the run. While pauses are
// limited, a run has little prefill beside it and its gap is at most that prefill, which says
// nothing about a bound. So a bound is only accepted where gaps stop growing with the prefill. A run
// with less prefill beside it than the smallest class isn't learned from.

const (
	// pauseClasses and minClassPrefill define the classes of prefill beside a run: neighboring
	// classes differ by a factor of the square root of two.
	pauseClasses    = 16
	minClassPrefill = 0.5 // event times
	// classesPerDoubling is the number of classes between one prefill and twice that prefill.
	classesPerDoubling = 2
	// gapBins, minGap and gapBinRatio define the histogram of the gaps of a class, in event times
	// beyond the first. It covers 0.1 to 108.
	gapBins     = 51
	minGap      = 0.1
	gapBinRatio = 1.15
	// pauseQuantile is the fraction of the streams whose pauses the bound covers. Of those beside
	// much prefill, one in twenty may pause for longer. Such an answer is late. A request that
	// finds no engine is refused, so its caller has no answer at all.
	pauseQuantile = 0.95
	// minPauseSamples is the number of runs that a class needs: two of them are beyond the
	// quantile, so one outlier doesn't set it.
	minPauseSamples = 40
	// maxPauseSamples limits the weight of a class, so that it follows a change of the engines.
	maxPauseSamples = 400
	// pauseHalfLife is the time in which a class loses half of its weight, so that a class that
	// learned false gaps and that placements then avoid is forgotten within a few minutes.
	pauseHalfLife = time.Minute
	// maxPauseGrowth is the growth of the pause with the prefill up to which the pause counts as
	// bounded, and maxBoundedPause the fraction of the prefill that a bounded pause takes at most.
	// On an engine without chunks both are 1. A prefill ratio that is overestimated lowers them
	// in proportion, but it is learned to within a factor of two.
	maxPauseGrowth  = 0.3
	maxBoundedPause = 0.7
	// pauseUpdateInterval is the number of samples between two computations of the bound.
	pauseUpdateInterval = 8
	// maxPlausibleGap limits the gaps that prefill may have caused, as a multiple of the predicted
	// time of the prefill beside the run.
	maxPlausibleGap = 2
	// maxPlausibleJump is the multiple of the bound beyond which a gap must be confirmed by a run
	// that was placed after the first such gap, within pauseConfirmTime.
	maxPlausibleJump = 2
	pauseConfirmTime = 10 * time.Second
	// ownPausesTime is how long a scheduler that has learned from runs keeps its own model rather
	// than import another's. A host that follows a home has no runs to learn from.
	ownPausesTime = time.Second
)

// pauseClass is a histogram of the longest gaps of the runs with similar prefill beside them.
type pauseClass struct {
	counts [gapBins]float64
	total  float64
	at     Time // when counts were last decayed
}

func (c *pauseClass) decay(now Time) {
	if c.total > 0 && now > c.at {
		c.scale(math.Exp2(-float64(now-c.at) / float64(pauseHalfLife)))
	}
	c.at = now
}

func (c *pauseClass) scale(factor float64) {
	for i := range c.counts {
		c.counts[i] *= factor
	}
	c.total *= factor
}

func (c *pauseClass) add(now Time, gap, weight float64) {
	c.decay(now)
	bin := int(math.Ceil(math.Log(max(gap, minGap)/minGap) / math.Log(gapBinRatio)))
	c.counts[min(bin, gapBins-1)] += weight
	c.total += weight
	if c.total > maxPauseSamples {
		c.scale(maxPauseSamples / c.total)
	}
}

// quantile returns the gap that pauseQuantile of the samples don't exceed. ok is false if there are
// too few samples.
func (c *pauseClass) quantile(now Time) (gap float64, ok bool) {
	c.decay(now)
	if c.total < minPauseSamples {
		return 0, false
	}
	beyond := 0.0
	for bin := gapBins - 1; bin > 0; bin-- {
		beyond += c.counts[bin]
		if beyond > (1-pauseQuantile)*c.total {
			return minGap * math.Pow(gapBinRatio, float64(bin)), true
		}
	}
	return minGap, true
}

// pauseModel is what is learned of the pauses in a service. The zero value has learned nothing.
type pauseModel struct {
	classes     [pauseClasses]pauseClass
	bound       float64 // longest pause beyond an event, in event times; 0 until it is known
	learned     int     // number of classes with enough samples
	samples     int64   // runs learned from
	ignored     int64   // runs whose gaps can't have been caused by prefill
	learnedAt   Time    // when the last of them ended
	sinceUpdate int
	jumpAt      Time // of the first gap far beyond the bound, which a later run must confirm
}

// classPrefill returns the typical prefill of a class in event times.
func classPrefill(class int) float64 {
	return minClassPrefill * math.Exp2((float64(class)+0.5)/classesPerDoubling)
}

// add learns from a run that had prefill pending beside it and that was placed at a time. prefill
// and gap are in event times; gap is the part of the longest gap beyond one event time.
func (m *pauseModel) add(now, placed Time, prefill, gap float64) {
	class := int(math.Floor(classesPerDoubling * math.Log2(prefill/minClassPrefill)))
	if prefill <= 0 || class < 0 {
		return
	}
	if gap > maxPlausibleGap*prefill+1 || !m.plausibleJump(now, placed, gap) {
		m.ignored++
		return
	}
	m.samples++
	m.learnedAt = now
	m.classes[min(class, pauseClasses-1)].add(now, gap, 1)
	if m.sinceUpdate++; m.sinceUpdate >= pauseUpdateInterval {
		m.update(now)
	}
}

// plausibleJump reports whether a gap is to be learned although it is far beyond the bound.
//
// A host that was paused reports its pause as a gap of all streams that it was forwarding. These
// runs were placed before its first report.
func (m *pauseModel) plausibleJump(now, placed Time, gap float64) bool {
	if m.bound == 0 || gap <= maxPlausibleJump*(m.bound+1) {
		return true
	}
	if m.jumpAt == 0 || now-m.jumpAt > pauseConfirmTime {
		m.jumpAt = now
	}
	return placed > m.jumpAt
}

// update computes the bound from the class with the most prefill and one with at most half as much.
// A stream beside more prefill doesn't pause for less, so the gap of a class is at least that of the
// classes below it.
func (m *pauseModel) update(now Time) {
	m.sinceUpdate, m.bound, m.learned = 0, 0, 0
	var gaps [pauseClasses]float64 // 0: not learned
	longest, top := 0.0, -1
	for class := range m.classes {
		if gap, ok := m.classes[class].quantile(now); ok {
			longest = max(longest, gap)
			gaps[class], top = longest, class
			m.learned++
		}
	}
	for half := top - classesPerDoubling; half >= 0; half-- {
		if gaps[half] == 0 {
			continue
		}
		growth := (longest - gaps[half]) / (classPrefill(top) - classPrefill(half))
		if growth <= maxPauseGrowth && longest <= maxBoundedPause*classPrefill(top) {
			m.bound = longest
		}
		return
	}
}

// weight returns the number of runs that the model is based on.
func (m *pauseModel) weight() (n float64) {
	for class := range m.classes {
		n += m.classes[class].total
	}
	return n
}

// maxPrefill is how much pending prefill keeps the pause of a stream at srv within maxPause.
// Without a learned bound, the entire pending prefill counts as one pause.
func (svc *service) maxPrefill(srv *server, maxPause time.Duration) time.Duration {
	eventTime := svc.eventTime(srv)
	if bound := svc.pauses.bound; bound > 0 && time.Duration((1+bound)*float64(eventTime)) <= maxPause {
		return math.MaxInt64
	}
	return maxPause - eventTime
}

// learnPause learns from the longest gap of a run that has ended.
func (s *Scheduler) learnPause(now Time, svc *service, r *run, o Outcome) {
	if !s.policy.LearnPauses || !svc.Engine || o.LongestGap <= 0 || o.Result != OK && o.Result != CallerLeft {
		return
	}
	// A run that ended during the prefill beside it has seen only a part of it.
	beside := min(r.concurrentPrefill, now-max(r.concurrentPrefillAt, r.prefillEnd))
	eventTime := float64(svc.eventTime(r.server))
	svc.pauses.add(now, r.placed, float64(beside)/eventTime, float64(o.LongestGap)/eventTime-1)
}

// noteConcurrentPrefill records the prefill that is pending beside the runs of s. Engines prefill in the
// order of arrival, so only prompts that were placed later delay the events of a stream.
func (s *server) noteConcurrentPrefill(now Time) {
	for _, r := range s.runs {
		if beside := s.prefillFreeAt - max(now, r.prefillEnd); beside > r.concurrentPrefill {
			r.concurrentPrefill, r.concurrentPrefillAt = beside, now
		}
	}
}

// PauseEstimate is the learned bound of the pauses in a service.
type PauseEstimate struct {
	Service    string
	EventTimes float64 // longest gap between two events, in event times
	Samples    int     // runs that the estimate is based on
}

// LearnedPauses lists the services for which a bound has been learned.
func (s *Scheduler) LearnedPauses() []PauseEstimate {
	var out []PauseEstimate
	for name, svc := range s.services {
		if svc.pauses.bound > 0 {
			out = append(out, PauseEstimate{Service: name, EventTimes: 1 + svc.pauses.bound, Samples: int(svc.pauses.weight())})
		}
	}
	return out
}

// maxImportedPause is the largest bound that is imported, in event times.
const maxImportedPause = 100

// ImportPauses imports the bounds that another scheduler has learned. A scheduler that learns from
// runs itself keeps its own model. An imported bound has the weight of the fewest samples that suffice, so
// that the runs observed here soon outweigh it.
func (s *Scheduler) ImportPauses(now Time, estimates []PauseEstimate) {
	for _, e := range estimates {
		svc := s.services[e.Service]
		if svc == nil || !s.policy.LearnPauses || e.Samples < minPauseSamples || !(e.EventTimes > 1 && e.EventTimes <= maxImportedPause) {
			continue
		}
		if m := &svc.pauses; m.samples == 0 || now-m.learnedAt > ownPausesTime {
			m.seed(now, e.EventTimes-1)
		}
	}
}

// seed replaces what was learned by a bound.
func (m *pauseModel) seed(now Time, bound float64) {
	*m = pauseModel{samples: m.samples, ignored: m.ignored, learnedAt: m.learnedAt}
	for class := range m.classes {
		m.classes[class].add(now, min(bound, classPrefill(class)), 2*minPauseSamples)
	}
	m.update(now)
}

// PauseStats describes the pause model of a service.
type PauseStats struct {
	Service string
	Bound   float64 // longest gap between two events in event times, 0 while the pending prefill limits placements
	Classes int     // classes of prefill with enough samples
	Samples int64   // runs learned from
	Ignored int64   // runs whose gaps were not caused by prefill
}

// PauseStats lists the pause models of the inference services. It is empty while Policy.LearnPauses
// is off.
func (s *Scheduler) PauseStats() []PauseStats {
	var out []PauseStats
	if !s.policy.LearnPauses {
		return nil
	}
	for name, svc := range s.services {
		if !svc.Engine {
			continue
		}
		m := &svc.pauses
		stats := PauseStats{Service: name, Classes: m.learned, Samples: m.samples, Ignored: m.ignored}
		if m.bound > 0 {
			stats.Bound = 1 + m.bound
		}
		out = append(out, stats)
	}
	return out
}
