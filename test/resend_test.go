package test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/callerapi"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/ident"
)

// attempt is one raw attempt at an id through one host, without the client's
// own care.
type attempt struct {
	f      *fleet
	id     string
	number int
	tried  []*host
	tokens int
	tier   int
	// deadline of this attempt; zero takes the kind's.
	deadline time.Duration
}

// send posts the attempt and records its final word, if one comes.
func (a attempt) send(ctx context.Context, h *host) history.Event {
	a.f.log.Add(history.Event{Kind: history.Asked, Source: "raw", Service: modelService, ID: a.id, Tier: a.tier, Attempt: a.number})
	told := history.Event{Kind: history.Told, Source: "raw", Service: modelService, ID: a.id, Tier: a.tier, Outcome: failure.Unknown, Reason: "no_word"}
	body := fmt.Sprintf(`{"model":%q,"prompt":"a question about sizes","max_tokens":%d,"stream":true}`, modelService, a.tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.caller+"/v1/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+secret)
	req.Header.Set(callerapi.HeaderRequestID, a.id)
	kinds := map[int]string{2: "chat", 3: "appraisal", 4: "digest"}
	req.Header.Set(callerapi.HeaderKind, kinds[a.tier])
	if a.deadline > 0 {
		req.Header.Set(callerapi.HeaderDeadline, strconv.FormatInt(a.deadline.Milliseconds(), 10))
	}
	if a.number > 1 {
		req.Header.Set(callerapi.HeaderAttempt, strconv.Itoa(a.number))
		var tried []string
		for _, t := range a.tried {
			tried = append(tried, t.inc)
		}
		req.Header.Set(callerapi.HeaderTried, strings.Join(tried, ","))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Do(req); err == nil {
		readWord(resp, &told)
		_ = resp.Body.Close()
	}
	a.f.log.Add(told)
	return told
}

// readWord reads the final word of a streamed answer.
func readWord(resp *http.Response, told *history.Event) {
	if resp.StatusCode != http.StatusOK {
		var e callerapi.ErrorBody
		if json.NewDecoder(resp.Body).Decode(&e) == nil {
			told.Outcome, told.Reason = e.Error.Outcome, e.Error.Code
		}
		return
	}
	var data strings.Builder
	name := ""
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "event: "):
			name = strings.TrimPrefix(line, "event: ")
		case !strings.HasPrefix(line, "data: ") || line == "data: [DONE]":
		case name == callerapi.EventEnd:
			told.Outcome, told.Reason = failure.Answered, ""
			told.Bytes, told.Sum = data.Len(), strconv.FormatUint(xxhash.Sum64String(data.String()), 16)
			return
		case name == callerapi.EventError:
			var e callerapi.ErrorBody
			if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &e) == nil {
				told.Outcome, told.Reason = e.Error.Outcome, e.Error.Code
			}
			return
		default:
			data.WriteString(line + "\n\n")
		}
	}
}

func (f *fleet) mint(h *host) string {
	inc, err := ident.ParseIncarnation(h.inc)
	Expect(err).NotTo(HaveOccurred())
	return ident.NewRequestID(inc).String()
}

// resendRace sends each id through a first host and, delays later, through
// others, all at once.
func (f *fleet) resendRace(n int, gap time.Duration, tokens int, first func(i int) *host, second func(i int) *host) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var all sync.WaitGroup
	for i := range n {
		a, b := first(i), second(i)
		id := f.mint(a)
		all.Go(func() { attempt{f: f, id: id, number: 1, tokens: tokens, tier: 2}.send(ctx, a) })
		all.Go(func() {
			time.Sleep(gap * time.Duration(i) / time.Duration(n))
			attempt{f: f, id: id, number: 2, tried: []*host{a}, tokens: tokens, tier: 2}.send(ctx, b)
		})
	}
	all.Wait()
}

// twoHolders is a fleet with one slow engine and an id for two of its hosts,
// neither of them the home.
type twoHolders struct {
	f                   *fleet
	home, first, second *host
	id                  string
	ctx                 context.Context
}

func newTwoHolders(slots int) twoHolders {
	r := twoHolders{f: newFleet(fleetOptions{hosts: 3, engines: 1, speed: 0.1, slots: slots})}
	r.home = r.f.homeOf(modelService)
	r.first = r.f.other(r.home)
	r.second = r.f.other(r.home, r.first)
	r.id = r.f.mint(r.first)
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	DeferCleanup(cancel)
	r.ctx = ctx
	return r
}

var _ = Describe("an id that is sent through two hosts", func() {
	// Story: a parent's phone sends a request, hears nothing, and sends it
	// again through another host while the first one waits, is granted, runs
	// or has finished. Both callers' words must be true, and it starts once.
	// Cause: the second host cannot see how far the first one got.
	It("starts once at every point of the request's life", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 2, speed: 1, slots: 4})
		f.resendRace(60, 3*time.Second, 60, func(i int) *host { return f.hosts[i%4] }, func(i int) *host { return f.hosts[(i+1)%4] })
		f.keepsPromises()
		Expect(f.told("answered")).To(BeNumerically(">", 60), "most attempts see the answer")
		Expect(f.told("unknown")).To(BeNumerically("<=", 60), "only revoked attempts do not")
	})

	// Story: the network parts the hosts into two halves for some seconds;
	// callers reach both and resend across. Each half has a home of its own.
	// Both must not grant the same id. Cause: each half takes the other for
	// dead.
	It("starts once although a parted network has two homes", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 2, speed: 1, relays: true})
		cut := func(do func(*relay, string)) {
			for i, a := range f.hosts {
				for j, b := range f.hosts {
					if i%2 != j%2 {
						do(b.relay, a.ip)
					}
				}
			}
		}
		race := func() {
			f.resendRace(30, 2*time.Second, 40, func(i int) *host { return f.hosts[i%2] }, func(i int) *host { return f.hosts[1-i%2] })
		}
		cut((*relay).block)
		race() // while the halves still believe in each other
		Eventually(func() int { return f.hosts[0].sees("dead") }, 15*time.Second, 50*time.Millisecond).Should(Equal(2))
		Eventually(func() int { return f.hosts[1].sees("dead") }, 15*time.Second, 50*time.Millisecond).Should(Equal(2))
		race()
		cut((*relay).unblock)
		race()
		f.eventuallyAlive(4)
		race()
		f.keepsPromises()
	})

	// Story: a request runs at one host; its caller resends it through another
	// one with a shorter deadline, which passes while that one still follows
	// the answer. It said "not run" of what was running. Cause: the deadline
	// of an attached request took the way of a waiting one.
	It("is told unknown when the deadline passes while another host runs it", func() {
		r := newTwoHolders(1)
		var running sync.WaitGroup
		running.Go(func() { attempt{f: r.f, id: r.id, number: 1, tokens: 120, tier: 2}.send(r.ctx, r.first) })
		Eventually(func() int { return r.f.startsAt("engine-1") }, 5*time.Second, 10*time.Millisecond).Should(Equal(1))
		word := attempt{f: r.f, id: r.id, number: 2, tried: []*host{r.first}, tokens: 120, tier: 2, deadline: time.Second}.send(r.ctx, r.second)
		running.Wait()
		Expect(word.Outcome).To(Equal(failure.Unknown))
		r.f.keepsPromises()
	})

	// Story: a request waits at a host that is paused; its caller resends it
	// through another one, whose deadline passes before the paused host could
	// give its word. "Not run" would be a guess: the paused host may hold a
	// grant of a home that is gone. Cause: a host knows its own attempt only.
	It("is told unknown when the deadline passes before the first host gave its word", func() {
		r := newTwoHolders(1)
		var all sync.WaitGroup
		all.Go(func() { attempt{f: r.f, id: r.f.mint(r.home), number: 1, tokens: 100, tier: 2}.send(r.ctx, r.home) })
		Eventually(func() int { return r.f.startsAt("engine-1") }, 5*time.Second, 10*time.Millisecond).Should(Equal(1))
		all.Go(func() { attempt{f: r.f, id: r.id, number: 1, tokens: 5, tier: 2}.send(r.ctx, r.first) })
		Eventually(func() []event.Event { return r.first.timeline(event.RequestWaiting) }, 5*time.Second, 10*time.Millisecond).Should(HaveLen(1))
		r.first.pause()
		word := attempt{f: r.f, id: r.id, number: 2, tried: []*host{r.first}, tokens: 5, tier: 2, deadline: 1500 * time.Millisecond}.send(r.ctx, r.second)
		r.first.resume()
		all.Wait()
		Expect(word.Outcome).To(Equal(failure.Unknown))
		r.f.keepsPromises()
	})

	// Story: a host is paused in the middle of requests, the caller resends,
	// the host wakes with grants that look valid. Cause: its clock went on,
	// but it did not.
	It("starts once when the first host is paused with a grant in hand", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 2, speed: 1, slots: 2})
		home := f.homeOf(modelService)
		paused := f.other(home)
		other := f.other(home, paused)
		ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
		defer cancel()
		var all sync.WaitGroup
		var ids []string
		for range 30 {
			id := f.mint(paused)
			ids = append(ids, id)
			all.Go(func() { attempt{f: f, id: id, number: 1, tokens: 30, tier: 2}.send(ctx, paused) })
		}
		time.Sleep(200 * time.Millisecond)
		paused.pause()
		for _, id := range ids {
			all.Go(func() {
				attempt{f: f, id: id, number: 2, tried: []*host{paused}, tokens: 30, tier: 2}.send(ctx, other)
			})
		}
		time.Sleep(5 * time.Second)
		paused.resume()
		all.Wait()
		f.keepsPromises()
	})
})
