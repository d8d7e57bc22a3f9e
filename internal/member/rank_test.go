package member

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/ident"
)

func fleet(n int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{Incarnation: ident.Incarnation(i + 1), Host: fmt.Sprint(i), State: Alive})
	}
	return out
}

var _ = Describe("the home of a service", func() {
	const services = 42

	It("is the same on every host, whatever the order of the list", func() {
		all := fleet(50)
		for s := range services {
			name := fmt.Sprint("service-", s)
			first, _ := Home(name, all, 9)
			all = append(all[7:], all[:7]...)
			second, _ := Home(name, all, 9)
			Expect(second).To(Equal(first))
		}
	})

	// If homes depended on the number of hosts, the death of one host would move every
	// queue of the fleet.
	It("moves only for the services of a host that dies", func() {
		all := fleet(50)
		for s := range services {
			name := fmt.Sprint("service-", s)
			before, _ := Home(name, all, 9)
			after, _ := Home(name, all[1:], 9)
			if before.Incarnation != all[0].Incarnation {
				Expect(after).To(Equal(before))
			}
		}
	})

	It("spreads over the hosts", func() {
		all := fleet(390)
		homes := map[ident.Incarnation]int{}
		for s := range services {
			h, _ := Home(fmt.Sprint("service-", s), all, 9)
			homes[h.Incarnation]++
		}
		for _, n := range homes {
			Expect(n).To(BeNumerically("<=", 3))
		}
	})

	It("is never a leaving or dead host, and does not exist when all hosts are dead", func() {
		all := fleet(3)
		first, _ := Home("s", all, 9)
		for i := range all {
			if all[i].Incarnation == first.Incarnation {
				all[i].State = Leaving
			}
		}
		next, ok := Home("s", all, 9)
		Expect(ok).To(BeTrue())
		Expect(next.Incarnation).NotTo(Equal(first.Incarnation))
		for i := range all {
			all[i].State = Dead
		}
		_, ok = Home("s", all, 9)
		Expect(ok).To(BeFalse())
	})
})
