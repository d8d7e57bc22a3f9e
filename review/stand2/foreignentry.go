package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["foreign-entry"] = foreignEntry }

const (
	recovery     = 12 * time.Second       // bounds.recoveryS
	downTime     = 900 * time.Millisecond // with the time to start the processes below the site file's 1.1 s
	watchedTime  = 10 * time.Second       // of requests before the final fault, and after the recovery
	servedBefore = 0.25
)

// foreignEntry kills all hosts and starts them again, as a final fault does. With the disruption another writer has
// put an entry of its own among those of the servers meanwhile.
func foreignEntry(r *record, trouble bool) (broken []string, err error) {
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
	next := func() call {
		return call{method: "POST", path: unsafePrefix + "2f", key: tenantKey, deadline: 600 * time.Millisecond, body: "buy"}
	}
	before := f.load(r, 6, watchedTime, 200*time.Millisecond, next)
	if trouble {
		f.store.put("op", "config", configuration(12, 300000))
		r.add("version 12 is acknowledged; SIGKILL to all hosts")
		for _, h := range f.hosts {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range f.hosts {
			<-h.exited
		}
		entry := object{
			"service": "another-service", "address": f.subnet + ".199:9", "zone": "hall-a", "version": "v1", "slots": 4, "state": "ready",
			"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		}
		r.add("another writer's entry servers/x-1: %v", entry)
		f.store.put("servers", "x-1", entry)
		time.Sleep(downTime)
		for _, h := range f.hosts {
			if err := f.start(h); err != nil {
				return nil, err
			}
		}
		if err := f.awaitReady(5 * time.Second); err != nil {
			r.add("not all hosts are ready again")
		}
	}
	r.add("the hosts are back")
	time.Sleep(recovery)
	after := f.load(r, 6, watchedTime, 200*time.Millisecond, next)
	share := func(replies []reply) (served float64, counts map[int]int) {
		counts = map[int]int{}
		for _, got := range replies {
			counts[got.status]++
			if got.status == 200 && got.err == nil && got.seal != "" {
				served++
			}
		}
		return served / float64(max(1, len(replies))), counts
	}
	shareBefore, countsBefore := share(before)
	shareAfter, countsAfter := share(after)
	running := 0
	for _, s := range servers {
		if s.load() != "" {
			running++
		}
	}
	text := fmt.Sprintf("served before %.0f%% %v, from %v after the hosts were back %.0f%% %v; %d servers run and beat", 100*shareBefore, countsBefore, recovery, 100*shareAfter, countsAfter, running)
	fmt.Println(text)
	if shareBefore >= servedBefore && shareAfter < 0.25 {
		broken = append(broken, "RECOVER: "+text)
	}
	return broken, nil
}
