package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/experiment"
	"github.com/gentianflow/gentianflow/internal/failure"
)

func partsCommand() *cli.Command {
	return &cli.Command{
		Name: "parts", Usage: "simulate prompt parts that crash servers on the scheduler in virtual time",
		ArgsUsage: "[NAME]...",
		Description: "Simulates the scenarios whose names begin with an argument, or all. CRASHES is the median\n" +
			"number of servers that end under a bad part, BEST the mean that the best test needs (requests\n" +
			"that run beside the first one come on top), MOST the largest, WITHIN 5 the share of bad\n" +
			"parts with at most five; LATE is the largest number of runs later than 3 s after the fifth.\n" +
			"BEGUN is the share of sound requests with a first event at the first attempt, before the first\n" +
			"bad request and from 6 s after the fifth crash; ON TIME that of all sound requests within\n" +
			"800 ms; REFUSED counts sound requests refused as quarantined over all runs.",
		Flags:  []cli.Flag{&cli.IntFlag{Name: "seeds", Usage: "number of runs of each scenario", Value: 20}},
		Action: simulateParts,
	}
}

func simulateParts(_ context.Context, c *cli.Command) error {
	seeds := c.Int("seeds")
	if seeds < 1 {
		return failure.New(failure.BadRequest, "--seeds: %d; at least 1", seeds)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SCENARIO\tCRASHES\tBEST\tMOST\tWITHIN 5\tLATE\tBEGUN\tAFTER\tON TIME\tREFUSED\tENDED")
	for _, p := range experiment.PartCrashScenarios() {
		if !matchesPrefix(p.Name, c.Args().Slice()) {
			continue
		}
		sum := experiment.SimulatePartCrashesWithSeeds(p, seeds)
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%.2f\t%d\t%.3f\t%.3f\t%.3f\t%d\t%.1f\n", p.Name, sum.MedianCrashes, formatBestCrashes(p), sum.MaxCrashes, sum.Tolerable,
			sum.MaxLate, sum.BegunBefore, sum.BegunAfter, sum.OnTime, sum.SoundRefused, sum.Ended)
	}
	return w.Flush()
}

// formatBestCrashes formats the mean number of crashes that the best test needs, "-" without a bad part.
func formatBestCrashes(p *experiment.PartCrashes) string {
	if len(p.Bad) == 0 || p.BadBodies {
		return "-"
	}
	return fmt.Sprintf("%.1f", p.BestCrashes())
}
