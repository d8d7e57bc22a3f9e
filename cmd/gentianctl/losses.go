package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/explain"
)

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name: "losses", Usage: "count request outcomes and causes of late answers from the hosts' logs", ArgsUsage: "[FILE...]",
		Description: "Reads the logs of all hosts from the files, or from standard input. Prints one\n" +
			"row per route or server: answers in time, late answers by what took most of their\n" +
			"time (waiting, the first event, a pause between events), refusals by reason.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "servers", Usage: "print a row per server instead of per route"},
			&cli.TimestampFlag{Name: "from", Usage: "ignore earlier log lines", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.TimestampFlag{Name: "to", Usage: "ignore later log lines", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.BoolFlag{Name: "json", Usage: "print the rows as JSON"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			lines, err := readLogs(c.Args().Slice())
			if err != nil {
				return err
			}
			keyOf := explain.ByRoute
			if c.Bool("servers") {
				keyOf = explain.ByServer
			}
			rows := explain.TallyBy(explain.Between(lines, c.Timestamp("from"), c.Timestamp("to")), keyOf)
			if c.Bool("json") {
				return json.NewEncoder(os.Stdout).Encode(rows)
			}
			return printLosses(rows)
		},
	}
}

func printLosses(rows []explain.Tally) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "of\tall\t")
	for _, outcome := range explain.Outcomes {
		fmt.Fprintf(w, "%s\t", outcome)
	}
	fmt.Fprintln(w)
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t", r.Of, r.Total)
		for _, outcome := range explain.Outcomes {
			fmt.Fprintf(w, "%d\t", r.Ends[outcome])
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
