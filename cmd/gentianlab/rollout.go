package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/experiment"
	"github.com/gentianflow/gentianflow/internal/failure"
)

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name: "rollout", Usage: "simulate roll-outs of sound and bad versions on the scheduler in virtual time",
		ArgsUsage: "[NAME]...",
		Description: "Simulates roll-outs whose names begin with an argument, or all. EXPOSED is the number of\n" +
			"requests sent to the new version as a fraction of what a bad one may get; LATE counts those\n" +
			"sent to a bad one over 2.5 s after its fiftieth bad answer, LOST requests that the stop of the\n" +
			"old servers cut off and that must not be repeated. BEST is the fraction of bad versions\ncompleted by the optimal test that rolls back " +
			"one in 300 sound ones: a better test\ncould at most close the gap between it and COMPLETED.",
		Flags:  []cli.Flag{&cli.IntFlag{Name: "seeds", Usage: "number of runs of each roll-out", Value: 20}},
		Action: simulateRollouts,
	}
}

func simulateRollouts(_ context.Context, c *cli.Command) error {
	seeds := c.Int("seeds")
	if seeds < 1 {
		return failure.New(failure.BadRequest, "--seeds: %d; at least 1", seeds)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROLL-OUT\tCOMPLETED\tTAKEN BACK\tRUNNING\tBEST\tEXPOSED\tMOST\tENDED\tBAD\tLATE\tLOST")
	for _, scenario := range experiment.Rollouts() {
		if !matchesPrefix(scenario.Name, c.Args().Slice()) {
			continue
		}
		summary := experiment.SimulateRollouts(scenario, seeds)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%.2f\t%.2f\t%.1fs\t%d\t%d\t%d\n", scenario.Name, summary.Completed, summary.RolledBack, summary.Running,
			formatBound(scenario), summary.MedianExposure, summary.MaxExposure, summary.MedianDuration.Seconds(), summary.MaxBadAnswers, summary.Late, summary.Lost)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// boundRuns is the number of simulated runs from which MinMissRate is estimated.
const boundRuns = 3000

// formatBound formats the smallest fraction of bad versions that a test can let complete,
// "-" if MinMissRate has none for the scenario.
func formatBound(scenario *experiment.Rollout) string {
	missed, ok := experiment.MinMissRate(scenario, boundRuns)
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%.3f", missed)
}

// matchesPrefix reports whether a name begins with one of the prefixes, or there are no
// prefixes.
func matchesPrefix(name string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return len(prefixes) == 0
}
