package quarantine

import (
	"math"
	"slices"
)

// The judgment of a trait compares two hypotheses by their log likelihood ratio in nats: the trait
// crashes the servers that run it, or its requests were lost with their servers by chance.
const (
	// traitThreshold is the ratio from which a trait is blamed. An innocent one reaches it once in
	// 20,000 times at most.
	traitThreshold = 10
	// answerWeight is what an answer counts against the trait's guilt: a guilty one may let three
	// runs in ten pass. knownWeight is what answers before the first end count.
	answerWeight = 1.2
	knownWeight  = 2.3
	// minRisk and maxRisk bound the estimated risk that a run is lost by chance, riskPrior is the
	// number of answered runs that the estimate starts with.
	minRisk, maxRisk = 0.02, 0.5
	riskPrior        = 20
	// minBlamedRequests is the number of different requests under which servers must have ended.
	// One alone is judged by its fingerprint.
	minBlamedRequests = 2
	// minOtherAnswers is the number of runs without the trait that must have begun to answer since the
	// first end. If none does, the servers may be at fault.
	minOtherAnswers = 3
	// maxEndsPerBody is the number of ends that count against a trait for one request.
	maxEndsPerBody = 2
	// accountHandicap is added to the threshold for traits of one account. Requests of one account
	// have much in common, so several bad parts that it sends look like one cause at first.
	accountHandicap = 11.7
	// scoreTolerance is the difference up to which scores count as equal.
	scoreTolerance = 0.01
	// From suspectUnits on, in units of one end, requests with the trait run one at a time, from
	// isolatedUnits on apart from others as well.
	suspectUnits  = 0.5
	isolatedUnits = 1.5
	// soleAccountShare is the share of the ends from which on an account's requests are blamed for all
	// of them. After otherAccountEnds further ends under requests of other accounts, all are.
	soleAccountShare = 0.75
	otherAccountEnds = 2
	// maxWith bounds the traits with which a trait is in quarantine together.
	maxWith = 16
)

// TraitVerdict says how a request must be treated because of one of its traits.
type TraitVerdict struct {
	Verdict Verdict
	Trait   Trait
	Score   float64 // log likelihood ratio in nats
	// WholeRuns is set if servers end after they have begun to answer, so that a run says
	// nothing before its end.
	WholeRuns bool
}

// traitJudgment is a cached result of judging a trait.
type traitJudgment struct {
	judgment
	wholeRuns bool
}

// Judge returns how requests of an account with all of traits must be treated because of one of them,
// p. It puts p in quarantine when the facts suffice and are complete.
func (t *TraitTable) Judge(now Time, p Trait, account string, traits []Trait, servers ServiceServers) TraitVerdict {
	e := t.entries[p]
	if e == nil {
		return TraitVerdict{Trait: p}
	}
	if e.lastJudgment.stale(now, t.revision) {
		verdict, wholeRuns := t.judge(now, p, e, servers)
		e.lastJudgment = traitJudgment{judgment{verdict: verdict, at: now, revision: t.revision}, wholeRuns}
	}
	v := TraitVerdict{Verdict: e.lastJudgment.verdict, Trait: p, WholeRuns: e.lastJudgment.wholeRuns, Score: t.scoreOf(p, e)}
	if v.Verdict == Quarantined && !e.appliesTo(account, traits) {
		v.Verdict = Isolated
	}
	return v
}

// appliesTo reports whether the quarantine concerns requests of an account with these traits.
//
// A caller whose requests crash servers for another reason may have a part in them that others use.
// So a part is in quarantine only for an account whose requests were at nearly all ends, and for all only
// when servers also end under the requests of others.
func (e *traitEntry) appliesTo(account string, traits []Trait) bool {
	if len(e.accounts) > 0 && !slices.Contains(e.accounts, account) {
		return false
	}
	return !slices.ContainsFunc(e.with, func(w Trait) bool { return !slices.Contains(traits, w) })
}

func (t *TraitTable) judge(now Time, p Trait, e *traitEntry, servers ServiceServers) (verdict Verdict, wholeRuns bool) {
	if e.quarantined {
		if now >= e.retryAt {
			return Isolated, e.endsAfterBegin()
		}
		return Quarantined, e.endsAfterBegin()
	}
	if now-e.last() > endRetention {
		t.drop(p)
		return Unrestricted, false
	}
	ends, proven := t.attributed(p, e)
	a := t.assess(p, e, ends)
	settled := len(ends) == 0 || now-ends[len(ends)-1].at >= correlationWindow
	if a.units >= isolatedUnits && len(proven) < len(ends) {
		proof := t.assess(p, e, proven)
		a.score, a.requests = proof.score, proof.requests
	}
	switch {
	case a.units < suspectUnits:
		return Unrestricted, false
	case a.units < isolatedUnits:
		// Streams beside the culprit are lost as well, most of them begun, with all parts of their accounts.
		if p.Kind != PromptPart || a.wholeRuns && (e.known || e.whole > 0) {
			return Unrestricted, false
		}
		return Suspect, a.wholeRuns
	case !settled:
		return Undecided, a.wholeRuns
	case a.score < threshold(p.Kind) || a.requests < minBlamedRequests || t.answersWithout(p, e) < minOtherAnswers:
		return Isolated, a.wholeRuns
	case t.requests.partial || t.mayProveCorrelated(now, proven, servers):
		return Undecided, a.wholeRuns
	}
	t.quarantine(now, p, e, proven)
	return Quarantined, a.wholeRuns
}

// answersWithout returns how many runs of the service without the trait have begun to answer since the first
// end under it.
func (t *TraitTable) answersWithout(p Trait, e *traitEntry) int {
	o := t.outcomes[p.Service]
	if o == nil {
		return 0
	}
	return o.answers - e.answersAt - e.begun
}

func threshold(kind TraitKind) float64 {
	if kind == PromptPart {
		return traitThreshold
	}
	return traitThreshold + accountHandicap
}

// quarantine puts a trait in quarantine for the ends attributed to it.
func (t *TraitTable) quarantine(now Time, p Trait, e *traitEntry, ends []traitEnd) {
	e.quarantined, e.quarantinedAt, e.quarantinedBy = true, now, t.host
	e.retryAt = now + initialQuarantine
	e.accounts = blamedAccounts(p, ends)
	e.with = t.inseparable(p, e, ends)
	t.quarantined = append(t.quarantined, p)
	t.markChanged(p)
}

// blamedAccounts returns the accounts to which the quarantine of a part is limited, nil if it is not. An
// account whose requests had the part at nearly all of the ends is blamed alone: those of others may have
// been lost beside them.
func blamedAccounts(p Trait, ends []traitEnd) []string {
	if p.Kind != PromptPart {
		return nil
	}
	counts := map[string]int{}
	for _, end := range ends {
		for _, account := range end.accounts {
			counts[account]++
		}
	}
	var blamed []string
	for account, n := range counts {
		if float64(n) >= soleAccountShare*float64(len(ends)) {
			blamed = append(blamed, account)
		}
	}
	slices.Sort(blamed)
	return blamed
}

// extendQuarantine applies a further end under a trait in quarantine.
func (t *TraitTable) extendQuarantine(e *traitEntry, end traitEnd, alone bool) {
	if end.at >= e.retryAt {
		e.failedTrials++
		e.retryAt = end.at + min(maxQuarantine, initialQuarantine<<min(e.failedTrials, 8))
	}
	if len(e.accounts) == 0 || slices.ContainsFunc(end.accounts, func(a string) bool { return slices.Contains(e.accounts, a) }) {
		return
	}
	if e.otherEnds++; alone || e.otherEnds >= otherAccountEnds {
		e.accounts = nil
	}
}

// narrow drops those traits with which another one is in quarantine together that were not there
// when a server ended under it.
func (t *TraitTable) narrow(traits []Trait) {
	for _, p := range traits {
		if e := t.entries[p]; e != nil && e.quarantined && len(e.with) > 0 {
			e.with = slices.DeleteFunc(e.with, func(w Trait) bool { return !slices.Contains(traits, w) })
		}
	}
}

// inseparable returns the traits of the same kind that explain the ends of p as well as p does, and
// were there each time. Which of them is the cause is not known, so requests are refused that have all.
func (t *TraitTable) inseparable(p Trait, e *traitEntry, ends []traitEnd) (with []Trait) {
	own := t.scoreOf(p, e)
	for q := range t.servers[ends[0].server].traitsOrNone() {
		o := t.entries[q]
		if q == p || q.Kind != p.Kind || q.Service != p.Service || q.Account != p.Account || o == nil || math.Abs(t.scoreOf(q, o)-own) > scoreTolerance {
			continue
		}
		everywhere := !slices.ContainsFunc(ends, func(end traitEnd) bool {
			_, there := t.servers[end.server].traitsOrNone()[q]
			return !there
		})
		if everywhere {
			with = append(with, q)
		}
	}
	slices.SortFunc(with, compareTraits)
	return with[:min(len(with), maxWith)]
}

func (s *traitServer) traitsOrNone() map[Trait]bool {
	if s == nil {
		return nil
	}
	return s.traits
}

// attributed lists the ends of servers that no other cause explains better than p, and those of them for
// which a common failure of several servers is no likely cause either.
func (t *TraitTable) attributed(p Trait, e *traitEntry) (ends, proven []traitEnd) {
	for _, end := range e.ends {
		if t.explained(p, e, end) {
			continue
		}
		ends = append(ends, end)
		if !t.correlated(e, end) {
			proven = append(proven, end)
		}
	}
	return ends, proven
}

// correlated reports whether several servers without the trait ended within correlationWindow of
// an end, so that a common failure is the likely cause. Servers that ran a suspect request alone don't count.
func (t *TraitTable) correlated(e *traitEntry, end traitEnd) bool {
	others := 0
	for _, s := range t.requests.endsAround(end.at) {
		if !slices.ContainsFunc(e.ends, func(own traitEnd) bool { return own.server == s.name }) && !t.servers[s.name].ranAlone() {
			others++
		}
	}
	for _, idle := range t.requests.idleEnds {
		if idle.mayCoincide(end.at) {
			others++
		}
	}
	return others >= minOtherEnds
}

func (s *traitServer) ranAlone() bool { return s != nil && s.alone }

// mayProveCorrelated reports whether one of the ends may prove to be correlated with ends of idle
// servers whose entries in the store have yet to expire.
func (t *TraitTable) mayProveCorrelated(now Time, ends []traitEnd, servers ServiceServers) bool {
	return slices.ContainsFunc(ends, func(end traitEnd) bool {
		return now-end.at < t.requests.entryTTL && servers.UndetectedEnds(end.at) >= minOtherEnds
	})
}

// explained reports whether another trait that was on the server as it ended explains the end better
// than p.
func (t *TraitTable) explained(p Trait, e *traitEntry, end traitEnd) bool {
	for q, notBegun := range t.servers[end.server].traitsOrNone() {
		o := t.entries[q]
		if q == p || q.Service != p.Service || o == nil || !end.begun && !notBegun {
			continue
		}
		if o.quarantined && !slices.Contains(o.with, p) || t.stronger(q, o, p, e) {
			return true
		}
	}
	return false
}

// stronger reports whether q explains the ends of servers better than p. Of a part and an account, the part
// does if servers ended under it repeatedly, unless it was answered and the account's requests never were. Of
// two parts, one without any answer explains them better than one with answers.
func (t *TraitTable) stronger(q Trait, o *traitEntry, p Trait, e *traitEntry) bool {
	lead := t.scoreOf(q, o) - t.scoreOf(p, e)
	onlyAnswered := func(a, b *traitEntry) bool { return a.everAnswered() && !b.everAnswered() }
	switch {
	case p.Kind == PromptPart && (q.Kind == PromptPart || lead > 0) && onlyAnswered(e, o) && t.recurrent(q, o):
		return true
	case q.Kind < p.Kind:
		return lead > -scoreTolerance || q.Kind == PromptPart && !onlyAnswered(o, e) && t.recurrent(q, o)
	case p.Kind == PromptPart && q.Kind != PromptPart:
		return false
	}
	return lead > scoreTolerance
}

// everAnswered reports whether requests with the trait have been answered recently.
func (e *traitEntry) everAnswered() bool { return e.known || e.begun > 0 || e.whole > 0 }

// recurrent reports whether several servers have ended under different requests with a trait, more than
// its answers outweigh.
func (t *TraitTable) recurrent(p Trait, e *traitEntry) bool {
	a := t.assess(p, e, e.ends)
	return a.units >= isolatedUnits && a.requests >= minBlamedRequests
}

// Explains reports whether the end of a server is explained by a trait: by one in quarantine, or by a prompt
// part under which servers end repeatedly. Requests that were lost there are not to blame by themselves.
func (t *TraitTable) Explains(server string) bool {
	for p, notBegun := range t.servers[server].traitsOrNone() {
		e := t.entries[p]
		if e == nil || !notBegun && !e.endsAfterBegin() {
			continue
		}
		if e.quarantined || p.Kind == PromptPart && t.recurrent(p, e) {
			return true
		}
	}
	return false
}

// scoreOf returns the log likelihood ratio of a trait, without regard to others on the same servers.
func (t *TraitTable) scoreOf(p Trait, e *traitEntry) float64 {
	if e.scoreRevision != t.revision {
		e.score, e.scoreRevision = t.assess(p, e, e.ends).score, t.revision
	}
	return e.score
}

// assessment weighs the evidence against a trait.
type assessment struct {
	score     float64 // log likelihood ratio in nats
	units     float64 // score in units of one end
	requests  int     // different requests under which servers ended
	wholeRuns bool    // servers ended after they had begun to answer
}

// assess weighs ends of servers under a trait against its answers. Servers that end before the first
// event are weighed against the answers that began, all ends against the answers that were whole.
func (t *TraitTable) assess(p Trait, e *traitEntry, ends []traitEnd) assessment {
	o := t.outcomes[p.Service]
	if o == nil {
		o = &outcomes{}
	}
	speaksFor := 0.0
	if e.known {
		speaksFor = knownWeight
	}
	before := weigh(ends, o.riskBeforeBegin(), func(end traitEnd) bool { return !end.begun })
	before.add(-speaksFor-answerWeight*float64(e.begun), o.riskBeforeBegin())
	all := weigh(ends, o.riskBeforeEnd(), func(traitEnd) bool { return true })
	all.add(-speaksFor-answerWeight*float64(e.whole), o.riskBeforeEnd())
	anyBegun := slices.ContainsFunc(ends, func(end traitEnd) bool { return end.begun })
	if before.score >= all.score || !anyBegun {
		return before
	}
	all.wholeRuns = true
	return all
}

func (a *assessment) add(nats, risk float64) {
	a.score += nats
	a.units = a.score / -math.Log(risk)
}

// weigh sums the weights of the selected ends. Ends within correlationWindow may have one cause, so all
// but the first count only as far as the trait was on few of the servers that might have ended with it.
func weigh(ends []traitEnd, risk float64, selected func(traitEnd) bool) (a assessment) {
	unit := -math.Log(risk)
	seen := map[Fingerprint]int{}
	var clusterFrom Time
	for _, end := range ends {
		if !selected(end) || !countsFor(end, seen) {
			continue
		}
		if !slices.ContainsFunc(end.requests, func(f Fingerprint) bool { return seen[f] > 0 }) {
			a.requests++
		}
		for _, f := range end.requests {
			seen[f]++
		}
		weight := unit
		if a.score > 0 && end.at-clusterFrom < correlationWindow {
			weight = min(unit, -math.Log(max(end.spread, minRisk)))
		} else {
			clusterFrom = end.at
		}
		a.score += weight
	}
	a.units = a.score / unit
	return a
}

// countsFor reports whether an end counts, given how often its requests have been counted.
func countsFor(end traitEnd, seen map[Fingerprint]int) bool {
	return len(end.requests) == 0 || slices.ContainsFunc(end.requests, func(f Fingerprint) bool { return seen[f] < maxEndsPerBody })
}

// riskBeforeBegin estimates the risk that a run is lost with its server before it begins to answer.
func (o *outcomes) riskBeforeBegin() float64 {
	return bound((o.lostBefore + 1) / (o.lostBefore + o.begun + riskPrior + 1))
}

// riskBeforeEnd estimates the risk that a run is lost with its server before its answer is whole.
func (o *outcomes) riskBeforeEnd() float64 {
	return bound((o.lostBeforeEnd + 1) / (o.lostBeforeEnd + o.whole + riskPrior + 1))
}

func bound(risk float64) float64 { return min(maxRisk, max(minRisk, risk)) }
