package platform

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// linkFaults are the faults of the soak of links. Its hosts run in the test process, so signals to
// hosts are not among them.
var linkFaults = []soakFault{
	{"cut links", (*soak).cutLinks},
	{"cut links", (*soak).cutLinks},
	{"cut links", (*soak).cutLinks},
	{"shut a host down and start it again", (*soak).restartHostInProcess},
	{"lose the store's history", (*soak).loseStoreHistory},
	{"make the store unreachable", (*soak).takeStoreDown},
	{"change the configuration", (*soak).changeConfig},
	{"make a server misbehave", (*soak).addServerFault},
	{"have a server send a notice", (*soak).addServerNotice},
	{"replace a server", (*soak).replaceServer},
	{"disturb connections", (*soak).disturbConnections},
}

// cutLinks cuts the links of one host, several or all to one server, several or all.
func (k *soak) cutLinks() string {
	mode := linkMode(1 + k.rng.IntN(3))
	hosts, servers := k.hostList(), k.serverList()
	k.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	k.rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	hosts = hosts[:1+k.rng.IntN(len(hosts))]
	if k.rng.IntN(2) == 0 {
		servers = servers[:1+k.rng.IntN(len(servers))]
	}
	cutFrom(hosts, mode, servers...)
	k.undo = append(k.undo, func() { cutFrom(hosts, linked, servers...) })
	return fmt.Sprintf("%d hosts from %d servers, mode %d", len(hosts), len(servers), mode)
}

// serverList returns a copy of the current list of servers.
func (s *site) serverList() []*standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*standin.Server(nil), s.servers...)
}

// restartHostInProcess shuts a host down gracefully and starts it again.
func (k *soak) restartHostInProcess() string {
	h := k.claimHost()
	if h == nil {
		return "nothing"
	}
	k.background.Go(func() {
		defer GinkgoRecover()
		defer h.release()
		h.shutDown()
		k.start(h)
	})
	return h.name
}

var _ = Describe("a soak of links that are cut", func() {
	// Requests move between paths and tunnels while links come and go, so that one may run twice, be
	// reported as not run though it ran, or be joined from two answers.
	It("keeps every promise and serves again after it", func() {
		for _, seed := range soakSeeds(failedLinkSeeds) {
			By(fmt.Sprint("seed ", seed))
			k := &soak{rng: rand.New(rand.NewPCG(seed, 1))}
			k.site = newSite(siteOptions{hosts: 4, engines: 3, apps: 3, proxied: true, inProcess: true, policy: overloadPolicy})
			k.duringLoad(8*time.Millisecond, func() {
				time.Sleep(300 * time.Millisecond)
				kinds := make([]func(*soak) string, 0, len(linkFaults))
				for _, f := range linkFaults {
					kinds = append(kinds, func(k *soak) string { return f.name + ": " + f.inject(k) })
				}
				k.runOf(kinds, soakLength())
			})
			k.waitForRecovery(seed)
			k.checkPromises()
			k.checkFalls(seed)
			ok, all := k.answered()
			fmt.Printf("soak of links: seed %d: %d of %d answered whole\n", seed, ok, all)
			k.stop()
		}
	})
})
