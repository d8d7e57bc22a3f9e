// Package charts embeds the state charts that the code interprets. Each is
// parsed and checked when the process starts.
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

// Set holds the checked charts.
type Set struct {
	Request *chart.Chart
	Server  *chart.Chart
	Lease   *chart.Chart
	Member  *chart.Chart
	Link    *chart.Chart
	Rollout *chart.Chart
}

// Load parses all charts; it fails when any of them is damaged.
func Load() (Set, error) {
	var s Set
	for _, c := range []struct {
		text []byte
		to   **chart.Chart
	}{{requestYAML, &s.Request}, {serverYAML, &s.Server}, {leaseYAML, &s.Lease}, {memberYAML, &s.Member}, {linkYAML, &s.Link}, {rolloutYAML, &s.Rollout}} {
		parsed, err := chart.Parse(c.text)
		if err != nil {
			return Set{}, err
		}
		*c.to = parsed
	}
	return s, nil
}

// MustLoad is Load for package variables; the embedded charts are covered by
// a test, so a failure here is a build fault.
func MustLoad() Set {
	s, err := Load()
	if err != nil {
		panic(err)
	}
	return s
}
