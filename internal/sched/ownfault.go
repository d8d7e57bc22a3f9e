package sched

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/gentianflow/gentianflow/internal/quarantine"
)

const (
	// faultMemory is how long a failure of a request is remembered: longer than its caller
	// takes to come again.
	faultMemory = 2 * time.Minute
	// maxFaults bounds the requests whose failures are remembered, 100 bytes each.
	maxFaults = 2048
)

// fault is what is known of a request's failures.
type fault struct {
	server string // of the first
	at     Time   // of the newest
	own    bool   // it has failed at two servers
}

// faults remembers requests that failed lately.
//
// Guard: a request that every server breaks off or answers with a failure made each server
// look like a faulty one: one caller that sent such a body a few times a second had all
// servers of the service taken out in turn, and others were refused. One that fails at a
// second server, and has succeeded nowhere, is at fault itself.
type faults struct {
	recent *simplelru.LRU[quarantine.Fingerprint, fault]
}

func newFaults() faults {
	recent, err := simplelru.NewLRU[quarantine.Fingerprint, fault](maxFaults, nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return faults{recent}
}

// own notes how a run ended and reports whether its failure is the request's own.
func (f faults) own(now Time, request quarantine.Fingerprint, server string, result Result) bool {
	if !request.Known() {
		return false
	}
	switch result {
	case OK:
		f.recent.Remove(request)
		return false
	case Broken, Errored:
	default:
		return false
	}
	known, failed := f.recent.Get(request)
	if !failed || now-known.at >= faultMemory {
		known = fault{server: server}
	}
	known.at = now
	known.own = known.own || known.server != server
	f.recent.Add(request, known)
	return known.own
}
