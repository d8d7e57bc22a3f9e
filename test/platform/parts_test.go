package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/platform"
	"github.com/gentianflow/gentianflow/platform/standin"
)

const (
	badPart      = "bad0bad0"
	otherBadPart = "bad1bad1"
	// tolerableCrashes is the number of crashes under one prompt part that callers bear. Later than
	// detectionTime after them, requests with the part may reach maxFatalRuns more servers.
	tolerableCrashes = 5
	// soundRecoveryTime after those crashes, or the last if there are fewer, sound requests must begin
	// at least minBegunShare as often as before.
	soundRecoveryTime = 2 * detectionTime
	minBegunShare     = 0.9
)

// Prompt parts that sound requests share with each other and with the bad ones.
var (
	firstParts  = []string{"f0000001", "f0000002", "f0000003"}
	middleParts = []string{"00000011", "00000012", "00000013", "00000014", "00000015"}
)

// partsLoad is a load of sound requests and of bad ones, whose prompts have a part that crashes servers.
// No two requests are alike.
type partsLoad struct {
	sound, bad time.Duration // between two requests, 0: none
	// soundParts and badParts return the parts of a prompt before the request's own.
	soundParts, badParts func(rng *rand.Rand) []string
	badKey               string // API key of the bad requests
}

// sentParts is one request of the load, sent once.
type sentParts struct {
	bad   bool
	parts []string
	at    time.Time
	reply standin.Reply
}

// begun reports whether an event of the answer arrived.
func (c sentParts) begun() bool {
	return c.reply.Status == http.StatusOK && strings.Contains(c.reply.Body, eventEnd)
}

func pick(rng *rand.Rand, list []string) string { return list[rng.IntN(len(list))] }

func sharedParts(rng *rand.Rand) []string {
	return []string{pick(rng, firstParts), pick(rng, middleParts)}
}

// partInMiddle and partInFront return the shared parts with one more in between, or before them.
func partInMiddle(part string) func(*rand.Rand) []string {
	return func(rng *rand.Rand) []string { return slices.Insert(sharedParts(rng), 1, part) }
}

func partInFront(part string) func(*rand.Rand) []string {
	return func(rng *rand.Rand) []string { return append([]string{part}, pick(rng, middleParts)) }
}

// play sends the load to the hosts in turn while during runs, and returns the requests sent.
func (s *site) play(load partsLoad, during func()) (sent []sentParts) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	stop := make(chan struct{})
	if load.soundParts == nil {
		load.soundParts = sharedParts
	}
	source := func(bad bool, every time.Duration, parts func(*rand.Rand) []string) {
		if every == 0 {
			return
		}
		calls.Go(func() {
			defer GinkgoRecover()
			rng := rand.New(rand.NewPCG(1, uint64(every)))
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(every):
				}
				c := appraise()
				if i%2 == 0 {
					c = digest()
				}
				c.Parts, c.Body = parts(rng), fmt.Sprint(bad, i)
				if bad {
					c.Key = load.badKey
				}
				hosts := s.hostList()
				calls.Go(func() {
					at := time.Now()
					r := s.send(hosts[i%len(hosts)], c)
					mu.Lock()
					defer mu.Unlock()
					sent = append(sent, sentParts{bad, c.Parts, at, r})
				})
			}
		})
	}
	source(false, load.sound, load.soundParts)
	source(true, load.bad, load.badParts)
	during()
	close(stop)
	calls.Wait()
	return sent
}

// runsWithPart returns the start times of the runs of requests with a part, in ascending order.
func (s *site) runsWithPart(part string) (at []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range slices.Concat(s.servers, s.replaced) {
		for _, run := range srv.Runs() {
			if strings.Contains(run.Prefix, part+":") {
				at = append(at, run.At)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// lateRunsWithPart counts the runs with a part later than detectionTime after the crashes that are
// tolerable. Each run of it crashes its server unless the server has ended before.
func (s *site) lateRunsWithPart(part string) (late int) {
	runs := s.runsWithPart(part)
	if len(runs) < tolerableCrashes {
		return 0
	}
	for _, at := range runs {
		if at.After(runs[tolerableCrashes-1].Add(detectionTime)) {
			late++
		}
	}
	return late
}

// shareBegun returns the share of the selected requests that were begun at their first attempt. Those
// refused for a quota don't count.
func shareBegun(sent []sentParts, selected func(sentParts) bool) (share float64, n int) {
	begun := 0
	for _, c := range sent {
		if !selected(c) || c.reply.Status == http.StatusTooManyRequests {
			continue
		}
		n++
		if c.begun() {
			begun++
		}
	}
	return float64(begun) / float64(max(1, n)), n
}

// countRefused counts the sound requests that were refused as quarantined.
func countRefused(sent []sentParts) (n int) {
	for _, c := range sent {
		if !c.bad && strings.Contains(c.reply.Body, "quarantine") {
			n++
		}
	}
	return n
}

// checkParts checks that the bad parts were found in time, and that no sound request paid for it.
func (s *site) checkParts(restarter *serverRestarter, sent []sentParts, began time.Time, bad ...string) {
	restarter.mu.Lock()
	crashes := slices.Clone(restarter.crashes)
	restarter.mu.Unlock()
	late := 0
	for _, part := range bad {
		late += s.lateRunsWithPart(part)
	}
	recovered := began
	if len(bad) > 0 && len(crashes) > 0 {
		recovered = crashes[min(len(crashes), tolerableCrashes*len(bad))-1].Add(soundRecoveryTime)
	}
	before, nBefore := shareBegun(sent, func(c sentParts) bool { return !c.bad && c.at.Before(began) })
	after, nAfter := shareBegun(sent, func(c sentParts) bool { return !c.bad && c.at.After(recovered) })
	refused := countRefused(sent)
	fmt.Printf("parts: %d servers ended, %d runs late, sound begun %.3f of %d before and %.3f of %d after, %d sound refused\n",
		len(crashes), late, before, nBefore, after, nAfter, refused)
	Expect(late).To(BeNumerically("<=", maxFatalRuns*len(bad)), "runs with a bad part later than %v after the crashes that are tolerable", detectionTime)
	Expect(after).To(BeNumerically(">=", minBegunShare*before), "sound requests begun at their first attempt")
	Expect(refused).To(BeZero(), "sound requests refused as quarantined")
}

var _ = Describe("a prompt part that crashes the servers which run it", func() {
	const (
		soundEvery = 25 * time.Millisecond
		badEvery   = 100 * time.Millisecond
		quietTime  = 2 * time.Second
	)
	fatalSite := func(o siteOptions, parts ...string) (*site, *serverRestarter) {
		o.engines, o.apps = max(6, o.engines), 1
		o.engine.FatalParts, o.engine.CrashDelay, o.engine.PerEvent = parts, 100*time.Millisecond, 10*time.Millisecond
		return newFatalSite(o)
	}
	// playAround plays a load, without bad requests in the first quietTime and with them from then on.
	playAround := func(s *site, load partsLoad, during func()) (sent []sentParts, began time.Time) {
		quiet := load
		quiet.bad = 0
		sent = s.play(quiet, func() { time.Sleep(quietTime) })
		began = time.Now()
		return append(sent, s.play(load, during)...), began
	}

	// No two of the requests are alike, so that each is the first one that the hosts know of. Engine after
	// engine crashes, with the sound requests that run beside them.
	It("is not sent any more once it has crashed a few", func() {
		s, restarter := fatalSite(siteOptions{hosts: 3}, badPart)
		load := partsLoad{sound: soundEvery, bad: badEvery, badParts: partInMiddle(badPart)}
		sent, began := playAround(s, load, func() { time.Sleep(9 * time.Second) })
		s.checkPromises()
		s.checkParts(restarter, sent, began, badPart)
	})

	// Two parts crash engines at the same time, one of them in first place.
	It("is found beside another one", func() {
		s, restarter := fatalSite(siteOptions{hosts: 3, engines: 8}, badPart, otherBadPart)
		load := partsLoad{sound: soundEvery, bad: badEvery, badParts: func(rng *rand.Rand) []string {
			if rng.IntN(2) == 0 {
				return partInFront(badPart)(rng)
			}
			return partInMiddle(otherBadPart)(rng)
		}}
		sent, began := playAround(s, load, func() { time.Sleep(9 * time.Second) })
		s.checkPromises()
		s.checkParts(restarter, sent, began, badPart, otherBadPart)
	})

	// The home is lost when the part has crashed some engines. The next home must neither begin anew nor
	// run requests that the first one refused.
	It("stays known when the home is killed", func() {
		s, restarter := fatalSite(siteOptions{hosts: 4, largeFirst: true}, badPart)
		load := partsLoad{sound: soundEvery, bad: badEvery, badParts: partInMiddle(badPart)}
		sent, began := playAround(s, load, func() {
			time.Sleep(3 * time.Second)
			s.mu.Lock()
			home := s.hosts[0]
			s.hosts = s.hosts[1:]
			s.removed = append(s.removed, home)
			s.mu.Unlock()
			home.session.Signal(syscall.SIGKILL)
			time.Sleep(6 * time.Second)
		})
		s.checkParts(restarter, sent, began, badPart)
	})

	// Hosts are killed, frozen and restarted and the store is unreachable at times while requests with the part
	// go on coming. After the faults it may reach at most three more engines, and sound requests begin.
	It("is found, or stays known, under faults of hosts and store", func() {
		faults := []func(*soak) string{
			(*soak).killHost, (*soak).pauseHost, (*soak).restartHost, (*soak).reloadSettings, (*soak).loseStoreHistory, (*soak).takeStoreDown,
		}
		for _, seed := range soakSeeds(failedPartSeeds) {
			By(fmt.Sprint("seed ", seed))
			s, _ := fatalSite(siteOptions{hosts: 4}, badPart)
			k := &soak{site: s, rng: rand.New(rand.NewPCG(seed, 3))}
			var settled time.Time
			var before int
			load := partsLoad{sound: soundEvery, bad: badEvery, badParts: partInMiddle(badPart)}
			sent := s.play(load, func() {
				k.runOf(faults, soakLength())
				k.waitForRecovery(seed)
				time.Sleep(detectionTime)
				settled, before = time.Now(), len(s.runsWithPart(badPart))
				time.Sleep(detectionTime)
			})
			after := len(s.runsWithPart(badPart)) - before
			share, n := shareBegun(sent, func(c sentParts) bool { return !c.bad && c.at.After(settled) })
			refused := countRefused(sent)
			fmt.Printf("parts soak: seed %d: %d runs under faults, %d after; %.3f of %d sound begun after, %d refused\n", seed, before, after, share, n, refused)
			Expect(after).To(BeNumerically("<=", maxFatalRuns), "seed %d", seed)
			Expect(share).To(BeNumerically(">=", minBegunShare), "seed %d", seed)
			Expect(refused).To(BeZero(), "seed %d: sound requests refused as quarantined", seed)
			s.stop()
		}
	})

	// The engines were fixed. Requests with the part are refused until an operator releases it. From the id
	// of a refused one, the logs must lead to the part and to the servers that ended under others with it.
	It("is explained from the logs, and runs again when an operator releases it", func() {
		s, restarter := fatalSite(siteOptions{hosts: 2}, badPart)
		load := partsLoad{sound: soundEvery, bad: badEvery, badParts: partInMiddle(badPart)}
		sent, _ := playAround(s, load, func() { Eventually(s.quarantineRows).Should(Equal(1)) })
		restarter.fixServers()
		c := digest()
		c.Parts, c.Body = []string{firstParts[0], badPart}, "refused"
		r := s.send(s.hosts[1], c)
		Expect(inQuarantine(r)).To(BeTrue())
		Expect(r.Body).To(ContainSubstring("a part of the prompt"))
		Eventually(func(g Gomega) {
			explanation := s.explanation(g, r.Attempt)
			g.Expect(explanation.Cause()).To(ContainSubstring("one of its prompt parts"))
			g.Expect(len(explanation.Ends)).To(BeNumerically(">", 3))
		}).Should(Succeed())
		store := platform.NewStore(s.storeAddress)
		rows, _, err := store.Snapshot(context.Background(), platform.QuarantineTable)
		Expect(err).NotTo(HaveOccurred())
		trait, row, err := quarantine.DecodeTraitRow(rows[0].Key, rows[0].Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(trait.PartName()).To(Equal(badPart))
		row.Released = true
		released, err := row.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Put(context.Background(), platform.QuarantineTable, rows[0].Key, released)).To(Succeed())
		Eventually(func() int { return s.send(s.hosts[0], c).Status }).WithTimeout(15 * time.Second).Should(Equal(http.StatusOK))
		Eventually(s.quarantineRows).Should(BeZero())
		Expect(countRefused(sent)).To(BeZero())
	})

	// All hosts lose their power at once and start again while requests with the part go on coming.
	It("stays known when all hosts restart", func() {
		s, restarter := fatalSite(siteOptions{hosts: 3}, badPart)
		load := partsLoad{sound: soundEvery, bad: badEvery, badParts: partInMiddle(badPart)}
		sent, began := playAround(s, load, func() {
			time.Sleep(3 * time.Second)
			s.killAndRestartAll()
			time.Sleep(6 * time.Second)
		})
		s.checkParts(restarter, sent, began, badPart)
	})

	// Engines end by themselves, one after the other, and the same parts stand on each of them, the first
	// one on all requests.
	It("is not seen in a part that is there whenever servers end by themselves", func() {
		s, restarter := fatalSite(siteOptions{hosts: 3}, badPart)
		load := partsLoad{sound: soundEvery, soundParts: func(rng *rand.Rand) []string {
			return []string{firstParts[0], pick(rng, middleParts)}
		}}
		sent, began := playAround(s, load, func() {
			for range 7 {
				time.Sleep(900 * time.Millisecond)
				restarter.crashOneEngine()
			}
			time.Sleep(time.Second)
		})
		s.checkParts(restarter, sent, began)
	})
})
