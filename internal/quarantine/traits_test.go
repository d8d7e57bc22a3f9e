package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	badPart    = 0xbad0bad0
	systemPart = 0xf0
	soundPart  = 0x11
)

// traitPlay feeds a trait table with the runs of requests.
type traitPlay struct {
	*TraitTable
	requests *Table
	n        int
	now      time.Duration
}

func newTraitPlay() *traitPlay {
	requests := NewTable()
	p := &traitPlay{TraitTable: NewTraitTable(requests), requests: requests}
	p.SetHost("front-1")
	return p
}

func part(key uint64) Trait { return Trait{Kind: PromptPart, Service: "s", Part: key} }

func traitsWith(account string, parts ...uint64) []Trait {
	return TraitsOf("s", account, "route", parts)
}

// answer records the complete answer of a request with these parts.
func (p *traitPlay) answer(account string, parts ...uint64) {
	p.now += 10 * time.Millisecond
	p.Begun(p.now, p.now, "s", traitsWith(account, parts...))
	p.Whole(p.now, "s", traitsWith(account, parts...))
}

// lose records a new request with these parts that was lost on a server before it was answered.
func (p *traitPlay) lose(server, account string, parts ...uint64) {
	p.n++
	p.loseRequest(request(account, p.n), server, account, parts...)
}

func (p *traitPlay) loseRequest(f Fingerprint, server, account string, parts ...uint64) {
	p.requests.Add(p.now, Loss{Fingerprint: f, Account: account, Service: "s", Server: server, At: p.now})
	p.Lost(p.now, "s", traitsWith(account, parts...), false)
	p.Add(p.now, TraitLoss{Request: f, Account: account, Server: server, At: p.now, Traits: traitsWith(account, parts...)})
}

// pause lets time pass in which sound requests of other accounts are answered.
func (p *traitPlay) pause() {
	for i := range 20 {
		p.now += 25 * time.Millisecond
		p.answer(fmt.Sprint("account-", i%4), systemPart, 0x20+uint64(i%4))
	}
}

// verdict returns the most restrictive verdict on requests of an account with these parts.
func (p *traitPlay) verdict(account string, parts ...uint64) (most TraitVerdict) {
	traits := traitsWith(account, parts...)
	for _, t := range traits {
		if v := p.Judge(p.now, t, account, traits, answering); v.Verdict > most.Verdict {
			most = v
		}
	}
	return most
}

var _ = Describe("judging the traits of requests under which servers ended", func() {
	var p *traitPlay
	BeforeEach(func() {
		p = newTraitPlay()
		p.pause()
	})
	// crash ends a number of servers under a part, each time in another request.
	crash := func(n int, account string, parts ...uint64) {
		for range n {
			p.lose(fmt.Sprint("e", p.n+1), account, parts...)
			p.pause()
		}
	}

	// No two requests with a part that crashes servers are alike, so nothing was held against any of them.
	It("blames a part that is on all servers that ended and on no answer", func() {
		for i := range 4 {
			Expect(i > 2 || p.verdict("a", systemPart, badPart).Verdict < Quarantined).To(BeTrue(), "after %d ends", i)
			crash(1, "a", systemPart, badPart, soundPart+uint64(i))
		}
		v := p.verdict("a", systemPart, badPart, soundPart+9)
		Expect(v.Verdict).To(Equal(Quarantined))
		Expect(v.Trait).To(Equal(part(badPart)))
		Expect(p.verdict("a", systemPart, soundPart).Verdict).To(Equal(Unrestricted))
		Expect(p.RetryIn(p.now, part(badPart))).To(BeNumerically("~", initialQuarantine, time.Second))
	})

	// Counting ends alone blames the system prompt, which stands on every server that ends.
	It("blames no part that is answered elsewhere while servers end by themselves", func() {
		for i := range 30 {
			p.lose(fmt.Sprint("e", i), "a", systemPart, soundPart)
			p.lose(fmt.Sprint("e", i), "b", systemPart, soundPart+1)
			p.answer("a", systemPart, soundPart)
			p.pause()
			Expect(p.verdict("a", systemPart, soundPart).Verdict).To(Equal(Unrestricted))
		}
	})

	// One fatal body, sent again and again, has parts of its own session. They are not at fault for it.
	It("blames no part for the ends under one request", func() {
		body := request("a", 0)
		for i := range 8 {
			p.loseRequest(body, fmt.Sprint("e", i), "a", systemPart, soundPart)
			p.pause()
			Expect(p.verdict("a", systemPart, soundPart).Verdict).To(BeNumerically("<", Quarantined))
		}
	})

	It("blames two parts that crash servers in turn", func() {
		for i := range 4 {
			crash(1, "a", systemPart, badPart, soundPart+uint64(i))
			crash(1, "a", badPart+1, soundPart+uint64(3-i))
		}
		Expect(p.verdict("a", badPart).Trait).To(Equal(part(badPart)))
		Expect(p.verdict("a", badPart).Verdict).To(Equal(Quarantined))
		Expect(p.verdict("a", badPart+1).Verdict).To(Equal(Quarantined))
		Expect(p.verdict("a", systemPart, soundPart).Verdict).To(BeNumerically("<", Quarantined))
	})

	// Requests of two accounts with the same bad part must not each cost as many servers.
	It("blames a part for all accounts when servers end under those of several", func() {
		crash(1, "a", badPart)
		crash(1, "b", badPart)
		crash(1, "c", badPart)
		crash(1, "a", badPart)
		Expect(p.verdict("d", badPart).Verdict).To(Equal(Quarantined))
	})

	// A caller whose requests crash servers by their bodies puts a public part beside them. It must
	// not get the part refused for others.
	It("blames a part only for the account whose requests crashed servers", func() {
		crash(5, "a", badPart)
		Expect(p.verdict("a", badPart).Verdict).To(Equal(Quarantined))
		Expect(p.verdict("b", badPart).Verdict).To(Equal(Isolated))
		p.answer("b", badPart)
		Expect(p.verdict("b", badPart).Verdict).To(BeNumerically("<", Quarantined))
	})

	It("extends it to all accounts when a server ends under a request of another one alone", func() {
		crash(4, "a", badPart)
		Expect(p.verdict("b", badPart).Verdict).To(Equal(Isolated))
		p.Add(p.now, TraitLoss{Request: request("b", 0), Account: "b", Server: "last", At: p.now, Alone: true, Traits: traitsWith("b", badPart)})
		Expect(p.verdict("c", badPart).Verdict).To(Equal(Quarantined))
	})

	It("blames the requests of an account on a route if their parts are answered for others", func() {
		for i := range 9 {
			p.lose(fmt.Sprint("e", i), "other", systemPart, soundPart)
			p.pause()
			p.answer("a", systemPart, soundPart)
			Expect(p.verdict("a", systemPart, soundPart).Verdict).To(BeNumerically("<", Quarantined))
		}
		v := p.verdict("other", systemPart, soundPart)
		Expect(v.Verdict).To(Equal(Quarantined))
		Expect(v.Trait.Kind).NotTo(Equal(PromptPart))
	})

	// A sound part that comes only with the bad one can't be told from it.
	Describe("of parts that always come together", func() {
		BeforeEach(func() {
			crash(4, "a", badPart, soundPart)
			Expect(p.verdict("a", badPart, soundPart).Verdict).To(Equal(Quarantined))
		})
		It("refuses requests that have both only", func() {
			Expect(p.verdict("a", soundPart).Verdict).To(Equal(Isolated))
			Expect(p.verdict("a", badPart).Verdict).To(Equal(Isolated))
		})
		It("frees the one that is answered without the other", func() {
			p.answer("a", soundPart)
			Expect(p.verdict("a", soundPart).Verdict).To(Equal(Unrestricted))
			Expect(p.verdict("a", badPart, soundPart).Verdict).To(Equal(Quarantined))
		})
		It("refuses the one alone under which a server ends without the other", func() {
			crash(1, "a", badPart)
			Expect(p.verdict("a", badPart).Verdict).To(Equal(Quarantined))
			Expect(p.verdict("a", soundPart).Verdict).To(Equal(Isolated))
		})
	})

	// Every server crashes at once with whatever it runs, after an update of their hosts, say. The system prompt
	// is on all requests, and nothing is answered that could speak for it.
	It("blames no part while nothing is answered without it", func() {
		for range 12 {
			p.lose(fmt.Sprint("e", p.n), "a", systemPart, soundPart+uint64(p.n))
			p.now += time.Second
			Expect(p.verdict("a", systemPart).Verdict).To(BeNumerically("<", Quarantined))
		}
	})

	// Half of the servers fail together, again and again, with new parts on them.
	It("blames no part for servers that end together", func() {
		for round := range 6 {
			for i := range 4 {
				p.lose(fmt.Sprint("rack", round, "-", i), "a", systemPart, soundPart+uint64(i))
			}
			p.pause()
			for i := range uint64(4) {
				Expect(p.verdict("a", systemPart, soundPart+i).Verdict).To(BeNumerically("<", Quarantined), "round %d", round)
			}
		}
	})

	It("blames a part that crashes servers after the first event, and lets only whole answers speak for it", func() {
		for i := range 8 {
			p.Begun(p.now, p.now, "s", traitsWith("a", badPart))
			p.n++
			p.Add(p.now, TraitLoss{Request: request("a", p.n), Account: "a", Server: fmt.Sprint("e", i), At: p.now, Begun: true, Traits: traitsWith("a", badPart)})
			p.pause()
		}
		v := p.verdict("a", badPart)
		Expect(v.Verdict).To(Equal(Quarantined))
		Expect(v.WholeRuns).To(BeTrue())
	})

	It("blames a part of which one request in ten is answered", func() {
		for i := range 10 {
			if i == 3 {
				p.answer("a", badPart)
				continue
			}
			crash(1, "a", badPart)
		}
		Expect(p.verdict("a", badPart).Verdict).To(Equal(Quarantined))
	})

	It("judges nothing with partial knowledge", func() {
		p.requests.SetPartial(true)
		crash(6, "a", badPart)
		Expect(p.verdict("a", badPart).Verdict).To(Equal(Undecided))
		p.requests.SetPartial(false)
		p.now += judgmentTTL
		Expect(p.verdict("a", badPart).Verdict).To(Equal(Quarantined))
	})

	It("allows a trial after the quarantine, which ends it or doubles its time", func() {
		crash(4, "a", badPart)
		Expect(p.verdict("a", badPart).Verdict).To(Equal(Quarantined))
		p.now += initialQuarantine
		Expect(p.verdict("a", badPart).Verdict).To(Equal(Isolated))
		p.lose("again", "a", badPart)
		p.now += time.Second
		Expect(p.verdict("a", badPart).Verdict).To(Equal(Quarantined))
		Expect(p.RetryIn(p.now, part(badPart))).To(BeNumerically("~", 2*initialQuarantine, 2*time.Second))
		p.now += 2 * initialQuarantine
		p.answer("a", badPart)
		Expect(p.verdict("a", badPart).Verdict).To(Equal(Unrestricted))
	})

	// A caller sends requests with many parts that crash servers, to displace the part that another one
	// has in quarantine or under suspicion.
	It("stays bounded, and no flood of parts displaces one that crashed several servers", func() {
		crash(2, "a", badPart)
		for i := range 200 {
			var parts []uint64
			for j := range uint64(maxTraitParts) {
				parts = append(parts, 1<<32+uint64(i)<<16+j)
			}
			p.now += time.Second
			p.lose(fmt.Sprint("flood", i), "flood", parts...)
		}
		Expect(len(p.entries)).To(BeNumerically("<=", maxTraits))
		Expect(len(p.servers)).To(BeNumerically("<=", maxTraitServers))
		Expect(p.entries).To(HaveKey(part(badPart)))
	})

	// A stream that is resumed, or sent again, is lost beside bad requests several times. Each of those was
	// there at one end only, so the stream was taken for the cause and refused.
	It("forgets a part some time after the last server ended under it", func() {
		crash(2, "a", badPart)
		p.Expire(p.now)
		Expect(p.Empty()).To(BeFalse())
		p.now += endRetention + expiryInterval
		p.Expire(p.now)
		Expect(p.Empty()).To(BeTrue())
	})

	It("doesn't blame a sound stream that was lost with several servers of a bad part", func() {
		stream := request("a", -1)
		judge := func(sharedCause func(string) bool) Verdict {
			p = newTraitPlay()
			p.requests.SetSharedCause(sharedCause)
			p.pause()
			for i := range 4 {
				server := fmt.Sprint("e", i)
				p.requests.Add(p.now, Loss{Fingerprint: stream, Service: "s", Server: server, At: p.now, EventSeen: true})
				p.lose(server, "a", systemPart, badPart)
				p.pause()
			}
			return p.requests.Judge(p.now, stream, answering)
		}
		Expect(judge(func(string) bool { return false })).To(Equal(Quarantined), "for what is known of requests alone")
		Expect(judge(func(server string) bool { return p.Explains(server) })).To(BeNumerically("<=", Suspect))
	})

	// Hosts exchange records while the home changes. Records arrive twice, late and out of order.
	It("reaches the same result in whatever order records arrive", func() {
		rapid.Check(GinkgoT(), func(r *rapid.T) {
			home := newTraitPlay()
			home.pause()
			for range rapid.IntRange(1, 10).Draw(r, "ends") {
				home.lose(fmt.Sprint("e", home.n), rapid.SampledFrom([]string{"a", "b"}).Draw(r, "account"), badPart, soundPart+uint64(rapid.IntRange(0, 2).Draw(r, "part")))
				home.pause()
				home.verdict("a", badPart)
			}
			records := slices.Concat(home.All(home.now), home.All(home.now))
			inOrder, shuffled := newTraitPlay(), newTraitPlay()
			for _, record := range records {
				inOrder.Merge(home.now, record)
			}
			rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "order"), 0)).Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
			for _, record := range records {
				shuffled.Merge(home.now, record)
			}
			for _, next := range []*traitPlay{inOrder, shuffled} {
				next.now = home.now + time.Second
			}
			for i := range uint64(3) {
				a, b := inOrder.verdict("a", badPart, soundPart+i), shuffled.verdict("a", badPart, soundPart+i)
				if a.Verdict != b.Verdict {
					r.Fatalf("part %d: %v and %v", i, a, b)
				}
			}
		})
	})

	It("drops the facts about a trait that an operator released, and late reports of them", func() {
		crash(4, "a", badPart)
		Expect(p.verdict("a", badPart).Verdict).To(Equal(Quarantined))
		stale := p.Record(p.now, part(badPart))
		p.Merge(p.now, TraitRecord{Trait: part(badPart), Cleared: true})
		Expect(p.Judge(p.now, part(badPart), "a", traitsWith("a", badPart), answering).Verdict).To(Equal(Unrestricted))
		p.Merge(p.now, stale)
		Expect(p.Judge(p.now, part(badPart), "a", traitsWith("a", badPart), answering).Verdict).To(Equal(Unrestricted))
	})

	It("explains a refusal with the part, the servers and what spoke for it", func() {
		crash(4, "a", systemPart, badPart)
		p.verdict("a", badPart)
		text := p.Explain(p.now, part(badPart))
		for _, expected := range []string{"part=bad0bad0", "ended: e", "answers_begun=0", "accounts=a", "in quarantine by front-1"} {
			Expect(text).To(ContainSubstring(expected))
		}
	})
})

var _ = Describe("the traits of a request", func() {
	It("are its shared parts, once each, those of its account, and its account on the route", func() {
		Expect(TraitsOf("s", "a", "r", []uint64{1, 2, 1})).To(HaveLen(5))
		Expect(TraitsOf("s", "", "r", []uint64{1, 2})).To(HaveLen(2), "nothing is held against all callers of a public route")
		Expect(TraitsOf("s", "a", "r", nil)).To(ConsistOf(Trait{Kind: AccountRoute, Service: "s", Account: "a", Route: "r"}))
		var many []uint64
		for i := range uint64(500) {
			many = append(many, i)
		}
		Expect(TraitsOf("s", "a", "r", many)).To(HaveLen(2*maxTraitParts + 1))
	})
	It("are told apart by service, account, route and part", func() {
		keys := map[string]bool{}
		for _, t := range []Trait{
			part(1), part(2),
			{Kind: PromptPart, Service: "t", Part: 1},
			{Kind: AccountPart, Service: "s", Account: "a", Part: 1},
			{Kind: AccountRoute, Service: "s", Account: "a", Route: "r"},
			{Kind: AccountRoute, Service: "s", Account: "a", Route: "q"},
		} {
			Expect(IsTraitKey(t.Key())).To(BeTrue())
			keys[t.Key()] = true
		}
		Expect(keys).To(HaveLen(6))
	})
})

var _ = Describe("rows of traits in the store", func() {
	trait := Trait{Kind: PromptPart, Service: "s", Part: badPart}
	It("hold the contents of a record", func() {
		now := time.UnixMilli(1_000_000_000_000)
		with := []Trait{part(soundPart)}
		text, err := TraitRowOf(now, TraitRecord{Trait: trait, By: "front-1", Age: time.Second, RetryIn: time.Minute, Accounts: []string{"a"}, With: with, Ends: []TraitEnd{{Server: "e1"}}}).Encode()
		Expect(err).NotTo(HaveOccurred())
		again, row, err := DecodeTraitRow(trait.Key(), text)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(trait))
		r := row.Record(now.Add(time.Second), again)
		Expect(r).To(And(HaveField("Quarantined", true), HaveField("Age", 2*time.Second), HaveField("RetryIn", 59*time.Second), HaveField("Accounts", []string{"a"}), HaveField("With", with)))
	})
	DescribeTable("are refused when they are malformed", func(key, value string) {
		_, _, err := DecodeTraitRow(key, []byte(value))
		Expect(err).To(HaveOccurred())
	},
		Entry("no JSON", trait.Key(), "nonsense"),
		Entry("no kind", trait.Key(), "{}"),
		Entry("another trait's key", trait.Key(), `{"kind":1,"service":"s","part":"00000001"}`),
		Entry("a part that is no number", trait.Key(), `{"kind":1,"service":"s","part":"part"}`),
		Entry("a trait in with that is none", trait.Key(), `{"kind":1,"service":"s","part":"`+strings.ToLower("BAD0BAD0")+`","with":[{"kind":9}]}`),
	)
})
