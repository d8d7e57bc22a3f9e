package platform

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// Environment variables of the soak of configurations, besides SOAK_SEEDS and SOAK_FOR: SOAK_HOSTS is the number of
// hosts, SOAK_FAULTS the name of a plan of faults instead of that of the seed.
const (
	defaultConfigHosts  = 7
	defaultConfigLength = 13 * time.Second
)

// failedConfigSeeds are seeds of this soak that failed once, each with a comment on its failure. CI runs just these.
var failedConfigSeeds = []uint64{
	9, // the home's zone lost its path to the store and the home was paused: three hosts were late by 0.6 s
}

func configSeeds() []uint64 {
	if os.Getenv("SOAK_SEEDS") == "" {
		return failedConfigSeeds
	}
	return soakSeeds(nil)
}

const (
	configProbeInterval = 30 * time.Millisecond
	maxProbesWaiting    = 48 // of one host
	probeDeadline       = 600 * time.Millisecond
	minChangeWait       = 200 * time.Millisecond
	maxChangeWait       = 1700 * time.Millisecond
	// storeCalm is the time between two faults of the store, so that hosts are in touch for a while between them.
	storeCalm = stableTime + 3*time.Second
	// pairCalm is the time between two pairs of faults, so that all other hosts are in touch.
	pairCalm = stableTime + 300*time.Millisecond
	// maxHeldUp is how long the test process, which runs the store, may stand still without counting as a fault of
	// the store.
	maxHeldUp = 100 * time.Millisecond
)

// configFault is a kind of fault. inject returns a description, empty if nothing was done.
type configFault struct {
	name    string
	ofStore bool
	inject  func(k *configSoak) string
}

var (
	zonePathFault    = configFault{"path of a zone to the store", false, (*configSoak).disturbZone}
	hostPathFault    = configFault{"path of a host to the store", false, (*configSoak).disturbHost}
	pauseFault       = configFault{"pause a host", false, (*configSoak).pauseAny}
	pauseHomeFault   = configFault{"pause the home", false, (*configSoak).pauseHome}
	killFault        = configFault{"kill a host", false, (*configSoak).killAny}
	killHomeFault    = configFault{"kill the home", false, (*configSoak).killHome}
	killAllFault     = configFault{"kill all hosts", false, (*configSoak).killAll}
	restartFault     = configFault{"shut a host down and start it again", false, (*configSoak).restartAny}
	storeDownFault   = configFault{"make the store unreachable", true, (*configSoak).takeStoreDown}
	restoreFault     = configFault{"restore the store from a copy", true, (*configSoak).restoreStore}
	historyFault     = configFault{"lose the store's history", true, (*configSoak).loseHistory}
	lostAnswersFault = configFault{"lose answers of the store", true, (*configSoak).loseAnswers}
)

// configPlan is the faults of a run. With pairs, a zone with the home loses its path to the store silently and the home
// is paused shortly afterwards, again and again.
type configPlan struct {
	name   string
	faults []configFault
	wait   time.Duration // from one fault to the next, on average
	pairs  bool
}

var configPlans = []configPlan{
	{"restores", []configFault{restoreFault, restoreFault, restoreFault, killFault, killHomeFault, killAllFault, pauseFault}, 1500 * time.Millisecond, false},
	{"pairs", []configFault{pauseFault, hostPathFault, killFault}, 3 * time.Second, true},
	{"zones", []configFault{zonePathFault, zonePathFault, pauseFault, pauseHomeFault, killFault, killHomeFault, restartFault}, 900 * time.Millisecond, false},
	{"all", []configFault{
		zonePathFault, zonePathFault, hostPathFault, pauseFault, pauseHomeFault, killFault, killHomeFault, killAllFault, restartFault,
		storeDownFault, restoreFault, historyFault, lostAnswersFault,
	}, 1200 * time.Millisecond, false},
}

// planOf returns the plan of a seed.
func planOf(seed uint64) configPlan {
	if name := os.Getenv("SOAK_FAULTS"); name != "" {
		i := slices.IndexFunc(configPlans, func(p configPlan) bool { return p.name == name })
		Expect(i).To(BeNumerically(">=", 0), "SOAK_FAULTS")
		return configPlans[i]
	}
	return configPlans[seed%uint64(len(configPlans))]
}

// configSoak changes the configuration of a site with faults and checks that hosts go by it.
type configSoak struct {
	*site
	*configChecker
	plan     configPlan
	rng      *rand.Rand
	checked  []*checkedHost // in the order of hosts
	base     standin.Config
	running  sync.WaitGroup // probers, writer
	restarts sync.WaitGroup
	done     chan struct{}
	poke     chan struct{} // has the writer write at once

	// Used by the goroutine that injects faults.
	events    []soakEvent
	lasting   int          // number of lasting faults
	cut       map[int]bool // hosts whose path to the store has a fault
	copies    []standin.StoreCopy
	calmSince time.Time // end of the last fault of the store

	writing    sync.Mutex // held while the configuration or the whole store is written
	newest     *standin.Config
	afterWrite []func() // called after the next version is written

	heldUp atomic.Int64 // number of times at which the test process stood still
}

// soakEvent is something to do at a time: the end of a fault, or the second one of a pair.
type soakEvent struct {
	at   time.Time
	do   func()
	ends bool // a fault
}

func newConfigSoak(seed uint64, hosts int) *configSoak {
	k := &configSoak{
		configChecker: newConfigChecker(), plan: planOf(seed), rng: rand.New(rand.NewPCG(seed, 2)),
		done: make(chan struct{}), poke: make(chan struct{}, 1), cut: map[int]bool{},
	}
	k.site = newSite(siteOptions{hosts: hosts, apps: max(3, hosts/4), ownStores: true, byCapacity: true, largeFirst: true})
	for _, h := range k.hosts {
		k.checked = append(k.checked, &checkedHost{name: h.name})
	}
	// All probes use one client account, whose quota must not refuse them.
	account := k.config.Tenants[0]
	account["ratePerS"], account["burst"] = 50_000_000, 50_000_000
	k.base = *k.config
	k.newest = k.version(0, 1)
	k.newest.Put(k.store)
	k.storeFaults.add(time.Now(), time.Now()) // hosts have just started
	return k
}

func routeOf(version int) string { return fmt.Sprintf("/change-%d/", version) }
func keyOf(version int) string   { return fmt.Sprint("key-of-change-", version) }

// version returns the configuration of version n with the routes and keys that are in force with it.
func (k *configSoak) version(n int, number int64) *standin.Config {
	c := k.base
	c.Version = number
	c.Routes, c.Tenants = slices.Clone(c.Routes), slices.Clone(c.Tenants)
	model := c.Routes[slices.IndexFunc(c.Routes, func(r map[string]any) bool { return r["prefix"] == standin.CheckPath })]
	keys := []string{standin.DefaultAccountKey}
	for v := max(1, n-versionsInForce+1); v <= n; v++ {
		r := maps.Clone(model)
		r["name"], r["prefix"] = "r"+routeOf(v), routeOf(v)
		c.Routes = append(c.Routes, r)
		keys = append(keys, keyOf(v))
	}
	c.Tenants[0] = maps.Clone(c.Tenants[0])
	c.Tenants[0]["apiKeys"] = keys
	return &c
}

// writeVersions writes a new version again and again.
func (k *configSoak) writeVersions(rng *rand.Rand) {
	for {
		wait := minChangeWait + time.Duration(rng.Int64N(int64(maxChangeWait-minChangeWait)))
		select {
		case <-k.done:
			return
		case <-k.poke:
		case <-time.After(wait):
		}
		k.writing.Lock()
		step := int64(1 + rng.IntN(3))
		k.write(func(n int) {
			k.newest = k.version(n, k.newest.Version+step)
			k.newest.Put(k.store)
		})
		for _, f := range k.afterWrite {
			f()
		}
		k.afterWrite = nil
		k.writing.Unlock()
	}
}

// probe sends probes to a host.
func (k *configSoak) probe(i int, rng *rand.Rand) {
	time.Sleep(time.Duration(rng.Int64N(int64(configProbeInterval))))
	ticker := time.NewTicker(configProbeInterval)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	waiting := make(chan struct{}, maxProbesWaiting)
	for n := 0; ; n++ {
		select {
		case <-k.done:
			return
		case <-ticker.C:
		}
		for _, p := range k.nextProbes(n, rng) {
			select {
			case waiting <- struct{}{}:
				probes.Go(func() {
					k.send(i, p)
					<-waiting
				})
			default:
			}
		}
	}
}

// nextProbes returns the probes of the nth tick: one for the newest version that has to be in force, and in turn one for
// the newest acknowledged version, a dropped route and a revoked key. Where a refusal of the newest version that has to
// be in force would be right, since a newer one drops it again, what it dropped is asked for instead.
func (k *configSoak) nextProbes(n int, rng *rand.Rand) []configProbe {
	now := time.Now()
	inForce := k.newestAcknowledged(configTime, now)
	dropped := inForce - versionsInForce
	if dropped > 1 && rng.IntN(4) == 0 {
		dropped = max(1, dropped-rng.IntN(8))
	}
	dropped = max(0, dropped)
	newest := k.newestAcknowledged(0, now)
	gone := []configProbe{{route: dropped}, {key: dropped}}
	probes := []configProbe{{inForce, inForce}}
	if k.newestWritten(now) >= inForce+versionsInForce {
		probes[0] = gone[n%2]
	}
	return append(probes, []configProbe{gone[0], {newest, newest}, gone[1], {newest, newest}}[n%4])
}

// send sends a probe to the host with the index and judges the answer.
func (k *configSoak) send(i int, p configProbe) {
	call := standin.Call{Path: standin.CheckPath + "a", Key: standin.DefaultAccountKey, Deadline: probeDeadline}
	if p.route > 0 {
		call.Path = routeOf(p.route) + "a"
	}
	if p.key > 0 {
		call.Key = keyOf(p.key)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*probeDeadline)
	defer cancel()
	a := configAnswer{probe: p, incarnation: k.checked[i].currentIncarnation(), sent: time.Now()}
	a.status = k.caller.Send(ctx, k.hosts[i].at(entryPort), call).Status
	a.received = time.Now()
	k.judge(k.checked[i], a)
}

// watchTestProcess records as faults of the store when the test process stands still.
func (k *configSoak) watchTestProcess() {
	for last := time.Now(); ; {
		select {
		case <-k.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		now := time.Now()
		if now.Sub(last) > maxHeldUp {
			k.storeFaults.add(last, now)
			k.heldUp.Add(1)
			logFault("the test process stood still for %s", now.Sub(last))
		}
		last = now
	}
}

func logFault(format string, args ...any) {
	fmt.Fprintf(GinkgoWriter, "%s fault: %s\n", time.Now().Format("05.000"), fmt.Sprintf(format, args...))
}

// after has f done after a delay by the goroutine that injects faults.
func (k *configSoak) after(delay time.Duration, f func()) {
	k.events = append(k.events, soakEvent{at: time.Now().Add(delay), do: f})
}

// lastFor has a lasting fault end after a random time.
func (k *configSoak) lastFor(end func()) time.Duration {
	return k.lastExactly(time.Duration(300+k.rng.IntN(4000))*time.Millisecond, end)
}

func (k *configSoak) lastExactly(d time.Duration, end func()) time.Duration {
	k.lasting++
	k.events = append(k.events, soakEvent{at: time.Now().Add(d), ends: true, do: func() {
		end()
		k.lasting--
	}})
	return d
}

// run injects the faults of the plan for the given duration, and then ends those that last.
func (k *configSoak) run(length time.Duration) {
	end := time.Now().Add(length)
	next, nextCopy := time.Now(), time.Now()
	if k.plan.pairs {
		k.after(0, k.startPair)
		next = time.Now().Add(pairCalm)
	}
	for time.Now().Before(end) {
		k.doEvents()
		if !time.Now().Before(nextCopy) {
			k.copyStore()
			nextCopy = time.Now().Add(2 * time.Second)
		}
		if !time.Now().Before(next) && k.lasting < 3 {
			f := k.plan.faults[k.rng.IntN(len(k.plan.faults))]
			if !f.ofStore || time.Since(k.calmSince) > storeCalm {
				if what := f.inject(k); what != "" {
					logFault("%s: %s", f.name, what)
				}
			}
			next = time.Now().Add(k.plan.wait/10 + time.Duration(k.rng.Int64N(int64(k.plan.wait)*9/5)))
		}
		time.Sleep(5 * time.Millisecond)
	}
	for _, e := range k.events {
		if e.ends {
			e.do()
		}
	}
}

func (k *configSoak) doEvents() {
	now := time.Now()
	due := func(e soakEvent) bool { return !e.at.After(now) }
	var todo []soakEvent
	for _, e := range k.events {
		if due(e) {
			todo = append(todo, e)
		}
	}
	k.events = slices.DeleteFunc(k.events, due)
	for _, e := range todo {
		e.do()
	}
}

// startPair starts a pair of faults, and the next pair after it. A version is written around the first fault and another
// one around the second.
func (k *configSoak) startPair() {
	k.after(pairCalm, func() {
		home := k.home()
		if home < 0 || !k.claim(home) {
			k.startPair()
			return
		}
		hosts := k.zoneOf(home)
		wait := time.Duration(k.rng.IntN(1400)) * time.Millisecond
		hold := 2500*time.Millisecond + time.Duration(k.rng.IntN(1000))*time.Millisecond
		logFault("pair: zone of the home %s silent, home paused after %s for %s", k.hosts[home].name, wait, hold)
		k.writeAfter(time.Duration(k.rng.IntN(600)) * time.Millisecond)
		k.writeAfter(wait + time.Duration(k.rng.IntN(600)-300)*time.Millisecond)
		k.lastExactly(wait+hold, k.setPaths(hosts, silent))
		k.after(wait, func() {
			logFault("pair: pause %s", k.hosts[home].name)
			k.lastExactly(hold, k.pause(home))
		})
		k.after(wait+hold, k.startPair)
	})
}

// writeAfter has the writer write a version after a delay.
func (k *configSoak) writeAfter(delay time.Duration) {
	k.after(delay, func() {
		select {
		case k.poke <- struct{}{}:
		default:
		}
	})
}

// home returns the index of the host that is the home by its own log, and -1 if there is none. Hosts with faults are
// passed over.
func (k *configSoak) home() int {
	for i, h := range k.hosts {
		if h.claimed.Load() {
			continue
		}
		log := h.logged()
		if last := bytes.LastIndex(log, []byte("limits=")); last >= 0 && bytes.HasPrefix(log[last:], []byte("limits=1.00")) {
			return i
		}
	}
	return -1
}

// zoneOf returns the indexes of the hosts in the zone of the host with the index.
func (k *configSoak) zoneOf(i int) (hosts []int) {
	for j := range k.hosts {
		if k.hosts[j].zone == k.hosts[i].zone {
			hosts = append(hosts, j)
		}
	}
	return hosts
}

// claim claims a host for a fault of its process, until release.
func (k *configSoak) claim(i int) bool { return k.hosts[i].claimed.CompareAndSwap(false, true) }

// setPaths sets the mode of the paths of hosts to the store, and returns a function that ends it. Paths with a
// fault keep theirs.
func (k *configSoak) setPaths(hosts []int, m mode) (end func()) {
	var ends []func()
	for _, i := range hosts {
		if k.cut[i] {
			continue
		}
		k.cut[i] = true
		ended := k.checked[i].faults.begin()
		k.proxies[i].set(m)
		ends = append(ends, func() {
			k.proxies[i].set(pass)
			k.cut[i] = false
			ended()
		})
	}
	return func() {
		for _, f := range ends {
			f()
		}
	}
}

func (k *configSoak) disturb(hosts []int) string {
	m := []mode{silent, silent, oneWay, reset, delay}[k.rng.IntN(5)]
	d := k.lastFor(k.setPaths(hosts, m))
	return fmt.Sprintf("%v mode %d for %s", hosts, m, d)
}

func (k *configSoak) disturbZone() string { return k.disturb(k.zoneOf(k.rng.IntN(len(k.hosts)))) }
func (k *configSoak) disturbHost() string { return k.disturb([]int{k.rng.IntN(len(k.hosts))}) }

// pause pauses a claimed host and returns a function that resumes and releases it.
func (k *configSoak) pause(i int) (end func()) {
	h, c := k.hosts[i], k.checked[i]
	ended, resumed := c.faults.begin(), c.pauses.begin()
	h.session.Signal(syscall.SIGSTOP)
	return func() {
		h.session.Signal(syscall.SIGCONT)
		resumed()
		ended()
		h.release()
	}
}

func (k *configSoak) pauseAny() string { return k.pauseFor(k.rng.IntN(len(k.hosts))) }

func (k *configSoak) pauseHome() string { return k.pauseFor(k.home()) }

func (k *configSoak) pauseFor(i int) string {
	if i < 0 || !k.claim(i) {
		return ""
	}
	return fmt.Sprintf("%s for %s", k.hosts[i].name, k.lastFor(k.pause(i)))
}

// kill kills claimed hosts at once and starts them again.
func (k *configSoak) kill(hosts []int) string {
	var ends []func()
	for _, i := range hosts {
		ends = append(ends, k.checked[i].faults.begin())
		k.hosts[i].session.Kill()
	}
	for n, i := range hosts {
		k.startAgain(i)
		ends[n]()
	}
	return fmt.Sprint(hosts)
}

// startAgain starts a host as soon as it has ended.
func (k *configSoak) startAgain(i int) {
	<-k.hosts[i].session.Exited
	k.checked[i].restarted()
	k.start(k.hosts[i])
	k.hosts[i].release()
}

func (k *configSoak) killOne(i int) string {
	if i < 0 || !k.claim(i) {
		return ""
	}
	return k.kill([]int{i})
}

func (k *configSoak) killAny() string  { return k.killOne(k.rng.IntN(len(k.hosts))) }
func (k *configSoak) killHome() string { return k.killOne(k.home()) }

func (k *configSoak) killAll() string {
	var hosts []int
	for i := range k.hosts {
		if k.claim(i) {
			hosts = append(hosts, i)
		}
	}
	return k.kill(hosts)
}

func (k *configSoak) restartAny() string {
	i := k.rng.IntN(len(k.hosts))
	if !k.claim(i) {
		return ""
	}
	ended := k.checked[i].faults.begin()
	k.hosts[i].session.Terminate()
	k.restarts.Go(func() {
		defer GinkgoRecover()
		k.startAgain(i)
		ended()
	})
	return k.hosts[i].name
}

// endStoreFault notes the end of a fault of the store.
func (k *configSoak) endStoreFault(end func()) {
	end()
	k.calmSince = time.Now()
}

func (k *configSoak) takeStoreDown() string {
	ended := k.storeFaults.begin()
	k.store.SetDown(true)
	return k.lastFor(func() {
		k.store.SetDown(false)
		k.endStoreFault(ended)
	}).String()
}

func (k *configSoak) loseHistory() string {
	ended := k.storeFaults.begin()
	k.store.DiscardHistory()
	k.endStoreFault(ended)
	return "now"
}

// loseAnswers loses the answers of a few transactions, or all answers to all hosts.
func (k *configSoak) loseAnswers() string {
	ended := k.storeFaults.begin()
	if k.rng.IntN(2) == 0 {
		k.store.DropAnswers(1 + k.rng.IntN(5))
		return "of transactions for " + k.lastFor(func() {
			k.store.DropAnswers(0)
			k.endStoreFault(ended)
		}).String()
	}
	all := make([]int, len(k.hosts))
	for i := range all {
		all[i] = i
	}
	pass := k.setPaths(all, oneWay)
	return "all for " + k.lastFor(func() {
		pass()
		k.endStoreFault(ended)
	}).String()
}

// copyStore copies the store. In half of the cases it then has many more transactions, so that a restore from the
// copy gives out their versions again.
func (k *configSoak) copyStore() {
	k.copies = append(k.copies, k.store.Copy())
	if k.rng.IntN(2) == 0 {
		k.store.Skip(lostVersions)
	}
}

// restoreStore restores the store from a copy. The operator writes the newest version again while the store is away,
// together with the restore, or only writes the next one.
func (k *configSoak) restoreStore() string {
	c, way := k.rng.IntN(len(k.copies)), k.rng.IntN(3)
	old := k.copies[c]
	k.copies = k.copies[:c+1] // what came later is lost
	skip := int64(k.rng.IntN(2)) * 2 * lostVersions
	ended := k.storeFaults.begin()
	k.writing.Lock()
	defer k.writing.Unlock()
	switch way {
	case 0:
		k.restore(old, func() { k.newest.Put(k.store) })
		k.endStoreFault(ended)
	case 1:
		k.store.RestoreAndSkip(old, skip, standin.Change{Table: "op", Key: "config", Value: k.newest})
		k.endStoreFault(ended)
	default:
		k.store.Restore(old)
		k.afterWrite = append(k.afterWrite, ended)
		k.calmSince = time.Now().Add(maxChangeWait)
	}
	return fmt.Sprintf("way %d, era %d", way, k.store.Era())
}

func configHosts() int {
	if n, err := strconv.Atoi(os.Getenv("SOAK_HOSTS")); err == nil {
		return n
	}
	return defaultConfigHosts
}

func configLength() time.Duration {
	if os.Getenv("SOAK_FOR") != "" {
		return soakLength()
	}
	return defaultConfigLength
}

// soakConfig runs the soak of a seed and returns the violations.
func soakConfig(seed uint64) []string {
	k := newConfigSoak(seed, configHosts())
	k.running.Go(func() { k.writeVersions(rand.New(rand.NewPCG(seed, 3))) })
	k.running.Go(k.watchTestProcess)
	for i := range k.hosts {
		k.running.Go(func() { k.probe(i, rand.New(rand.NewPCG(seed, uint64(4+i)))) })
	}
	k.run(configLength())
	k.restarts.Wait()
	time.Sleep(stableTime + configTime) // in which all hosts are in touch at last
	close(k.done)
	k.running.Wait()
	machine, _ := os.ReadFile("/proc/loadavg")
	fmt.Printf("soak of configurations: seed %d, %d hosts, %s: %s; stood still %d times; load %s\n", seed, len(k.hosts), k.plan.name,
		k.summary(k.checked), k.heldUp.Load(), strings.Join(strings.Fields(string(machine))[:1], ""))
	k.site.stop()
	for _, h := range k.checked {
		if h.judged == 0 {
			k.violations = append(k.violations, "no answer of "+h.name+" was judged")
		}
	}
	for _, v := range k.violations {
		fmt.Fprintf(GinkgoWriter, "seed %d: %s\n", seed, v)
	}
	return k.violations
}

var _ = Describe("a soak of configurations", func() {
	// Two faults one after the other, each survived in time, may together leave hosts with an older configuration: a
	// route that is missing, a key that was revoked and still is accepted.
	It("has every change in force in time on all hosts in touch, and none goes back", func() {
		var violations []string
		for _, seed := range configSeeds() {
			By(fmt.Sprint("seed ", seed))
			for _, v := range soakConfig(seed) {
				violations = append(violations, fmt.Sprintf("seed %d: %s", seed, v))
			}
		}
		Expect(violations).To(BeEmpty(), "%d violations", len(violations))
	})
})
