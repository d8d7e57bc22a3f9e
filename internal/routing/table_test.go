package routing

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/sched"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

func tableOf(routes ...Route) *Table { return NewTable(Config{Version: 1, Routes: routes}) }

var _ = Describe("a routing table", func() {
	table := tableOf(
		Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		Route{Name: "other", Host: "b.example", Prefix: "/"},
	)
	DescribeTable("finds the route of the host with the longest prefix",
		func(host, path, want string) {
			r := table.Match(host, path)
			if want == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r.Name).To(Equal(want))
		},
		Entry(nil, "a.example", "/x/1", "short"),
		Entry(nil, "a.example", "/x/y/1", "long"),
		Entry(nil, "A.example:8221", "/x/y/", "long"),
		Entry("a prefix matches whole path segments only", "a.example", "/xy/1", ""),
		Entry(nil, "b.example", "/x/1", "other"),
		Entry(nil, "c.example", "/x/1", ""),
	)

	It("picks services by weight", func() {
		r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
		n := map[string]int{}
		for range 2000 {
			n[r.PickService()]++
		}
		Expect(n["b"]).To(BeNumerically("~", 200, 80))
		Expect(n).NotTo(HaveKey("c"))
		Expect((&Route{}).PickService()).To(BeEmpty())
	})

	It("finds accounts by each of their keys", func() {
		t := NewTable(Config{Accounts: []Account{{Account: sched.Account{Name: "n"}, Keys: []string{"k1", "k2"}}}})
		Expect(t.Account("k2").Name).To(Equal("n"))
		Expect(t.Account("")).To(BeNil())
		Expect(t.HasAccounts()).To(BeTrue())
	})
})

var _ = Describe("the table in force", func() {
	// A slow answer of the store may bring an older version seconds after an operator's
	// change is in force. Using it would route requests as before the change.
	It("is never replaced by an older version", func() {
		var c CurrentTable
		changed := c.Subscribe()
		Expect(c.Get()).To(BeNil())
		Expect(c.Replace(NewTable(Config{Version: 4}))).To(BeTrue())
		Eventually(changed).WithTimeout(time.Second).Should(Receive())
		Expect(c.Replace(NewTable(Config{Version: 3}))).To(BeFalse())
		Expect(c.Replace(NewTable(Config{Version: 4}))).To(BeFalse())
		Expect(c.Get().Version).To(BeNumerically("==", 4))
	})
})

var _ = Describe("the check of a configuration", func() {
	valid := func() Config {
		return Config{
			Services: []sched.Service{{Name: "app"}},
			Routes: []Route{
				{Name: "r", Host: "h", Prefix: "/a/", LatencyTarget: time.Second, Timeout: 2 * time.Second, Targets: []Target{{Service: "app", Weight: 1}}},
				{Name: "s", Host: "h", Prefix: "/b/", Targets: []Target{{Service: "app", Weight: 1}}},
			},
			Accounts: []Account{{Account: sched.Account{Name: "one"}, Keys: []string{"k1"}}, {Account: sched.Account{Name: "two"}, Keys: []string{"k2"}}},
		}
	}

	It("accepts a valid one", func() {
		c := valid()
		Expect(c.Check()).To(BeEmpty())
	})

	DescribeTable("reports each error",
		func(fault string, change func(c *Config)) {
			c := valid()
			change(&c)
			Expect(c.Check()).To(Equal([]string{fault}))
		},
		Entry("a service twice", `service "app" stands twice`, func(c *Config) { c.Services = append(c.Services, c.Services[0]) }),
		Entry("no host", `route "r": it needs a host`, func(c *Config) { c.Routes[0].Host = "" }),
		Entry("a prefix without a slash", `route "r": prefix "/a" must begin and end with a slash`, func(c *Config) { c.Routes[0].Prefix = "/a" }),
		Entry("an unknown service", `route "r": there is no service "ap"`, func(c *Config) { c.Routes[0].Targets[0].Service = "ap" }),
		Entry("weights of 0", `route "r": it needs a service with a weight above 0`, func(c *Config) { c.Routes[0].Targets[0].Weight = 0 }),
		Entry("a latency target beyond the timeout", `route "r": its latency objective 3s is longer than its timeout 2s`, func(c *Config) { c.Routes[0].LatencyTarget = 3 * time.Second }),
		Entry("a prefix twice", `route "s" has the host and prefix of route "r"`, func(c *Config) { c.Routes[1].Prefix = "/a/" }),
		Entry("a key twice", `account "two" has a key of account "one"`, func(c *Config) { c.Accounts[1].Keys[0] = "k1" }),
		Entry("a negative rate", `account "one": rate and burst are 0 (no limit) or more`, func(c *Config) { c.Accounts[0].Rate = -1 }),
	)
})

var _ = Describe("waiting for the first configuration", func() {
	// After a power loss of the whole fleet, callers of the first half second were
	// refused with a retry time of seconds, although each host had its configuration 0.3 s
	// later.
	It("ends when it is in force", func() {
		var c CurrentTable
		time.AfterFunc(20*time.Millisecond, func() { c.Replace(NewTable(Config{Version: 3})) })
		begun := time.Now()
		Expect(c.WaitFirst(nil, 5*time.Second)).To(HaveField("Version", int64(3)))
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
		Expect(c.WaitFirst(nil, time.Minute)).NotTo(BeNil(), "without a wait from then on")
	})
	It("ends at the timeout or when the caller leaves", func() {
		var c CurrentTable
		Expect(c.WaitFirst(nil, 10*time.Millisecond)).To(BeNil())
		left := make(chan struct{})
		close(left)
		begun := time.Now()
		Expect(c.WaitFirst(left, time.Minute)).To(BeNil())
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})
})
