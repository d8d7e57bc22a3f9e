// Package test checks the guarantees of the system over real processes: entry
// hosts are gentiand processes that are killed, paused and disconnected, while
// callers, backend servers and the platform record events in a history.
package test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

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
