package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["public-route"] = publicRoute }

// publicRoute sends safe requests with the tenant's key to a route while a configuration adds a public route with a
// longer prefix, to which these requests belong from then on.
func publicRoute(r *record, trouble bool) (broken []string, err error) {
	f, err := newFleet(3)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	f.store.put("op", "config", configuration(7, 300000))
	servers, err := f.startServers(r, 3, appService)
	if err != nil {
		return nil, err
	}
	if err := f.startHosts(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		time.AfterFunc(4*time.Second, func() {
			r.add("the operator writes version 12, which adds the public route %s2f/", safePrefix)
			f.store.put("op", "config", configuration(12, 300000, route("title", safePrefix+"2f/", "safe", appService, 600, 100, 2, 2, false, true)))
		})
	}
	replies := f.load(r, 6, 12*time.Second, 200*time.Millisecond, func() call {
		return call{method: "GET", path: safePrefix + "2f/title", key: tenantKey, deadline: 600 * time.Millisecond}
	})
	counts, runs := map[int]int{}, 0
	for _, got := range replies {
		counts[got.status]++
	}
	for _, s := range servers {
		for _, have := range s.allRuns() {
			runs++
			switch {
			case strings.Contains(have.key, tenantKey):
				broken = append(broken, fmt.Sprintf("UNASKED: the key was passed on to %s with request %s (Authorization %q)", have.server, have.attempt, have.key))
			case have.tenant != "" && have.tenant != tenantName:
				broken = append(broken, fmt.Sprintf("UNASKED: %s ran request %s for tenant %q", have.server, have.attempt, have.tenant))
			}
		}
	}
	fmt.Printf("%d requests, by status %v; the key reached a server with %d of %d runs\n", len(replies), counts, len(broken), runs)
	return broken, nil
}
