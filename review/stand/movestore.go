package main

import (
	"fmt"
	"syscall"
	"time"
)

// moveStore gives the store a new address: the settings files name it, and each host gets SIGHUP. For some seconds
// the store answers at both addresses, then only at the new one. Later a key is taken away, a route is dropped and
// a server drains, and requests are sent long after the store has acknowledged that.
func moveStore(e *env) (broken bool, err error) {
	const (
		bothFor = 10 * time.Second // the store answers at both addresses
		settle  = 4 * time.Second  // stableWindowMs and more
		bound   = 8 * time.Second  // configApplyMs, maxSkewMs and a second more
	)
	s := newStore()
	oldAddress, old, err := listenStore(e, s)
	if err != nil {
		return false, err
	}
	f, err := newFleet(e.dir, 7, 284, e.rec)
	if err != nil {
		return false, err
	}
	defer track(f)()
	var servers []*backend
	for i := range 3 {
		b := &backend{id: fmt.Sprintf("i-%d", i+1), service: "app", zone: "hall-" + string(rune('a'+i)), slots: 6, store: s, rec: e.rec, answer: plainAnswer(15 * time.Millisecond)}
		if err := b.start("127.0.0.1"); err != nil {
			return false, err
		}
		defer b.end()
		servers = append(servers, b)
	}
	route := func(name string) map[string]any {
		return map[string]any{"name": name, "host": "site.example", "prefix": "/" + name + "/", "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 100, "priority": 0, "service": "app", "maxAttempts": 1, "public": false, "resumable": false}
	}
	config := func(version int, routes []any, tenants ...any) {
		at := s.put("op", "config", map[string]any{
			"version": version, "routes": routes, "limits": limits, "tenants": tenants,
			"services": []any{map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		})
		e.rec.add("config", "version", version, "acknowledged", at.Sub(e.rec.started).Seconds())
	}
	config(7, []any{route("keep"), route("drop")}, tenant("one", "key-one"), tenant("two", "key-two"))
	if err := f.startAll(oldAddress); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
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
	if before := try("before, with the key", "/keep/1", "key-two"); before[200] < 3*len(f.hosts) {
		return false, fmt.Errorf("only %d of %d requests were served before", before[200], 3*len(f.hosts))
	}
	if e.trouble {
		newAddress, _, err := listenStore(e, s)
		if err != nil {
			return false, err
		}
		for _, h := range f.hosts {
			if err := f.writeSettings(h, newAddress); err != nil {
				return false, err
			}
		}
		for _, h := range f.hosts { // two times: 4 hosts over 2 s, then the other 3
			f.signal(h, syscall.SIGHUP)
			time.Sleep(500 * time.Millisecond)
		}
	}
	time.Sleep(bothFor)
	if e.trouble {
		_ = old.Close()
		e.rec.add("store", "closed", oldAddress)
	}
	time.Sleep(settle)
	config(9, []any{route("keep")}, tenant("one", "key-one"))
	drained := servers[0].drain()
	e.rec.add("server", "draining", servers[0].id, "acknowledged", drained.Sub(e.rec.started).Seconds())
	time.Sleep(bound)
	after := time.Now()
	withKey := try("with the key that was taken away", "/keep/1", "key-two")
	dropped := try("on the route that was dropped", "/drop/1", "key-one")
	served := try("with the other key", "/keep/1", "key-one")
	late := 0
	for _, r := range servers[0].allRuns() {
		if r.At.After(after) {
			late++
		}
	}
	e.rec.say("%d requests reached the draining server more than %.0f s after its acknowledgement", late, bound.Seconds())
	if served[200] == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return withKey[200] > 0 || dropped[200] > 0 || late > 0, nil
}
