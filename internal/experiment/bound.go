package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// soundTakenBack is the part of sound versions that a judge may take back.
const soundTakenBack = 1.0 / 300

// tolerated is the part of answers that fail for reasons of their own, of any version. Without
// it a single failure would prove a version bad, which no judge may go by.
const tolerated = 0.01

// spreadOfTime is how far the times of one server's answers lie from each other, as a
// logarithm.
const spreadOfTime = 0.3

// BestMisses is the part of the plays of a bad version that the best of all tests moves to when
// it takes back one in 300 sound ones, of which one answer in a hundred fails: a bound for every
// judge that bears so much. The test knows how the version would be bad, each server's speed and
// how many servers are in trouble, though not which; it has all answers that the allowance buys
// until the deadline. It is the likelihood ratio against a sound version, worked out over that
// many plays of each. ok is false for sound versions, and for those that are bad under load
// only: what a server's load is depends on the judge.
func BestMisses(r *Rollout, plays int) (missed float64, ok bool) {
	if !r.Version.bad() || r.Version.Loaded {
		return 0, false
	}
	sound, bad := make([]float64, plays), make([]float64, plays)
	for seed := range plays {
		rng := rand.New(rand.NewPCG(uint64(seed), 12))
		sound[seed] = evidence(r, rng, false)
		bad[seed] = evidence(r, rng, true)
	}
	slices.Sort(sound)
	threshold := sound[len(sound)-1-int(soundTakenBack*float64(plays))]
	n := 0
	for _, e := range bad {
		if e <= threshold {
			n++
		}
	}
	return float64(n) / float64(plays), true
}

// troubled is a state that a server may be in for a reason of its own.
type troubled struct{ grey, slow bool }

// chance is how likely a server is in that state.
func (s troubled) chance(r *Rollout) float64 {
	p, q := r.Grey, r.Slow
	if !s.grey {
		p = 1 - p
	}
	if !s.slow {
		q = 1 - q
	}
	return p * q
}

var troubledStates = []troubled{{}, {grey: true}, {slow: true}, {grey: true, slow: true}}

// evidence plays all the answers that the allowance buys of a version and returns the logarithm
// of the ratio of their likelihoods, bad to sound.
func evidence(r *Rollout, rng *rand.Rand, isBad bool) (ratio float64) {
	answers := int(r.Bounds.Share*r.Rate*r.Lasts.Seconds() + r.Bounds.Slack)
	for server := range r.Servers {
		state := troubled{grey: rng.Float64() < r.Grey, slow: rng.Float64() < r.Slow}
		var ifBad, ifSound [4]float64 // by state
		for n := server; n < answers; n += r.Servers {
			a := drawAnswer(r, rng, state, isBad)
			for i, s := range troubledStates {
				ifBad[i] += a.likelihood(r, s, true)
				ifSound[i] += a.likelihood(r, s, false)
			}
		}
		ratio += mixed(r, ifBad) - mixed(r, ifSound)
	}
	return ratio
}

// mixed joins the likelihoods of a server's answers over the states that it may be in.
func mixed(r *Rollout, byState [4]float64) float64 {
	most := slices.Max(byState[:])
	sum := 0.0
	for i, s := range troubledStates {
		sum += s.chance(r) * math.Exp(byState[i]-most)
	}
	return most + math.Log(sum)
}

// answerSeen is one answer: when it came, on which route, and what it was.
type answerSeen struct {
	at     time.Duration // since the order
	route  int
	failed bool
	took   float64 // the logarithm of the time, in that of a sound answer
}

func drawAnswer(r *Rollout, rng *rand.Rand, s troubled, isBad bool) answerSeen {
	a := answerSeen{at: time.Duration(rng.Float64() * float64(r.Lasts))}
	x := rng.Float64()
	for a.route = range rolloutRoutes {
		if x -= rolloutRoutes[a.route].share; x < 0 {
			break
		}
	}
	fails, slower := a.expected(r, s, isBad)
	a.failed = rng.Float64() < fails
	a.took = slower + spreadOfTime*rng.NormFloat64()
	return a
}

// expected is the chance that such an answer is a failure, and how much longer it takes, as a
// logarithm.
func (a answerSeen) expected(r *Rollout, s troubled, isBad bool) (fails, slower float64) {
	passes := 1 - tolerated
	if a.route == 0 {
		passes *= 1 - r.Own
	}
	trouble := a.at >= r.TroubleAt
	if s.grey && trouble {
		passes *= 1 - greyFails
	}
	if s.slow && trouble {
		slower += math.Log(slowBy)
	}
	v := r.Version
	if isBad && a.at >= v.After && (v.Route == "" || v.Route == rolloutRoutes[a.route].name) {
		passes *= 1 - v.Fail
		if v.Slow > 1 {
			slower += math.Log(v.Slow)
		}
	}
	return 1 - passes, slower
}

// likelihood is the logarithm of the likelihood of an answer, but for a constant.
func (a answerSeen) likelihood(r *Rollout, s troubled, isBad bool) float64 {
	const never = 1e-9 // of what cannot be
	fails, slower := a.expected(r, s, isBad)
	z := (a.took - slower) / spreadOfTime
	if a.failed {
		return math.Log(max(fails, never)) - z*z/2
	}
	return math.Log(max(1-fails, never)) - z*z/2
}
