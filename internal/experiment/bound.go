package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// falseRollbackRate is the fraction of sound versions that a test may roll back.
const falseRollbackRate = 1.0 / 300

// baseFailRate is the fraction of answers of any version that fail for unrelated reasons.
// Without it a single failure would prove a version bad, and no test may rely on that.
const baseFailRate = 0.01

// timeSigma is the standard deviation of the logarithm of one server's response times.
const timeSigma = 0.3

// MinMissRate estimates the smallest possible fraction of bad versions that a statistical test
// fails to detect if it rolls back one in 300 sound versions and one in a hundred answers of a
// sound version fails. It is a lower bound for every test with that rate of false alarms. The
// optimal test is the likelihood ratio against a sound version. It knows the defect, each
// server's speed and how many servers have a fault, but not which, and uses all answers that the
// bounds allow until the deadline. The estimate simulates each version as often as runs says. ok
// is false for sound versions and for versions that are bad only under load, because the load of a
// server depends on the test's own decisions.
func MinMissRate(r *Rollout, runs int) (missed float64, ok bool) {
	if !r.Version.bad() || r.Version.OnlyLoaded {
		return 0, false
	}
	sound, bad := make([]float64, runs), make([]float64, runs)
	for seed := range runs {
		rng := rand.New(rand.NewPCG(uint64(seed), 12))
		sound[seed] = logLikelihoodRatio(r, rng, false)
		bad[seed] = logLikelihoodRatio(r, rng, true)
	}
	slices.Sort(sound)
	threshold := sound[len(sound)-1-int(falseRollbackRate*float64(runs))]
	misses := 0
	for _, logRatio := range bad {
		if logRatio <= threshold {
			misses++
		}
	}
	return float64(misses) / float64(runs), true
}

// serverFault is a combination of faults that a server may have whatever its version.
type serverFault struct{ grey, slow bool }

// probability returns the probability that a server has exactly these faults.
func (s serverFault) probability(r *Rollout) float64 {
	p, q := r.GreyShare, r.SlowShare
	if !s.grey {
		p = 1 - p
	}
	if !s.slow {
		q = 1 - q
	}
	return p * q
}

var serverFaults = []serverFault{{}, {grey: true}, {slow: true}, {grey: true, slow: true}}

// logLikelihoodRatio simulates all answers of a version that the bounds allow and returns the
// logarithm of the ratio of their likelihoods, bad to sound.
func logLikelihoodRatio(r *Rollout, rng *rand.Rand, isBad bool) (logRatio float64) {
	answers := int(r.Bounds.Share*r.Rate*r.Length.Seconds() + r.Bounds.Slack)
	for server := range r.Servers {
		fault := serverFault{grey: rng.Float64() < r.GreyShare, slow: rng.Float64() < r.SlowShare}
		var ifBad, ifSound [4]float64 // log likelihoods by index of serverFaults
		for n := server; n < answers; n += r.Servers {
			a := drawAnswer(r, rng, fault, isBad)
			for i, s := range serverFaults {
				ifBad[i] += a.logLikelihood(r, s, true)
				ifSound[i] += a.logLikelihood(r, s, false)
			}
		}
		logRatio += mixture(r, ifBad) - mixture(r, ifSound)
	}
	return logRatio
}

// mixture combines the log likelihoods of a server's answers over the faults that it may have,
// weighted by their probability.
func mixture(r *Rollout, byFault [4]float64) float64 {
	highest := slices.Max(byFault[:])
	sum := 0.0
	for i, s := range serverFaults {
		sum += s.probability(r) * math.Exp(byFault[i]-highest)
	}
	return highest + math.Log(sum)
}

// answerSample is one simulated answer.
type answerSample struct {
	at      time.Duration // time since the rollout order
	route   int
	failed  bool
	logTime float64 // logarithm of the response time relative to a sound answer
}

func drawAnswer(r *Rollout, rng *rand.Rand, s serverFault, isBad bool) answerSample {
	a := answerSample{at: time.Duration(rng.Float64() * float64(r.Length))}
	x := rng.Float64()
	for a.route = range rolloutRoutes {
		if x -= rolloutRoutes[a.route].share; x < 0 {
			break
		}
	}
	failProbability, logSlowdown := a.expected(r, s, isBad)
	a.failed = rng.Float64() < failProbability
	a.logTime = logSlowdown + timeSigma*rng.NormFloat64()
	return a
}

// expected returns the probability that an answer at this time on this route fails, and the
// logarithm of the factor by which it is slower than a sound one.
func (a answerSample) expected(r *Rollout, s serverFault, isBad bool) (failProbability, logSlowdown float64) {
	passes := 1 - baseFailRate
	if a.route == 0 {
		passes *= 1 - r.FirstRouteFailShare
	}
	faulty := a.at >= r.FaultsAt
	if s.grey && faulty {
		passes *= 1 - greyFailShare
	}
	if s.slow && faulty {
		logSlowdown += math.Log(slowFactor)
	}
	v := r.Version
	if isBad && a.at >= v.BadAfter && (v.OnlyRoute == "" || v.OnlyRoute == rolloutRoutes[a.route].name) {
		passes *= 1 - v.FailShare
		if v.Slowdown > 1 {
			logSlowdown += math.Log(v.Slowdown)
		}
	}
	return 1 - passes, logSlowdown
}

// logLikelihood returns the logarithm of the likelihood of an answer, up to a constant.
func (a answerSample) logLikelihood(r *Rollout, s serverFault, isBad bool) float64 {
	const minProbability = 1e-9 // of an impossible outcome; keeps the logarithm finite
	failProbability, logSlowdown := a.expected(r, s, isBad)
	z := (a.logTime - logSlowdown) / timeSigma
	if a.failed {
		return math.Log(max(failProbability, minProbability)) - z*z/2
	}
	return math.Log(max(1-failProbability, minProbability)) - z*z/2
}
