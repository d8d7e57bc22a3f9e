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
	"github.com/gentianflow/gentianflow/internal/sched"
)

func policiesCommand() *cli.Command {
	return &cli.Command{
		Name: "policies", Usage: "simulate loads on the scheduler in virtual time under several policies",
		ArgsUsage: "[NAME=VALUE,...]...",
		Description: "Each argument is one policy: settings that differ from the defaults. The defaults are run\n" +
			"first. Prints the shares of requests answered in time, served at all and served late, with 95%\nconfidence intervals over seeds, and the share served among the largest tenth of the requests.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "load", Usage: "run this load only"},
			&cli.IntFlag{Name: "seeds", Usage: "number of runs of each load and policy", Value: 10},
		},
		Action: comparePolicies,
	}
}

func comparePolicies(_ context.Context, c *cli.Command) error {
	loads, err := selectLoads(c.String("load"))
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "LOAD\tPOLICY\tKIND\tIN TIME\tSERVED\tLATE\tLARGEST TENTH SERVED")
	for _, load := range loads {
		for _, settings := range append([]string{""}, c.Args().Slice()...) {
			policy := sched.DefaultPolicy()
			if err := policy.Set(settings); err != nil {
				return err
			}
			for _, r := range experiment.SimulateRows(load, policy, c.Int("seeds")) {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", load.Name, policyLabel(settings), r.Kind, formatEstimate(r.InTime), formatEstimate(r.Served), formatEstimate(r.Late), formatEstimate(r.LargestTenthServed))
			}
		}
	}
	return w.Flush()
}

func selectLoads(name string) ([]*experiment.Load, error) {
	if name == "" {
		return experiment.Loads(), nil
	}
	var names []string
	for _, load := range experiment.Loads() {
		if load.Name == name {
			return []*experiment.Load{load}, nil
		}
		names = append(names, load.Name)
	}
	return nil, failure.New(failure.BadRequest, "no load is named %q; the loads are %s", name, strings.Join(names, ", "))
}

func policyLabel(settings string) string {
	if settings == "" {
		return "default"
	}
	return settings
}

func formatEstimate(e experiment.Estimate) string {
	return fmt.Sprintf("%.3f ±%.3f", e.Mean, e.HalfWidth)
}
