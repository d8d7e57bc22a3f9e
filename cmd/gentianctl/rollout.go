package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/rollout"
	"github.com/gentianflow/gentianflow/platform"
)

// rolloutCommand lists the rollouts of new service versions and pauses, resumes or
// rolls back one.
func rolloutCommand() *cli.Command {
	address := &cli.StringFlag{Name: "store", Usage: "address of the platform's store, IP:PORT", Required: true, Sources: cli.EnvVars("GENTIAN_STORE")}
	newCommand := func(name, usage string, cmd rollout.Command) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage + "; takes effect on the home, the host that runs the scheduler, within seconds", ArgsUsage: "SERVICE", Flags: []cli.Flag{address},
			Action: func(ctx context.Context, c *cli.Command) error { return writeCommand(ctx, c, cmd) },
		}
	}
	return &cli.Command{
		Name: "rollout", Usage: "manage roll-outs of new service versions",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list roll-outs with their phase, the host that runs them and the reason", Flags: []cli.Flag{address}, Action: listRollouts},
			newCommand("pause", "pause the trial of the new version, or the move of traffic to it", rollout.CommandPause),
			newCommand("resume", "resume a paused roll-out", rollout.CommandResume),
			newCommand("take-back", "roll back to the old version", rollout.CommandTakeBack),
		},
	}
}

func listRollouts(ctx context.Context, c *cli.Command) error {
	rows, _, now, err := platform.NewStore(c.String("store")).Rows(ctx, platform.RolloutTable)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tTO\tPHASE\tORDERED\tBY\tWHY")
	for _, r := range rows {
		if service, ok := rollout.ServiceOfCommandKey(r.Key); ok {
			fmt.Fprintf(w, "%s\t\toperators: %s\t\t\t\n", service, r.Value)
			continue
		}
		row, err := rollout.DecodeRow(r.Value)
		if err != nil {
			fmt.Fprintln(os.Stderr, failure.From(err).Message)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s ago\t%s\t%s\n", r.Key, row.To, row.Phase, (now - row.Begun()).Round(1e9), row.By, row.Why)
	}
	return w.Flush()
}

func writeCommand(ctx context.Context, c *cli.Command, cmd rollout.Command) error {
	service := c.Args().First()
	if service == "" {
		return failure.New(failure.BadRequest, "a SERVICE, as printed by gentianctl platform rollout list, is required")
	}
	return platform.NewStore(c.String("store")).Put(ctx, platform.RolloutTable, rollout.CommandKey(service), []byte(cmd))
}
