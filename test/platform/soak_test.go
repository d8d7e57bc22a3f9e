package platform

import (
	"fmt"
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

// Environment variables of the soak: SOAK_SEEDS lists seeds or ranges such as 1-50, SOAK_FOR
// is the duration of faults for each seed. CI runs one short seed and each seed that ever
// failed.
const (
	defaultSeeds  = "1"
	defaultLength = 6 * time.Second
	recoveryTime  = 6 * time.Second // from the last fault until all hosts serve again
)

// failedSeeds, failedPartSeeds and failedLinkSeeds are seeds of the soaks that failed once, each with a comment
// on its failure.
var (
	failedSeeds     = []uint64{}
	failedPartSeeds = []uint64{}
	failedLinkSeeds = []uint64{
		28, // three servers crashed under the same request, which was then rightly in quarantine
	}
)

func soakSeeds(failed []uint64) []uint64 {
	text := os.Getenv("SOAK_SEEDS")
	if text == "" {
		text = defaultSeeds
	}
	var seeds []uint64
	for _, part := range strings.Split(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		a, err := strconv.ParseUint(first, 10, 64)
		Expect(err).NotTo(HaveOccurred(), "SOAK_SEEDS")
		b := a
		if isRange {
			b, err = strconv.ParseUint(last, 10, 64)
			Expect(err).NotTo(HaveOccurred(), "SOAK_SEEDS")
		}
		for ; a <= b; a++ {
			seeds = append(seeds, a)
		}
	}
	return append(seeds, failed...)
}

func soakLength() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("SOAK_FOR")); err == nil {
		return d
	}
	return defaultLength
}

// overloadPolicy switches on the decisions under overload that are off by default.
const overloadPolicy = "prefill-steady=1,pause-model=1,account-shares=1,live-load=1,admission-forecast=1,return-booking=1"

// soak injects random faults into a site, drawn from a seed. A lasting fault ends by itself or
// is undone after later ones have begun, so faults overlap.
type soak struct {
	*site
	rng          *rand.Rand
	undo         []func()
	addedHosts   int // number of hosts added
	replacements int // number of servers replaced
	copied       standin.StoreCopy
	steps        int
	background   sync.WaitGroup // shutdowns and replacements in progress
}

// soakFault is a kind of fault. inject injects it and returns a description for the log.
type soakFault struct {
	name   string
	inject func(k *soak) string
}

var soakFaults = []soakFault{
	{"kill a host", (*soak).killHost},
	{"pause a host", (*soak).pauseHost},
	{"shut a host down and start it again", (*soak).restartHost},
	{"add a host", (*soak).addHost},
	{"signal new settings", (*soak).reloadSettings},
	{"lose the store's history", (*soak).loseStoreHistory},
	{"make the store unreachable", (*soak).takeStoreDown},
	{"restore the store from a copy", (*soak).restoreStore},
	{"change the configuration", (*soak).changeConfig},
	{"change quotas and keys", (*soak).changeAccounts},
	{"make a server misbehave", (*soak).addServerFault},
	{"have a server send a notice", (*soak).addServerNotice},
	{"slow a server down", (*soak).slowServer},
	{"replace a server", (*soak).replaceServer},
	{"disturb connections", (*soak).disturbConnections},
	{"disturb connections", (*soak).disturbConnections}, // twice, as it is the most common fault
}

// claimHost draws a random host and claims it for a fault, until release. It returns nil if
// another fault has claimed that host.
func (k *soak) claimHost() *host {
	hosts := k.hostList()
	h := hosts[k.rng.IntN(len(hosts))]
	if !h.claimed.CompareAndSwap(false, true) {
		return nil
	}
	return h
}

func (h *host) release() { h.claimed.Store(false) }

func (k *soak) killHost() string {
	h := k.claimHost()
	if h == nil {
		return "nothing"
	}
	defer h.release()
	h.session.Kill()
	<-h.session.Exited
	k.start(h)
	return h.name
}

func (k *soak) pauseHost() string {
	h := k.claimHost()
	if h == nil {
		return "nothing"
	}
	h.session.Signal(syscall.SIGSTOP)
	k.undo = append(k.undo, func() {
		h.session.Signal(syscall.SIGCONT)
		h.release()
	})
	return h.name
}

// restartHost ends a host by SIGTERM and restarts it as soon as it has exited. Callers use
// their connections to it until then.
func (k *soak) restartHost() string {
	h := k.claimHost()
	if h == nil {
		return "nothing"
	}
	h.session.Terminate()
	k.background.Go(func() {
		<-h.session.Exited
		k.start(h)
		h.release()
	})
	return h.name
}

// maxAddedHosts limits the number of hosts that a soak adds.
const maxAddedHosts = 2

// addHost adds a host, or removes an added one for good.
func (k *soak) addHost() string {
	if k.addedHosts < maxAddedHosts {
		k.addedHosts++
		h := &host{name: fmt.Sprintf("front-spare-%d", k.addedHosts), ip: k.subnet + fmt.Sprint(100+k.addedHosts)}
		k.start(h)
		k.mu.Lock()
		k.hosts = append(k.hosts, h)
		k.mu.Unlock()
		return h.name
	}
	hosts := k.hostList()
	h := hosts[len(hosts)-1]
	if !strings.HasPrefix(h.name, "front-spare") || !h.claimed.CompareAndSwap(false, true) {
		return "nothing"
	}
	h.session.Terminate() // it stays claimed, so that nothing restarts it
	k.mu.Lock()
	k.hosts = k.hosts[:len(k.hosts)-1]
	k.removed = append(k.removed, h)
	k.mu.Unlock()
	return "remove " + h.name
}

func (k *soak) reloadSettings() string {
	h := k.claimHost()
	if h == nil {
		return "nothing"
	}
	defer h.release()
	h.session.Signal(syscall.SIGHUP)
	return h.name
}

func (k *soak) loseStoreHistory() string {
	k.store.DiscardHistory()
	n := k.rng.IntN(3)
	k.store.DropAnswers(n)
	return fmt.Sprintf("%d answers too", n)
}

func (k *soak) takeStoreDown() string {
	k.store.SetDown(true)
	k.undo = append(k.undo, func() { k.store.SetDown(false) })
	return ""
}

// stepsBetweenCopies is the number of faults between two copies of the store, some seconds.
const stepsBetweenCopies = 6

// restoreStore restores the store from the newest copy. The operator writes the configuration again, servers
// their entries, and the entries of servers that have ended expire.
func (k *soak) restoreStore() string {
	k.store.Restore(k.copied)
	k.config.Put(k.store)
	k.mu.Lock()
	ended := slices.DeleteFunc(slices.Clone(k.replaced), func(srv *standin.Server) bool { return !srv.Ended() })
	k.mu.Unlock()
	k.background.Go(func() {
		time.Sleep(standin.EntryTTL)
		for _, srv := range ended {
			srv.ExpireEntry()
		}
	})
	return fmt.Sprint("era ", k.store.Era())
}

func (k *soak) changeConfig() string {
	k.config.Version += int64(1 + k.rng.IntN(3))
	k.config.Put(k.store)
	return fmt.Sprint("version ", k.config.Version)
}

// changeAccounts gives the small client account another quota and the large one a second key
// in addition to its own.
func (k *soak) changeAccounts() string {
	rate := 500 * (1 + k.rng.IntN(8))
	k.config.Tenants[1]["ratePerS"] = rate
	k.config.Tenants[0]["apiKeys"] = []string{standin.DefaultAccountKey, fmt.Sprint("key-", k.rng.IntN(100))}
	return fmt.Sprintf("quota %d, %s", rate, k.changeConfig())
}

func (k *soak) addServerFault() string {
	srv := k.servers[k.rng.IntN(len(k.servers))]
	faults := []standin.Fault{
		{FailEvery: 3},
		{RejectAll: true},
		{CutAfter: 4},
		{SilentAfter: 4},
		{CutAnswer: true},
		{LoseAnswer: true},
		{ExtraAnswer: true},
		{NoSeal: true},
	}
	f := faults[k.rng.IntN(len(faults))]
	srv.SetFault(f)
	k.undo = append(k.undo, func() { srv.SetFault(standin.Fault{}) })
	return fmt.Sprintf("%s %+v", srv.Spec.ID, f)
}

// slowServer makes a server slow for about as long as a neighbor on its machine takes its processor.
func (k *soak) slowServer() string {
	srv := k.servers[k.rng.IntN(len(k.servers))]
	factor := 2 + 8*k.rng.Float64()
	srv.Slow(factor, 600*time.Millisecond)
	return fmt.Sprintf("%s %.1f times", srv.Spec.ID, factor)
}

// addServerNotice has a server state a limit, reject requests and ask for a backoff, or be brittle.
func (k *soak) addServerNotice() string {
	srv := k.servers[k.rng.IntN(len(k.servers))]
	notices := []standin.Notice{{Limit: "1"}, {Limit: "5"}, {Rest: "0.5"}, {Rest: "2"}, {Brittle: "4"}, {Brittle: "1"}}
	n := notices[k.rng.IntN(len(notices))]
	srv.SetNotice(n)
	k.undo = append(k.undo, func() { srv.SetNotice(standin.Notice{}) })
	return fmt.Sprintf("%s %+v", srv.Spec.ID, n)
}

// lingerAfterDrain is how long a leaving server still runs, slightly longer than drainMs in the
// stand-in's settings.
const lingerAfterDrain = 2500 * time.Millisecond

// replaceServer starts a new incarnation of a server and removes the old one: it drains, its
// entry disappears, or it crashes.
func (k *soak) replaceServer() string {
	i := k.rng.IntN(len(k.servers))
	old := k.servers[i]
	spec := old.Spec
	k.replacements++
	spec.ID, spec.Address = fmt.Sprintf("%s-%d", strings.SplitN(old.Spec.ID, "-n", 2)[0], k.replacements), "127.0.0.1:0"
	started, err := standin.StartServer(k.store, spec)
	Expect(err).NotTo(HaveOccurred())
	k.mu.Lock()
	k.servers[i], k.replaced = started, append(k.replaced, old)
	k.mu.Unlock()
	how := k.rng.IntN(3)
	switch how {
	case 0:
		old.Drain()
	case 1:
		old.RemoveEntry()
	default:
		old.Close()
	}
	k.background.Go(func() {
		time.Sleep(lingerAfterDrain)
		old.Close()
		k.store.Delete("servers", old.Spec.ID)
	})
	return fmt.Sprintf("%s by %s, way %d", old.Spec.ID, spec.ID, how)
}

func (k *soak) disturbConnections() string {
	i, m := k.rng.IntN(len(k.proxies)), mode(1+k.rng.IntN(int(modeCount)-1))
	p := k.proxies[i]
	p.set(m)
	k.undo = append(k.undo, func() { p.set(pass) })
	return fmt.Sprintf("proxy %d mode %d", i, m)
}

// run injects faults of all kinds for the given duration.
func (k *soak) run(length time.Duration) {
	kinds := make([]func(*soak) string, 0, len(soakFaults))
	for _, f := range soakFaults {
		kinds = append(kinds, func(k *soak) string { return f.name + ": " + f.inject(k) })
	}
	k.runOf(kinds, length)
}

// runOf injects faults of the given kinds for the given duration and checks the promises for
// the calls so far. Up to three lasting faults are active at once.
func (k *soak) runOf(kinds []func(*soak) string, length time.Duration) {
	checked := 0
	for end := time.Now().Add(length); time.Now().Before(end); {
		if k.steps%stepsBetweenCopies == 0 {
			k.copied = k.store.Copy()
		}
		k.steps++
		fmt.Fprintf(GinkgoWriter, "%s fault: %s\n", time.Now().Format("05.000"), kinds[k.rng.IntN(len(kinds))](k))
		time.Sleep(time.Duration(100+k.rng.IntN(600)) * time.Millisecond)
		for len(k.undo) > 2 {
			k.undo[0]()
			k.undo = k.undo[1:]
		}
		checked = k.checkPromisesFrom(checked, nil)
	}
	for _, undo := range k.undo {
		undo()
	}
	k.undo = nil
	k.background.Wait()
}

// checkFalls checks that brittle servers were not made to fail too often.
func (k *soak) checkFalls(seed uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, srv := range slices.Concat(k.servers, k.replaced) {
		Expect(float64(srv.Falls())).To(BeNumerically("<=", allowedFalls(1)), "seed %d, %s", seed, srv.Spec.ID)
	}
}

// waitForRecovery waits until each host answers each kind of call with success. The calls differ from those
// sent before, which are in quarantine if several servers crashed while they ran them.
func (k *soak) waitForRecovery(seed uint64) {
	for _, h := range k.hostList() {
		for _, c := range []standin.Call{confirm(), check(), appraise(), digest()} {
			c.Path += "/after-the-faults"
			Eventually(func() int { return k.send(h, c).Status }).WithTimeout(recoveryTime).
				Should(Equal(http.StatusOK), "seed %d, %s, %s", seed, h.name, c.Path)
		}
	}
}

// settleTime is how long after recovery the last effects of faults may be seen: ejected servers,
// hosts that have just found each other.
const settleTime = 2 * time.Second

// restartHostsInTurn shuts down and restarts two hosts one after the other under load, without
// other faults, and checks that no request in progress is interrupted.
func (k *soak) restartHostsInTurn() {
	time.Sleep(settleTime)
	first := len(k.replies)
	k.duringLoad(8*time.Millisecond, func() {
		for _, h := range k.hosts[:2] {
			h.session.Terminate()
			Eventually(h.session.Exited).WithTimeout(10 * time.Second).Should(BeClosed())
			k.start(h)
			Eventually(func() int { return k.ready(h) }).Should(Equal(http.StatusOK))
		}
	})
	k.checkPromisesFrom(first, func(int) bool { return true })
}

var _ = Describe("a soak of random faults", func() {
	It("keeps every promise and serves again after it", func() {
		for _, seed := range soakSeeds(failedSeeds) {
			By(fmt.Sprint("seed ", seed))
			k := &soak{rng: rand.New(rand.NewPCG(seed, 0))}
			k.site = newSite(siteOptions{hosts: 4, engines: 3, apps: 3, proxied: true, policy: overloadPolicy})
			k.duringLoad(8*time.Millisecond, func() {
				time.Sleep(300 * time.Millisecond)
				k.run(soakLength())
			})
			k.waitForRecovery(seed)
			k.restartHostsInTurn()
			k.checkPromises()
			k.checkFalls(seed)
			ok, all := k.answered()
			fmt.Printf("soak: seed %d: %d of %d answered whole\n", seed, ok, all)
			k.stop()
		}
	})
})
