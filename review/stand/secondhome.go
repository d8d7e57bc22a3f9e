package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// secondHome adds machines whose seeds are gone, while the store turns these machines away for some seconds. A tenant
// asks for more than its quota all the time. The quota holds over all machines together.
func secondHome(e *env) (broken bool, err error) {
	const (
		rate    = 76542.0 // tokens a second, and the burst: the figures of the example on the pages
		prompt  = 2890
		output  = 51
		usualS  = 14  // requests a second of the tenant: its quota is 1.8 times that
		hotS    = 109 // 7.5 times as many
		fleetN  = 7
		added   = 3
		calm    = 4 * time.Second
		turned  = 7500 * time.Millisecond // how long the store turns the new machines away
		hotLead = 500 * time.Millisecond  // the tenant begins to ask for more so long before the store serves all
		hotFor  = 13 * time.Second        // two times 6.5 s
	)
	s := newStore()
	address, _, err := listenStore(e, s)
	if err != nil {
		return false, err
	}
	// The new machines reach the same store at an address of their own, where it turns callers away for a time.
	gate := &storeGate{store: s}
	gateAddress, err := gate.listen(e)
	if err != nil {
		return false, err
	}
	f, err := newFleet(e.dir, fleetN+added, 284, e.rec)
	if err != nil {
		return false, err
	}
	defer track(f)()
	first, later := f.hosts[:fleetN], f.hosts[fleetN:]
	var servers []*backend
	for i := range 9 {
		b := &backend{id: fmt.Sprintf("i-%d", i+1), service: "llm", zone: "hall-" + string(rune('a'+i%3)), slots: 8, store: s, rec: e.rec, answer: chunkedStream(5, 12*time.Millisecond)}
		if err := b.start("127.0.0.1"); err != nil {
			return false, err
		}
		defer b.end()
		servers = append(servers, b)
	}
	limited := tenant("one", "key-one")
	limited["ratePerS"], limited["burst"] = rate, rate
	s.put("op", "config", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "report", "host": "site.example", "prefix": "/report/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 800, "gapAimMs": 500, "priority": 0, "service": "llm", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true}},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 620, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8, "kvCapacity": 349662, "stride": 3}}},
		"limits":   limits, "tenants": []any{limited},
	})
	if err := f.startHosts(first, address); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses, mostHomes := map[int]int{}, 0
	directories, perSecond := first, time.Duration(usualS)
	stop := make(chan struct{})
	clients.Go(func() {
		for i := 0; ; i++ {
			mu.Lock()
			perS, ask := perSecond, nearest(directories)
			mu.Unlock()
			select {
			case <-time.After(time.Second / perS):
			case <-stop:
				return
			}
			clients.Go(func() {
				to, ok := ask.lookUp()
				if !ok {
					return
				}
				a := send(e.rec, to, call{
					ID: fmt.Sprintf("a-%05d", i), Host: "site.example", Method: "POST", Path: "/report/1", Deadline: 8 * time.Second, Key: "key-one", Body: []byte("read this"),
					Header: fmt.Sprintf("Gentianflow-Model: m\r\nGentianflow-Token-Count: %d,%d\r\nGentianflow-Prompt-Prefix: 5c1e07a2:60,%x:%d\r\n", prompt, output, 100000+i, prompt-60),
				})
				mu.Lock()
				defer mu.Unlock()
				statuses[a.Status]++
			})
		}
	})
	time.Sleep(calm)
	gate.turnAway(e.trouble)
	for _, h := range later {
		h.seeds = []string{net.JoinHostPort(f.gone(1), controlPort), net.JoinHostPort(f.gone(2), controlPort), net.JoinHostPort(f.gone(3), controlPort)}
		if err := f.writeSettings(h, gateAddress); err != nil {
			return false, err
		}
		if err := f.start(h); err != nil {
			return false, err
		}
	}
	mu.Lock()
	directories = f.hosts
	mu.Unlock()
	time.Sleep(turned - hotLead)
	e.rec.add("load", "per_second", hotS)
	mu.Lock()
	perSecond = hotS
	mu.Unlock()
	time.Sleep(hotLead)
	gate.turnAway(false)
	e.rec.add("store", "serves", "all")
	for begun := time.Now(); time.Since(begun) < hotFor-hotLead; time.Sleep(500 * time.Millisecond) {
		homes := ""
		for _, h := range f.hosts {
			if h.isHome() {
				homes += " " + h.name
			}
		}
		e.rec.add("homes", "hosts", homes)
		mostHomes = max(mostHomes, len(strings.Fields(homes)))
	}
	close(stop)
	clients.Wait()
	e.rec.say("most hosts that stated at one time that they schedule for all: %d", mostHomes)

	var all []arrival
	for _, b := range servers {
		for _, r := range b.allRuns() {
			all = append(all, arrival{r.At, prompt + output})
		}
	}
	most, end := busiestWindow(all, quotaWindow)
	allowed := (rate*quotaWindow.Seconds()+rate)*(1+quotaOver) + quotaSlack
	e.rec.say("answers by status: %v", statuses)
	e.rec.say("most tokens in %.0f s: %.0f, until %.1f s; allowed: %.0f", quotaWindow.Seconds(), most, end.Sub(e.rec.started).Seconds(), allowed)
	if len(all) == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return most > allowed, nil
}

// nearest returns the host that a client of a random availability zone asks for addresses: one of its zone.
func nearest(hosts []*host) *host {
	zone := hosts[rand.IntN(3)].zone
	var near []*host
	for _, h := range hosts {
		if h.zone == zone {
			near = append(near, h)
		}
	}
	return near[rand.IntN(len(near))]
}

// lookUp asks a host for entry addresses, as clients do, and returns one of them.
func (h *host) lookUp() (address string, ok bool) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.address(lookupPort) + "/resolve?name=site.example&region=tunis&zone=" + h.zone)
	if err != nil {
		return "", false
	}
	defer func() { _ = resp.Body.Close() }()
	var list struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&list) != nil || len(list.Addresses) == 0 {
		return "", false
	}
	return list.Addresses[rand.IntN(len(list.Addresses))], true
}

// storeGate is an address of the store at which it can turn callers away.
type storeGate struct {
	store  *store
	mu     sync.Mutex
	turned bool
}

func (g *storeGate) turnAway(turned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turned = turned
}

func (g *storeGate) listen(e *env) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	inner := g.store.handler()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		turned := g.turned
		g.mu.Unlock()
		if turned {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		inner.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }() // ends with the program
	e.rec.add("store", "address", l.Addr().String(), "for", "the new machines")
	return l.Addr().String(), nil
}
