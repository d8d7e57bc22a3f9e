package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

func example(name string) string {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

var _ = Describe("the document", func() {
	DescribeTable("accepts the examples", func(name string, services, servers, accounts int) {
		doc, err := config.Decode([]byte(example(name)))
		Expect(err).NotTo(HaveOccurred())
		n := 0
		for _, s := range doc.Services {
			n += len(s.BackendServers)
		}
		Expect([]int{len(doc.Services), n, len(doc.ClientAccounts)}).To(Equal([]int{services, servers, accounts}))
	},
		Entry("Tsumugi", "tsumugi.yaml", 2, 21, 5),
		Entry("Dar Al-Qasida", "qasida.yaml", 2, 12, 5),
		Entry("demo", "demo.yaml", 2, 5, 5),
	)

	// An operator mistypes one value. The message must give its path, the value
	// and the allowed ones.
	DescribeTable("reports path, value and allowed values of a fault",
		func(old, new string, parts ...string) {
			_, err := config.Decode([]byte(strings.Replace(example("demo.yaml"), old, new, 1)))
			for _, p := range parts {
				Expect(err).To(MatchError(ContainSubstring(p)))
			}
		},
		Entry("unknown zone", "availability_zone: fukuoka-hall", "availability_zone: fukuoka",
			"services[0].backend_servers[0].availability_zone", `"fukuoka"`, "fukuoka-hall, kumamoto-hall, kagoshima-hall"),
		Entry("unknown tier", "tier: 2", "tier: 8", "rules.request_kinds[2].tier", `"8"`, "1, 2, 3, 4"),
		Entry("unknown service of a kind", "service: loop-app", "service: loop-ap", "rules.request_kinds[0].service", `"loop-ap"`),
		Entry("two servers at one address", "127.3.1.2:8000", "127.3.1.1:8000", "backend_servers[1].address", "not used at services[0].backend_servers[0].address"),
		Entry("bad secret", "secret_sha256: ", "secret_sha256: zz", "client_accounts[0].secret_sha256", "len 64"),
		Entry("no address", "address: 127.3.1.1:8000", "address: here", "backend_servers[0].address", "hostname_port"),
		Entry("unknown field", "region: kyushu", "region: kyushu\n  moon: full", "moon"),
		Entry("bad duration", "deadline: 500ms", "deadline: soon", `"soon"`, "300ms or 5s"),
		Entry("service without a kind", "  - name: loop-app\n", "  - name: loop-appendix\n", `value "loop-appendix"`, "at least one entry in rules.request_kinds"),
	)

	It("lists all faults at once", func() {
		text := strings.Replace(example("demo.yaml"), "tier: 2", "tier: 8", 1)
		text = strings.Replace(text, "speed: 1", "speed: -1", 1)
		_, err := config.Decode([]byte(text))
		Expect(err).To(MatchError(ContainSubstring("2 fault(s)")))
	})

	It("treats a call without a kind as non-idempotent when the service has any such kind", func() {
		doc, err := config.Decode([]byte(example("demo.yaml")))
		Expect(err).NotTo(HaveOccurred())
		kind, ok := doc.DefaultKind("loop-app")
		Expect(ok).To(BeTrue())
		Expect(kind.NonIdempotent).To(BeTrue())
	})

	It("ignores reordered entries and reports a changed one by its name", func() {
		from, err := config.Decode([]byte(example("demo.yaml")))
		Expect(err).NotTo(HaveOccurred())
		to, err := config.Decode([]byte(strings.Replace(example("demo.yaml"), "speed: 4", "speed: 3", 1)))
		Expect(err).NotTo(HaveOccurred())
		to.Services[0].BackendServers[0], to.Services[0].BackendServers[1] = to.Services[0].BackendServers[1], to.Services[0].BackendServers[0]
		changes, err := config.Diff(from, to)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].String()).To(Equal("~ services[tsumugi-llm].backend_servers[tsumugi-llm-04].speed: 4 -> 3"))
	})
})

// FuzzDecode checks that the decoder accepts or refuses any input without a
// panic, and that an accepted document survives a round trip.
func FuzzDecode(f *testing.F) {
	for _, name := range []string{"tsumugi.yaml", "demo.yaml"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte("places: {region: x}\nservices: [*a]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := config.Decode(text)
		if err != nil {
			return
		}
		again, err := config.Encode(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.Decode(again); err != nil {
			t.Fatalf("accepted, then refused: %v", err)
		}
	})
}
