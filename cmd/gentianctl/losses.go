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
		Name: "losses", Usage: "count from the hosts' logs how requests ended, and what made them late", ArgsUsage: "[FILE...]",
		Description: "Reads the logs of all hosts from the files, or from standard input. One row a\n" +
			"route, or a server: answers in time, late ones by what took most of their time\n" +
			"(waiting, the first event, a pause between events), refusals by their reason.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "servers", Usage: "a row a server instead of a route"},
			&cli.TimestampFlag{Name: "from", Usage: "leave out what was before", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.TimestampFlag{Name: "to", Usage: "leave out what was after", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.BoolFlag{Name: "json", Usage: "print the rows as JSON"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			lines, err := readLogs(c.Args().Slice())
			if err != nil {
				return err
			}
			of := explain.ByRoute
			if c.Bool("servers") {
				of = explain.ByServer
			}
			rows := explain.TallyBy(explain.Between(lines, c.Timestamp("from"), c.Timestamp("to")), of)
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
	for _, end := range explain.Outcomes {
		fmt.Fprintf(w, "%s\t", end)
	}
	fmt.Fprintln(w)
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t", r.Of, r.Total)
		for _, end := range explain.Outcomes {
			fmt.Fprintf(w, "%d\t", r.Ends[end])
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
