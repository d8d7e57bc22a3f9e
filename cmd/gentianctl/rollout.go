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

// rolloutCommand shows the roll-outs of services' new versions, and holds or ends one.
func rolloutCommand() *cli.Command {
	address := &cli.StringFlag{Name: "store", Usage: "address of the platform's store, IP:PORT", Required: true, Sources: cli.EnvVars("GENTIAN_STORE")}
	wish := func(name, usage string, w rollout.Command) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage + "; the home notices within some seconds", ArgsUsage: "SERVICE", Flags: []cli.Flag{address},
			Action: func(ctx context.Context, c *cli.Command) error { return writeWish(ctx, c, w) },
		}
	}
	return &cli.Command{
		Name: "rollout", Usage: "roll-outs of services' new versions",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list them with their state, who carries them and what decided", Flags: []cli.Flag{address}, Action: listRollouts},
			wish("pause", "try and move nothing for now", rollout.WishPause),
			wish("resume", "end a pause", rollout.WishResume),
			wish("take-back", "take the new version back", rollout.WishTakeBack),
		},
	}
}

func listRollouts(ctx context.Context, c *cli.Command) error {
	rows, now, err := platform.NewStore(c.String("store")).Rows(ctx, platform.RolloutTable)
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

func writeWish(ctx context.Context, c *cli.Command, w rollout.Command) error {
	service := c.Args().First()
	if service == "" {
		return failure.New(failure.BadRequest, "give the SERVICE as gentianctl platform rollout list shows it")
	}
	return platform.NewStore(c.String("store")).Put(ctx, platform.RolloutTable, rollout.CommandKey(service), []byte(w))
}
