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
		Name: "rollout", Usage: "play roll-outs of sound and bad versions against the scheduler in virtual time",
		ArgsUsage: "[NAME]...",
		Description: "Plays those whose names begin with an argument, or all. EXPOSED is what the new version got\n" +
			"as a part of what a bad one may get; LATE counts what a bad one got over 2.5 s after its\n" +
			"fiftieth bad answer, LOST runs that ended with the old servers. BEST is the part of bad\n" +
			"versions that the best of all tests completes when it takes back one in 300 sound ones: what\n" +
			"lies between it and COMPLETED could be had by a better judge.",
		Flags:  []cli.Flag{&cli.IntFlag{Name: "seeds", Usage: "plays of each", Value: 20}},
		Action: playRollouts,
	}
}

func playRollouts(_ context.Context, c *cli.Command) error {
	seeds := c.Int("seeds")
	if seeds < 1 {
		return failure.New(failure.BadRequest, "--seeds: %d; at least 1", seeds)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROLL-OUT\tCOMPLETED\tTAKEN BACK\tRUNNING\tBEST\tEXPOSED\tMOST\tENDED\tBAD\tLATE\tLOST")
	for _, r := range experiment.Rollouts() {
		if !chosen(r.Name, c.Args().Slice()) {
			continue
		}
		s := experiment.SumRollouts(r, seeds)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%.2f\t%.2f\t%.1fs\t%d\t%d\t%d\n", r.Name, s.Completed, s.RolledBack, s.Running,
			best(r), s.Exposure, s.MostExposure, s.Ended.Seconds(), s.Bad, s.Late, s.Lost)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// boundPlays is how many plays the bound is worked out over.
const boundPlays = 3000

// best tells the bound of a roll-out, "-" where there is none.
func best(r *experiment.Rollout) string {
	missed, ok := experiment.BestMisses(r, boundPlays)
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%.3f", missed)
}

// chosen reports whether a name begins with one of the prefixes, or there are none.
func chosen(name string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return len(prefixes) == 0
}
