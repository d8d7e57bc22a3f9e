package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFairshare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fairshare")
}

// queued is one waiting request of the model.
type queued struct {
	flow *Flow[int]
	cost float64
}

// model serves the waiting requests of some flows one after another, each time that of the flow
// that goes on at the smallest tag.
type model struct {
	*Flows[int]
	rng     *rand.Rand
	waiting [][]queued
	served  []float64 // cost by flow
	placed  []int
}

func newModel(seed uint64, flows int) *model {
	return &model{Flows: New[int](), rng: rand.New(rand.NewPCG(seed, 2)), waiting: make([][]queued, flows), served: make([]float64, flows), placed: make([]int, flows)}
}

func (m *model) enqueue(key int, cost float64) {
	f, _ := m.Enqueue(key, cost)
	m.waiting[key] = append(m.waiting[key], queued{f, cost})
}

// first returns the flow that is to be served, -1 if no request waits.
func (m *model) first() int {
	best := -1
	for key, requests := range m.waiting {
		if len(requests) > 0 && (best < 0 || requests[0].flow.Head() < m.waiting[best][0].flow.Head()) {
			best = key
		}
	}
	return best
}

func (m *model) serve(key int) queued {
	r := m.waiting[key][0]
	m.waiting[key] = m.waiting[key][1:]
	m.Place(r.flow, r.cost)
	m.served[key] += r.cost
	m.placed[key]++
	return r
}

var _ = Describe("flows that always have requests waiting", func() {
	// Guards against a flow that gets more than its share, or nothing, because of the sizes of its
	// requests, of refunds or of settlements.
	for seed := range uint64(20) {
		It(fmt.Sprintf("get the same service but for one request of each (seed %d)", seed), func() {
			const flows, steps, maxCost = 7, 4000, 10.0
			m := newModel(seed, flows)
			sizes := make([]float64, flows)
			for key := range sizes {
				sizes[key] = maxCost * (0.05 + 0.95*m.rng.Float64())
			}
			cost := func(key int) float64 { return sizes[key] * m.rng.Float64() }
			refill := func() {
				for key := range flows {
					for len(m.waiting[key]) < 1+key {
						m.enqueue(key, cost(key))
					}
				}
			}
			for range steps {
				refill()
				switch key := m.rng.IntN(flows); {
				case len(m.waiting[key]) > 1 && m.rng.Float64() < 0.2:
					last := len(m.waiting[key]) - 1
					r := m.waiting[key][last]
					m.waiting[key] = m.waiting[key][:last]
					m.Cancel(r.flow, r.cost)
				default:
					first := m.first()
					r := m.serve(first)
					used := r.cost * 2 * m.rng.Float64()
					m.End(r.flow, used-r.cost)
					m.served[first] += used - r.cost
				}
				refill()
				lowest, highest := math.Inf(1), math.Inf(-1)
				for _, served := range m.served {
					lowest, highest = min(lowest, served), max(highest, served)
				}
				Expect(highest - lowest).To(BeNumerically("<=", 2*maxCost))
				Expect(m.Error()).To(BeNumerically("<=", 2*maxCost))
			}
			for key := range flows {
				Expect(m.waiting[key][0].flow.Head()).To(BeNumerically("~", m.served[key], 1e-6), "what is charged equals what was used")
				Expect(m.placed[key]).To(BeNumerically(">", 0))
			}
		})
	}
})

var _ = Describe("flows that come and go", func() {
	// Guards against credit for idle times, which would let an account take all servers for a while
	// after a pause, and against debt from times without contention.
	It("start at the virtual time, without credit", func() {
		m := newModel(1, 2)
		for range 100 {
			m.enqueue(0, 1)
			m.serve(0)
		}
		for range 20 {
			m.enqueue(0, 1)
			m.enqueue(1, 1)
		}
		for range 20 {
			m.serve(m.first())
		}
		Expect(m.placed[1]).To(BeNumerically("~", 10, 1))
	})

	It("have no debt from a time without contention", func() {
		m := newModel(1, 2)
		for range 100 {
			m.enqueue(0, 1)
			m.serve(0)
			m.enqueue(1, 0.1)
			m.serve(1)
		}
		for range 20 {
			m.enqueue(0, 1)
			m.enqueue(1, 1)
		}
		before := m.placed[0]
		for range 20 {
			m.serve(m.first())
		}
		Expect(m.placed[0] - before).To(BeNumerically("~", 10, 1))
	})

	// The tag of an account whose requests were all refused ran away, and the account got nothing
	// for as long as it had asked before.
	It("have the same tag after requests that were not served", func() {
		m := newModel(1, 2)
		m.enqueue(1, 1)
		for range 1000 {
			m.enqueue(0, 1)
		}
		head := m.waiting[0][0].flow.Head()
		for _, r := range m.waiting[0][1:] {
			m.Cancel(r.flow, r.cost)
		}
		Expect(m.waiting[0][0].flow.Head()).To(Equal(head))
		Expect(m.waiting[0][0].flow.Finish()).To(BeNumerically("~", head+1, 1e-9))
	})

	// Guards against a flow that no server may serve, for instance because its account is over its quota,
	// and that holds the virtual time back: whoever comes next would get all servers until it has caught up.
	It("don't hold up the virtual time while they can't be served", func() {
		for _, suspend := range []bool{true, false} {
			m := newModel(1, 3)
			m.enqueue(0, 1)
			if suspend {
				m.Suspend(m.waiting[0][0].flow)
			}
			for range 500 {
				m.enqueue(1, 1)
				m.serve(1)
			}
			m.enqueue(1, 1)
			lag := m.waiting[1][0].flow.Head() - m.VirtualTime()
			Expect(lag).To(BeNumerically("<=", map[bool]float64{true: 1, false: maxLag + 1}[suspend]))
			m.Resume(m.waiting[0][0].flow)
			Expect(m.waiting[0][0].flow.Head()).To(BeNumerically("<=", m.VirtualTime()))
		}
	})

	It("leave no state behind", func() {
		m := newModel(3, 10_000)
		for range 30_000 {
			key := m.rng.IntN(10_000)
			m.enqueue(key, m.rng.Float64())
			if m.rng.Float64() < 0.3 {
				r := m.waiting[key][0]
				m.waiting[key] = m.waiting[key][1:]
				m.Cancel(r.flow, r.cost)
			}
			if first := m.first(); first >= 0 && m.rng.Float64() < 0.7 {
				m.End(m.serve(first).flow, 0)
			}
		}
		for first := m.first(); first >= 0; first = m.first() {
			m.End(m.serve(first).flow, 0)
		}
		Expect(m.Len()).To(BeZero())
	})
})

var _ = Describe("random changes", func() {
	for seed := range uint64(10) {
		It(fmt.Sprintf("keep the heaps in order (seed %d)", seed), func() {
			m := newModel(seed, 50)
			for range 5000 {
				key, before := m.rng.IntN(50), m.VirtualTime()
				switch {
				case len(m.waiting[key]) == 0 || m.rng.Float64() < 0.4:
					m.enqueue(key, m.rng.Float64())
				case m.rng.Float64() < 0.2:
					m.Suspend(m.waiting[key][0].flow)
				case m.rng.Float64() < 0.3:
					m.Resume(m.waiting[key][0].flow)
				default:
					m.End(m.serve(key).flow, m.rng.Float64()-0.5)
				}
				Expect(m.VirtualTime()).To(BeNumerically(">=", before))
				lowest := math.Inf(1)
				n := 0
				for _, requests := range m.waiting {
					if len(requests) > 0 && !requests[0].flow.suspended {
						lowest = min(lowest, requests[0].flow.Head())
						n++
					}
				}
				Expect(m.Backlogged()).To(Equal(n))
				if n > 0 {
					Expect(m.backlogged.items[0].Head()).To(Equal(lowest))
				}
			}
		})
	}
})
