package claim_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/claim"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/platform/httpplatform"
	"github.com/gentianflow/gentianflow/internal/standin"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}

var _ = Describe("claims of many hosts for the same keys", func() {
	// Story: hosts claim the same pickups at once while the table loses
	// answers or is slow. Each key must have one winner, whoever is asked.
	// Cause: an insert whose answer was lost looks like one that was refused.
	DescribeTable("are linearizable", func(faults standin.PlatformFaults) {
		p := standin.NewPlatform(0)
		server := httptest.NewServer(p.Handler())
		DeferCleanup(server.Close)
		p.SetFaults(faults)
		ctx, cancel := context.WithCancel(context.Background())
		var mu sync.Mutex
		var ops []history.ClaimOp
		var duties, calls sync.WaitGroup
		for host := range 4 {
			inc := ident.Incarnation(host + 1)
			client := httpplatform.New(server.URL, nil, time.Second)
			c := claim.New(client, event.NewRecorder("h", inc.String(), 100, log.NewNopLogger()))
			duties.Go(func() { c.Run(ctx) })
			for k := range 25 {
				calls.Go(func() {
					id := ident.Keyed("a", fmt.Sprint(k))
					mine := claim.Owner{Incarnation: inc, Token: ident.Mint(inc)}
					limit, stop := context.WithTimeout(ctx, 5*time.Second)
					defer stop()
					begin := time.Now().UnixNano()
					r := c.Claim(limit, id, mine, 0)
					op := history.ClaimOp{Client: host*100 + k, Call: begin, Return: time.Now().UnixNano(), Key: id.String(), Token: mine.Token.String(), Won: r.Won, Unknown: r.Err != nil}
					if op.Unknown {
						op.Return = begin + int64(time.Hour)
					}
					mu.Lock()
					ops = append(ops, op)
					mu.Unlock()
				})
			}
		}
		calls.Wait()
		cancel()
		duties.Wait()
		Expect(history.ClaimsLinearizable(ops)).To(BeTrue())
		won := 0
		for _, op := range ops {
			if op.Won {
				won++
			}
		}
		Expect(won).To(Equal(25))
	},
		Entry("on a sound table", standin.PlatformFaults{}),
		Entry("with lost answers", standin.PlatformFaults{LoseAnswers: 6}),
		Entry("on a slow table", standin.PlatformFaults{SlowMS: 100}),
	)
})
