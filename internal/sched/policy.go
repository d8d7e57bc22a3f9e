package sched

import "time"

// Policy holds the figures that decisions turn on.
type Policy struct {
	// Cap bounds the requests in a server, as a part of its slots. Engines
	// admit in order of arrival, so what is inside cannot be overtaken.
	Cap float64
	// WaitShare is the part of its time that a request may wait; the rest must
	// do for its run, or for one more try of its caller.
	WaitShare float64
	// QuotaWaitShare is the part of its time that a request may wait for its
	// account's quota. Most refill within it, and a caller that is sent away
	// comes back later than that.
	QuotaWaitShare float64
	// RetryAfter is the least time after which the caller of a refused request
	// should come back, ReturnShare the part of its time left. Overload lasts
	// for seconds; who comes back at once waits in the same line again and has
	// used up its try. Callers honour a third of their time.
	RetryAfter  time.Duration
	ReturnShare float64
	// RetryRatio and RetryBurst bound the requests that are sent once more, as
	// a part of a service's requests and as a number beyond that. Both stay
	// under the platform's bound over all hosts with room for a second home
	// during a partition. A host that decides alone has a part of RetryBurst, like
	// one of the quotas.
	RetryRatio float64
	RetryBurst float64
	// FailurePenalty is what a server costs in predicted time when all its
	// newest answers failed.
	FailurePenalty time.Duration
	// LengthWeight puts a request behind others of its priority by this part of
	// the time that its answer takes at a middling engine. Answers differ a
	// hundredfold in length, and in a burst one long answer keeps many callers
	// from theirs.
	LengthWeight float64
	// LengthMost bounds that, as a part of the time that the request may wait, so that
	// long answers are put off and not put out.
	LengthMost float64
	// MissWeight prices a prompt token that a server has to read though it may be
	// kept elsewhere, in times of what reading it takes: it also pushes other parts
	// out of the server's memory.
	MissWeight float64
	// TotalWeight prices a request's predicted end against its first token.
	TotalWeight float64
	// ChoosesFrom is how many waiting requests a server with room may choose from,
	// by what it keeps of their prompts.
	ChoosesFrom int
	// HopelessFrom is the least number that wait in a lane before one is refused as
	// it comes: with fewer, chance decides how fast places open.
	HopelessFrom int
	// LateBehind puts requests that can no longer be on time behind those that can.
	LateBehind bool
	// AwaitOnTime lets a request wait for a server at which it can be on time rather
	// than take one at which it can't.
	AwaitOnTime bool
	// SparePauses does the same for one that would stop the streams beside it for
	// longer than is on time.
	SparePauses bool
	// ConnectCost is what a new connection from a holder to a server is priced at. It
	// takes some milliseconds of the server and a place there meanwhile, and servers
	// bound their connections. It stays below what a slower server costs a caller.
	ConnectCost time.Duration
	// FloorShare is the part of the servers' time that a less urgent lane gets while
	// some wait there that can be on time. Strict order starves the last lane in a
	// long overload, also where its requests are so short that the urgent ones would
	// hardly notice.
	FloorShare float64
	// EndsInTime keeps a place that others wait for from a request that is expected to end
	// after its deadline even at the fastest engine.
	EndsInTime bool
	// SizeFloor is how often the requests of a lane that bring much work are placed at
	// least, as a part of how often all of the lane are.
	SizeFloor float64
	// Handovers gives servers of plain services more places than slots, so that no slot
	// stands still while a place changes hands; see handoverPlaces.
	Handovers bool
	// TimeOut is how long a server that does not answer is left alone at first; each
	// time without an answer between doubles it, up to four times.
	TimeOut time.Duration
}

// DefaultPolicy is what hosts run.
func DefaultPolicy() Policy {
	return Policy{
		Cap:            1,
		WaitShare:      0.3,
		QuotaWaitShare: 0.3,
		RetryAfter:     300 * time.Millisecond,
		ReturnShare:    0.3,
		RetryRatio:     0.15,
		RetryBurst:     20,
		FailurePenalty: 2 * time.Second,
		LengthWeight:   1,
		LengthMost:     0.3,
		MissWeight:     12,
		TotalWeight:    0.2,
		ChoosesFrom:    16,
		HopelessFrom:   24,
		LateBehind:     true,
		AwaitOnTime:    true,
		SparePauses:    true,
		ConnectCost:    120 * time.Millisecond,
		FloorShare:     0.05,
		EndsInTime:     true,
		SizeFloor:      0.6,
		Handovers:      true,
		TimeOut:        1500 * time.Millisecond,
	}
}

// The engine model, before anything is learned of a server. A step generates
// one token for each running request; prompts are read between the steps.
const (
	defaultTokenTime = 6500 * time.Microsecond // of engines of middling speed
	// firstReadShare is the time to read one prompt token as a part of the time to
	// generate one, until it is learned; by the data sheets of the engines seen it is
	// 1/250 to 1/125.
	firstReadShare = 1.0 / 250
	leastReadShare = 1.0 / 2500
	mostReadShare  = 1.0 / 25
	// readRate is the weight of a new sample of it, learnsFrom the predicted reading
	// from which a first event tells of it: below it other things take as long.
	readRate   = 0.05
	learnsFrom = 50 * time.Millisecond
	plainCall  = 15 * time.Millisecond // a plain call at an idle server
	// plainPenalty is FailurePenalty for a plain service: half of the time that
	// its callers have.
	plainPenalty = 300 * time.Millisecond
	crossZone    = 3 * time.Millisecond // there and back between availability zones
	// Samples outside these are a pause of the host or of the link.
	maxTokenTime = 200 * time.Millisecond
	minTokenTime = 500 * time.Microsecond
	// hopelessWait bounds the waits that are judged: requests that may wait for longer
	// outlast most bursts.
	hopelessWait = 2 * time.Second
	// hopelessExcess is how many must come for each that is placed.
	hopelessExcess = 1.2
	paceRate       = 0.3 // weight of a new sample of a server's speed
	// failureRate is the weight of the newest answer in a server's share of
	// failures, benchShare the share at which lost answers take it out.
	failureRate = 0.25
	benchShare  = 0.5
	// repeatCare multiplies what failures cost for a repeat: it is as a rule
	// the last run that a request may have.
	repeatCare = 4
	// failureMemory is how long a server's failures are held against it; after
	// it they halve once in each such time, so that it is tried anew.
	failureMemory = 2 * time.Second
	timeOutMost   = 4 // the longest time out, in times of the first
	rejectedPause = 150 * time.Millisecond
	// leaveMargin is how long before its caller leaves a stream must show its
	// first event, beyond what that takes as a rule: the answer's way back, and
	// an engine that is slower than the others.
	leaveMargin = 300 * time.Millisecond
	// keptFor is how long a holder's connection to a server is taken to stay open when
	// nobody uses it.
	keptFor = 3 * time.Second
	// orphanGrace is added to the predicted end of a run whose holder is gone.
	orphanGrace  = 2 * time.Second
	maxPredicted = 30 * time.Second
)
