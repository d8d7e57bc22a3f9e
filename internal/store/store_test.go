package store_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/store"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

// scriptedTables answers calls with scripted answers in order; afterwards Changes returns no
// rows after the wait. mu guards the fields.
type scriptedTables struct {
	mu        sync.Mutex
	snapshots int
	answers   []scriptedAnswer
}

// scriptedAnswer is one answer of Changes, after a pause.
type scriptedAnswer struct {
	pause time.Duration
	rows  []store.Row
	err   error
}

func (s *scriptedTables) Snapshot(context.Context, string) ([]store.Row, store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots++
	return []store.Row{{Key: "a", Version: 1}}, 1, nil
}

func (s *scriptedTables) Changes(ctx context.Context, _ string, after store.Version, wait time.Duration) ([]store.Row, store.Version, error) {
	s.mu.Lock()
	next := scriptedAnswer{pause: wait}
	if len(s.answers) > 0 {
		next = s.answers[0]
		s.answers = s.answers[1:]
	}
	s.mu.Unlock()
	select {
	case <-time.After(next.pause):
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	return next.rows, after + 1, next.err
}

func startWatcher(s *scriptedTables) <-chan store.Update {
	updates := make(chan store.Update, 64)
	w := &store.Watcher{
		Tables: s, Table: "t", Events: event.NewRecorder("h", "i", 16, log.NewNopLogger()),
		Apply: func(u store.Update) { updates <- u },
	}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go w.Run(ctx)
	return updates
}

var _ = Describe("following a table", func() {
	// A server leaves after minutes without changes. The time since the last change, instead of
	// since the last answer, was counted as an outage of the store, so its removal was taken
	// for an entry that expired in the outage, and the server was used for two more seconds.
	It("counts answers without changes as answers", func() {
		const quiet = 50 * time.Millisecond
		quietAnswers := make([]scriptedAnswer, 0, 9)
		for range 8 {
			quietAnswers = append(quietAnswers, scriptedAnswer{pause: quiet})
		}
		updates := startWatcher(&scriptedTables{answers: append(quietAnswers, scriptedAnswer{pause: quiet, rows: []store.Row{{Key: "a", Deleted: true}}})})
		Eventually(updates).Should(Receive(HaveField("Whole", true)))
		var removal store.Update
		Eventually(func() []store.Row {
			select {
			case removal = <-updates:
			default:
			}
			return removal.Rows
		}).WithTimeout(3 * time.Second).Should(HaveLen(1))
		Expect(removal.Gap).To(BeNumerically("<", 6*quiet))
	})

	// The store drops its history just as a server leaves, and the call that waits for changes
	// fails. Only a read of the whole table shows what changed in between.
	It("reads the whole table at once when the history is lost", func() {
		s := &scriptedTables{answers: []scriptedAnswer{{err: failure.New(failure.HistoryLost, "dropped")}}}
		updates := startWatcher(s)
		for range 2 {
			Eventually(updates).Should(Receive(HaveField("Whole", true)))
		}
	})

	It("returns the length of the store's outage", func() {
		s := &scriptedTables{answers: []scriptedAnswer{{pause: 80 * time.Millisecond, err: failure.New(failure.StoreDown, "away")}}}
		updates := startWatcher(s)
		Eventually(updates).Should(Receive())
		Eventually(updates).Should(Receive(HaveField("Gap", BeNumerically(">=", 80*time.Millisecond))))
	})
})
