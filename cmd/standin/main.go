// Command standin runs small stand-ins for what surrounds the system, and a
// load of callers: the platform, a model engine, a plain service, a load.
// It is scaffolding for the demo; no part of the system depends on it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cmd := &cli.Command{
		Name: "standin", Usage: "stand-ins for the platform and backend servers, and a load",
		Commands: []*cli.Command{platformCommand(), engineCommand(), serviceCommand(), loadCommand()},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func addressFlag() cli.Flag {
	return &cli.StringFlag{Name: "address", Usage: "IP:port to listen on", Required: true}
}

func historyFlag() cli.Flag {
	return &cli.StringFlag{Name: "history", Usage: "file for the recorded history"}
}

func openHistory(c *cli.Command) (*history.Log, error) {
	name := c.String("history")
	if name == "" {
		return nil, nil
	}
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return history.NewLog(f), nil
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", Usage: "table service, object store and host list",
		Flags: []cli.Flag{addressFlag(), &cli.DurationFlag{Name: "host-lag", Value: time.Second, Usage: "how far the host list lags"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return standin.Serve(ctx, c.String("address"), standin.NewPlatform(c.Duration("host-lag")).Handler())
		},
	}
}

// engineCommand runs the engines of one service in one process: they share
// nothing but the count of prompt tokens that one computes though another
// holds them.
func engineCommand() *cli.Command {
	return &cli.Command{
		Name: "engines", Usage: "the model engines of one service",
		Flags: []cli.Flag{
			historyFlag(),
			&cli.StringSliceFlag{Name: "engine", Usage: "NAME=IP:port=SPEED, once for each engine", Required: true},
			&cli.DurationFlag{Name: "load-lag", Value: 500 * time.Millisecond},
			&cli.DurationFlag{Name: "cache-lag", Value: 500 * time.Millisecond},
			&cli.IntFlag{Name: "drop-every", Value: 10, Usage: "every n-th cache event is lost"},
			&cli.BoolFlag{Name: "checks-fencing"},
		},
		Action: engines,
	}
}

func engines(ctx context.Context, c *cli.Command) error {
	h, err := openHistory(c)
	if err != nil {
		return err
	}
	group := standin.NewGroup()
	failed := make(chan error, len(c.StringSlice("engine")))
	for _, spec := range c.StringSlice("engine") {
		parts := strings.Split(spec, "=")
		if len(parts) != 3 {
			return fmt.Errorf("--engine %q is not NAME=IP:port=SPEED", spec)
		}
		speed, err := strconv.ParseFloat(parts[2], 64)
		if err != nil {
			return fmt.Errorf("--engine %q: %w", spec, err)
		}
		e := standin.NewEngine(standin.EngineOptions{
			Name: parts[0], Speed: speed, LoadLag: c.Duration("load-lag"), CacheLag: c.Duration("cache-lag"),
			DropEvery: c.Int("drop-every"), ChecksFencing: c.Bool("checks-fencing"), History: h, Group: group,
		})
		go e.Run(ctx)
		go func() { failed <- standin.Serve(ctx, parts[1], e.Handler()) }()
	}
	return <-failed
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "a plain service",
		Flags: []cli.Flag{
			addressFlag(), historyFlag(),
			&cli.StringFlag{Name: "name", Required: true},
			&cli.DurationFlag{Name: "work", Value: 5 * time.Millisecond},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			h, err := openHistory(c)
			if err != nil {
				return err
			}
			return standin.Serve(ctx, c.String("address"), standin.NewService(c.String("name"), c.Duration("work"), h).Handler())
		},
	}
}
