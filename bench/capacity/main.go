// Command capacity projects what a node spends on the control plane at a given fleet
// size. It fits a line to each series of measured points in points.csv and prints
// slope, intercept, largest error and the projections. A cell is the queue and
// scheduler of one service in one region.
package main

import (
	"context"
	_ "embed"
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"sort"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"
)

//go:embed points.csv
var points string

func main() {
	cmd := &cli.Command{
		Name: "capacity", Usage: "project the cost of the control plane from measured points",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "nodes", Value: 390},
			&cli.FloatFlag{Name: "servers", Value: 630},
			&cli.FloatFlag{Name: "requests", Value: 9900, Usage: "requests per second at peak"},
			&cli.FloatFlag{Name: "models", Value: 14},
			&cli.FloatFlag{Name: "regions", Value: 3},
			&cli.FloatFlag{Name: "horizon", Value: 120, Usage: "seconds for which request ids are kept"},
			&cli.FloatFlag{Name: "claimed", Value: 0.01, Usage: "share of requests that need a claim row"},
		},
		Action: project,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// line is a straight line fitted to measured points.
type line struct {
	slope, intercept, maxRelativeError float64 // the error is relative to the measured value
	n                                  int
}

func (l line) at(x float64) float64 { return l.intercept + l.slope*x }

// interpolate interpolates linearly between measured points and extrapolates from the
// nearest pair outside of them. A line through all points would mislead: processor
// time per request falls with the rate, since one wake-up then serves several.
func interpolate(p [][2]float64, x float64) float64 {
	i := 1
	for i < len(p)-1 && p[i][0] < x {
		i++
	}
	a, b := p[i-1], p[i]
	return a[1] + (b[1]-a[1])*(x-a[0])/(b[0]-a[0])
}

// readPoints returns the measured points by series.
func readPoints() (map[string][][2]float64, error) {
	rows, err := csv.NewReader(strings.NewReader(points)).ReadAll()
	if err != nil {
		return nil, err
	}
	out := map[string][][2]float64{}
	for _, r := range rows[1:] {
		x, errX := strconv.ParseFloat(r[1], 64)
		y, errY := strconv.ParseFloat(r[2], 64)
		if errX != nil || errY != nil {
			return nil, fmt.Errorf("row %v", r)
		}
		out[r[0]] = append(out[r[0]], [2]float64{x, y})
	}
	return out, nil
}

// fit returns the least squares line through the points.
func fit(p [][2]float64) line {
	var sx, sy, sxx, sxy float64
	n := float64(len(p))
	for _, v := range p {
		sx, sy = sx+v[0], sy+v[1]
		sxx, sxy = sxx+v[0]*v[0], sxy+v[0]*v[1]
	}
	l := line{n: len(p)}
	l.slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l.intercept = (sy - l.slope*sx) / n
	for _, v := range p {
		l.maxRelativeError = max(l.maxRelativeError, math.Abs(l.at(v[0])-v[1])/math.Abs(v[1]))
	}
	return l
}

func project(_ context.Context, c *cli.Command) error {
	series, err := readPoints()
	if err != nil {
		return err
	}
	names := make([]string, 0, len(series))
	for name := range series {
		names = append(names, name)
	}
	sort.Strings(names)
	lines := map[string]line{}
	fmt.Println("series                         points      slope        base  worst error")
	for _, name := range names {
		l := fit(series[name])
		lines[name] = l
		fmt.Printf("%-30s %6d %10.4g  %10.4g  %10.1f%%\n", name, l.n, l.slope, l.intercept, l.maxRelativeError*100)
	}
	printNode(c, lines, series["home_cpu_percent_by_rate"])
	return nil
}

// The resource limits of one node for the control plane.
const (
	maxCPUPercent         = 1.5 // percent of a core
	maxMemoryMB           = 32.0
	maxSentBytesPerSecond = 26000.0
	// hostsPerCell is the number of entry hosts that use the home of a cell, the host
	// that runs its scheduler (rules.lookup.hosts_per_service).
	hostsPerCell            = 9.0
	ledgerBytesPerID        = 200.0 // map entry, mark and pointer for a request id in a home's ledger
	maxTableWritesPerSecond = 300.0 // conditional writes per second that the table accepts
	maxTableReadsPerSecond  = 2000.0
	leaseRenewalSeconds     = 1.0 // for cells whose home sends orders to backend servers under a lease
)

func printNode(c *cli.Command, l map[string]line, homeCPU [][2]float64) {
	cells := c.Float("models") * c.Float("regions")
	perCell := c.Float("requests") / cells
	perNode := c.Float("requests") / c.Float("nodes")
	nodes := c.Float("nodes")
	fmt.Printf("\n%.0f cells, %.0f requests/s and %.0f servers a cell, %.0f requests/s a node\n", cells, perCell, c.Float("servers")/cells, perNode)
	row := func(label string, value, limit float64, unit string) {
		verdict := "within"
		if value > limit {
			verdict = "OVER"
		}
		fmt.Printf("%-58s %9.1f %-6s of %8.1f  %s\n", label, value, unit, limit, verdict)
	}
	idleCPU := l["idle_cpu_percent_by_hosts"].at(hostsPerCell)
	memberBytes := l["idle_sent_bytes_by_hosts"].at(nodes)
	homeBytes := l["home_sent_bytes_by_rate"].slope * perCell
	row("member: processor, idle host of a cell of 9", idleCPU, maxCPUPercent, "%")
	row("member: bytes sent, line extended to all nodes", memberBytes, maxSentBytesPerSecond, "B/s")
	row("home and entry in one process: processor", idleCPU+interpolate(homeCPU, perCell), maxCPUPercent, "%")
	row("home and entry in one process: bytes sent", l["idle_sent_bytes_by_hosts"].at(hostsPerCell)+homeBytes, maxSentBytesPerSecond, "B/s")
	row("memory of a process, line extended to all nodes", l["idle_memory_mb_by_hosts"].at(nodes), maxMemoryMB, "MB")
	row("home: ledger of a horizon", perCell*c.Float("horizon")*ledgerBytesPerID/1e6, maxMemoryMB, "MB")
	row("table: reads of the version row", nodes/2, maxTableReadsPerSecond, "1/s")
	leases := cells / leaseRenewalSeconds
	row("table: leases and claims", leases+c.Float("requests")*c.Float("claimed"), maxTableWritesPerSecond, "1/s")
	fmt.Printf("claims run out at a share of %.3f of all requests\n", (maxTableWritesPerSecond-leases)/c.Float("requests"))
	maxRate := perCell
	for maxRate > 1 && idleCPU+interpolate(homeCPU, maxRate) > maxCPUPercent {
		maxRate--
	}
	fmt.Printf("a home stays within its processor time up to %.0f requests/s\n", maxRate)
}
