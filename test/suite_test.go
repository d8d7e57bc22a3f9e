// Package test checks the guarantees of the system over real processes: entry
// hosts are gentiand processes that are killed, paused and disconnected, while
// callers, backend servers and the platform record events in a history. A fleet is
// one system under test; checkHistory checks its history.
//
// Each service has a home, the entry host that runs its scheduler. The holder of a
// request is the entry host that received it and owes the caller its answer. A tier
// is a priority; tier 1 is the most urgent.
package test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// Paths of the built programs.
var (
	gentiand   string
	gentianctl string
)

func TestSystem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "system")
}

var _ = BeforeSuite(func() {
	var err error
	gentiand, err = gexec.Build("github.com/gentianflow/gentianflow/cmd/gentiand", raceArgs...)
	Expect(err).NotTo(HaveOccurred())
	gentianctl, err = gexec.Build("github.com/gentianflow/gentianflow/cmd/gentianctl")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})
