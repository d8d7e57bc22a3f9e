package claim_test

import (
	"context"
	"encoding/json"
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
	"github.com/gentianflow/gentianflow/internal/platform"
	"github.com/gentianflow/gentianflow/internal/platform/httpplatform"
	"github.com/gentianflow/gentianflow/internal/standin"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}

var _ = Describe("a release", func() {
	// A claim is given up while its insert is still in flight. If the insert arrives after
	// Release has found no row, the key of the request is blocked for a day.
	It("deletes a row that arrives after its first check", func() {
		p := standin.NewPlatform(0)
		server := httptest.NewServer(p.Handler())
		DeferCleanup(server.Close)
		client := httpplatform.New(server.URL, nil, time.Second)
		DeferCleanup(client.Close)
		c := claim.New(client, event.NewRecorder("h", "1", 10, log.NewNopLogger()))
		id, claimant := ident.KeyedRequestID("a", "k"), claim.Claimant{Incarnation: 1, Token: ident.NewRequestID(1)}
		released := make(chan struct{})
		go func() {
			defer close(released)
			c.Release(context.Background(), id, claimant)
		}()
		time.Sleep(200 * time.Millisecond) // the first check is over
		value, err := json.Marshal(claimant)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Apply(context.Background(), []platform.Write{{Key: claim.Key(id), Value: value}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(released, 10*time.Second).Should(BeClosed())
		Expect(p.Row(claim.Key(id)).Version).To(BeZero())
	})
})

var _ = Describe("claims of many hosts for the same keys", func() {
	// Hosts claim the same keys at once while the table service loses answers or is slow. Each
	// key must have exactly one winner, whichever host is asked. An insert whose answer was
	// lost must not be taken for one that was refused.
	DescribeTable("are linearizable", func(faults standin.PlatformFaults) {
		p := standin.NewPlatform(0)
		server := httptest.NewServer(p.Handler())
		DeferCleanup(server.Close)
		p.SetFaults(faults)
		ctx, cancel := context.WithCancel(context.Background())
		var mu sync.Mutex
		var ops []history.ClaimOp
		var claimers, calls sync.WaitGroup
		for host := range 4 {
			incarnation := ident.Incarnation(host + 1)
			client := httpplatform.New(server.URL, nil, time.Second)
			c := claim.New(client, event.NewRecorder("h", incarnation.String(), 100, log.NewNopLogger()))
			claimers.Go(func() { c.Run(ctx) })
			for k := range 25 {
				calls.Go(func() {
					id := ident.KeyedRequestID("a", fmt.Sprint(k))
					claimant := claim.Claimant{Incarnation: incarnation, Token: ident.NewRequestID(incarnation)}
					limit, stop := context.WithTimeout(ctx, 5*time.Second)
					defer stop()
					begin := time.Now().UnixNano()
					r := c.Claim(limit, id, claimant, 0)
					op := history.ClaimOp{Client: host*100 + k, Call: begin, Return: time.Now().UnixNano(), Key: id.String(), Token: claimant.Token.String(), Won: r.Won, Unknown: r.Err != nil}
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
		claimers.Wait()
		Expect(history.ClaimsLinearizable(ops)).To(BeTrue())
		won := 0
		for _, op := range ops {
			if op.Won {
				won++
			}
		}
		Expect(won).To(Equal(25))
	},
		Entry("on a table without faults", standin.PlatformFaults{}),
		Entry("with lost answers", standin.PlatformFaults{LoseAnswers: 6}),
		Entry("on a slow table", standin.PlatformFaults{SlowMS: 100}),
	)
})
