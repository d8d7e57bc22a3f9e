package configsync_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/configsync"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/platform/httpplatform"
	"github.com/gentianflow/gentianflow/internal/standin"
)

func TestConfigsync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configsync")
}

func noPeers(context.Context, uint64) (uint64, string, []byte, error) {
	return 0, "", nil, failure.New(failure.PeerSilent, "none")
}

var _ = Describe("the configuration register", func() {
	var text []byte
	var p *standin.Platform
	var newSyncer func(peers configsync.FetchFromPeers) *configsync.Syncer
	BeforeEach(func() {
		var err error
		text, err = os.ReadFile("../../examples/demo.yaml")
		Expect(err).NotTo(HaveOccurred())
		p = standin.NewPlatform(0)
		server := httptest.NewServer(p.Handler())
		DeferCleanup(server.Close)
		newSyncer = func(peers configsync.FetchFromPeers) *configsync.Syncer {
			client := httpplatform.New(server.URL, nil, time.Second)
			DeferCleanup(client.Close)
			return configsync.New(client, client, peers, event.NewRecorder("h", "1", 100, log.NewNopLogger()))
		}
	})

	// Four operators change the configuration repeatedly while the store loses answers. A
	// change whose answer was lost may have taken effect.
	DescribeTable("is linearizable under racing operators", func(faults standin.PlatformFaults) {
		p.SetFaults(faults)
		var mu sync.Mutex
		var ops []history.RegisterOp
		var all sync.WaitGroup
		for operator := range 4 {
			s := newSyncer(noPeers)
			all.Go(func() {
				defer GinkgoRecover()
				for round := range 6 {
					base := uint64(round)
					op := history.RegisterOp{Client: operator, Call: time.Now().UnixNano(), BaseVersion: base}
					_, err := s.Apply(context.Background(), configsync.Proposal{Base: base, ChangeID: fmt.Sprintf("%d-%d", operator, round), Text: text})
					op.Return = time.Now().UnixNano()
					op.Accepted = err == nil
					if err != nil {
						Expect(failure.Is(err, failure.Conflict)).To(BeTrue(), err.Error())
					}
					mu.Lock()
					ops = append(ops, op)
					mu.Unlock()
				}
			})
		}
		all.Wait()
		Expect(history.RegisterLinearizable(ops)).To(BeTrue())
	},
		Entry("with a store without faults", standin.PlatformFaults{}),
		Entry("with lost answers", standin.PlatformFaults{LoseAnswers: 5}),
	)

	It("returns the same change for a repeated change id, also after later ones", func() {
		s := newSyncer(noPeers)
		first, err := s.Apply(context.Background(), configsync.Proposal{Base: 0, ChangeID: "a", Text: text})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Apply(context.Background(), configsync.Proposal{Base: 1, ChangeID: "b", Text: text})
		Expect(err).NotTo(HaveOccurred())
		again, err := newSyncer(noPeers).Apply(context.Background(), configsync.Proposal{Base: 0, ChangeID: "a", Text: text})
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Version).To(Equal(first.Version))
	})

	// A slow peer delivers an old document after a newer one is in force. Applying it would
	// undo an accepted change.
	It("never goes back to an older version, whoever offers it", func() {
		version := uint64(7)
		s := newSyncer(func(context.Context, uint64) (uint64, string, []byte, error) { return version, "x", text, nil })
		p.SetFaults(standin.PlatformFaults{TableDown: true})
		ctx, cancel := context.WithCancel(context.Background())
		var run sync.WaitGroup
		run.Go(func() { s.Run(ctx) })
		DeferCleanup(func() {
			cancel()
			run.Wait()
		})
		Eventually(func() uint64 {
			if c := s.Current(); c != nil {
				return c.Version
			}
			return 0
		}, 5*time.Second).Should(Equal(uint64(7)))
		version = 3
		for range 5 {
			s.Wake()
		}
		Consistently(func() uint64 { return s.Current().Version }, 300*time.Millisecond).Should(Equal(uint64(7)))
	})
})
