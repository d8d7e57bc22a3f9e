package sched

import "time"

// Policy holds the tunable parameters of the scheduler's decisions.
type Policy struct {
	// ConcurrencyFactor limits the requests at a server, as a multiple of its slots. Engines admit
	// requests in order of arrival, so a request already there cannot be overtaken.
	ConcurrencyFactor float64
	// MaxWaitShare is the fraction of its time, from its arrival to its deadline, that a
	// request may wait. The remaining time must suffice for its run, or for one more
	// attempt by its caller.
	MaxWaitShare float64
	// MaxQuotaWaitShare is the fraction of its time that a request may wait for its
	// account's quota. Most quotas refill within it, and a refused caller would come
	// back later than that.
	MaxQuotaWaitShare float64
	// RetryAfter is the minimum delay that the caller of a refused request is told to
	// wait before it retries; RetryAfterShare sets the delay as a fraction of the time
	// left. Overload lasts for seconds, so a caller that retries at once joins the
	// same queue again and has used up its attempt. Callers honour delays of up to a
	// third of their time.
	RetryAfter      time.Duration
	RetryAfterShare float64
	// RetryRatio and RetryBurst limit the requests that holders send a second time: as a
	// fraction of a service's requests, and as a number beyond that fraction. Both
	// stay below the platform's limit over all hosts and leave room for a second home
	// during a partition. A host that schedules alone has a share of RetryBurst, as it
	// has of the quotas.
	RetryRatio float64
	RetryBurst float64
	// FailurePenalty is added to the cost of a server, in predicted time, when all
	// its latest answers failed, and in proportion when some did.
	FailurePenalty time.Duration
	// LengthDelayWeight delays a request behind others of its priority by this multiple of
	// the time that an engine of typical speed takes to generate its answer. Answers
	// differ a hundredfold in length, and in a burst one long answer keeps many
	// callers waiting.
	LengthDelayWeight float64
	// MaxLengthDelayShare limits that delay, as a fraction of the time that the request may
	// wait, so that long answers are delayed but not starved.
	MaxLengthDelayShare float64
	// CacheMissWeight is the cost of a prompt token that a server has to prefill although
	// another server may have it cached, in multiples of the time to prefill it: it
	// also evicts other prompt parts from the server's memory.
	CacheMissWeight float64
	// TotalWeight is the weight of the predicted time to a request's end, relative to
	// that of the time to its first event.
	TotalWeight float64
	// CacheChoiceWindow is how many waiting requests a server with room may choose from, by
	// what it has cached of their prompts.
	CacheChoiceWindow int
	// EarlyRejectionMinQueue is the minimum queue length of a priority at which an arriving
	// request may be refused at once. With fewer waiting requests, the time until a
	// slot opens is mostly chance.
	EarlyRejectionMinQueue int
	// DemoteLate moves requests that can no longer meet their latency target behind
	// those that can.
	DemoteLate bool
	// WaitForLatencyTarget lets a request wait for a server at which it can meet its latency
	// target rather than take one at which it can't.
	WaitForLatencyTarget bool
	// LimitStreamPauses lets a request wait rather than take a server at which it would
	// pause the other streams for longer than their callers accept.
	LimitStreamPauses bool
	// ConnectCost is the cost of a new connection from a holder to a server. Opening
	// one takes some milliseconds of the server, during which it occupies a slot, and
	// servers limit their connections. It stays below what a slower server costs a
	// caller.
	ConnectCost time.Duration
	// MinPriorityShare is the minimum share of the servers' time that a less urgent priority
	// gets while requests that can meet their latency target wait there. Strict
	// priority order starves the last priority in a long overload, even where its
	// requests are so short that the urgent ones would hardly notice them.
	MinPriorityShare float64
	// RequireDeadline withholds a slot that others wait for from a request that is expected
	// to end after its deadline even at the fastest engine.
	RequireDeadline bool
	// MinSizeClassShare is the minimum fraction of the requests of a size class that are
	// placed, relative to that fraction for all requests of their priority.
	MinSizeClassShare float64
	// Handovers gives the servers of plain services more concurrent placements than
	// slots, so that no slot is idle while one call follows another; see
	// handoverSlots.
	Handovers bool
	// EjectionTime is the first ejection time of a server that does not answer. Each further
	// ejection without an answer in between doubles it, up to four times.
	EjectionTime time.Duration
	// LearnPauses limits the pauses of streams by what holders observe rather than by the time of the
	// entire pending prefill; see pauses.go.
	LearnPauses bool
	// SteadyPrefillRatio limits the rate at which the prefill ratio of a service changes, however
	// many samples arrive; see prefillratio.go.
	SteadyPrefillRatio bool
	// AccountShares orders the waiting requests of a priority by fair shares of their accounts;
	// see shares.go. QuotaWeights weights the shares by the accounts' quotas.
	AccountShares bool
	QuotaWeights  bool
	// LiveLoad takes the load that servers report into account; see serverload.go.
	LiveLoad bool
	// ForecastAdmission refuses requests for which a forecast shows no room in time, and
	// BookReturns spreads the returns of refused callers over the room that is foreseen;
	// see admission.go and returns.go.
	ForecastAdmission bool
	BookReturns       bool
}

// DefaultPolicy returns the policy that hosts run by default.
func DefaultPolicy() Policy {
	return Policy{
		ConcurrencyFactor:      1,
		MaxWaitShare:           0.3,
		MaxQuotaWaitShare:      0.3,
		RetryAfter:             300 * time.Millisecond,
		RetryAfterShare:        0.3,
		RetryRatio:             0.15,
		RetryBurst:             20,
		FailurePenalty:         2 * time.Second,
		LengthDelayWeight:      1,
		MaxLengthDelayShare:    0.3,
		CacheMissWeight:        12,
		TotalWeight:            0.2,
		CacheChoiceWindow:      16,
		EarlyRejectionMinQueue: 24,
		DemoteLate:             true,
		WaitForLatencyTarget:   true,
		LimitStreamPauses:      true,
		ConnectCost:            120 * time.Millisecond,
		MinPriorityShare:       0.05,
		RequireDeadline:        true,
		MinSizeClassShare:      0.6,
		Handovers:              true,
		EjectionTime:           1500 * time.Millisecond,
	}
}

// Engine model, used until something is learned of a server. A step generates one
// token for each running request; prompts are prefilled between the steps.
const (
	defaultTokenTime = 6500 * time.Microsecond // for an engine of typical speed
	// initialPrefillRatio is the time to prefill one prompt token as a fraction of the
	// time to generate one, until it is learned. Engines range from 1/250 to 1/125.
	initialPrefillRatio = 1.0 / 250
	minPrefillRatio     = 1.0 / 2500
	maxPrefillRatio     = 1.0 / 25
	// prefillRatioWeight is the weight of a new sample of the prefill ratio.
	// minPrefillSample is the minimum predicted time to the first event for a sample:
	// below it, other delays are as long as the prefill.
	prefillRatioWeight = 0.05
	minPrefillSample   = 50 * time.Millisecond
	defaultCallTime    = 15 * time.Millisecond // plain call at an idle server
	// plainFailurePenalty is FailurePenalty for a plain service: half of the time that
	// its callers have.
	plainFailurePenalty = 300 * time.Millisecond
	crossZoneRTT        = 3 * time.Millisecond // round trip between availability zones
	// maxTokenTime and minTokenTime bound the samples of the token time: those outside are
	// caused by a pause of the host or of the link.
	maxTokenTime = 200 * time.Millisecond
	minTokenTime = 500 * time.Microsecond
	// earlyRejectionMaxWait limits early rejection to requests that may wait no longer
	// than this: others outlast most bursts.
	earlyRejectionMaxWait = 2 * time.Second
	// earlyRejectionRatio is the ratio of arrivals to placements above which requests
	// are rejected early.
	earlyRejectionRatio = 1.2
	tokenTimeWeight     = 0.3 // weight of a new sample of a server's token time
	// failureWeight is the weight of the latest answer in a server's failure rate.
	// ejectionFailureRate is the rate above which a broken answer ejects the server.
	failureWeight       = 0.25
	ejectionFailureRate = 0.5
	// retryPenaltyFactor multiplies the failure penalty for a retry, which is usually
	// the last run that a request may have.
	retryPenaltyFactor = 4
	// failureHalfLife is the time in which a server's failure rate halves, so that the
	// server is tried again.
	failureHalfLife   = 2 * time.Second
	maxEjectionFactor = 4                      // longest ejection time, in multiples of the first
	rejectedBackoff   = 150 * time.Millisecond // without requests, after the server rejected one
	// callerTimeoutMargin is subtracted, like the usual time to the first event, from
	// the time that a stream may wait before its caller's timeout. It covers the return
	// path of the answer and an engine that is slower than the others.
	callerTimeoutMargin = 300 * time.Millisecond
	// connectionIdleTimeout is how long an unused connection from a holder to a server
	// is assumed to stay open.
	connectionIdleTimeout = 3 * time.Second
	// orphanGrace is added to the predicted end of a run whose holder is gone.
	orphanGrace      = 2 * time.Second
	maxPredictedTime = 30 * time.Second // of a run; also the cost of ending after the deadline
)
