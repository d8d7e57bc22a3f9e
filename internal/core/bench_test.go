package core_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

// BenchmarkDecision measures one request through the core: register, grant of a
// waiting request when a slot becomes free, finish. One operation is one request.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{20, 200} {
		for _, waiting := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("servers=%d/waiting=%d", servers, waiting), func(b *testing.B) {
				benchmarkDecisions(b, servers, waiting)
			})
		}
	}
}

func benchmarkDecisions(b *testing.B, servers, waiting int) {
	cell := core.NewCell(0, core.DefaultPolicy())
	cfg := core.Configure{Waiting: waiting * 2, Horizon: time.Second}
	for i := range servers {
		cfg.Servers = append(cfg.Servers, core.ServerSpec{ID: ident.ServerID(i + 1), Speed: float64(1 + i%3), MaxSequences: 32, CacheTokens: 60000})
	}
	cell.Step(0, cfg, nil)
	cell.Step(0, core.Members{Live: []ident.Incarnation{holder}}, nil)
	cell.Step(0, core.Report{Holder: holder, Stamp: 1}, nil)
	r := rand.New(rand.NewPCG(1, 2))
	now, next := core.Time(0), uint32(0)
	var running []ident.RequestID
	out := make([]core.Action, 0, 64)
	collectGrants := func(actions []core.Action) {
		for _, a := range actions {
			if a.Kind == core.Grant {
				running = append(running, a.ID)
			}
		}
	}
	register := func() {
		next++
		id := ident.RequestID{12: byte(next >> 24), 13: byte(next >> 16), 14: byte(next >> 8), 15: byte(next)}
		out = cell.Step(now, core.Register{Request: core.Request{
			ID: id, Holder: holder, Account: ident.AccountID(r.IntN(40)), Tier: 2 + r.IntN(3), PromptTokens: 2300, OutputTokens: 100,
			Prefix: prefix.Key(1 + r.IntN(300)), PrefixTokens: 2000, PromptKey: prefix.Key(1<<40 + uint64(next)),
			Deadline: now.Add(time.Hour),
		}}, out[:0])
		collectGrants(out)
	}
	for i := 0; cell.Waiting() < waiting; i++ {
		if i > 40*(servers+waiting) {
			b.Fatalf("only %d wait and %d run", cell.Waiting(), len(running))
		}
		now = now.Add(2 * time.Millisecond)
		out = cell.Step(now, core.Heartbeat{Holder: holder, Stamp: core.Stamp(now)}, out[:0])
		collectGrants(out)
		out = cell.Step(now, core.Tick{}, out[:0])
		collectGrants(out)
		register()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(200 * time.Microsecond)
		if i%1000 == 0 {
			out = cell.Step(now, core.Heartbeat{Holder: holder, Stamp: core.Stamp(now)}, out[:0])
			collectGrants(out)
		}
		register()
		if len(running) > 0 {
			k := r.IntN(len(running))
			id := running[k]
			running[k] = running[len(running)-1]
			running = running[:len(running)-1]
			out = cell.Step(now, core.Finished{ID: id, Holder: holder, PromptTokens: 300, OutputTokens: 100, FirstToken: 20 * time.Millisecond, Total: time.Second}, out[:0])
			collectGrants(out)
		}
	}
}
