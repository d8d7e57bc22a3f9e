package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Bounds and doses of a trial of late news. It is no case of the review: what is late is so by some milliseconds.
const (
	lateTrials  = 8
	lateBound   = 2000 * time.Millisecond // drainMs
	freezeFor   = 4 * time.Second         // node_freeze, on = core, count = 1
	betweenLate = 5 * time.Second
)

// lateSite starts a fleet that is idle but for what a trial sends.
func lateSite(e *env) (f *fleet, servers []*backend, stop func(), err error) {
	s := newStore()
	address, _, err := listenStore(e, s)
	if err != nil {
		return nil, nil, nil, err
	}
	if f, err = newFleet(e.dir, 7, 284, e.rec); err != nil {
		return nil, nil, nil, err
	}
	stopFleet := track(f)
	for i := range 12 {
		b := &backend{id: fmt.Sprintf("i-%d", i+1), service: "app", zone: "hall-" + string(rune('a'+i%3)), slots: 6, store: s, rec: e.rec, answer: plainAnswer(15 * time.Millisecond)}
		if err := b.start("127.0.0.1"); err != nil {
			return nil, nil, stopFleet, err
		}
		servers = append(servers, b)
		time.Sleep(heartbeat / 12)
	}
	stop = func() {
		stopFleet()
		for _, b := range servers {
			b.end()
		}
	}
	s.put("op", "config", map[string]any{
		"version": 7, "limits": limits, "tenants": []any{tenant("one", "key-one")}, "routes": []any{
			map[string]any{"name": "stock-check", "host": "site.example", "prefix": "/stock/", "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 100, "priority": 0, "service": "app", "maxAttempts": 1, "public": false, "resumable": false},
		},
		"services": []any{map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
	})
	if err := f.startAll(address); err != nil {
		return nil, nil, stop, err
	}
	time.Sleep(4 * time.Second)
	return f, servers, stop, nil
}

// probe sends requests to all hosts but one from a moment on, one each step.
func probe(e *env, f *fleet, except *host, trial int, from time.Time, step time.Duration, count int) {
	var wait sync.WaitGroup
	for i, h := range f.hosts {
		if h == except {
			continue
		}
		for p := range count {
			wait.Go(func() {
				time.Sleep(time.Until(from.Add(time.Duration(p) * step)))
				send(e.rec, h.address(entryPort), call{ID: fmt.Sprintf("a-%d-%d-%d", trial, i, p), Host: "site.example", Method: "POST", Path: "/stock/1", Deadline: 600 * time.Millisecond, Key: "key-one", Body: []byte("order")})
			})
		}
	}
	wait.Wait()
}

// lateDrain has servers leave, one after the other, while the host that schedules for all stands still for some
// seconds.
func lateDrain(e *env) (broken bool, err error) {
	f, servers, stop, err := lateSite(e)
	if stop != nil {
		defer stop()
	}
	if err != nil {
		return false, err
	}
	late, most := 0, time.Duration(0)
	for trial := range lateTrials {
		home := f.home()
		if home == nil {
			return false, fmt.Errorf("no host schedules for all")
		}
		leaving := servers[trial]
		acknowledged := leaving.drain()
		if e.trouble {
			time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			f.signal(home, syscall.SIGSTOP)
		}
		probe(e, f, home, trial, acknowledged.Add(lateBound-100*time.Millisecond), 10*time.Millisecond, 26)
		time.Sleep(time.Until(acknowledged.Add(freezeFor)))
		f.signal(home, syscall.SIGCONT)
		for _, r := range leaving.allRuns() {
			if after := r.At.Sub(acknowledged); after > lateBound {
				late++
				most = max(most, after)
			}
		}
		time.Sleep(betweenLate)
	}
	e.rec.say("%d requests reached a draining server later than %d ms after the acknowledgement, the last one %d ms", late, lateBound.Milliseconds(), most.Milliseconds())
	return late > 0, nil
}

// home returns the host that states that it schedules for all, nil if there is none.
func (f *fleet) home() *host {
	for _, h := range f.hosts {
		if h.isHome() {
			return h
		}
	}
	return nil
}
