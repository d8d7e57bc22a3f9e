package core_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The number of random orders in each run and their length; -rapid.checks and
// -rapid.steps override them.
const (
	checks = "5000"
	steps  = "150"
)

func TestCore(t *testing.T) {
	for name, value := range map[string]string{"rapid.checks": checks, "rapid.steps": steps} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "core")
}
