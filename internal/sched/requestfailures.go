package sched

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

const (
	// requestFailureMemory is how long a failure of a request is remembered: longer than a
	// caller takes to retry.
	requestFailureMemory = 2 * time.Minute
	// maxRequestFailures bounds the remembered requests, at 100 bytes each.
	maxRequestFailures = 2048
)

// requestFailure is the failure history of one request.
type requestFailure struct {
	server  string // of the first failure
	at      Time   // of the latest failure
	atFault bool   // it has failed at a second server, so the request is to blame
}

// requestFailures remembers requests that failed recently, to tell faulty requests from faulty
// servers.
//
// A request that fails at every server makes each server look faulty: one caller that sent
// such a body a few times per second had all servers of the service ejected in turn, and
// other callers were refused. A request that fails at a second server, and has succeeded at
// none since, is at fault itself.
type requestFailures struct {
	recent *simplelru.LRU[quarantine.Fingerprint, requestFailure]
}

func newRequestFailures() requestFailures {
	recent, err := simplelru.NewLRU[quarantine.Fingerprint, requestFailure](maxRequestFailures, nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return requestFailures{recent}
}

// recordOutcome records how a run of a request ended and reports whether the failure is
// attributed to the request rather than to the server.
func (f requestFailures) recordOutcome(now Time, request quarantine.Fingerprint, server string, result Result) bool {
	if !request.Known() {
		return false
	}
	switch result {
	case OK:
		f.recent.Remove(request)
		return false
	case Broken, ServerError:
	default:
		return false
	}
	known, failed := f.recent.Get(request)
	if !failed || now-known.at >= requestFailureMemory {
		known = requestFailure{server: server}
	}
	known.at = now
	known.atFault = known.atFault || known.server != server
	f.recent.Add(request, known)
	return known.atFault
}
