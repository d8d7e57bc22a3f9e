package platform

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// stableTime is how long a host and the store must have been free of faults for the host to be in touch.
	stableTime = 3 * time.Second
	// rollbackSlack is how long after an answer by a version a host may still send one by an older version.
	rollbackSlack = 250 * time.Millisecond
	// pausedRollbackSlack is rollbackSlack of a host that was paused.
	pausedRollbackSlack = 8 * rollbackSlack
	// versionsInForce is the number of versions that contain the route and the key that one of them adds.
	versionsInForce = 3
)

// faultSpans are the spans of time in which a host or the store has faults.
type faultSpans struct {
	mu    sync.Mutex
	spans []*faultSpan
}

type faultSpan struct{ from, to time.Time } // to is zero while the fault lasts

// begin records that a fault begins. It is called before the fault, and the function that it returns after its end.
func (f *faultSpans) begin() (end func()) {
	s := &faultSpan{from: time.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spans = append(f.spans, s)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.to = time.Now()
	}
}

// add records a fault that has ended.
func (f *faultSpans) add(from, to time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spans = append(f.spans, &faultSpan{from, to})
}

// anyIn reports whether there was a fault at any moment from one time to another, both included.
func (f *faultSpans) anyIn(from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.spans, func(s *faultSpan) bool {
		return !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
	})
}

// configProbe is a request for a route and with a key. Version numbers are indexes that rise by 1.
type configProbe struct {
	route int // version that added the route; 0 for one that all versions contain
	key   int // version that added the key; 0 for one that all versions contain
}

// inVersion reports whether a version contains what another one added.
func inVersion(added, version int) bool {
	return added == 0 || added <= version && version < added+versionsInForce
}

// allowedBy reports whether a host that goes by a version may give an answer with the status.
func (p configProbe) allowedBy(version, status int) bool {
	route, key := inVersion(p.route, version), inVersion(p.key, version)
	switch status {
	case http.StatusNotFound:
		return !route
	case http.StatusUnauthorized:
		return !key
	case http.StatusForbidden:
		return !route || !key
	default:
		return route && key
	}
}

// tellsVersion reports whether answers with the status depend on the configuration.
func tellsVersion(status int) bool {
	switch status {
	case http.StatusOK, http.StatusNotFound, http.StatusUnauthorized, http.StatusForbidden:
		return true
	}
	return false
}

// checkedHost is what a configChecker knows about a host.
type checkedHost struct {
	name   string
	faults faultSpans // of the host and of its path to the store
	pauses faultSpans

	mu          sync.Mutex // guards the fields below
	incarnation int
	shown       []shownVersion // by the current incarnation

	probes, judged         int // requests sent; answers by a host in touch that tell its version
	late, wentBack, denied int // violations
}

// shownVersion is the oldest version by which a host can have given an answer.
type shownVersion struct {
	at      time.Time
	version int
}

// restarted notes that the current incarnation has ended. It is called before the next one starts.
func (h *checkedHost) restarted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnation++
	h.shown = nil
}

func (h *checkedHost) currentIncarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

// configAnswer is the answer to a probe. sent is before the first byte of the request, received after the last one
// of the answer.
type configAnswer struct {
	probe          configProbe
	status         int
	incarnation    int // of the host when the probe was sent
	sent, received time.Time
}

type configVersion struct{ written, acknowledged time.Time }

// configChecker checks from the answers of hosts to probes that hosts in touch go by a configuration version
// configTime after its acknowledgement, and that no incarnation of a host goes back to an older one.
type configChecker struct {
	storeFaults faultSpans

	mu         sync.Mutex // guards the fields below
	versions   []configVersion
	violations []string
	slowest    time.Duration // time after an acknowledgement at which a host in touch still went by an older version
	worstBack  time.Duration // time after a version was shown at which a host went by an older one
}

// newConfigChecker returns a checker of a site that has had the first configuration for long.
func newConfigChecker() *configChecker { return &configChecker{versions: make([]configVersion, 1)} }

// write calls put, which writes the next version to the store, and returns that version.
func (c *configChecker) write(put func(version int)) int {
	c.mu.Lock()
	n := len(c.versions)
	c.versions = append(c.versions, configVersion{written: time.Now()})
	c.mu.Unlock()
	put(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions[n].acknowledged = time.Now()
	return n
}

// newestAcknowledged returns the newest version that was acknowledged more than age before a time, and 0 if there is none.
func (c *configChecker) newestAcknowledged(age time.Duration, at time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestAcknowledgedLocked(age, at)
}

func (c *configChecker) newestAcknowledgedLocked(age time.Duration, at time.Time) int {
	for v := len(c.versions) - 1; v > 0; v-- {
		if ack := c.versions[v].acknowledged; !ack.IsZero() && at.Sub(ack) > age {
			return v
		}
	}
	return 0
}

// newestWritten returns the newest version whose writing began before a time.
func (c *configChecker) newestWritten(at time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestWrittenLocked(at)
}

func (c *configChecker) newestWrittenLocked(at time.Time) int {
	for v := len(c.versions) - 1; v > 0; v-- {
		if !c.versions[v].written.After(at) {
			return v
		}
	}
	return 0
}

// judge judges an answer of a host.
func (c *configChecker) judge(h *checkedHost, a configAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probes++
	if !tellsVersion(a.status) || a.incarnation != h.incarnation {
		return
	}
	written := c.newestWrittenLocked(a.received)
	newest := written
	for newest >= 0 && !a.probe.allowedBy(newest, a.status) {
		newest--
	}
	if newest < 0 {
		h.denied++
		c.violate(h, a, "no version allows it")
		return
	}
	if touch := a.sent.Add(-stableTime); !h.faults.anyIn(touch, a.received) && !c.storeFaults.anyIn(touch, a.received) {
		h.judged++
		c.judgeDelay(h, a, newest)
	}
	c.judgeOrder(h, a, newest, written)
}

// judgeDelay judges an answer of a host in touch that no version after newest allows.
func (c *configChecker) judgeDelay(h *checkedHost, a configAnswer, newest int) {
	if newest >= c.newestAcknowledgedLocked(0, a.sent) {
		return
	}
	delay := a.sent.Sub(c.versions[newest+1].acknowledged)
	c.slowest = max(c.slowest, delay)
	if delay > configTime {
		h.late++
		c.violate(h, a, fmt.Sprintf("as only version %d or an older one allows, %s after the acknowledgement of the next", newest, delay.Round(time.Millisecond)))
	}
}

// judgeOrder judges whether an answer that no version after newest allows shows that the host went back, and notes the
// version that it shows.
func (c *configChecker) judgeOrder(h *checkedHost, a configAnswer, newest, written int) {
	slack := rollbackSlack
	if h.pauses.anyIn(a.sent.Add(-stableTime-pausedRollbackSlack), a.received) {
		slack = pausedRollbackSlack
	}
	var before shownVersion
	for _, s := range h.shown {
		if a.sent.Sub(s.at) > slack && s.version > before.version {
			before = s
		}
	}
	if newest < before.version {
		h.wentBack++
		since := a.sent.Sub(before.at)
		c.worstBack = max(c.worstBack, since)
		c.violate(h, a, fmt.Sprintf("as only version %d or an older one allows, %s after it showed version %d", newest, since.Round(time.Millisecond), before.version))
		return
	}
	oldest := before.version
	for oldest < written && !a.probe.allowedBy(oldest, a.status) {
		oldest++
	}
	if len(h.shown) == 0 || oldest > h.shown[len(h.shown)-1].version {
		h.shown = append(h.shown, shownVersion{a.received, oldest})
	}
}

func (c *configChecker) violate(h *checkedHost, a configAnswer, what string) {
	c.violations = append(c.violations, fmt.Sprintf("%s %s: route %d, key %d answered %d %s",
		a.sent.Format("05.000"), h.name, a.probe.route, a.probe.key, a.status, what))
}

// summary returns the number of probes, of judged answers and of violations by host.
func (c *configChecker) summary(hosts []*checkedHost) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var probes, judged, late, wentBack, denied int
	var byHost []string
	for _, h := range hosts {
		h.mu.Lock()
		probes, judged = probes+h.probes, judged+h.judged
		late, wentBack, denied = late+h.late, wentBack+h.wentBack, denied+h.denied
		if h.late+h.wentBack+h.denied > 0 {
			byHost = append(byHost, fmt.Sprintf("%s %d+%d+%d", h.name, h.late, h.wentBack, h.denied))
		}
		h.mu.Unlock()
	}
	return fmt.Sprintf("%d versions, %d probes, %d judged, %d late, %d went back, %d denied [%s], slowest %d ms, went back after %d ms at most",
		len(c.versions)-1, probes, judged, late, wentBack, denied, strings.Join(byHost, ", "), c.slowest.Milliseconds(), c.worstBack.Milliseconds())
}

var _ = Describe("the checker of configurations", func() {
	var c *configChecker
	var h *checkedHost
	var start time.Time
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	answer := func(sent, route, key, status int) {
		c.judge(h, configAnswer{configProbe{route, key}, status, h.currentIncarnation(), at(sent), at(sent + 5)})
	}
	BeforeEach(func() {
		c, h, start = newConfigChecker(), &checkedHost{name: "front-0"}, time.Now()
		for v := range 5 { // versions 1 to 5 are acknowledged at 100, 600, 1,100, 1,600 and 2,100 ms
			c.versions = append(c.versions, configVersion{at(500*v + 90), at(500*v + 100)})
		}
	})
	counts := func() []int { return []int{h.late, h.wentBack, h.denied} }

	// Guards against a checker that accepts an older configuration.
	DescribeTable("reports answers that only an older version allows",
		func(sent, route, key, status int) {
			answer(sent, route, key, status)
			Expect(counts()).To(Equal([]int{1, 0, 0}))
		},
		Entry("a new route is missing", 4200, 5, 5, http.StatusNotFound),
		Entry("a new key is missing", 4200, 5, 5, http.StatusUnauthorized),
		Entry("a dropped route is served", 3700, 1, 0, http.StatusOK),
		Entry("a revoked key is served", 3700, 0, 1, http.StatusOK),
	)

	// Guards against false alarms.
	DescribeTable("accepts answers that a version in force allows",
		func(sent, route, key, status int) {
			answer(sent, route, key, status)
			Expect(counts()).To(Equal([]int{0, 0, 0}))
		},
		Entry("a new route is missing within the bound", 4050, 5, 5, http.StatusNotFound),
		Entry("a dropped route is served within the bound", 3550, 1, 0, http.StatusOK),
		Entry("a route is missing that a newer version drops", 2200, 1, 1, http.StatusNotFound),
		Entry("a new route is served", 4200, 5, 5, http.StatusOK),
		Entry("the host has no server", 4200, 5, 5, http.StatusServiceUnavailable),
	)

	// Guards against a checker that judges hosts that are not in touch, or takes others out of touch.
	DescribeTable("judges a host only after it and the store had no fault for three seconds",
		func(from, to int, ofStore bool, late int) {
			spans := &h.faults
			if ofStore {
				spans = &c.storeFaults
			}
			spans.add(at(from), at(to))
			answer(4200, 5, 5, http.StatusNotFound)
			Expect(counts()).To(Equal([]int{late, 0, 0}))
		},
		Entry("a fault of the host", 1000, 1250, false, 0),
		Entry("a fault of the host before that", 1000, 1150, false, 1),
		Entry("a fault of the store", 1000, 1250, true, 0),
		Entry("a fault of the store before that", 1000, 1150, true, 1),
		Entry("a fault that begins before the answer", 4203, 9000, false, 0),
		Entry("a fault that begins after the answer", 4210, 9000, false, 1),
	)

	// Guards against a checker that accepts an older version after a newer one, in touch or not.
	DescribeTable("reports a host that goes back",
		func(paused bool, sent, wentBack int) {
			end := h.faults.begin()
			defer end()
			if paused {
				h.pauses.add(at(1000), at(1200))
			}
			answer(2150, 5, 5, http.StatusOK)
			answer(sent, 5, 5, http.StatusNotFound)
			Expect(counts()).To(Equal([]int{0, wentBack, 0}))
		},
		Entry("at once", false, 2300, 0),
		Entry("after the slack", false, 2450, 1),
		Entry("a paused host after the slack", true, 2450, 0),
		Entry("a paused host after eight times the slack", true, 4200, 1),
	)

	// Guards against a version that is shown only by a refusal.
	It("takes the refusal of a dropped route for the version that drops it", func() {
		h.faults.begin()
		answer(200, 1, 0, http.StatusOK)
		answer(1700, 1, 0, http.StatusNotFound) // by version 4
		answer(2000, 4, 4, http.StatusNotFound)
		Expect(counts()).To(Equal([]int{0, 1, 0}))
	})

	// Guards against comparing an incarnation with the one before it.
	It("lets a new incarnation begin with an older version", func() {
		h.faults.begin()
		answer(2150, 5, 5, http.StatusOK)
		sent := h.currentIncarnation()
		h.restarted()
		answer(2500, 5, 5, http.StatusNotFound)
		c.judge(h, configAnswer{configProbe{5, 5}, http.StatusNotFound, sent, at(2600), at(2605)})
		Expect(counts()).To(Equal([]int{0, 0, 0}))
	})

	// Guards against a refusal by a host that knows no configuration.
	It("reports the refusal of what all versions allow", func() {
		h.faults.begin()
		answer(2150, 0, 0, http.StatusUnauthorized)
		Expect(counts()).To(Equal([]int{0, 0, 1}))
	})
})
