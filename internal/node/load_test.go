package node

import (
	"time"

	kitlog "github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/addresses"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
)

// testLoad is a hostLoad of a host whose use of resources a spec sets, with 100 MB, 0.8 cores and a
// link of 100 Mbit/s.
type testLoad struct {
	*hostLoad
	memory, garbage           int64
	open, requests, collected int
	processor                 time.Duration
	sent                      int64
	published                 []uint32
	now                       time.Time
}

func newTestLoad() *testLoad {
	t := &testLoad{now: time.Unix(1000, 0)}
	use := resourceUse{
		memory: func() int64 { return t.memory + t.garbage },
		collect: func() {
			t.garbage = 0
			t.collected++
		},
		descriptors: func() (int, int) { return t.open, 1000 },
		processor:   func() time.Duration { return t.processor },
		requests:    func() int { return t.requests },
		bytes:       func() (int64, int64) { return t.sent, 0 },
	}
	t.hostLoad = newHostLoad(Settings{MemoryBytes: 100e6, ProcessorShare: 0.8, LinkMbps: 100}, use,
		func(load uint32) { t.published = append(t.published, load) }, event.NewRecorder("h", "i", 64, kitlog.NewNopLogger()))
	return t
}

// pass lets time pass in steps of memoryPeriod.
func (t *testLoad) pass(d time.Duration) {
	for end := t.now.Add(d); t.now.Before(end); t.now = t.now.Add(memoryPeriod) {
		t.step(t.now)
	}
}

func (t *testLoad) refuses() bool {
	release, err := t.Admit(0)
	if err == nil {
		release()
		return false
	}
	Expect(failure.Is(err, failure.HostFull)).To(BeTrue())
	Expect(failure.From(err).RetryAfter).To(Equal(fullRetryAfter))
	return true
}

func (t *testLoad) changes() int { return len(t.events.Events(event.Filter{})) }

var _ = Describe("the load of a host", func() {
	// A host whose memory runs out is killed with all requests in progress; one that refuses until the
	// memory is down to a single bound starts and stops with each request.
	It("makes it refuse requests near its memory limit, and take them again well below", func() {
		t := newTestLoad()
		t.memory = 89e6
		t.pass(2 * time.Second)
		Expect(t.refuses()).To(BeFalse())
		t.memory = 90e6
		t.pass(memoryPeriod)
		Expect(t.refuses()).To(BeTrue())
		t.memory = 81e6
		t.pass(5 * time.Second)
		Expect(t.refuses()).To(BeTrue())
		Expect(t.changes()).To(Equal(1))
		t.memory = 79e6
		t.pass(memoryPeriod)
		Expect(t.refuses()).To(BeFalse())
		Expect(t.changes()).To(Equal(2))
		for _, e := range t.events.Events(event.Filter{}) {
			Expect(e.Code).To(Equal(event.HostNearLimit))
			Expect(e.Detail).To(ContainSubstring("memory"))
		}
	})

	// A refusal is worse for a caller than a slow answer, so garbage is no reason for one.
	It("doesn't refuse requests for memory that is unused", func() {
		t := newTestLoad()
		t.memory, t.garbage = 60e6, 35e6
		t.pass(memoryPeriod)
		Expect(t.refuses()).To(BeFalse())
		Expect(t.collected).To(Equal(1))
	})

	// While requests are refused nothing is allocated, so nothing starts the garbage collector.
	It("recovers although nothing else frees memory, and collects at most every second", func() {
		t := newTestLoad()
		t.memory = 95e6
		t.pass(memoryPeriod)
		Expect(t.refuses()).To(BeTrue())
		t.memory, t.garbage = 50e6, 45e6
		t.pass(loadPeriod + memoryPeriod)
		Expect(t.refuses()).To(BeFalse())
		t.memory = 95e6
		before := t.collected
		t.pass(10 * time.Second)
		Expect(t.collected - before).To(BeNumerically("<=", 11))
	})

	// Fifty bodies of 2 MB that are announced at the same time fit one by one, but not together.
	It("counts bodies that are being read by their full length", func() {
		t := newTestLoad()
		t.memory = 50e6
		t.pass(memoryPeriod)
		var releases []func()
		for range 50 {
			if release, err := t.Admit(2e6); err == nil {
				releases = append(releases, release)
			}
		}
		Expect(releases).To(HaveLen(19))
		Expect(t.refuses()).To(BeFalse()) // a request without a body
		for _, release := range releases {
			release()
		}
		_, err := t.Admit(2e6)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.unread.Load()).To(Equal(int64(2e6)))
	})

	It("makes it refuse requests when descriptors are nearly used up", func() {
		t := newTestLoad()
		t.open = 960
		t.pass(memoryPeriod)
		Expect(t.refuses()).To(BeTrue())
		t.open = 900
		t.pass(2 * time.Second)
		Expect(t.refuses()).To(BeTrue())
		t.open = 800
		t.pass(2 * time.Second)
		Expect(t.refuses()).To(BeFalse())
	})

	// These make requests slow, which callers prefer to refusals.
	It("never makes it refuse requests for a busy processor or link or for many requests", func() {
		t := newTestLoad()
		for range 10 {
			t.processor += 10 * time.Second
			t.sent += 1e9
			t.requests = 100000
			t.pass(time.Second)
		}
		Expect(t.refuses()).To(BeFalse())
		Expect(t.published[len(t.published)-1]).To(Equal(uint32(addresses.Refusing - 1)))
	})

	// Without a limit, a host that refuses everything would be the result of a missing setting.
	It("is unknown where a limit is unknown", func() {
		t := newTestLoad()
		t.setMemoryLimit(0)
		t.settings.ProcessorShare, t.settings.LinkMbps = 0, 0
		t.memory, t.requests, t.sent = 1e12, 100000, 1e12
		t.pass(3 * time.Second)
		Expect(t.refuses()).To(BeFalse())
		Expect(t.published).To(Equal([]uint32{1}))
	})

	DescribeTable("is that of its scarcest resource",
		func(set func(*testLoad), load float64) {
			t := newTestLoad()
			t.memory = 10e6
			for range 10 {
				set(t)
				t.pass(time.Second)
			}
			Expect(float64(t.published[len(t.published)-1]) / addresses.Refusing).To(BeNumerically("~", load, 0.06))
		},
		Entry("memory", func(t *testLoad) { t.memory = 70e6 }, 0.7),
		Entry("descriptors", func(t *testLoad) { t.open = 700 }, 0.7),
		Entry("processor", func(t *testLoad) { t.processor += 560 * time.Millisecond }, 0.7),
		Entry("requests", func(t *testLoad) { t.requests = 1120 }, 0.7),
		Entry("link", func(t *testLoad) { t.sent += 70e6 / 8 }, 0.7),
	)

	// Each figure goes to all hosts, and each change of it changes their choice.
	It("is published at most once a second, only when it has changed notably, and when it starts to refuse", func() {
		t := newTestLoad()
		t.memory = 50e6
		t.pass(10 * time.Second)
		Expect(t.published).To(Equal([]uint32{127}))
		t.memory = 52e6
		t.pass(10 * time.Second)
		Expect(t.published).To(HaveLen(1))
		for i := range 100 {
			t.memory = int64(50e6 + i%2*20e6)
			t.pass(memoryPeriod)
		}
		Expect(len(t.published)).To(BeNumerically("<=", 11))
		t.memory = 95e6
		t.pass(loadPeriod)
		Expect(t.published[len(t.published)-1]).To(Equal(uint32(addresses.Refusing)))
	})
})

var _ = Describe("the resources of this process", func() {
	// A figure that is always unknown, or in the wrong unit, would switch the limits off unnoticed.
	It("can be measured", func() {
		Expect(residentMemory()).To(And(BeNumerically(">", 1e6), BeNumerically("<", 10e9)))
		Expect(processorTime()).To(BeNumerically(">", 0))
		if open, limit := openDescriptors(); limit > 0 {
			Expect(open).To(And(BeNumerically(">=", 3), BeNumerically("<", limit)))
		}
	})
})
