package sched

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

const (
	// failureMemory is how long a failure is remembered: longer than a caller takes to retry.
	failureMemory = 2 * time.Minute
	// maxFailures bounds the remembered requests, and the parts, at 100 bytes each.
	maxFailures = 2048
	// minPartFailures is the number of failures in a row from which a prompt part is at fault. Several
	// requests with it may fail at faulty servers by chance.
	minPartFailures = 3
)

// failureHistory tells how requests failed since the last success.
type failureHistory struct {
	server  string // of the first failure
	at      Time   // of the latest failure
	n       int
	servers bool // they failed at a second server
}

// requestFailures remembers what failed recently, requests and prompt parts, to tell faulty requests from
// faulty servers.
//
// A request that fails at every server makes each server look faulty: one caller that sent
// such a body a few times per second had all servers of the service ejected in turn, and
// other callers were refused. A request that fails at a second server, and has succeeded at
// none since, is at fault itself. So is a prompt part with which different requests do.
type requestFailures struct {
	requests *simplelru.LRU[quarantine.Fingerprint, failureHistory]
	parts    *simplelru.LRU[quarantine.Trait, failureHistory]
}

func newRequestFailures() requestFailures {
	return requestFailures{requests: newFailureMemory[quarantine.Fingerprint](), parts: newFailureMemory[quarantine.Trait]()}
}

func newFailureMemory[K comparable]() *simplelru.LRU[K, failureHistory] {
	recent, err := simplelru.NewLRU[K, failureHistory](maxFailures, nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return recent
}

// recordOutcome records how a run of a request ended and reports whether the failure is
// attributed to the request rather than to the server.
func (f requestFailures) recordOutcome(now Time, r *Request, server string, result Result) (atFault bool) {
	if !r.Fingerprint.Known() {
		return false
	}
	switch result {
	case OK:
		f.requests.Remove(r.Fingerprint)
		if f.parts.Len() > 0 {
			for _, p := range traitsOf(r) {
				f.parts.Remove(p)
			}
		}
		return false
	case Broken, ServerError:
	default:
		return false
	}
	atFault = addFailure(f.requests, now, r.Fingerprint, server).servers
	for _, p := range traitsOf(r) {
		if p.Kind == quarantine.PromptPart {
			h := addFailure(f.parts, now, p, server)
			atFault = atFault || h.servers && h.n >= minPartFailures
		}
	}
	return atFault
}

// addFailure adds a failure to the history of a key and returns the history.
func addFailure[K comparable](recent *simplelru.LRU[K, failureHistory], now Time, key K, server string) failureHistory {
	h, known := recent.Get(key)
	if !known || now-h.at >= failureMemory {
		h = failureHistory{server: server}
	}
	h.at, h.n, h.servers = now, h.n+1, h.servers || h.server != server
	recent.Add(key, h)
	return h
}
