package lab

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/failure"
)

func TestLab(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lab")
}

const loadText = `
rate: 50
length: 4s
bursts: [{at: 1s, for: 1s, times: 4}]
kinds:
  - {name: urgent, path: /a, share: 0.4, prompt: {least: 10, most: 20}, output: {least: 5, most: 5}, aim: 100ms, deadline: 1s, worth: 2}
  - {name: bulk, path: /b, share: 0.6, aim: 100ms, deadline: 1s, worth: 1}
`

func testLoad() Load {
	l, err := ParseLoad([]byte(loadText))
	Expect(err).NotTo(HaveOccurred())
	return l
}

// report returns a report in which every n-th request was late.
func report(label string, seed uint64, n int) *Result {
	l := testLoad()
	r := NewResult(label, seed, l)
	for i, q := range l.Draw(seed) {
		if i%n == 0 {
			r.Add(q, Late, 300*time.Millisecond)
		} else {
			r.Add(q, InTime, 20*time.Millisecond)
		}
	}
	return r
}

var _ = Describe("a load", func() {
	It("gives the same requests for the same seed and different ones for another seed", func() {
		l := testLoad()
		Expect(l.Draw(7)).To(Equal(l.Draw(7)))
		Expect(l.Draw(7)).NotTo(Equal(l.Draw(8)))
	})

	It("has a higher rate in a burst and follows the shares", func() {
		l := testLoad()
		l.Length = time.Minute
		inBurst, urgent := 0, 0
		requests := l.Draw(1)
		for _, q := range requests {
			if q.At >= time.Second && q.At < 2*time.Second {
				inBurst++
			}
			if q.Kind == 0 {
				urgent++
				Expect(q.Prompt).To(And(BeNumerically(">=", 10), BeNumerically("<=", 20)))
				Expect(q.Output).To(Equal(5))
			}
		}
		Expect(inBurst).To(BeNumerically("~", 200, 60))
		Expect(float64(urgent) / float64(len(requests))).To(BeNumerically("~", 0.4, 0.05))
	})

	DescribeTable("reports what is wrong with a load file",
		func(text, message string) {
			_, err := ParseLoad([]byte(text))
			Expect(failure.Is(err, failure.BadSetting)).To(BeTrue())
			Expect(err.Error()).To(ContainSubstring(message))
		},
		Entry("required fields missing", "rate: 1", "needs a rate, a length and kinds"),
		Entry("misspelled field", "rat: 1", "rat"),
		Entry("shares", "rate: 1\nlength: 1s\nkinds: [{name: a, path: /a, share: 0.5, aim: 1s, deadline: 1s}]", "add up to 0.500"),
		Entry("kind without a deadline", "rate: 1\nlength: 1s\nkinds: [{name: a, path: /a, share: 1, aim: 1s}]", `kind "a" needs`),
	)

	It("can be read from every load file of the repository", func() {
		files, err := filepath.Glob("../../traces/loads/*.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, f := range files {
			_, err := ReadLoad(f)
			Expect(err).NotTo(HaveOccurred(), f)
		}
	})
})

var _ = Describe("reports", func() {
	It("are the same after writing and reading", func() {
		path := filepath.Join(GinkgoT().TempDir(), "a.json")
		r := report("a", 1, 4)
		Expect(r.Write(path)).To(Succeed())
		back, err := ReadResult(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(back.Worth()).To(Equal(r.Worth()))
		Expect(back.Kinds[0].First["p99"]).To(BeNumerically("~", 300, 5))
	})

	It("are compared only if load and seed are the same", func() {
		var out bytes.Buffer
		a, b := report("before", 1, 2), report("after", 1, 10)
		Expect(Compare(&out, a, b)).To(Succeed())
		Expect(out.String()).To(And(ContainSubstring("urgent"), ContainSubstring("before"), ContainSubstring("after")))
		Expect(b.Worth()).To(BeNumerically(">", a.Worth()))
		Expect(failure.Is(Compare(&out, a, report("other", 2, 2)), failure.BadSetting)).To(BeTrue())
	})

	It("are plotted", func() {
		path := filepath.Join(GinkgoT().TempDir(), "worth.svg")
		Expect(Plot(path, report("before", 1, 2), report("after", 1, 10))).To(Succeed())
		text, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(And(ContainSubstring("<svg"), ContainSubstring("before: urgent")))
	})
})
