// Command gentianhost is the daemon that runs on every entry host of the
// prepared platform, whose store and formats package platform implements.
package main

import "C" // links the program to the C library, as the platform requires

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/hangup"
	"github.com/gentianflow/gentianflow/internal/node"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/platform"
)

// The exit codes, documented in docs/OPERATIONS.md.
const (
	exitFailure  = 1 // an address is in use
	exitSettings = 2 // the settings are invalid; nothing was started
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gentianhost:", err)
		os.Exit(exitFailure)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "gentianhost",
		Usage: "run one gentianflow entry host on the prepared platform",
		Description: "Reads the platform's settings file, whose path is in the environment.\n" +
			"SIGTERM shuts the host down: requests in progress finish first. SIGHUP reloads the settings.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "policy", Usage: "parameters of the scheduler, name=value separated by commas; gentianctl platform policy lists them", Sources: cli.EnvVars("GENTIAN_POLICY")},
			&cli.BoolFlag{Name: "lookup-by-capacity", Usage: "choose the addresses of a look-up by availability zone, by what hosts can carry and by their load, and refuse requests that would exhaust this host", Sources: cli.EnvVars("GENTIAN_LOOKUP_BY_CAPACITY")},
			&cli.IntFlag{Name: "metrics-port", Usage: "port that serves the metrics", Value: 7614},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	settings := platform.NewSettingsWatch(hangup.Signals)
	set, err := platform.ReadSettings()
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	set.MetricsPort = cmd.Int("metrics-port")
	set.LookupByCapacity = cmd.Bool("lookup-by-capacity")
	set.Policy = sched.DefaultPolicy()
	if err := set.Policy.Set(cmd.String("policy")); err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	output := event.NewOutput(os.Stdout)
	var logging sync.WaitGroup
	logCtx, stopLogging := context.WithCancel(context.Background())
	logging.Go(func() { output.Run(logCtx) })
	defer func() {
		stopLogging()
		logging.Wait()
	}()
	logger := log.With(log.NewLogfmtLogger(output), "ts", log.DefaultTimestampUTC, "host", set.Host)
	n, err := node.New(set, platform.NewAdapter(set.Store), logger)
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go settings.Run(ctx, n.Reload)
	return n.Run(ctx)
}
