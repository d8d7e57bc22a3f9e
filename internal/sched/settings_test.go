package sched

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/failure"
)

var _ = Describe("the settings of a policy", func() {
	It("are set by name and in their unit, and read back", func() {
		p := DefaultPolicy()
		Expect(p.Set("total-weight=0.5, late-behind=0,time-out=250,chooses-from=3")).To(Succeed())
		Expect(p.TotalWeight).To(Equal(0.5))
		Expect(p.DemoteLate).To(BeFalse())
		Expect(p.EjectionTime).To(Equal(250 * ms))
		Expect(p.CacheChoiceWindow).To(Equal(3))
		Expect(p.Set("")).To(Succeed())
	})

	It("have defaults within their bounds and accept the values that disable them", func() {
		for _, s := range Settings() {
			p := DefaultPolicy()
			Expect(s.Value(p)).To(And(BeNumerically(">=", s.Min), BeNumerically("<=", s.Max)), s.Name)
			if s.DisabledValue != "" {
				Expect(p.Set(s.Name+"="+s.DisabledValue)).To(Succeed(), s.Name)
			}
		}
	})

	It("are rejected with an error that names every invalid pair", func() {
		p := DefaultPolicy()
		err := p.Set("cap=0,wait-share=x,no-such=1,total-weight=NaN,total-weight=1")
		Expect(failure.Is(err, failure.BadSetting)).To(BeTrue())
		Expect(err.Error()).To(And(ContainSubstring("cap=0"), ContainSubstring("wait-share=x"), ContainSubstring("no-such"), ContainSubstring("NaN")))
	})
})
