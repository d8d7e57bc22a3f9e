package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late-extra"] = lateExtra }

const (
	// The dose of the disruption: one of three servers, one in extraEvery of its answers, for extraTime. The site
	// file has a share of 0.6, 0.03 of the answers and 5 s.
	extraEvery = 34
	extraFrom  = 5 * time.Second // after the begin of the requests
	extraTime  = 5 * time.Second
	// shedBytes are the bytes of a rejection as `fleetbench wire` shows it.
	shedBytes = "HTTP/1.1 503 Service Unavailable\r\nGentianflow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// lateExtra sends unsafe requests while one of three servers sends additional bytes after some of its complete
// answers: late, where the next response on the connection is expected.
func lateExtra(r *record, trouble bool) (broken []string, err error) {
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
	begin := func() {}
	if trouble {
		var begun atomic.Int64 // Unix nanoseconds
		begin = func() { begun.Store(time.Now().Add(extraFrom).UnixNano()) }
		servers[0].extra = func(n int) []byte {
			from := begun.Load()
			if since := time.Now().UnixNano() - from; from == 0 || since < 0 || since > int64(extraTime) || n%extraEvery != 0 {
				return nil
			}
			return []byte(shedBytes)
		}
	}
	if err := f.startHosts(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	begin()
	replies := f.load(r, 12, 15*time.Second, 80*time.Millisecond, func() call {
		return call{method: "POST", path: unsafePrefix + "2f", key: tenantKey, deadline: 600 * time.Millisecond, body: "buy"}
	})
	return judgeOnce(r, servers, replies), nil
}

// startServers starts plain servers of a service.
func (f *fleet) startServers(r *record, n int, service string) (out []*server, err error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i := range n {
		s := &server{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zones[i%3], slots: 6, work: 15 * time.Millisecond, store: f.store, record: r}
		if err := s.start(f.subnet + fmt.Sprintf(".%d:0", 100+i)); err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// load sends calls from a number of clients for a time, each at the interval, to hosts in turn.
func (f *fleet) load(r *record, clients int, length, interval time.Duration, next func() call) (all []reply) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	until := time.Now().Add(length)
	for i := range clients {
		wait.Go(func() {
			c := newClient(r)
			defer c.close()
			time.Sleep(time.Duration(i) * interval / time.Duration(clients))
			for n := i; time.Now().Before(until); n++ {
				begun := time.Now()
				got := c.send(f.hosts[n%len(f.hosts)].front(), next())
				mu.Lock()
				all = append(all, got)
				mu.Unlock()
				time.Sleep(max(0, interval-time.Since(begun)))
			}
		})
	}
	wait.Wait()
	return all
}

// judgeOnce applies TWICE, REFUSED and the part of MIXED on foreign answers to unsafe plain calls.
func judgeOnce(r *record, servers []*server, replies []reply) (broken []string) {
	time.Sleep(time.Second) // a request that runs later would still count
	runs, extras, served := map[string][]run{}, 0, 0
	for _, s := range servers {
		for _, have := range s.allRuns() {
			runs[have.attempt] = append(runs[have.attempt], have)
		}
		r.add("%s: answered %d requests, extra bytes after %d of them", s.id, s.served, s.extras)
		extras, served = extras+s.extras, served+s.served
	}
	counts := map[int]int{}
	for _, got := range replies {
		counts[got.status]++
		ran := runs[got.attempt]
		if len(ran) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: unsafe request %s ran %d times, at %s and %s", got.attempt, len(ran), ran[0].server, ran[1].server))
		}
		if refusal(got.status) && len(ran) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: unsafe request %s was answered %d and ran at %s", got.attempt, got.status, ran[0].server))
		}
		if got.status == 200 && got.err == nil && (got.body != answerText(got.attempt) || got.seal == "") {
			broken = append(broken, fmt.Sprintf("MIXED: request %s was answered 200 with another body or without the seal", got.attempt))
		}
	}
	r.add("%d requests, by status %v; servers answered %d, extra bytes after %d", len(replies), counts, served, extras)
	fmt.Printf("%d requests, by status %v; extra bytes after %d of %d answers\n", len(replies), counts, extras, served)
	return broken
}

// refusal reports whether a status promises that the request has not run.
func refusal(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
