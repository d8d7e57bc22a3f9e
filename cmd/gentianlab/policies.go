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
		Name: "policies", Usage: "play loads against the scheduler in virtual time under several policies",
		ArgsUsage: "[NAME=VALUE,...]...",
		Description: "Each argument is one policy: figures that differ from the defaults, which are played\n" +
			"first. Prints the shares in time, served and late, with intervals of 95% over the seeds.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "load", Usage: "play this load only"},
			&cli.IntFlag{Name: "seeds", Usage: "plays of each load and policy", Value: 10},
		},
		Action: comparePolicies,
	}
}

func comparePolicies(_ context.Context, c *cli.Command) error {
	loads, err := chosenLoads(c.String("load"))
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "LOAD\tPOLICY\tKIND\tIN TIME\tSERVED\tLATE\tLARGEST TENTH SERVED")
	for _, l := range loads {
		for _, figures := range append([]string{""}, c.Args().Slice()...) {
			p := sched.DefaultPolicy()
			if err := p.Set(figures); err != nil {
				return err
			}
			for _, r := range experiment.Rows(l, p, c.Int("seeds")) {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", l.Name, named(figures), r.Kind, cell(r.InTime), cell(r.Served), cell(r.Late), cell(r.LargestServed))
			}
		}
	}
	return w.Flush()
}

func chosenLoads(name string) ([]*experiment.Load, error) {
	if name == "" {
		return experiment.Loads(), nil
	}
	var names []string
	for _, l := range experiment.Loads() {
		if l.Name == name {
			return []*experiment.Load{l}, nil
		}
		names = append(names, l.Name)
	}
	return nil, failure.New(failure.BadRequest, "no load is named %q; there are %s", name, strings.Join(names, ", "))
}

func named(figures string) string {
	if figures == "" {
		return "default"
	}
	return figures
}

func cell(f experiment.Figure) string { return fmt.Sprintf("%.3f ±%.3f", f.Mean, f.Within) }
