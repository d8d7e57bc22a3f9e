package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the refusal of a large request", func() {
	// Logs of refused requests did not tell which size class they were in and how often it was served.
	It("states its size class, how often it is served and whether its caller returned", func() {
		s := newScheduler(1, 1)
		s.Submit(0, stream(1, 0, 0))
		for id := range uint64(9) {
			s.Submit(0, stream(2+id, 0, 0))
		}
		large := stream(20, 0, 0)
		large.OutputTokens = 1000
		s.Submit(0, large)
		out := s.Tick(3 * time.Second)
		Expect(refused(out)).To(HaveKeyWithValue(uint64(20), Overload))
		for _, d := range out {
			if d.ID == 20 {
				Expect(d.Detail).To(ContainSubstring("size_class=4/4 class_served=0.00/0.8 all_served=0.09/9.0 return=new"))
			}
		}
		Expect(s.SizeClassStats()).To(ContainElement(HaveField("Class", 1)))
	})
})
