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
	exitFailure  = 1 // an address is taken or a duty could not be built
	exitSettings = 2 // the settings are wrong; nothing was started
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
		Description: "Takes requests of client accounts, schedules them over the backend servers\n" +
			"and answers each once and whole. SIGTERM or SIGINT drains: requests in progress\n" +
			"end first. A second signal stops at once. Each flag can be set by the environment\n" +
			"variable named beside it.",
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
