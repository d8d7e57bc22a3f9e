package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cutStream sends long streams of servers that frame nothing through all hosts, and restarts one host as planned
// work does: with SIGTERM. The streams on it outlast its grace time. A stream that is cut off must not look
// complete to its client.
func cutStream(e *env) (broken bool, err error) {
	const (
		events    = 77
		gap       = 160 * time.Millisecond // 12.3 s for all events
		perHost   = 2
		deadline  = 15 * time.Second
		termAfter = time.Second
	)
	s := newStore()
	address, _, err := listenStore(e, s)
	if err != nil {
		return false, err
	}
	f, err := newFleet(e.dir, 7, 284, e.rec)
	if err != nil {
		return false, err
	}
	defer track(f)()
	for i := range 3 {
		b := &backend{id: fmt.Sprintf("i-%d", i+1), service: "llm", zone: "hall-" + string(rune('a'+i)), slots: 8, store: s, rec: e.rec, answer: unframedStream(events, gap)}
		if err := b.start("127.0.0.1"); err != nil {
			return false, err
		}
		defer b.end()
	}
	s.put("op", "config", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "gloss-draft", "host": "site.example", "prefix": "/gloss/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 600, "gapAimMs": 500, "priority": 0, "service": "llm", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false}},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 620, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8, "kvCapacity": 349662, "stride": 3}}},
		"limits":   limits, "tenants": []any{tenant("one", "key-one")},
	})
	if err := f.startAll(address); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	var mu sync.Mutex
	var clients sync.WaitGroup
	complete, cutOff := 0, 0
	for i, h := range f.hosts {
		for j := range perHost {
			clients.Go(func() {
				c := call{
					ID: fmt.Sprintf("a-%d-%d", i, j), Host: "site.example", Method: "POST", Path: "/gloss/1", Deadline: deadline, Key: "key-one", Body: []byte("question"),
					Header: "Gentianflow-Model: m\r\nGentianflow-Token-Count: 603,231\r\nGentianflow-Prompt-Prefix: " + fmt.Sprintf("5c1e07a2:60,%x:543", 1000+10*i+j) + "\r\n",
				}
				a := send(e.rec, h.address(entryPort), c)
				got := strings.Count(a.Body, "\n\n")
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.Status != 200 || !a.Sealed:
					e.rec.say("request %s at %s: status %d, %v", c.ID, h.name, a.Status, a.Err)
				case a.Err == nil && got == events:
					complete++
				case a.Err == nil:
					broken = true
					e.rec.say("request %s at %s: the answer ended in order after %d of %d events, at %.1f s", c.ID, h.name, got, events, a.Took.Seconds())
				default:
					cutOff++
					e.rec.say("request %s at %s: cut off after %d of %d events, seen as such: %v", c.ID, h.name, got, events, a.Err)
				}
			})
		}
	}
	if e.trouble {
		time.Sleep(termAfter)
		h := f.hosts[1]
		f.signal(h, syscall.SIGTERM)
		go func() {
			time.Sleep(graceS * time.Second)
			f.signal(h, syscall.SIGKILL)
		}()
	}
	clients.Wait()
	e.rec.say("%d of %d streams complete, %d cut off and seen as such", complete, perHost*len(f.hosts), cutOff)
	if complete < perHost*(len(f.hosts)-1) {
		return broken, fmt.Errorf("only %d streams were complete", complete)
	}
	return broken, nil
}
