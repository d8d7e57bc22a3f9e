// Command standin runs small stand-ins for the system's environment in the demo:
// the platform, model engines, a plain service, and a load generator for callers.
// No part of the system depends on it.
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
		Name: "standin", Usage: "run stand-ins for the platform and backend servers, and a load generator",
		Commands: []*cli.Command{platformCommand(), engineCommand(), serviceCommand(), loadCommand()},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func addressFlag() cli.Flag {
	return &cli.StringFlag{Name: "address", Usage: "listen address, IP:port", Required: true}
}

func historyFlag() cli.Flag {
	return &cli.StringFlag{Name: "history", Usage: "file to record the history to"}
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
		Name: "platform", Usage: "run the table service, object store and host list",
		Flags: []cli.Flag{addressFlag(), &cli.DurationFlag{Name: "host-lag", Value: time.Second, Usage: "delay until changes show in the host list"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return standin.Serve(ctx, c.String("address"), standin.NewPlatform(c.Duration("host-lag")).Handler())
		},
	}
}

// engineCommand runs all engines of one service in one process. They share only
// the record of cached blocks, which serves to count prompt tokens that an engine
// computes although another engine has them cached.
func engineCommand() *cli.Command {
	return &cli.Command{
		Name: "engines", Usage: "run the model engines of one service",
		Flags: []cli.Flag{
			historyFlag(),
			&cli.StringSliceFlag{Name: "engine", Usage: "NAME=IP:port=SPEED, given once for each engine", Required: true},
			&cli.DurationFlag{Name: "load-lag", Value: 500 * time.Millisecond},
			&cli.DurationFlag{Name: "cache-lag", Value: 500 * time.Millisecond},
			&cli.IntFlag{Name: "drop-every", Value: 10, Usage: "drop every n-th cache event"},
			&cli.BoolFlag{Name: "checks-fencing"},
		},
		Action: engines,
	}
}

func engines(ctx context.Context, c *cli.Command) error {
	historyLog, err := openHistory(c)
	if err != nil {
		return err
	}
	group := standin.NewGroup()
	serveErr := make(chan error, len(c.StringSlice("engine")))
	for _, spec := range c.StringSlice("engine") {
		parts := strings.Split(spec, "=")
		if len(parts) != 3 {
			return fmt.Errorf("--engine %q is not NAME=IP:port=SPEED", spec)
		}
		speed, err := strconv.ParseFloat(parts[2], 64)
		if err != nil {
			return fmt.Errorf("--engine %q: %w", spec, err)
		}
		engine := standin.NewEngine(standin.EngineOptions{
			Name: parts[0], Speed: speed, LoadLag: c.Duration("load-lag"), CacheLag: c.Duration("cache-lag"),
			DropEvery: c.Int("drop-every"), ChecksFencing: c.Bool("checks-fencing"), History: historyLog, Group: group,
		})
		go engine.Run(ctx)
		go func() { serveErr <- standin.Serve(ctx, parts[1], engine.Handler()) }()
	}
	return <-serveErr
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "run a plain service",
		Flags: []cli.Flag{
			addressFlag(), historyFlag(),
			&cli.StringFlag{Name: "name", Required: true},
			&cli.DurationFlag{Name: "work", Value: 5 * time.Millisecond},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			historyLog, err := openHistory(c)
			if err != nil {
				return err
			}
			return standin.Serve(ctx, c.String("address"), standin.NewService(c.String("name"), c.Duration("work"), historyLog).Handler())
		},
	}
}
