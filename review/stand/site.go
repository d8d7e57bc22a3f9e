package main

import (
	"net"
	"net/http"
	"sync"
)

// limits are those of the configuration in the examples of the pages.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// tenant returns a tenant without a quota.
func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys, "priority": 1, "unit": "token_count", "plainTokens": 200, "ratePerS": 0, "burst": 0}
}

// listenStore serves the store at a free port and returns its address.
func listenStore(e *env, s *store) (address string, server *http.Server, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server = s.serve(l)
	e.rec.add("store", "address", l.Addr().String())
	return l.Addr().String(), server, nil
}

var (
	fleetsMu sync.Mutex
	fleets   []*fleet
)

// track remembers a fleet, so that its processes end with the program, and returns the function that ends them.
func track(f *fleet) (stop func()) {
	fleetsMu.Lock()
	defer fleetsMu.Unlock()
	fleets = append(fleets, f)
	return f.stopAll
}

func stopFleets() {
	fleetsMu.Lock()
	defer fleetsMu.Unlock()
	for _, f := range fleets {
		f.stopAll()
	}
}
