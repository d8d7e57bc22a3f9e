package entry

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/routing"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

var _ = Describe("the priority of a request", func() {
	urgent, bulk := &routing.Route{Priority: 0}, &routing.Route{Priority: 2}
	first := &routing.Account{Priority: 0, HasPriority: true}
	second := &routing.Account{Priority: 1, HasPriority: true}
	plain := &routing.Account{}

	// If only the account's priority counted, all requests of accounts with the same
	// priority would be equal, and urgent requests would wait half a second behind others.
	It("orders requests of one account by route", func() {
		Expect(priority(urgent, second)).To(BeNumerically("<", priority(bulk, second)))
	})
	It("puts the account's priority before the route's", func() {
		Expect(priority(bulk, first)).To(BeNumerically("<", priority(urgent, second)))
	})
	It("is the route's when the account has none", func() {
		Expect(priority(urgent, plain)).To(BeNumerically("<", priority(urgent, second)))
		Expect(priority(bulk, nil)).To(Equal(priority(bulk, plain)))
	})
})
