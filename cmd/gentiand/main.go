// Command gentiand is the daemon that runs on every entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/daemon"
	"github.com/gentianflow/gentianflow/internal/settings"
)

// The exit codes, documented in docs/OPERATIONS.md.
const (
	exitFailure  = 1 // an address is in use or a component could not be created
	exitSettings = 2 // the settings are invalid; nothing was started
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gentiand:", err)
		os.Exit(exitFailure)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "gentiand",
		Usage: "run one gentianflow entry host",
		Description: "Accepts requests of client accounts, schedules them on the backend servers and\n" +
			"returns each answer once and complete. SIGTERM or SIGINT drains the host: requests\n" +
			"in progress finish first. A second signal stops it immediately. Each flag can also\n" +
			"be set by the environment variable next to it.",
		Flags:  settings.Flags(),
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	set := settings.FromCommand(cmd)
	if err := set.Check(); err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	d, err := daemon.New(set)
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.StartDrain()
		<-signals
		stop()
	}()
	d.Run(ctx)
	return nil
}
