package platform

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

const (
	// touchTime is how long a host, its path to the store and the store have to be undisturbed until
	// configTime binds the host.
	touchTime = 3 * time.Second
	// markerVersions is the number of versions that have the route and the key that a version adds. They
	// last longer than touchTime.
	markerVersions = 14
	probeInterval  = 30 * time.Millisecond
	disturbance    = 3 * time.Second
)

// configLog is what an operator has written: versions are numbered from 1, and each adds a marker, a route and
// a key that the markerVersions-th version after it drops.
type configLog struct {
	sent  int         // the newest version that may have reached the store
	acked []time.Time // by version - 1
}

func markerPath(n int) string { return fmt.Sprintf("/marker-%d/", n) }
func markerKey(n int) string  { return fmt.Sprintf("key-of-marker-%d", n) }

// inForce returns the newest version acknowledged configTime before t, 0 if there is none.
func (l *configLog) inForce(t time.Time) int {
	n := len(l.acked)
	for n > 0 && t.Sub(l.acked[n-1]) < configTime {
		n--
	}
	return n
}

// span is a period of a disturbance; a zero end means that it lasts.
type span struct{ from, to time.Time }

// touches reports whether the period overlaps the touchTime before t.
func (s span) touches(t time.Time) bool {
	return !s.from.After(t) && (s.to.IsZero() || t.Sub(s.to) < touchTime)
}

// incarnation is what is known of one process of a host. The lock of startSite guards it.
type incarnation struct {
	started time.Time // zero while the host is down
	floor   int       // the version that its answers have shown, or that it has to know from its start
}

// startSite is a site whose hosts start while configurations change. Each answer is judged by the versions that
// the host may go by. lock guards the fields below it.
type startSite struct {
	*site
	label      string
	rng        *rand.Rand
	background sync.WaitGroup
	stopped    chan struct{}

	lock         sync.Mutex
	log          configLog
	routes       []map[string]any // of the first configuration
	incarnations map[*host]*incarnation
	paths        map[*host][]span // disturbances of its path to the store
	store        []span           // disturbances of the store
	changePause  time.Duration    // longest pause between changes; 0: none are made
	violations   []string
	probes       map[string]int      // by kind of answer
	touchProbes  int                 // to hosts in touch
	unanswered   map[string]int      // of them, those that ended with 5xx or without an answer
	firstServed  map[*host]time.Time // after its newest start
	starts       int                 // whose first served request was seen
	slowestStart time.Duration       // from a start, or the end of a disturbance of the store, to that request
	slowestCase  string
	slowest      time.Duration          // from an acknowledgement to the first answer by it, in touch
	served       map[*host]map[int]bool // versions that it has shown
}

// newStartSite starts hosts in three zones by their index, the home first, and an operator and callers.
func newStartSite(label string, seed uint64, hosts int) *startSite {
	s := &startSite{
		site: newSite(siteOptions{hosts: hosts, apps: 3, largeFirst: true, ownStores: true}), label: label,
		rng: rand.New(rand.NewPCG(seed, 70)), stopped: make(chan struct{}), incarnations: map[*host]*incarnation{},
		paths: map[*host][]span{}, changePause: 700 * time.Millisecond, probes: map[string]int{}, unanswered: map[string]int{},
		firstServed: map[*host]time.Time{}, served: map[*host]map[int]bool{},
	}
	s.routes = s.config.Routes
	for _, h := range s.hosts {
		s.incarnations[h], s.served[h] = &incarnation{started: time.Now()}, map[int]bool{}
	}
	for range 2 {
		s.change()
	}
	operator := rand.New(rand.NewPCG(seed, 71))
	s.background.Go(func() { s.operate(operator) })
	for i, h := range s.hosts {
		rng := rand.New(rand.NewPCG(seed, uint64(100+i)))
		s.background.Go(func() { s.probe(h, rng) })
	}
	return s
}

// change writes the next version.
func (s *startSite) change() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.log.sent++
	s.write(s.log.sent)
	s.log.acked = append(s.log.acked, time.Now())
}

// write writes a version to the store. The caller holds lock.
func (s *startSite) write(n int) { s.document(n).Put(s.site.store) }

// document returns a version. The caller holds lock.
func (s *startSite) document(n int) *standin.Config {
	c := *s.config
	c.Version = int64(10 + 3*n)
	c.Routes = slices.Clone(s.routes)
	keys := []string{standin.DefaultAccountKey}
	for m := max(1, n-markerVersions+1); m <= n; m++ {
		route := maps.Clone(s.routes[slices.IndexFunc(s.routes, func(r map[string]any) bool { return r["prefix"] == standin.CheckPath })])
		route["name"], route["prefix"] = markerPath(m), markerPath(m)
		c.Routes = append(c.Routes, route)
		keys = append(keys, markerKey(m))
	}
	c.Tenants = slices.Clone(c.Tenants)
	c.Tenants[0] = maps.Clone(c.Tenants[0])
	c.Tenants[0]["apiKeys"] = keys
	return &c
}

// operate changes the configuration until the site stops.
func (s *startSite) operate(rng *rand.Rand) {
	for {
		s.lock.Lock()
		pause := s.changePause
		s.lock.Unlock()
		wait := 100 * time.Millisecond
		if pause > 0 {
			wait = 300*time.Millisecond + time.Duration(rng.Int64N(int64(pause)))
		}
		select {
		case <-s.stopped:
			return
		case <-time.After(wait):
		}
		s.lock.Lock()
		changing := s.changePause > 0
		s.lock.Unlock()
		if changing {
			s.change()
		}
	}
}

// setChanges makes the operator change the configuration, or stop to do so.
func (s *startSite) setChanges(on bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.changePause = 0
	if on {
		s.changePause = 700 * time.Millisecond
	}
}

// probe asks a host in turn for the newest marker, for those that have to be in force, for dropped ones and for what
// all versions have.
func (s *startSite) probe(h *host, rng *rand.Rand) {
	for {
		select {
		case <-s.stopped:
			return
		case <-time.After(probeInterval/2 + time.Duration(rng.Int64N(int64(probeInterval)))):
		}
		s.lock.Lock()
		newest, inForce := len(s.log.acked), s.log.inForce(time.Now())
		s.lock.Unlock()
		marker := 0
		switch rng.IntN(6) {
		case 0:
			marker = newest
		case 1, 2:
			marker = inForce
		case 3:
			marker = inForce - markerVersions - rng.IntN(2)
		case 4:
			marker = max(1, inForce-rng.IntN(markerVersions/2))
		}
		s.ask(h, max(0, marker), rng.IntN(2) == 0)
	}
}

// ask sends a request with a marker's route or key, and judges the answer. Marker 0 is what all versions have.
func (s *startSite) ask(h *host, marker int, byKey bool) {
	c := check()
	switch {
	case marker == 0:
	case byKey:
		c.Key = markerKey(marker)
	default:
		c.Path = markerPath(marker) + "a"
	}
	s.lock.Lock()
	at, known := time.Now(), s.incarnations[h]
	floor := known.floor
	inTouch := s.inTouch(h, at)
	rule := "went back"
	if n := s.log.inForce(at); inTouch && n > floor {
		floor, rule = n, "older in touch"
	}
	s.lock.Unlock()
	r := s.send(h, c)
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.incarnations[h] != known || known.started.IsZero() {
		return
	}
	s.probes[strconv.Itoa(r.Status)]++
	if inTouch {
		s.touchProbes++
		if r.Status == 0 || r.Status >= 500 {
			s.unanswered[fmt.Sprintf("%d %.60s", r.Status, r.Body)]++
		}
	}
	refused := r.Status == http.StatusNotFound || r.Status == http.StatusUnauthorized
	fail := func(rule string) {
		s.violations = append(s.violations, fmt.Sprintf("%s: %s: %s asked for marker %d at %s, %s after its start: %d, goes by %d to %d",
			s.label, rule, h.name, marker, at.UTC().Format("15:04:05.000"), at.Sub(known.started), r.Status, floor, s.log.sent))
	}
	switch {
	case r.Status == http.StatusServiceUnavailable:
		if r.RetryAfter <= 0 {
			fail("503 without Retry-After")
		}
		if inTouch && strings.Contains(r.Body, "store_down") {
			fail("no configuration in touch")
		}
	case marker == 0:
		if refused {
			fail("refused what all versions allow")
		}
	case refused:
		if floor >= marker && s.log.sent < marker+markerVersions {
			fail(rule)
		} else if floor >= marker {
			known.floor = max(known.floor, marker+markerVersions)
		}
	case r.Status != 0:
		if max(floor, marker) > min(s.log.sent, marker+markerVersions-1) {
			fail(rule)
			break
		}
		known.floor = max(known.floor, marker)
		if s.firstServed[h].Before(known.started) {
			s.firstServed[h] = at
			s.noteStart(at.Sub(known.started), at)
		}
		if inTouch && marker == len(s.log.acked) && !s.served[h][marker] {
			s.slowest = max(s.slowest, time.Since(s.log.acked[marker-1]))
		}
		s.served[h][marker] = true
	}
}

// noteStart records how long a start has taken until a request was served. The caller holds lock.
func (s *startSite) noteStart(took time.Duration, served time.Time) {
	s.starts++
	if n := len(s.store); n > 0 && !s.store[n-1].to.IsZero() {
		took = min(took, served.Sub(s.store[n-1].to))
	}
	if took > s.slowestStart {
		s.slowestStart, s.slowestCase = took, s.label
	}
}

// inTouch reports whether configTime binds a host. The caller holds lock.
func (s *startSite) inTouch(h *host, t time.Time) bool {
	started := s.incarnations[h].started
	disturbed := func(d span) bool { return d.touches(t) }
	return !started.IsZero() && t.Sub(started) >= touchTime && !slices.ContainsFunc(s.store, disturbed) && !slices.ContainsFunc(s.paths[h], disturbed)
}

// kill kills hosts and waits until their processes have ended.
func (s *startSite) kill(hosts []*host) {
	s.lock.Lock()
	for _, h := range hosts {
		s.incarnations[h] = &incarnation{}
	}
	s.lock.Unlock()
	for _, h := range hosts {
		h.session.Kill()
	}
	for _, h := range hosts {
		<-h.session.Exited
	}
}

// startAll starts hosts that were killed. They have to know version floor from the first answer on.
func (s *startSite) startAll(hosts []*host, floor int) {
	for _, h := range hosts {
		s.lock.Lock()
		s.start(h)
		s.incarnations[h] = &incarnation{started: time.Now(), floor: floor}
		s.lock.Unlock()
	}
}

func (s *startSite) disturbStore(begin func(), length time.Duration, end func()) {
	s.lock.Lock()
	i := len(s.store)
	s.store = append(s.store, span{from: time.Now()})
	s.lock.Unlock()
	begin()
	time.Sleep(length)
	end()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.store[i].to = time.Now()
}

func (s *startSite) disturbPaths(hosts []*host, m mode) {
	s.lock.Lock()
	for _, h := range hosts {
		s.paths[h] = append(s.paths[h], span{from: time.Now()})
	}
	s.lock.Unlock()
	set := func(m mode) {
		for _, h := range hosts {
			s.proxies[slices.Index(s.hosts, h)].set(m)
		}
	}
	set(m)
	time.Sleep(disturbance)
	set(pass)
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, h := range hosts {
		s.paths[h][len(s.paths[h])-1].to = time.Now()
	}
}

// zoneHosts returns every third host from the first, the home, on.
func (s *startSite) zoneHosts() (hosts []*host) {
	for i := 0; i < len(s.hosts); i += 3 {
		hosts = append(hosts, s.hosts[i])
	}
	return hosts
}

// startFaults are what happens to the store or to the paths to it around a start.
var startFaults = map[string]func(s *startSite){
	"store down": func(s *startSite) {
		s.disturbStore(func() { s.site.store.SetDown(true) }, disturbance, func() { s.site.store.SetDown(false) })
	},
	"paths silent":  func(s *startSite) { s.disturbPaths(s.zoneHosts(), silent) },
	"paths one way": func(s *startSite) { s.disturbPaths(s.zoneHosts(), oneWay) },
	"paths reset":   func(s *startSite) { s.disturbPaths(s.zoneHosts(), reset) },
	"paths delayed": func(s *startSite) { s.disturbPaths(s.zoneHosts(), delay) },
	"history dropped": func(s *startSite) {
		s.disturbStore(s.site.store.DiscardHistory, 0, func() {})
	},
	"store moved":                      (*startSite).moveStore,
	"restore":                          func(s *startSite) { s.restoreOld(0, false) },
	"restore, written 1 s later":       func(s *startSite) { s.restoreOld(time.Second, false) },
	"restore, written 2.5 s later":     func(s *startSite) { s.restoreOld(2500*time.Millisecond, false) },
	"restore, a newer one 1.5 s later": func(s *startSite) { s.restoreOld(1500*time.Millisecond, true) },
}

// moveStore gives hosts other addresses of the store, one half of them with a signal, and closes the old ones when all
// must have read their settings.
func (s *startSite) moveStore() {
	old := slices.Clone(s.proxies[:len(s.hosts)])
	for i, h := range s.hosts {
		moved := s.proxy(old[i].target)
		s.proxies[i], s.proxies[len(s.proxies)-1] = s.proxies[len(s.proxies)-1], old[i]
		s.lock.Lock()
		h.store = moved
		s.writeSettings(h)
		// A process can't bear a signal before its runtime has started.
		if started := s.incarnations[h].started; i%2 == 0 && !started.IsZero() && time.Since(started) > 50*time.Millisecond {
			h.session.Signal(syscall.SIGHUP)
		}
		s.lock.Unlock()
		time.Sleep(time.Duration(s.rng.IntN(10)) * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	for _, p := range old {
		p.set(reset)
	}
}

// restoreOld restores the store from a copy with a configuration that is three versions older. The operator
// writes the newest one again after a pause, or a newer one.
func (s *startSite) restoreOld(pause time.Duration, newer bool) {
	s.setChanges(false)
	old := s.site.store.Copy()
	for range 3 {
		s.change()
		time.Sleep(100 * time.Millisecond)
	}
	s.disturbStore(func() { s.site.store.SetDown(true) }, storeAway, func() {
		s.site.store.Restore(old)
		s.site.store.SetDown(false)
	})
	time.Sleep(pause)
	if newer {
		s.change()
	} else {
		s.lock.Lock()
		s.write(s.log.sent)
		s.lock.Unlock()
	}
	s.setChanges(true)
}

// startGroups are the hosts that are killed and started again.
var startGroups = map[string]func(s *startSite) []*host{
	"one host": func(s *startSite) []*host { return s.hosts[4:5] },
	"the home": func(s *startSite) []*host { return s.hosts[:1] },
	"a zone":   (*startSite).zoneHosts,
	"all":      func(s *startSite) []*host { return s.hosts },
}

// startCase is a start of hosts at a time from the beginning of a fault, or from its end.
type startCase struct {
	fault, group string
	after        time.Duration
	fromEnd      bool
}

func (c startCase) String() string {
	return fmt.Sprintf("%s, %s, %s, from its end %t", c.fault, c.group, c.after, c.fromEnd)
}

// run injects the fault, starts the hosts and waits until they are in touch and have been asked.
func (s *startSite) run(c startCase) {
	var fault sync.WaitGroup
	fault.Go(func() { startFaults[c.fault](s) })
	if c.fromEnd {
		fault.Wait()
	}
	time.Sleep(c.after)
	hosts := startGroups[c.group](s)
	s.kill(hosts)
	s.startAll(hosts, 0)
	fault.Wait()
	time.Sleep(touchTime + 1500*time.Millisecond)
	s.expectServes(c.String())
}

// expectServes records a violation for each host that doesn't serve what all versions allow.
func (s *startSite) expectServes(when string) {
	for _, h := range s.hosts {
		served := false
		for until := time.Now().Add(time.Second); !served && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			served = s.send(h, check()).Status == http.StatusOK
		}
		if !served {
			s.lock.Lock()
			s.violations = append(s.violations, fmt.Sprintf("%s: %s: %s does not serve", s.label, when, h.name))
			s.lock.Unlock()
		}
	}
}

// loseAllPower kills all hosts a pause after a change, or while the change is written, and starts them again.
func (s *startSite) loseAllPower(pause time.Duration, acknowledged bool) {
	s.setChanges(false)
	var writing sync.WaitGroup
	if acknowledged {
		s.change()
		time.Sleep(pause)
	} else {
		writing.Go(s.change)
	}
	s.lock.Lock()
	floor := len(s.log.acked)
	s.lock.Unlock()
	s.kill(s.hosts)
	writing.Wait()
	s.startAll(s.hosts, max(floor, len(s.log.acked)))
	time.Sleep(2 * time.Second)
	s.expectServes("all killed")
	s.setChanges(true)
	time.Sleep(2 * time.Second)
}

// finish stops the operator and callers and checks what was recorded.
func (s *startSite) finish() (violations []string) {
	close(s.stopped)
	s.background.Wait()
	AddReportEntry("starts", fmt.Sprintf("%s: %d starts, first served after %s at most (%s); %d versions, in force after %s at most; answers %v, to hosts in touch %d, of them not answered %v; %d violations",
		s.label, s.starts, s.slowestStart, s.slowestCase, s.log.sent, s.slowest, s.probes, s.touchProbes, s.unanswered, len(s.violations)))
	return s.violations
}

// allStartCases returns all combinations.
func allStartCases() (cases []startCase) {
	for _, fault := range slices.Sorted(maps.Keys(startFaults)) {
		for _, group := range slices.Sorted(maps.Keys(startGroups)) {
			for _, after := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second} {
				cases = append(cases, startCase{fault, group, after, false}, startCase{fault, group, after, true})
			}
		}
	}
	return cases
}

// Environment variables of the specs below: START_SEED selects the order of the cases, START_CASES is the number
// of them that are run, and START_SITES the number of sites that run them at the same time.
func startNumber(name string, or int) int {
	n, err := strconv.Atoi(cmp.Or(os.Getenv(name), strconv.Itoa(or)))
	Expect(err).NotTo(HaveOccurred(), name)
	return n
}

var _ = Describe("hosts that start while configurations change", func() {
	// Guards against an older configuration, or a refusal for want of one, at hosts that start during or after a
	// fault of the store or of the paths to it.
	It("go by the configuration in force", func() {
		seed, count, n := uint64(startNumber("START_SEED", 1)), startNumber("START_CASES", 2), startNumber("START_SITES", 1)
		cases := allStartCases()
		rand.New(rand.NewPCG(seed, 72)).Shuffle(len(cases), func(i, j int) { cases[i], cases[j] = cases[j], cases[i] })
		cases = cases[:min(count, len(cases))]
		var sites []*startSite
		for i := range n {
			sites = append(sites, newStartSite(fmt.Sprintf("seed %d site %d", seed, i), seed+uint64(1000*i), 7))
		}
		time.Sleep(touchTime)
		var runs sync.WaitGroup
		for i, s := range sites {
			runs.Go(func() {
				defer GinkgoRecover()
				for j := i; j < len(cases); j += n {
					s.lock.Lock()
					s.label = fmt.Sprintf("seed %d case %d: %s", seed, j, cases[j])
					s.lock.Unlock()
					s.run(cases[j])
				}
			})
		}
		runs.Wait()
		var violations []string
		for _, s := range sites {
			violations = append(violations, s.finish()...)
		}
		Expect(violations).To(BeEmpty(), strings.Join(violations, "\n"))
	})

	// Guards against the loss of an acknowledged configuration with all hosts that knew it.
	It("go by the newest one from the first answer on when all of them lost power", func() {
		seed := uint64(startNumber("START_SEED", 1))
		s := newStartSite(fmt.Sprintf("seed %d, power loss", seed), seed, 7)
		for i := range startNumber("START_LOSSES", 2) {
			s.loseAllPower(time.Duration(s.rng.IntN(400))*time.Millisecond, i%3 < 2)
		}
		violations := s.finish()
		Expect(violations).To(BeEmpty(), strings.Join(violations, "\n"))
	})
})

// startUnread starts a host's process with settings that it can't read until supply is called.
func (s *site) startUnread(h *host) (supply func()) {
	path := s.writeSettings(h)
	content, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.Remove(path)).To(Succeed())
	Expect(syscall.Mkfifo(path, 0o600)).To(Succeed())
	s.startProcess(h, path)
	// Blocks until the process opens the file.
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	Expect(err).NotTo(HaveOccurred())
	return func() {
		_, _ = f.Write(content) // fails if the process has ended
		Expect(f.Close()).To(Succeed())
	}
}

// usesNewStore reports whether a host whose settings have changed to a store behind the proxy runs and calls it
// within settingsTime.
func usesNewStore(h *host, moved *proxy) bool {
	for until := time.Now().Add(settingsTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if h.session.ExitCode() != -1 {
			return false
		}
		if moved.carries() {
			return true
		}
	}
	return false
}

var _ = Describe("hosts that start after the store has lost the newest configuration", func() {
	// Guards against hosts of one fleet that go by different configurations: those that run keep to the newest one
	// that was acknowledged, and one that starts takes the older one of the copy.
	DescribeTable("go by the one that running hosts know",
		func(started int) {
			s := newSite(siteOptions{hosts: 4, apps: 3, largeFirst: true})
			old := s.store.Copy()
			time.Sleep(time.Second)
			s.changeConfig(takeKeyAway)
			s.expectInForce()
			s.restore(old, nil)
			time.Sleep(touchTime)
			h := s.hosts[started]
			h.session.Kill()
			<-h.session.Exited
			s.start(h)
			time.Sleep(touchTime)
			for start := time.Now(); time.Since(start) < time.Second; time.Sleep(100 * time.Millisecond) {
				for _, h := range s.hosts {
					Expect(s.statusOfKey(h)).To(Equal(http.StatusUnauthorized), h.name)
				}
			}
		},
		Entry("if a host starts", 3),
		Entry("if the home starts", 0),
	)
})

var _ = Describe("a home that starts without a path to the store", func() {
	// Guards against a fleet that refuses requests because its home knows no services yet, though all other hosts know
	// them and have a path to the store.
	DescribeTable("doesn't make the other hosts refuse requests",
		func(m mode, group string) {
			s := newSite(siteOptions{hosts: 7, apps: 3, largeFirst: true, ownStores: true})
			time.Sleep(2 * time.Second)
			down := startGroups[group](&startSite{site: s})
			for _, h := range down {
				s.proxies[slices.Index(s.hosts, h)].set(m)
			}
			time.Sleep(time.Second)
			for _, h := range down {
				h.session.Kill()
				<-h.session.Exited
			}
			for _, h := range down {
				s.start(h)
			}
			others := slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return slices.Contains(down, h) })
			served, all, refusals := 0, 0, map[string]int{}
			for start := time.Now(); time.Since(start) < touchTime; time.Sleep(5 * time.Millisecond) {
				r := s.send(others[all%len(others)], check())
				all++
				if r.Status == http.StatusOK {
					served++
				} else {
					refusals[fmt.Sprintf("%d %s", r.Status, strings.TrimSpace(r.Body))]++
				}
			}
			AddReportEntry("served", fmt.Sprintf("%d of %d, others %v", served, all, refusals))
			Expect(float64(served)).To(BeNumerically(">=", 0.95*float64(all)), "%d of %d: %v", served, all, refusals)
		},
		Entry("while its path is silent", silent, "the home"),
		Entry("while its path is one way", oneWay, "the home"),
		Entry("while its path is reset", reset, "the home"),
		Entry("with all hosts of its zone", silent, "a zone"),
	)
})

// settingsTime is how long a host may take to use changed settings.
const settingsTime = 5 * time.Second

// carries reports whether the proxy has connections.
func (p *proxy) carries() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) > 0
}

var _ = Describe("another address of the store in the settings of a host that starts", func() {
	// Guards against a host that ends by the signal, or stays with the old address, if its settings change while it
	// reads them.
	DescribeTable("is used if the settings change while the host reads them",
		func(signal bool) {
			s := newSite(siteOptions{hosts: 1, apps: 1})
			h := s.hosts[0]
			h.session.Kill()
			<-h.session.Exited
			supply := s.startUnread(h)
			s.storeAddress = s.proxy(s.storeAddress)
			s.writeSettings(h)
			if signal {
				h.session.Signal(syscall.SIGHUP)
				time.Sleep(50 * time.Millisecond)
			}
			supply()
			Expect(usesNewStore(h, s.proxies[0])).To(BeTrue(), "exit code %d", h.session.ExitCode())
		},
		Entry("with SIGHUP", true),
		Entry("without a signal", false),
	)

	// The same at each moment of a start. It is run by hand, since no program can bear a signal before its runtime
	// has started. START_SETTINGS_STEP_MS is the time between the moments.
	DescribeTable("is used if the settings change at any moment of its start",
		func(signal bool) {
			step := startNumber("START_SETTINGS_STEP_MS", 0)
			if step == 0 {
				Skip("START_SETTINGS_STEP_MS is not set")
			}
			var faults []string
			var lock sync.Mutex
			var runs sync.WaitGroup
			for ms := 0; ms < 48; ms += step {
				s := newSite(siteOptions{hosts: 1, apps: 1})
				h := s.hosts[0]
				moved := s.proxy(s.storeAddress)
				runs.Go(func() {
					defer GinkgoRecover()
					h.session.Kill()
					<-h.session.Exited
					s.start(h)
					time.Sleep(time.Duration(ms) * time.Millisecond)
					s.storeAddress = moved
					s.writeSettings(h)
					if signal {
						h.session.Signal(syscall.SIGHUP)
					}
					if !usesNewStore(h, s.proxies[0]) {
						lock.Lock()
						defer lock.Unlock()
						faults = append(faults, fmt.Sprintf("%d ms after the start, exit code %d", ms, h.session.ExitCode()))
					}
				})
			}
			runs.Wait()
			Expect(faults).To(BeEmpty(), strings.Join(faults, "\n"))
		},
		Entry("with SIGHUP", true),
		Entry("without a signal", false),
	)
})
