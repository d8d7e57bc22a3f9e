package reach

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReach(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reach")
}

var start = time.Unix(1000, 0)

// probeUntilUsed probes a path that works and returns the number of probes until it is used again.
func probeUntilUsed(p *Paths, now *time.Time, server string) (probes int) {
	for !p.Usable(*now, server) && probes < 100 {
		due, next := p.Due(*now, maxProbesAtOnce)
		for _, d := range due {
			if d.Server == server {
				probes++
			}
			p.Probed(*now, d.Server, true)
		}
		*now = next
	}
	return probes
}

var _ = Describe("paths", func() {
	It("are not used while they are lost, and other paths are", func() {
		p := NewPaths()
		Expect(p.Lose(start, "a", "addr")).To(BeTrue())
		Expect(p.Lose(start, "a", "addr")).To(BeFalse())
		Expect(p.Usable(start, "a")).To(BeFalse())
		Expect(p.Usable(start, "b")).To(BeTrue())
		Expect(p.Cut(start)).To(BeFalse())
	})

	// A host that is cut off from a thousand servers would spend a failed connection on each.
	It("are all unused after two losses in a row and a second without success, until one connection succeeds", func() {
		p := NewPaths()
		p.Answered(start.Add(-cutDelay / 2))
		p.Lose(start, "a", "addr")
		p.Lose(start, "b", "addr")
		Expect(p.Usable(start, "never tried")).To(BeTrue())
		Expect(p.Usable(start.Add(cutDelay), "never tried")).To(BeFalse())
		p.Connected(start, "c")
		Expect(p.Usable(start, "never tried")).To(BeTrue())
		Expect(p.Usable(start, "a")).To(BeFalse())
	})

	// A host that is cut from some servers would take itself for cut off from all, and back, with each
	// server that it finds out about.
	It("that work keep the host from counting as cut off", func() {
		p, now := NewPaths(), start
		for i := range 100 {
			p.Answered(now)
			p.Lose(now, fmt.Sprint(i), "addr")
			p.Lose(now, fmt.Sprint(i, "b"), "addr")
			now = now.Add(cutDelay / 2)
			Expect(p.Cut(now)).To(BeFalse())
		}
	})

	It("count as one loss however often the same one is lost", func() {
		p := NewPaths()
		p.Lose(start, "a", "addr")
		p.Lose(start, "a", "addr")
		Expect(p.Cut(start)).To(BeFalse())
	})

	// A path that is back for a moment only would take callers' requests with it each time.
	It("are used again after probes in a row succeed, more of them for a path that flaps", func() {
		p, now := NewPaths(), start
		p.Lose(now, "a", "addr")
		Expect(probeUntilUsed(p, &now, "a")).To(Equal(2))
		for _, needed := range []int{4, 8, 8} {
			p.Lose(now, "a", "addr")
			Expect(probeUntilUsed(p, &now, "a")).To(Equal(needed))
		}
		now = now.Add(flapPeriod)
		p.Lose(now, "a", "addr")
		Expect(probeUntilUsed(p, &now, "a")).To(Equal(2))
	})

	It("start over after a failed probe", func() {
		p := NewPaths()
		p.Lose(start, "a", "addr")
		Expect(p.Probed(start, "a", true)).To(BeFalse())
		Expect(p.Probed(start, "a", false)).To(BeFalse())
		Expect(p.Probed(start, "a", true)).To(BeFalse())
		Expect(p.Probed(start, "a", true)).To(BeTrue())
	})

	It("to a server that no host reaches stay in use, and one connection ends the watch", func() {
		p := NewPaths()
		p.Down(start, "a", "addr")
		Expect(p.Usable(start, "a")).To(BeTrue())
		Expect(p.Connected(start, "a")).To(BeTrue())
		Expect(p.paths).To(BeEmpty())
	})

	It("of servers that are no longer listed are forgotten", func() {
		p := NewPaths()
		p.Lose(start, "a", "addr")
		p.Lose(start, "b", "addr")
		p.Retain(start, func(string) bool { return false })
		Expect(p.paths).To(BeEmpty())
		Expect(p.Cut(start)).To(BeFalse())
	})

	// A host without paths to thousands of servers must not probe them all at once, nor forever at
	// the same rate.
	It("are probed a bounded number at a time and less often with time", func() {
		p, now := NewPaths(), start
		const servers = 3000
		for i := range servers {
			p.Lose(now, fmt.Sprint(i), "addr")
		}
		probes := 0
		for end := now.Add(10 * time.Second); now.Before(end); {
			due, next := p.Due(now, maxProbesAtOnce)
			Expect(len(due)).To(BeNumerically("<=", maxProbesAtOnce))
			Expect(next).To(BeTemporally(">", now))
			probes += len(due)
			now = next
		}
		Expect(probes).To(BeNumerically("<=", 10*int(time.Second/firstProbe+1)*maxProbesAtOnce))
	})
})

var _ = Describe("what is at fault", func() {
	DescribeTable("is decided from what this host and others find",
		func(refused, cut bool, t PeerResults, expected Verdict) {
			Expect(diagnose(refused, cut, t)).To(Equal(expected))
		},
		Entry("another host reaches the server", true, false, PeerResults{Reached: true, Asked: 1}, PathLost),
		Entry("another host reaches it, a third one does not", false, false, PeerResults{Reached: true, Unreachable: 1, Asked: 2}, PathLost),
		Entry("its port refuses all", true, false, PeerResults{Refused: 2, Asked: 2}, Ended),
		Entry("it answers nobody", false, false, PeerResults{Unreachable: 2, Asked: 2}, Unreachable),
		Entry("it refuses others and does not answer this host", false, false, PeerResults{Refused: 2, Asked: 2}, Unreachable),
		Entry("nobody else can tell, and this host reaches other servers", false, false, PeerResults{Asked: 3}, Unreachable),
		Entry("nobody else can tell, and this host reaches no server", false, true, PeerResults{Asked: 3}, PathLost),
		Entry("nobody else can tell about a refusal, and this host reaches no server", true, true, PeerResults{Asked: 3}, PathLost),
		Entry("there is no other host", true, false, PeerResults{}, Ended),
		Entry("a cut host learns that the server has ended", true, true, PeerResults{Refused: 2, Asked: 2}, Ended),
	)
})
