// Package charts embeds the state charts that package chart interprets. Each
// chart is parsed and checked when the process starts.
package charts

import (
	_ "embed"

	"github.com/gentianflow/gentianflow/internal/chart"
)

//go:embed request.yaml
var requestYAML []byte

//go:embed server.yaml
var serverYAML []byte

//go:embed lease.yaml
var leaseYAML []byte

//go:embed member.yaml
var memberYAML []byte

//go:embed link.yaml
var linkYAML []byte

//go:embed rollout.yaml
var rolloutYAML []byte

//go:embed discovery.yaml
var discoveryYAML []byte

// Set holds the parsed charts.
type Set struct {
	Request   *chart.Chart
	Server    *chart.Chart
	Lease     *chart.Chart
	Member    *chart.Chart
	Link      *chart.Chart
	Rollout   *chart.Chart
	Discovery *chart.Chart
}

// Load parses all charts and fails if any of them is invalid.
func Load() (Set, error) {
	var s Set
	for _, c := range []struct {
		text []byte
		to   **chart.Chart
	}{{requestYAML, &s.Request}, {serverYAML, &s.Server}, {leaseYAML, &s.Lease}, {memberYAML, &s.Member}, {linkYAML, &s.Link}, {rolloutYAML, &s.Rollout}, {discoveryYAML, &s.Discovery}} {
		parsed, err := chart.Parse(c.text)
		if err != nil {
			return Set{}, err
		}
		*c.to = parsed
	}
	return s, nil
}

// MustLoad is like Load but panics on error; it initializes package variables.
// A test covers the embedded charts, so an error here is a build fault.
func MustLoad() Set {
	s, err := Load()
	if err != nil {
		panic(err)
	}
	return s
}
