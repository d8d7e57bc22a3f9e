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

// quarantineCommand lists and releases what is in quarantine, requests and traits of requests: such
// requests are not run because servers ended while running them.
func quarantineCommand() *cli.Command {
	address := &cli.StringFlag{Name: "store", Usage: "address of the platform's store, IP:PORT", Required: true, Sources: cli.EnvVars("GENTIAN_STORE")}
	return &cli.Command{
		Name: "quarantine", Usage: "manage requests that are not run because servers ended while running them, or others like them",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list quarantined requests, prompt parts and callers", Flags: []cli.Flag{address}, Action: listQuarantine,
				Description: "A request is quarantined by its fingerprint. A prompt part is for the accounts listed, or for\n" +
					"all (*), in requests that have the parts listed after WITH as well; a caller is by account and route.",
			},
			{
				Name: "release", Usage: "allow requests to run again; takes effect on the home, the host that runs the scheduler, within 10 s", ArgsUsage: "KEY",
				Description: "Release a request, a prompt part or a caller, by its key from the list, once the servers are fixed.\nIf it still ends servers, it ends a few more before it is quarantined again.",
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
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KEY\tWHAT\tACCOUNTS\tSERVICE\tSINCE\tTRIED IN\tBY\tSERVERS")
	for _, r := range rows {
		line, err := formatQuarantined(time.Now(), r.Key, r.Value)
		if err != nil {
			fmt.Fprintln(os.Stderr, failure.From(err).Message)
			continue
		}
		fmt.Fprintln(w, line)
	}
	return w.Flush()
}

// formatQuarantined formats a row of the store as a line of the list.
func formatQuarantined(now time.Time, key string, value []byte) (string, error) {
	if !quarantine.IsTraitKey(key) {
		_, row, err := quarantine.DecodeRow(key, value)
		return formatLine(key, "request", row.Account, row.Service, row.Age(now), formatRetry(now, row.RetryMs, row.Released), row.By, row.Servers), err
	}
	trait, row, err := quarantine.DecodeTraitRow(key, value)
	what, accounts := "part "+trait.PartName(), strings.Join(row.Accounts, " ")
	switch {
	case trait.Kind == quarantine.AccountRoute:
		what, accounts = "route "+trait.Route, trait.Account
	case trait.Kind == quarantine.AccountPart:
		accounts = trait.Account
	case accounts == "":
		accounts = "*"
	}
	for _, with := range row.With {
		what += " with " + with.Part
	}
	return formatLine(key, what, accounts, trait.Service, row.Age(now), formatRetry(now, row.RetryMs, row.Released), row.By, row.Servers), err
}

func formatLine(key, what, accounts, service string, age time.Duration, retryIn, by string, servers []string) string {
	return strings.Join([]string{key, what, accounts, service, age.Round(time.Second).String(), retryIn, by, strings.Join(servers, " ")}, "\t")
}

func formatRetry(now time.Time, retryMs int64, released bool) string {
	if released {
		return "released"
	}
	return max(0, time.UnixMilli(retryMs).Sub(now)).Round(time.Second).String()
}

func releaseQuarantine(ctx context.Context, c *cli.Command) error {
	key := c.Args().First()
	store := platform.NewStore(c.String("store"))
	if _, ok := quarantine.ParseFingerprint(key); ok {
		return releaseRow(ctx, store, key, quarantine.Row{Released: true})
	}
	if !quarantine.IsTraitKey(key) {
		return failure.New(failure.BadRequest, "a key, as printed by gentianctl platform quarantine list, is required")
	}
	rows, _, err := store.Snapshot(ctx, platform.QuarantineTable)
	if err != nil {
		return err
	}
	for _, r := range rows {
		if r.Key != key {
			continue
		}
		_, row, err := quarantine.DecodeTraitRow(key, r.Value)
		if err != nil {
			return err
		}
		row.Released = true
		return releaseRow(ctx, store, key, row)
	}
	return failure.New(failure.BadRequest, "%s is not in quarantine", key)
}

func releaseRow(ctx context.Context, store *platform.Store, key string, row interface{ Encode() ([]byte, error) }) error {
	text, err := row.Encode()
	if err != nil {
		return err
	}
	return store.Put(ctx, platform.QuarantineTable, key, text)
}
