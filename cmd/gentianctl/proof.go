package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/replay"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check recorded histories against the promises", ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			var all []history.Event
			for _, name := range c.Args().Slice() {
				events, err := readHistory(name)
				if err != nil {
					return err
				}
				all = append(all, events...)
			}
			broken := history.Check(all)
			for _, v := range broken {
				fmt.Println(v)
			}
			p := history.SumPrefill(all)
			fmt.Printf("%d events, %d violations; prompt tokens %d, computed %d, wasted prefill %.3f (repeated %d, unread %d)\n",
				len(all), len(broken), p.Prompt, p.Computed, p.Wasted(), p.Repeated, p.Unread)
			if len(broken) > 0 {
				return failure.New(failure.Internal, "%d promises broken", len(broken))
			}
			return nil
		},
	}
}

func readHistory(name string) ([]history.Event, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "history")
	}
	defer func() { _ = f.Close() }()
	return history.Read(f)
}

func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "run recorded traces against the scheduler's core in virtual time and compare with their stated outcomes", ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			different := 0
			for _, name := range c.Args().Slice() {
				n, err := replayOne(name)
				if err != nil {
					return err
				}
				different += n
			}
			if different > 0 {
				return failure.New(failure.Internal, "%d outcomes differ", different)
			}
			return nil
		},
	}
}

func replayOne(name string) (different int, err error) {
	f, err := os.Open(name)
	if err != nil {
		return 0, failure.Wrap(failure.BadRequest, err, "trace")
	}
	defer func() { _ = f.Close() }()
	t, err := replay.Read(f)
	if err != nil {
		return 0, err
	}
	r := replay.Run(t, replay.Core(core.DefaultPolicy()))
	fmt.Printf("%s: virtual end %s, wasted prefill %.3f\n", name, r.Ended, r.Wasted())
	for _, n := range r.Numbers() {
		tier := r.Tiers[n]
		fmt.Printf("  tier %d: %d offered, %d in time, %d late, %d shed\n", n, tier.Offered, tier.InTime, tier.Late, tier.Shed)
	}
	diffs := r.Differences(t)
	for _, d := range diffs {
		fmt.Println("  differs:", d)
	}
	return len(diffs), nil
}
