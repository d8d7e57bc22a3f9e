package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxTraits bounds the traits in the table, of 400 bytes each, maxTraitEnds the ends stored
	// for each, maxTraitServers the ended servers of which it is known what ran there.
	maxTraits       = 4096
	evictedShare    = 8 // a full table drops an eighth of its entries
	maxTraitEnds    = 16
	maxTraitServers = 256
	// maxKnownTraits bounds the traits of which it is known when a request was answered.
	maxKnownTraits = 4096
	// knownFor is how long an answer before a server's end speaks for a trait.
	knownFor = 30 * time.Second
	// maxRequestsPerEnd is the number of requests remembered for an end.
	maxRequestsPerEnd = 8
	// outcomeHalfLife is how fast the outcomes from which the risk of a run is estimated fade.
	outcomeHalfLife = 20 * time.Second
	expiryInterval  = 30 * time.Second
)

// TraitTable holds what one host knows of the traits of requests that ran on servers as these
// ended. It is the counterpart of Table for causes that many different requests share, and judges by the
// same kind of facts. It is not safe for concurrent use.
//
// A trait that requests with many others share stands on most servers that end, so the number of
// ends alone says little. What tells the cause apart are answers: each request that is answered speaks for
// all of its traits.
type TraitTable struct {
	host     string
	requests *Table // knows when other servers ended
	entries  map[Trait]*traitEntry
	servers  map[string]*traitServer
	answered *simplelru.LRU[Trait, Time] // newest answer
	outcomes map[string]*outcomes        // by service
	cleared  map[Trait]Time              // facts up to this time are ignored

	unreported  map[Trait]bool // changed since the last TakeChanges
	quarantined []Trait        // put in quarantine since the last TakeQuarantined
	revision    uint64         // incremented with each change of the table
	nextExpiry  Time
}

// traitEntry holds the facts about one trait.
type traitEntry struct {
	ends []traitEnd // ordered by time
	// begun and whole count the runs since the first end, with the trait, that began to answer
	// and that were answered completely, after the newest end at that time.
	begun, whole int
	known        bool // a request with it had been answered shortly before the first end
	answersAt    int  // outcomes.answers of the service at the first end

	quarantined   bool
	quarantinedAt Time
	quarantinedBy string
	retryAt       Time
	failedTrials  int
	accounts      []string // for which it is in quarantine, empty: for all
	otherEnds     int      // further ends under requests of other accounts only
	with          []Trait  // it is in quarantine for requests that have all of these as well

	score         float64 // see TraitTable.score
	scoreRevision uint64
	lastJudgment  traitJudgment
}

// traitEnd is the end of a server while it ran requests with a trait.
type traitEnd struct {
	server   string
	at       Time
	begun    bool // each of the requests had begun to be answered there
	requests []Fingerprint
	accounts []string
	// spread is how likely this server would be one with the trait if any busy server of the service
	// had ended. It is set if the server ended within correlationWindow of another one with it.
	spread float64
}

// traitServer is the end of a server with the traits of the requests that ran there.
type traitServer struct {
	at     Time
	traits map[Trait]bool // whether a request with it had not begun to be answered
	alone  bool           // it ran one request only, a suspect one
}

// outcomes counts the recent runs of a service that are not suspect, fading with time.
type outcomes struct {
	at                   Time
	begun, lostBefore    float64 // runs that began to answer, or were lost before that
	whole, lostBeforeEnd float64 // answers that were complete, or runs lost at any time
	answers              int     // all runs that began to answer, suspect or not
}

// NewTraitTable returns an empty table. requests knows the ends of all servers.
func NewTraitTable(requests *Table) *TraitTable {
	answered, err := simplelru.NewLRU[Trait, Time](maxKnownTraits, nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &TraitTable{
		requests: requests, entries: map[Trait]*traitEntry{}, servers: map[string]*traitServer{}, answered: answered,
		outcomes: map[string]*outcomes{}, cleared: map[Trait]Time{}, unreported: map[Trait]bool{}, revision: 1,
	}
}

// SetHost sets the name of the host that owns the table.
func (t *TraitTable) SetHost(name string) { t.host = name }

// Tracks reports whether a server has ended under a request with one of the traits. It is cheap while
// no trait is tracked.
func (t *TraitTable) Tracks(traits []Trait) bool {
	if len(t.entries) == 0 {
		return false
	}
	return slices.ContainsFunc(traits, func(p Trait) bool { return t.entries[p] != nil })
}

// Revision returns a number that changes with each change of the table. It is never 0.
func (t *TraitTable) Revision() uint64 { return t.revision }

// EndedUnder reports whether a server ended under a request with a trait.
func (t *TraitTable) EndedUnder(p Trait, server string) bool {
	_, there := t.servers[server].traitsOrNone()[p]
	return there
}

// Empty reports whether the table tracks no trait.
func (t *TraitTable) Empty() bool { return len(t.entries) == 0 }

// TraitLoss is the fact that a request with some traits was running on a server when the server ended.
type TraitLoss struct {
	Request Fingerprint
	Account string
	Server  string // incarnation of the server
	At      Time
	Begun   bool // it had begun to be answered
	Alone   bool // no other request was sent to the server beside it
	Traits  []Trait
	// Busy counts the busy servers of the service, and those of them that run requests with a trait,
	// not counting requests that have begun to be answered unless begun is set; nil if that is not
	// known. Servers that have just ended count as well.
	Busy func(p Trait, begun bool) (busy, with int)
}

// Add adds the facts of a loss.
func (t *TraitTable) Add(now Time, l TraitLoss) {
	for _, p := range l.Traits {
		t.addEnd(now, p, traitEnd{server: l.Server, at: l.At, begun: l.Begun, requests: []Fingerprint{l.Request}, accounts: accountsOf(l.Account)}, l.Alone, l.Busy)
	}
	t.narrow(l.Traits)
}

func accountsOf(account string) []string {
	if account == "" {
		return nil
	}
	return []string{account}
}

func (t *TraitTable) addEnd(now Time, p Trait, end traitEnd, alone bool, countBusy func(Trait, bool) (busy, with int)) {
	if at, ok := t.cleared[p]; ok && end.at <= at {
		return
	}
	e := t.entries[p]
	if e == nil {
		t.evictIfFull(now)
		at, known := t.answered.Peek(p)
		e = &traitEntry{known: known && end.at-at <= knownFor, answersAt: t.outcomesOf(now, p.Service).answers}
		t.entries[p] = e
	}
	t.recordServer(p, end, alone)
	i := slices.IndexFunc(e.ends, func(have traitEnd) bool { return have.server == end.server })
	if i >= 0 {
		if e.ends[i].merge(end) {
			t.markChanged(p)
		}
		return
	}
	if end.spread == 0 {
		end.spread = e.spreadOf(p, end, countBusy)
	}
	e.ends = append(e.ends, end)
	slices.SortStableFunc(e.ends, func(a, b traitEnd) int { return cmp.Compare(a.at, b.at) })
	if len(e.ends) > maxTraitEnds {
		e.ends = slices.Delete(e.ends, 0, 1)
	}
	if e.quarantined {
		t.extendQuarantine(e, end, alone)
	}
	t.markChanged(p)
}

// spreadOf returns the spread of a further end.
func (e *traitEntry) spreadOf(p Trait, end traitEnd, countBusy func(Trait, bool) (busy, with int)) float64 {
	earlier := 0 // that ended with it
	for _, have := range e.ends {
		if have.at <= end.at && end.at-have.at < correlationWindow {
			earlier++
		}
	}
	if earlier == 0 {
		return 0
	}
	if countBusy == nil {
		return 1
	}
	busy, with := countBusy(p, end.begun)
	return float64(max(1, with-earlier)) / float64(max(1, busy-earlier))
}

// merge adds what another report says of the same end, and reports whether that is new.
func (end *traitEnd) merge(other traitEnd) (changed bool) {
	if other.at < end.at { // a delayed report gives a time that is too late
		end.at, changed = other.at, true
	}
	if end.begun && !other.begun {
		end.begun, changed = false, true
	}
	for _, f := range other.requests {
		if len(end.requests) < maxRequestsPerEnd && !slices.Contains(end.requests, f) {
			end.requests, changed = append(end.requests, f), true
		}
	}
	for _, account := range other.accounts {
		if len(end.accounts) < maxRequestsPerEnd && !slices.Contains(end.accounts, account) {
			end.accounts, changed = append(end.accounts, account), true
		}
	}
	if end.spread == 0 && other.spread > 0 {
		end.spread, changed = other.spread, true
	}
	return changed
}

// recordServer records which traits were on a server that ended.
func (t *TraitTable) recordServer(p Trait, end traitEnd, alone bool) {
	ended := t.servers[end.server]
	if ended == nil {
		if len(t.servers) >= maxTraitServers {
			t.dropOldestServer()
		}
		ended = &traitServer{at: end.at, traits: map[Trait]bool{}}
		t.servers[end.server] = ended
	}
	ended.alone = ended.alone || alone
	ended.traits[p] = ended.traits[p] || !end.begun
}

func (t *TraitTable) dropOldestServer() {
	oldest := ""
	for name, s := range t.servers {
		if oldest == "" || s.at < t.servers[oldest].at {
			oldest = name
		}
	}
	delete(t.servers, oldest)
}

// evictIfFull keeps the table bounded: it drops expired entries, and then a part of those outside quarantine,
// first those with the fewest ends and the oldest of them. So requests with many parts that are each seen at
// one end can't displace a part that has ended several servers.
func (t *TraitTable) evictIfFull(now Time) {
	if len(t.entries) < maxTraits {
		return
	}
	for p, e := range t.entries {
		if !e.quarantined && now-e.last() > endRetention {
			t.drop(p)
		}
	}
	if len(t.entries) < maxTraits {
		return
	}
	byValue := slices.SortedFunc(maps.Keys(t.entries), func(a, b Trait) int {
		return t.entries[a].compareValue(t.entries[b])
	})
	for _, p := range byValue[:maxTraits/evictedShare] {
		t.drop(p)
	}
}

// Expire drops the traits outside quarantine whose newest end is past endRetention. It looks at them once in
// expiryInterval.
func (t *TraitTable) Expire(now Time) {
	if now < t.nextExpiry {
		return
	}
	t.nextExpiry = now + expiryInterval
	for p, e := range t.entries {
		if !e.quarantined && now-e.last() > endRetention {
			t.drop(p)
		}
	}
	maps.DeleteFunc(t.servers, func(_ string, s *traitServer) bool { return now-s.at > endRetention })
	maps.DeleteFunc(t.cleared, func(_ Trait, at Time) bool { return now-at > endRetention })
}

// compareValue orders entries by when they are evicted.
func (e *traitEntry) compareValue(other *traitEntry) int {
	inQuarantine := func(e *traitEntry) int {
		if e.quarantined {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(inQuarantine(e), inQuarantine(other)), cmp.Compare(len(e.ends), len(other.ends)), cmp.Compare(e.last(), other.last()))
}

// last returns the time of the newest end, or of the quarantine if no end is known.
func (e *traitEntry) last() Time {
	if len(e.ends) == 0 {
		return e.quarantinedAt
	}
	return e.ends[len(e.ends)-1].at
}

func (t *TraitTable) drop(p Trait) {
	delete(t.entries, p)
	t.revision++
}

// markChanged marks p as changed and invalidates all judgments, since other traits were on the same
// servers.
func (t *TraitTable) markChanged(p Trait) {
	t.unreported[p] = true
	t.revision++
}

// Begun records that a run began to answer at a time. It speaks for its traits against the ends
// before it.
func (t *TraitTable) Begun(now, at Time, service string, traits []Trait) {
	o := t.outcomesOf(now, service)
	o.answers++
	if !t.suspicious(traits) {
		o.begun++
	}
	t.count(now, at, traits, false)
}

// Whole records that a run was answered completely, or with an error of its server's own.
func (t *TraitTable) Whole(now Time, service string, traits []Trait) {
	if !t.suspicious(traits) {
		t.outcomesOf(now, service).whole++
	}
	for _, p := range traits {
		t.answered.Add(p, now)
	}
	t.count(now, now, traits, true)
}

// Lost records for the risk of other runs that a run was lost with its server.
func (t *TraitTable) Lost(now Time, service string, traits []Trait, begun bool) {
	if t.suspicious(traits) {
		return
	}
	o := t.outcomesOf(now, service)
	o.lostBeforeEnd++
	if !begun {
		o.lostBefore++
	}
}

// suspicious reports whether more than one server has ended under requests with one of the traits.
// The outcomes of such runs say nothing about the risk of others.
func (t *TraitTable) suspicious(traits []Trait) bool {
	if len(t.entries) == 0 {
		return false
	}
	return slices.ContainsFunc(traits, func(p Trait) bool {
		e := t.entries[p]
		return e != nil && (e.quarantined || len(e.ends) > 1 && t.scoreOf(p, e) > 0)
	})
}

// count counts an answer for its traits: that it began, or that it was whole.
func (t *TraitTable) count(now, at Time, traits []Trait, whole bool) {
	if len(t.entries) == 0 {
		return
	}
	for _, p := range traits {
		e := t.entries[p]
		if e == nil || at <= e.last() {
			continue
		}
		proves := whole || !e.endsAfterBegin()
		missing := slices.ContainsFunc(e.with, func(w Trait) bool { return !slices.Contains(traits, w) })
		if e.quarantined && proves && (missing || now >= e.retryAt) {
			t.Clear(now, p) // by a trial, or since it is not the cause without the traits that are missing
			continue
		}
		if whole {
			e.whole++
		} else {
			e.begun++
		}
		t.revision++
		if t.scoreOf(p, e) <= 0 {
			t.Clear(now, p)
		}
	}
}

// endsAfterBegin reports whether all servers ended after they had begun to answer, so that only a
// complete answer speaks for the trait.
func (e *traitEntry) endsAfterBegin() bool {
	return len(e.ends) > 0 && !slices.ContainsFunc(e.ends, func(end traitEnd) bool { return !end.begun })
}

// Clear drops the facts about a trait that is not the cause or that an operator released. It reports
// whether there were any.
func (t *TraitTable) Clear(now Time, p Trait) bool {
	if t.entries[p] == nil {
		return false
	}
	t.drop(p)
	if len(t.cleared) >= maxTraits {
		maps.DeleteFunc(t.cleared, func(_ Trait, old Time) bool { return now-old > endRetention })
	}
	if len(t.cleared) < maxTraits {
		t.cleared[p] = now
	}
	t.markChanged(p)
	return true
}

// outcomesOf returns the outcomes of a service, faded to now.
func (t *TraitTable) outcomesOf(now Time, service string) *outcomes {
	o := t.outcomes[service]
	if o == nil {
		o = &outcomes{at: now}
		t.outcomes[service] = o
	}
	if now > o.at {
		factor := math.Exp2(-float64(now-o.at) / float64(outcomeHalfLife))
		o.begun, o.lostBefore, o.whole, o.lostBeforeEnd = o.begun*factor, o.lostBefore*factor, o.whole*factor, o.lostBeforeEnd*factor
		o.at = now
	}
	return o
}
