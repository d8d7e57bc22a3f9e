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
		Name: "load", Usage: "send a mix of all kinds of work and print goodput by tier",
		Flags: []cli.Flag{
			historyFlag(),
			&cli.StringSliceFlag{Name: "entry", Usage: "callers' address of an entry host", Required: true},
			&cli.StringFlag{Name: "secret", Usage: "secret of the client account", Required: true},
			&cli.StringFlag{Name: "availability-zone"},
			&cli.StringFlag{Name: "fleet", Value: "tsumugi", Usage: "tsumugi or qasida"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "model requests a second"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: load,
	}
}

func load(ctx context.Context, c *cli.Command) error {
	works := standin.TsumugiMix(c.Float("rate"))
	if c.String("fleet") == "qasida" {
		works = standin.QasidaMix(c.Float("rate"))
	}
	log, err := openHistory(c)
	if err != nil {
		return err
	}
	l := &standin.Load{Clients: map[string]*caller.Client{}, Works: works, Seed: c.Uint64("seed")}
	for _, w := range works {
		if l.Clients[w.Service] == nil {
			l.Clients[w.Service] = newClient(c, w.Service, works, log)
		}
	}
	l.Run(ctx, c.Duration("for"))
	printResults(l.Results())
	return nil
}

func newClient(c *cli.Command, service string, works []standin.Work, log *history.Log) *caller.Client {
	tiers := map[string]int{}
	for _, w := range works {
		tiers[w.Kind] = w.Tier
	}
	opt := caller.Options{
		Service: service, Secret: c.String("secret"), AvailabilityZone: c.String("availability-zone"), Hosts: c.StringSlice("entry"),
	}
	if log != nil {
		opt.Observer = &standin.Recorder{Log: log, Source: "load", Service: service, Tiers: tiers}
	}
	return caller.New(opt)
}

func printResults(results []standin.TierResult) {
	fmt.Fprintln(os.Stdout, "tier  offered  in time   late   shed  unknown  goodput")
	for _, t := range results {
		fmt.Printf("%4d  %7d  %7d  %5d  %5d  %7d  %7.3f\n",
			t.Tier, t.Offered, t.InTime, t.Late, t.Shed, t.Unknown, float64(t.InTime)/float64(max(1, t.Offered)))
	}
}
