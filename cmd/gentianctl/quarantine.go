package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/quarantine"
	"github.com/gentianflow/gentianflow/platform"
)

// quarantineCommand lists and releases quarantined requests: those that are not
// run because servers ended while running them.
func quarantineCommand() *cli.Command {
	address := &cli.StringFlag{Name: "store", Usage: "address of the platform's store, IP:PORT", Required: true, Sources: cli.EnvVars("GENTIAN_STORE")}
	return &cli.Command{
		Name: "quarantine", Usage: "manage requests that are not run because servers ended while running them",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list quarantined requests", Flags: []cli.Flag{address}, Action: listQuarantine},
			{
				Name: "release", Usage: "allow a request to run again; takes effect on the home, the host that runs the scheduler, within 10 s", ArgsUsage: "FINGERPRINT",
				Description: "Release a request once the servers are fixed. A request that still ends servers ends\nthree more before it is quarantined again.",
				Flags:       []cli.Flag{address}, Action: releaseQuarantine,
			},
		},
	}
}

func listQuarantine(ctx context.Context, c *cli.Command) error {
	rows, _, err := platform.NewStore(c.String("store")).Snapshot(ctx, platform.QuarantineTable)
	if err != nil {
		return err
	}
	now := time.Now()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FINGERPRINT\tACCOUNT\tSERVICE\tSINCE\tTRIED IN\tBY\tSERVERS")
	for _, r := range rows {
		fingerprint, row, err := quarantine.DecodeRow(r.Key, r.Value)
		if err != nil {
			fmt.Fprintln(os.Stderr, failure.From(err).Message)
			continue
		}
		retryIn := max(0, time.UnixMilli(row.RetryMs).Sub(now)).Round(time.Second).String()
		if row.Released {
			retryIn = "released"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", fingerprint, row.Account, row.Service,
			row.Age(now).Round(time.Second), retryIn, row.By, strings.Join(row.Servers, " "))
	}
	return w.Flush()
}

func releaseQuarantine(ctx context.Context, c *cli.Command) error {
	fingerprint, ok := quarantine.ParseFingerprint(c.Args().First())
	if !ok {
		return failure.New(failure.BadRequest, "a fingerprint, as printed by gentianctl platform quarantine list, is required")
	}
	text, err := quarantine.Row{Released: true}.Encode()
	if err != nil {
		return err
	}
	return platform.NewStore(c.String("store")).Put(ctx, platform.QuarantineTable, fingerprint.String(), text)
}
