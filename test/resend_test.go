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

// attempt sends a request id once through one host, without the retries of
// caller.Client.
type attempt struct {
	f      *fleet
	id     string
	number int
	tried  []*host
	tokens int
	tier   int
	// deadline of this attempt; 0 means that of the request kind.
	deadline time.Duration
}

// send posts the attempt and records its final outcome, which is unknown if the
// answer ends without one.
func (a attempt) send(ctx context.Context, h *host) history.Event {
	a.f.log.Add(history.Event{Kind: history.Asked, Source: "raw", Service: modelService, ID: a.id, Tier: a.tier, Attempt: a.number})
	outcome := history.Event{Kind: history.Told, Source: "raw", Service: modelService, ID: a.id, Tier: a.tier, Outcome: failure.Unknown, Reason: "no_word"}
	body := fmt.Sprintf(`{"model":%q,"prompt":"a question about sizes","max_tokens":%d,"stream":true}`, modelService, a.tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callerAddr+"/v1/completions", strings.NewReader(body))
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
			tried = append(tried, t.incarnation)
		}
		req.Header.Set(callerapi.HeaderTried, strings.Join(tried, ","))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Do(req); err == nil {
		readOutcome(resp, &outcome)
		_ = resp.Body.Close()
	}
	a.f.log.Add(outcome)
	return outcome
}

// readOutcome reads the final outcome from a streamed answer or an error response.
func readOutcome(resp *http.Response, outcome *history.Event) {
	if resp.StatusCode != http.StatusOK {
		var e callerapi.ErrorBody
		if json.NewDecoder(resp.Body).Decode(&e) == nil {
			outcome.Outcome, outcome.Reason = e.Error.Outcome, e.Error.Code
		}
		return
	}
	var data strings.Builder
	eventName := ""
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "event: "):
			eventName = strings.TrimPrefix(line, "event: ")
		case !strings.HasPrefix(line, "data: ") || line == "data: [DONE]":
		case eventName == callerapi.EventEnd:
			outcome.Outcome, outcome.Reason = failure.Answered, ""
			outcome.Bytes, outcome.Sum = data.Len(), strconv.FormatUint(xxhash.Sum64String(data.String()), 16)
			return
		case eventName == callerapi.EventError:
			var e callerapi.ErrorBody
			if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &e) == nil {
				outcome.Outcome, outcome.Reason = e.Error.Outcome, e.Error.Code
			}
			return
		default:
			data.WriteString(line + "\n\n")
		}
	}
}

// newRequestID returns a new request id of a host.
func (f *fleet) newRequestID(h *host) string {
	incarnation, err := ident.ParseIncarnation(h.incarnation)
	Expect(err).NotTo(HaveOccurred())
	return ident.NewRequestID(incarnation).String()
}

// resendRace sends n ids concurrently, each through a first host and again through
// a second one, after delays spread evenly from zero to maxDelay.
func (f *fleet) resendRace(n int, maxDelay time.Duration, tokens int, first func(i int) *host, second func(i int) *host) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for i := range n {
		a, b := first(i), second(i)
		id := f.newRequestID(a)
		wg.Go(func() { attempt{f: f, id: id, number: 1, tokens: tokens, tier: 2}.send(ctx, a) })
		wg.Go(func() {
			time.Sleep(maxDelay * time.Duration(i) / time.Duration(n))
			attempt{f: f, id: id, number: 2, tried: []*host{a}, tokens: tokens, tier: 2}.send(ctx, b)
		})
	}
	wg.Wait()
}

// twoHolders is a fleet with one slow engine and a request id that is sent through
// two hosts, neither of them the home.
type twoHolders struct {
	f                   *fleet
	home, first, second *host
	id                  string
	ctx                 context.Context
}

func newTwoHolders(maxSequences int) twoHolders {
	r := twoHolders{f: newFleet(fleetOptions{hosts: 3, engines: 1, speed: 0.1, maxSequences: maxSequences})}
	r.home = r.f.homeOf(modelService)
	r.first = r.f.otherHost(r.home)
	r.second = r.f.otherHost(r.home, r.first)
	r.id = r.f.newRequestID(r.first)
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	DeferCleanup(cancel)
	r.ctx = ctx
	return r
}

var _ = Describe("an id that is sent through two hosts", func() {
	// A client gets no answer and resends a request through another host while the
	// first attempt waits, is placed, runs or has finished. The second host does not
	// know the progress of the first. Both outcomes must be true, and the request
	// must start only once.
	It("starts once, whatever the state of the first attempt", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 2, speed: 1, maxSequences: 4})
		f.resendRace(60, 3*time.Second, 60, func(i int) *host { return f.hosts[i%4] }, func(i int) *host { return f.hosts[(i+1)%4] })
		f.checkHistory()
		Expect(f.countOutcome("answered")).To(BeNumerically(">", 60), "most attempts get the answer")
		Expect(f.countOutcome("unknown")).To(BeNumerically("<=", 60), "only attempts that the home revoked for a resend do not")
	})

	// A network partition splits the hosts into two halves for some seconds, and
	// callers resend from one half to the other. Each half considers the other dead
	// and has its own home. They must not both place the same id.
	It("starts once although a partitioned network has two homes", func() {
		f := newFleet(fleetOptions{hosts: 4, engines: 2, speed: 1, relays: true})
		betweenHalves := func(do func(*relay, string)) {
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
		betweenHalves((*relay).block)
		race() // while each half still considers the other alive
		Eventually(func() int { return f.hosts[0].countMembers("dead") }, 15*time.Second, 50*time.Millisecond).Should(Equal(2))
		Eventually(func() int { return f.hosts[1].countMembers("dead") }, 15*time.Second, 50*time.Millisecond).Should(Equal(2))
		race()
		betweenHalves((*relay).unblock)
		race()
		f.eventuallyAlive(4)
		race()
		f.checkHistory()
	})

	// A request runs through one host and is resent through another with a shorter
	// deadline, which passes while the second host is attached to the answer. If that
	// host handles the deadline like that of a waiting request, it reports "not run"
	// for a running request.
	It("is reported as unknown when the deadline passes while another host runs it", func() {
		r := newTwoHolders(1)
		var firstAttempt sync.WaitGroup
		firstAttempt.Go(func() { attempt{f: r.f, id: r.id, number: 1, tokens: 120, tier: 2}.send(r.ctx, r.first) })
		Eventually(func() int { return r.f.countStarts("engine-1") }, 5*time.Second, 10*time.Millisecond).Should(Equal(1))
		result := attempt{f: r.f, id: r.id, number: 2, tried: []*host{r.first}, tokens: 120, tier: 2, deadline: time.Second}.send(r.ctx, r.second)
		firstAttempt.Wait()
		Expect(result.Outcome).To(Equal(failure.Unknown))
		r.f.checkHistory()
	})

	// A request waits at a host that is paused and is resent through another, where
	// its deadline passes before the paused host can report. The second host knows
	// only its own attempt and must not report "not run": the paused host may hold a
	// placement from a home that is gone.
	It("is reported as unknown when the deadline passes before the first host has reported", func() {
		r := newTwoHolders(1)
		var wg sync.WaitGroup
		wg.Go(func() {
			attempt{f: r.f, id: r.f.newRequestID(r.home), number: 1, tokens: 100, tier: 2}.send(r.ctx, r.home)
		})
		Eventually(func() int { return r.f.countStarts("engine-1") }, 5*time.Second, 10*time.Millisecond).Should(Equal(1))
		wg.Go(func() { attempt{f: r.f, id: r.id, number: 1, tokens: 5, tier: 2}.send(r.ctx, r.first) })
		Eventually(func() []event.Event { return r.first.timeline(event.RequestWaiting) }, 5*time.Second, 10*time.Millisecond).Should(HaveLen(1))
		r.first.pause()
		result := attempt{f: r.f, id: r.id, number: 2, tried: []*host{r.first}, tokens: 5, tier: 2, deadline: 1500 * time.Millisecond}.send(r.ctx, r.second)
		r.first.resume()
		wg.Wait()
		Expect(result.Outcome).To(Equal(failure.Unknown))
		r.f.checkHistory()
	})

	// A host is paused while it handles requests, and the callers resend them. Time
	// passes while the process is stopped, so it resumes with placements that look
	// valid but must not be used.
	It("starts once when the first host is paused while it holds a placement", func() {
		f := newFleet(fleetOptions{hosts: 3, engines: 2, speed: 1, maxSequences: 2})
		home := f.homeOf(modelService)
		paused := f.otherHost(home)
		other := f.otherHost(home, paused)
		ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		var ids []string
		for range 30 {
			id := f.newRequestID(paused)
			ids = append(ids, id)
			wg.Go(func() { attempt{f: f, id: id, number: 1, tokens: 30, tier: 2}.send(ctx, paused) })
		}
		time.Sleep(200 * time.Millisecond)
		paused.pause()
		for _, id := range ids {
			wg.Go(func() {
				attempt{f: f, id: id, number: 2, tried: []*host{paused}, tokens: 30, tier: 2}.send(ctx, other)
			})
		}
		time.Sleep(5 * time.Second)
		paused.resume()
		wg.Wait()
		f.checkHistory()
	})
})
