// Command gentianlab simulates the platform on one machine for the demo and for
// experiments: its store, operator, backend servers and callers.
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
		Usage: "simulate the platform around entry hosts on loopback",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "serve the store and backend servers, and write a settings file for each host",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "dir", Usage: "folder to write the settings files to", Required: true},
					&cli.StringFlag{Name: "subnet", Usage: "first three octets of the hosts' addresses", Value: "127.4.0"},
					&cli.IntFlag{Name: "hosts", Usage: "number of entry hosts", Value: 6},
					&cli.IntFlag{Name: "engines", Usage: "number of engines; their speeds cycle through 0.6, 1.7, 1.7", Value: 6},
					&cli.IntFlag{Name: "apps", Usage: "number of servers of the plain service", Value: 3},
				},
				Action: servePlatform,
			},
			{
				Name: "load", Usage: "send a load described in a file, check every answer and print a report",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "dir", Usage: "folder of the settings files", Required: true},
					&cli.StringFlag{Name: "load", Usage: "file that describes the load", Value: "traces/loads/mixed.yaml"},
					&cli.Uint64Flag{Name: "seed", Usage: "random seed; the same seed gives the same requests", Value: 1},
					&cli.FloatFlag{Name: "rate", Usage: "requests per second, overrides the file"},
					&cli.DurationFlag{Name: "for", Usage: "length of the load, overrides the file"},
					&cli.StringFlag{Name: "label", Usage: "name of the build or policy in the report", Value: "this build"},
					&cli.StringFlag{Name: "report", Usage: "file to write a report to, for use with compare"},
				},
				Action: sendLoad,
			},
			{
				Name: "compare", Usage: "print two reports of the same load side by side", ArgsUsage: "REPORT REPORT",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "plot", Usage: "file to plot the worth (value) of answers over time to, by request kind (.svg, .png, .pdf)"},
				},
				Action: compareReports,
			},
			policiesCommand(),
			rolloutCommand(),
			partsCommand(),
		},
	}
}
