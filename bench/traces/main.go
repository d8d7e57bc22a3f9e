// Command traces regenerates the recorded traces of the repository with the outcomes
// of the current scheduler core. Run it when a policy change is meant to change
// outcomes, and commit the differences.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/replay"
)

const (
	arrivalDuration = 12 * time.Second
	seed            = 11
)

// smallFleet returns a fleet of three servers of different speeds.
func smallFleet() replay.Fleet {
	f := replay.Qasida()
	f.Name = "small"
	f.Speeds = []float64{1, 2, 4}
	return f
}

func fault(l replay.Line) replay.Line {
	l.Kind = replay.LineFault
	return l
}

// traces returns all traces by name, without outcomes.
func traces() map[string]replay.Trace {
	f := smallFleet()
	t := map[string]replay.Trace{
		"overload-burst":     f.Generate(60, arrivalDuration, seed, 9),
		"slow-server":        f.Generate(12, arrivalDuration, seed, 9),
		"stale-load-reports": f.Generate(12, arrivalDuration, seed, 9),
		"home-loss":          f.Generate(12, arrivalDuration, seed, 9),
	}
	hotFleet := f
	hotFleet.Works = append([]replay.Work(nil), f.Works...)
	for i := range hotFleet.Works {
		hotFleet.Works[i].Prefixes = 1
	}
	t["hot-prefix"] = hotFleet.Generate(20, arrivalDuration, seed, 9)
	t["flooding-account"] = flood(f)
	add := func(name string, lines ...replay.Line) {
		tr := t[name]
		tr.Lines = append(lines, tr.Lines...)
		t[name] = tr
	}
	add("slow-server", fault(replay.Line{Fault: replay.FaultSlow, AtMS: 4000, Server: "small-03", Speed: 0.8}))
	add("stale-load-reports", replay.Line{Kind: replay.LineOptions, LoadLagMS: 5000, LoadSkew: 3, NetworkUS: 1500})
	add("home-loss", fault(replay.Line{Fault: replay.FaultHomeLoss, AtMS: 5000, DelayMS: 1500}))
	return t
}

// flood returns a trace in which account 1 sends twenty times its share.
func flood(f replay.Fleet) replay.Trace {
	t := f.Generate(6, arrivalDuration, seed, 9)
	extra := f.Generate(60, arrivalDuration, seed+1, 2)
	for _, l := range extra.Lines {
		if l.Kind == replay.LineArrival {
			l.Account = 1
			t.Lines = append(t.Lines, l)
		}
	}
	return t
}

func main() {
	dir := "traces"
	if len(os.Args) > 1 {
		dir = os.Args[1]
	}
	for name, t := range traces() {
		if err := write(filepath.Join(dir, name+".jsonl"), t); err != nil {
			fmt.Fprintln(os.Stderr, "traces:", err)
			os.Exit(1)
		}
	}
}

func write(path string, t replay.Trace) error {
	r := replay.Run(t, replay.Core(core.DefaultPolicy()))
	t.Lines = append(t.Lines, r.ExpectLines()...)
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := t.Write(out); err != nil {
		return err
	}
	return out.Close()
}
