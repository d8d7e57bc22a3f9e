// Command policy measures placement policies on generated traces in virtual time. It
// prints the median and range of each result over seeds.
package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/replay"
)

type policy struct {
	name  string
	build func([]replay.Line, replay.Line, replay.Host) replay.Scheduler
}

// policies returns all policies. "ours" is the policy of the daemon with the settings
// that the flags override.
func policies(c *cli.Command) []policy {
	configured := core.DefaultPolicy()
	override(&configured.MissPrice, c.Float("miss-price"))
	override(&configured.EvictPrice, c.Float("evict-price"))
	override(&configured.MaxPriceShare, c.Float("price-share"))
	override(&configured.UncachedAgeShare, c.Float("age-share"))
	override(&configured.CachedAgeShare, c.Float("held-age-share"))
	override(&configured.MissBudget, c.Float("miss-budget"))
	override(&configured.Headroom, c.Int("headroom"))
	override(&configured.UrgentPrefill, c.Duration("urgent-prefill"))
	override(&configured.BulkPrefill, c.Duration("bulk-prefill"))
	// Without PickCached, the first request of a tier takes any free slot.
	withoutPickCached := core.DefaultPolicy()
	withoutPickCached.PickCached = false
	withMissPriceOne := withoutPickCached
	withMissPriceOne.MissPrice = 1
	return []policy{
		{"round-robin", replay.RoundRobin},
		{"least-in-flight", replay.LeastInFlight},
		{"queue-bare-miss", replay.Core(withMissPriceOne)},
		{"queue-no-pick", replay.Core(withoutPickCached)},
		{"ours", replay.Core(configured)},
	}
}

// unchanged is the value of a policy flag that is not set.
const unchanged = -1

func override[T int | float64 | time.Duration](to *T, v T) {
	if v != unchanged {
		*to = v
	}
}

func main() {
	cmd := &cli.Command{
		Name: "policy", Usage: "measure placement policies in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "fleet", Value: "qasida", Usage: "tsumugi or qasida, each optionally with the suffix -varied"},
			&cli.FloatFlag{Name: "capacity", Value: 0, Usage: "requests per second at load 1; 0 means to search for the capacity"},
			&cli.StringFlag{Name: "loads", Value: "0.7,1,2,4"},
			&cli.StringFlag{Name: "policies", Value: "least-in-flight,queue-no-pick,ours"},
			&cli.IntFlag{Name: "seeds", Value: 5},
			&cli.DurationFlag{Name: "for", Value: 60 * time.Second, Usage: "virtual time during which requests arrive"},
			&cli.Int64Flag{Name: "cache-lag", Usage: "ms"},
			&cli.FloatFlag{Name: "cache-loss"},
			&cli.IntFlag{Name: "cache-tokens", Usage: "actual cache size of each engine in tokens; the home assumes 60,000"},
			&cli.Int64Flag{Name: "load-lag", Usage: "ms"},
			&cli.IntFlag{Name: "load-skew", Usage: "number of requests by which load reports are too high"},
			&cli.IntFlag{Name: "flood", Usage: "multiple of its share that account 1 sends"},
			&cli.BoolFlag{Name: "bound", Usage: "print goodput relative to the bound of strict tier order"},
			&cli.FloatFlag{Name: "miss-price", Value: unchanged},
			&cli.FloatFlag{Name: "evict-price", Value: unchanged},
			&cli.FloatFlag{Name: "price-share", Value: unchanged},
			&cli.FloatFlag{Name: "age-share", Value: unchanged},
			&cli.FloatFlag{Name: "held-age-share", Value: unchanged},
			&cli.FloatFlag{Name: "miss-budget", Value: unchanged},
			&cli.IntFlag{Name: "headroom", Value: unchanged},
			&cli.DurationFlag{Name: "urgent-prefill", Value: unchanged},
			&cli.DurationFlag{Name: "bulk-prefill", Value: unchanged},
			&cli.FloatFlag{Name: "slow-at", Usage: "second at which the first 4x server slows to a fifth; 0: never"},
		},
		Action: measure,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "policy:", err)
		os.Exit(1)
	}
}

func fleetByName(name string) replay.Fleet {
	f := replay.Qasida()
	if strings.HasPrefix(name, "tsumugi") {
		f = replay.Tsumugi()
	}
	if strings.HasSuffix(name, "-varied") {
		f = f.Varied()
	}
	return f
}

// allTiers is the maximum tier number of a trace that is not limited by tier.
const allTiers = 9

// trace generates the trace of one run with the faults and lags that the flags set.
func trace(c *cli.Command, f replay.Fleet, rate float64, seed uint64, maxTier int) replay.Trace {
	t := f.Generate(rate, c.Duration("for"), seed, maxTier)
	opt := replay.Line{
		Kind: replay.LineOptions, NetworkUS: 1500, CacheLagMS: c.Int64("cache-lag"), CacheLoss: c.Float("cache-loss"),
		LoadLagMS: c.Int64("load-lag"), LoadSkew: c.Int("load-skew"),
		CacheTokens: c.Int("cache-tokens"),
	}
	t.Lines = append([]replay.Line{opt}, t.Lines...)
	if at := c.Float("slow-at"); at > 0 {
		name := fmt.Sprintf("%s-%02d", f.Name, len(f.Speeds))
		t.Lines = append(t.Lines, replay.Line{Kind: replay.LineFault, Fault: replay.FaultSlow, AtMS: at * 1000, Server: name, Speed: f.Speeds[len(f.Speeds)-1] / 5})
	}
	if n := c.Int("flood"); n > 0 {
		t.Lines = append(t.Lines, flood(f, rate, c.Duration("for"), seed, n).Lines...)
	}
	return t
}

// flood generates the additional requests of account 1: n-1 times its share, which
// is a fifth of the rate.
func flood(f replay.Fleet, rate float64, d time.Duration, seed uint64, n int) replay.Trace {
	extra := f.Generate(rate/5*float64(n-1), d, seed+1000, allTiers)
	var out replay.Trace
	for _, l := range extra.Lines {
		if l.Kind == replay.LineArrival {
			l.Account = 1
			out.Lines = append(out.Lines, l)
		}
	}
	return out
}

const minInTimeShare = 0.99

// maxSettleTime is the longest time that a run within capacity may take after the last
// arrival. A longer run has built up a backlog that long deadlines hide.
const maxSettleTime = 15 * time.Second

// capacity returns the highest rate at which the default policy answers 0.99 of all
// requests in time and leaves no backlog, for each of a few seeds.
func capacity(c *cli.Command, f replay.Fleet) float64 {
	low, high := 1.0, 2000.0
	for high/low > 1.02 {
		mid := (low + high) / 2
		if sustains(c, f, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

const capacitySeeds = 3

func sustains(c *cli.Command, f replay.Fleet, rate float64) bool {
	for seed := uint64(1); seed <= capacitySeeds; seed++ {
		r := replay.Run(trace(c, f, rate, seed, allTiers), replay.Core(core.DefaultPolicy()))
		offered, inTime := 0, 0
		for _, t := range r.Tiers {
			offered, inTime = offered+t.Offered, inTime+t.InTime
		}
		if float64(inTime) < minInTimeShare*float64(offered) || r.EndedAt > c.Duration("for")+maxSettleTime {
			return false
		}
	}
	return true
}

func measure(_ context.Context, c *cli.Command) error {
	f := fleetByName(c.String("fleet"))
	rate := c.Float("capacity")
	if rate == 0 {
		rate = capacity(c, f)
	}
	fmt.Printf("%s: capacity %.1f requests/s, %d seeds, %s of arrivals, cache lag %d ms, loss %.2f, load lag %d ms\n",
		f.Name, rate, c.Int("seeds"), c.Duration("for"), c.Int64("cache-lag"), c.Float("cache-loss"), c.Int64("load-lag"))
	fmt.Println("load  policy           goodput by tier: median [min max]                                            wasted          late")
	for _, load := range strings.Split(c.String("loads"), ",") {
		var x float64
		if _, err := fmt.Sscanf(load, "%g", &x); err != nil {
			return fmt.Errorf("load %q: %w", load, err)
		}
		for _, p := range policies(c) {
			if !strings.Contains(","+c.String("policies")+",", ","+p.name+",") {
				continue
			}
			printRow(c, f, x, rate*x, p)
		}
	}
	return nil
}

// printRow runs all seeds of one row, up to four at a time, and prints the row.
func printRow(c *cli.Command, f replay.Fleet, load, rate float64, p policy) {
	n := c.Int("seeds")
	results := make([]replay.Result, n)
	bounds := make([]map[int]float64, n)
	var runs sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i := range n {
		runs.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = replay.Run(trace(c, f, rate, uint64(i+1), allTiers), p.build)
			if c.Bool("bound") {
				bounds[i] = bound(c, f, rate, uint64(i+1), p)
			}
		})
	}
	runs.Wait()
	fmt.Printf("%4.1f  %-16s", load, p.name)
	for _, tier := range results[0].TierNumbers() {
		fmt.Printf(" %d: %s", tier, medianAndRange(results, func(r replay.Result) float64 { return r.Tiers[tier].Goodput() }))
		if c.Bool("bound") {
			fmt.Printf(" of bound %.3f", medianBound(results, bounds, tier))
		}
	}
	late := func(r replay.Result) float64 { return float64(r.Undelivered) / float64(max(1, r.Computed)) }
	fmt.Printf("  %s %s", medianAndRange(results, replay.Result.Wasted), medianAndRange(results, late))
	if c.Int("flood") > 0 {
		others := func(r replay.Result) float64 {
			offered, inTime := 0, 0
			for a, t := range r.Accounts {
				if a != 1 {
					offered, inTime = offered+t.Offered, inTime+t.InTime
				}
			}
			return float64(inTime) / float64(max(1, offered))
		}
		fmt.Printf("  other accounts %s", medianAndRange(results, others))
	}
	p99 := medianAndRange(results, func(r replay.Result) float64 { return r.Tiers[r.TierNumbers()[0]].P99().Seconds() })
	fmt.Printf("  p99 of the first tier %s s\n", p99)
}

// bound returns the goodput of each tier when no request of a less urgent tier
// arrives.
func bound(c *cli.Command, f replay.Fleet, rate float64, seed uint64, p policy) map[int]float64 {
	out := map[int]float64{}
	for _, w := range f.Works {
		out[w.Tier] = replay.Run(trace(c, f, rate, seed, w.Tier), p.build).Tiers[w.Tier].Goodput()
	}
	return out
}

func medianBound(results []replay.Result, bounds []map[int]float64, tier int) float64 {
	var v []float64
	for i, r := range results {
		v = append(v, r.Tiers[tier].Goodput()/max(1e-9, bounds[i][tier]))
	}
	sort.Float64s(v)
	return v[len(v)/2]
}

func medianAndRange(results []replay.Result, f func(replay.Result) float64) string {
	var v []float64
	for _, r := range results {
		v = append(v, f(r))
	}
	sort.Float64s(v)
	return fmt.Sprintf("%.3f [%.3f %.3f]", v[len(v)/2], v[0], v[len(v)-1])
}
