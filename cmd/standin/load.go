package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/caller"
	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/standin"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send a mix of request kinds and print goodput by tier",
		Flags: []cli.Flag{
			historyFlag(),
			&cli.StringSliceFlag{Name: "entry", Usage: "address of an entry host for callers", Required: true},
			&cli.StringFlag{Name: "secret", Usage: "secret of the client account", Required: true},
			&cli.StringFlag{Name: "availability-zone"},
			&cli.StringFlag{Name: "fleet", Value: "tsumugi", Usage: "request mix: tsumugi or qasida"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "model requests per second"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: load,
	}
}

func load(ctx context.Context, c *cli.Command) error {
	mix := standin.TsumugiMix(c.Float("rate"))
	if c.String("fleet") == "qasida" {
		mix = standin.QasidaMix(c.Float("rate"))
	}
	historyLog, err := openHistory(c)
	if err != nil {
		return err
	}
	generator := &standin.Load{Clients: map[string]*caller.Client{}, Works: mix, Seed: c.Uint64("seed")}
	for _, work := range mix {
		if generator.Clients[work.Service] == nil {
			generator.Clients[work.Service] = newClient(c, work.Service, mix, historyLog)
		}
	}
	generator.Run(ctx, c.Duration("for"))
	printResults(generator.Results())
	return nil
}

func newClient(c *cli.Command, service string, mix []standin.Work, historyLog *history.Log) *caller.Client {
	tiers := map[string]int{}
	for _, work := range mix {
		tiers[work.Kind] = work.Tier
	}
	options := caller.Options{
		Service: service, Secret: c.String("secret"), AvailabilityZone: c.String("availability-zone"), Hosts: c.StringSlice("entry"),
	}
	if historyLog != nil {
		options.Observer = &standin.Recorder{Log: historyLog, Source: "load", Service: service, Tiers: tiers}
	}
	return caller.New(options)
}

func printResults(results []standin.TierResult) {
	fmt.Fprintln(os.Stdout, "tier  offered  in time   late   shed  unknown  goodput")
	for _, t := range results {
		fmt.Printf("%4d  %7d  %7d  %5d  %5d  %7d  %7.3f\n",
			t.Tier, t.Offered, t.InTime, t.Late, t.Shed, t.Unknown, float64(t.InTime)/float64(max(1, t.Offered)))
	}
}
