package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["raised-grace"] = raisedGrace }

const (
	// grace is bounds.graceS while the host is stopped, firstGrace what the settings file states before
	// the change.
	grace      = 8 * time.Second
	firstGrace = 4 * time.Second
	// streamLength is how long a stream takes: it ends well before the last sixth of grace.
	streamLength = 6800 * time.Millisecond
	streamEvents = 68
	stoppedAfter = time.Second // from the begin of the streams to SIGTERM
)

// raisedGrace stops one host with SIGTERM while it carries streams. With the disruption the settings files had
// stated a shorter grace time at the start of the processes, and were changed before; the host that is stopped had got SIGHUP.
func raisedGrace(r *record, trouble bool) (broken []string, err error) {
	f, err := newFleet(3)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	f.store.put("op", "config", configuration(7, 300000))
	var engines []*server
	for i, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		s := &server{
			id: fmt.Sprintf("i-models-%d", i+1), service: engineService, zone: zone, slots: 8, streams: true, events: streamEvents,
			gap: streamLength / streamEvents, store: f.store, record: r,
		}
		if err := s.start(f.subnet + fmt.Sprintf(".%d:0", 100+i)); err != nil {
			return nil, err
		}
		engines = append(engines, s)
	}
	if trouble {
		f.overlay["bounds.graceS"] = fmt.Sprint(firstGrace.Seconds())
	}
	if err := f.startHosts(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	stopped := f.hosts[0]
	if trouble {
		delete(f.overlay, "bounds.graceS")
		for i, h := range f.hosts {
			if err := f.writeSettings(h, i); err != nil {
				return nil, err
			}
			r.add("the settings file of %s now states bounds.graceS=%v", h.name, grace.Seconds())
		}
		r.add("SIGHUP to %s", stopped.name)
		stopped.signal(syscall.SIGHUP)
		time.Sleep(4 * time.Second)
	}
	var wait sync.WaitGroup
	replies := make([]reply, 6)
	for i := range replies {
		wait.Go(func() {
			c := newClient(r)
			defer c.close()
			replies[i] = c.send(stopped.front(), call{method: "POST", path: streamPrefix + "2f", key: tenantKey, tokens: "600,204", deadline: 15 * time.Second, body: "read"})
		})
	}
	time.Sleep(stoppedAfter)
	terminated := time.Now()
	r.add("SIGTERM to %s", stopped.name)
	stopped.signal(syscall.SIGTERM)
	exit := make(chan time.Duration, 1)
	go func() {
		select {
		case <-stopped.exited:
			r.add("%s has exited", stopped.name)
		case <-time.After(grace):
			r.add("SIGKILL to %s", stopped.name)
			stopped.signal(syscall.SIGKILL)
		}
		exit <- time.Since(terminated)
	}()
	wait.Wait()
	exited := <-exit
	var ran []run
	for _, s := range engines {
		ran = append(ran, s.allRuns()...)
	}
	for _, got := range replies {
		why, lost := lostAtStop(got, ran, terminated)
		if lost {
			broken = append(broken, why)
		}
	}
	fmt.Printf("the host exited %.1f s after SIGTERM; %d of %d streams were cut\n", exited.Seconds(), len(broken), len(replies))
	return broken, nil
}

// lostAtStop applies LOST to a stream that was open at SIGTERM. The excuses are those of the rule.
func lostAtStop(got reply, ran []run, terminated time.Time) (why string, lost bool) {
	if got.err == nil && got.status == 200 && got.body == allEvents(got.attempt) {
		return "", false
	}
	passedOn, serverBrokeOff := false, false
	for _, have := range ran {
		if have.attempt == got.attempt {
			passedOn = true
			serverBrokeOff = have.whole
		}
	}
	cut := got.ended.Sub(terminated)
	excused := !passedOn || serverBrokeOff || cut >= grace*5/6 || cut < 0
	return fmt.Sprintf("LOST: stream %s had been passed on to a server and was cut %.2f s after SIGTERM, after %d of %d events (%v)",
		got.attempt, cut.Seconds(), strings.Count(got.body, "\n\n"), streamEvents, got.err), !excused
}

func allEvents(attempt string) string {
	var text strings.Builder
	for i := 1; i <= streamEvents; i++ {
		text.WriteString(eventText(attempt, i))
	}
	return text.String()
}
