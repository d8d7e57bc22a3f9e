// Command gentianlab plays the platform's part on one machine: its store,
// operator, backend servers and callers, for the demo and for experiments.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gentianlab:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "gentianlab",
		Usage: "play the platform around entry hosts on loopback",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "serve the store and backend servers, and write a settings file for each host",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "dir", Usage: "where the settings files go", Required: true},
					&cli.StringFlag{Name: "subnet", Usage: "first three numbers of the hosts' addresses", Value: "127.4.0"},
					&cli.IntFlag{Name: "hosts", Usage: "number of entry hosts", Value: 6},
					&cli.IntFlag{Name: "engines", Usage: "number of engines; their speeds go round 0.6, 1.7, 1.7", Value: 6},
					&cli.IntFlag{Name: "apps", Usage: "number of plain servers", Value: 3},
				},
				Action: servePlatform,
			},
			{
				Name: "load", Usage: "send a load described in a file, check every answer, print what came of it",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "dir", Usage: "the folder of the settings files", Required: true},
					&cli.StringFlag{Name: "load", Usage: "the load's file", Value: "traces/loads/mixed.yaml"},
					&cli.Uint64Flag{Name: "seed", Usage: "draws the same requests each time", Value: 1},
					&cli.FloatFlag{Name: "rate", Usage: "requests a second, instead of the file's"},
					&cli.DurationFlag{Name: "for", Usage: "length of the load, instead of the file's"},
					&cli.StringFlag{Name: "label", Usage: "names the build or policy in the report", Value: "this build"},
					&cli.StringFlag{Name: "report", Usage: "write a report for compare to this file"},
				},
				Action: sendLoad,
			},
			{
				Name: "compare", Usage: "print two reports of the same work beside each other", ArgsUsage: "REPORT REPORT",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "plot", Usage: "draw worth by kind over time into this file (.svg, .png, .pdf)"},
				},
				Action: compareReports,
			},
			policiesCommand(),
			rolloutCommand(),
		},
	}
}
