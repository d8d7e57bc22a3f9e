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
		Name: "check", Usage: "check recorded histories for violations of the guarantees", ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			var all []history.Event
			for _, name := range c.Args().Slice() {
				events, err := readHistory(name)
				if err != nil {
					return err
				}
				all = append(all, events...)
			}
			violations := history.Check(all)
			for _, v := range violations {
				fmt.Println(v)
			}
			prefill := history.SumPrefill(all)
			fmt.Printf("%d events, %d violations; prompt tokens %d, computed %d, wasted prefill %.3f (repeated %d, unread %d)\n",
				len(all), len(violations), prefill.Prompt, prefill.Computed, prefill.Wasted(), prefill.Repeated, prefill.Undelivered)
			if len(violations) > 0 {
				return failure.New(failure.Internal, "%d guarantees violated", len(violations))
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
		Name: "replay", Usage: "replay recorded traces through the scheduler core in virtual time and compare the outcomes with those recorded", ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			total := 0
			for _, name := range c.Args().Slice() {
				differences, err := replayFile(name)
				if err != nil {
					return err
				}
				total += differences
			}
			if total > 0 {
				return failure.New(failure.Internal, "%d outcomes differ", total)
			}
			return nil
		},
	}
}

func replayFile(name string) (different int, err error) {
	f, err := os.Open(name)
	if err != nil {
		return 0, failure.Wrap(failure.BadRequest, err, "trace")
	}
	defer func() { _ = f.Close() }()
	trace, err := replay.Read(f)
	if err != nil {
		return 0, err
	}
	result := replay.Run(trace, replay.Core(core.DefaultPolicy()))
	fmt.Printf("%s: virtual end %s, wasted prefill %.3f\n", name, result.EndedAt, result.Wasted())
	for _, n := range result.TierNumbers() {
		tier := result.Tiers[n]
		fmt.Printf("  tier %d: %d offered, %d in time, %d late, %d shed\n", n, tier.Offered, tier.InTime, tier.Late, tier.Shed)
	}
	diffs := result.Differences(trace)
	for _, d := range diffs {
		fmt.Println("  differs:", d)
	}
	return len(diffs), nil
}
