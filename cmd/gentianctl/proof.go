package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/history"
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
