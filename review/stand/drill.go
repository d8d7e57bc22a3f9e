package main

import (
	"fmt"
	"time"
)

// drill has the store come back from a copy that is some seconds old: its versions go back and are given out again.
// The operator and the servers write again what they wrote since. When the store has been stable for a while, the
// operator takes a key away and drops a route. Requests are sent long after the store has acknowledged that.
func drill(e *env) (broken bool, err error) {
	const (
		copyAge = 6 * time.Second         // of the copy when the store goes away
		away    = time.Second             // how long it is away
		stable  = 3200 * time.Millisecond // stableWindowMs is 3,000
		bound   = 8 * time.Second         // configApplyMs, maxSkewMs and a second more
	)
	s := newStore()
	s.era = 1
	address, _, err := listenStore(e, s)
	if err != nil {
		return false, err
	}
	f, err := newFleet(e.dir, 7, 284, e.rec)
	if err != nil {
		return false, err
	}
	defer track(f)()
	var servers []*backend
	for i := range 12 {
		b := &backend{id: fmt.Sprintf("i-%d", i+1), service: "app", zone: "hall-" + string(rune('a'+i%3)), slots: 6, store: s, rec: e.rec, answer: plainAnswer(15 * time.Millisecond)}
		if err := b.start("127.0.0.1"); err != nil {
			return false, err
		}
		defer b.end()
		servers = append(servers, b)
		time.Sleep(heartbeat / 12)
	}
	route := func(name string) map[string]any {
		return map[string]any{"name": name, "host": "site.example", "prefix": "/" + name + "/", "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 100, "priority": 0, "service": "app", "maxAttempts": 1, "public": false, "resumable": false}
	}
	config := func(version int, routes []any, tenants ...any) {
		at := s.put("op", "config", map[string]any{
			"version": version, "routes": routes, "limits": limits, "tenants": tenants,
			"services": []any{map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		})
		e.rec.add("config", "version", version, "row", s.copy().version, "acknowledged", at.Sub(e.rec.started).Seconds())
	}
	both := []any{route("keep"), route("drop")}
	config(7, both, tenant("one", "key-one"), tenant("two", "key-two"))
	if err := f.startAll(address); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	n := 0
	try := func(what, path, key string) (statuses map[int]int) {
		statuses = map[int]int{}
		for _, h := range f.hosts {
			for range 3 {
				n++
				a := send(e.rec, h.address(entryPort), call{ID: fmt.Sprintf("a-%03d", n), Host: "site.example", Method: "POST", Path: path, Deadline: 600 * time.Millisecond, Key: key, Body: []byte("order")})
				statuses[a.Status]++
			}
		}
		e.rec.say("%s: answers by status %v", what, statuses)
		return statuses
	}

	old := s.copy()
	time.Sleep(copyAge - 500*time.Millisecond)
	config(9, both, tenant("one", "key-one"), tenant("two", "key-two", "key-three"))
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		e.rec.add("store", "away_at", s.copy().version, "copy", old.version)
		s.leave()
	}
	time.Sleep(away)
	if e.trouble {
		s.comeBack(old)
		config(9, both, tenant("one", "key-one"), tenant("two", "key-two", "key-three"))
		for _, b := range servers {
			b.report()
		}
	}
	time.Sleep(stable)
	if before := try("before, with the key", "/keep/1", "key-two"); before[200] < 3*len(f.hosts) {
		return false, fmt.Errorf("only %d of %d requests were served before", before[200], 3*len(f.hosts))
	}
	config(11, []any{route("keep")}, tenant("one", "key-one"))
	time.Sleep(bound)
	withKey := try("with the key that was taken away", "/keep/1", "key-two")
	dropped := try("on the route that was dropped", "/drop/1", "key-one")
	served := try("with the other key", "/keep/1", "key-one")
	if served[200] == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return withKey[200] > 0 || dropped[200] > 0, nil
}
