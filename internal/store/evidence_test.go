package store

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/peer"
)

// TestEvidenceEndsWithinTheBound checks that what a host does once its evidence is overdue fits into the rest of the
// bound, so that no source which it follows can make it late: a call that has begun ends, a follower's turn comes, the
// host reads. A host whose evidence came with an answer that the store's network held up has less time.
func TestEvidenceEndsWithinTheBound(t *testing.T) {
	const read = 50 * time.Millisecond // a call to the store, a message, a scheduling round
	for _, c := range []struct {
		bound time.Duration
		hosts int
	}{{2 * time.Second, 15}, {2 * time.Second, 60}, {3 * time.Second, 150}, {4 * time.Second, 195}, {4 * time.Second, 985}, {6 * time.Second, 1000}} {
		g := NewWithT(t)
		e := &evidence{bound: c.bound}
		g.Expect(e.limit()+2*overdueCallTime+read).To(BeNumerically("<", c.bound), "one whose call has failed, %v", c)
		g.Expect(e.limit()+minCallTime+read).To(BeNumerically("<", c.bound-changeWait), "readers and standbys, %v", c)
		g.Expect(e.limit()+turnDelay+e.turnSpread(c.hosts)+turnCheckPeriod+minCallTime+read).To(BeNumerically("<", c.bound), "followers, %v", c)
		g.Expect(e.interval()+changeWait).To(BeNumerically("<", e.limit()-changeWait/2), "evidence comes before it is overdue, %v", c)
	}
}

// TestEvidenceOfAnswers checks that an answer never makes a table newer than the store was: an answer that was held
// up on its way would otherwise hide the changes made meanwhile.
func TestEvidenceOfAnswers(t *testing.T) {
	begun := time.Now()
	after := func(d time.Duration) time.Time { return begun.Add(d) }
	for _, c := range []struct {
		what          string
		elapsed, wait time.Duration
		changes       bool
		asOf          time.Time
	}{
		{"a read", 4 * time.Millisecond, 0, true, begun},
		{"a read that was held up", time.Second, 0, true, begun},
		{"no change for the whole wait", 705 * time.Millisecond, changeWait, false, after(changeWait)},
		{"the same, held up", 1200 * time.Millisecond, changeWait, false, after(changeWait)},
		{"a change in the wait", 300 * time.Millisecond, changeWait, true, begun},
		{"a change late in the wait", 600 * time.Millisecond, changeWait, true, after(600*time.Millisecond - maxHeldUp)},
		{"a change, held up", 1200 * time.Millisecond, changeWait, true, after(changeWait)},
		{"no change, answered early", 300 * time.Millisecond, changeWait, false, begun},
	} {
		e := &evidence{bound: DefaultBound}
		e.answered(begun, after(c.elapsed), c.wait, c.changes)
		NewWithT(t).Expect(e.asOf).To(Equal(c.asOf), c.what)
	}
}

// silentReaders are a reader order in which this host is the last of fifteen and no dial to another is answered.
type silentReaders struct{}

func (silentReaders) ReaderOrder() ReaderOrder {
	o := ReaderOrder{Readers: 5, Self: 14}
	for i := range 15 {
		o.Names = append(o.Names, fmt.Sprint(i))
	}
	return o
}

func (silentReaders) Open(ctx context.Context, name string) (*peer.Stream, error) {
	<-ctx.Done()
	return nil, failure.Wrap(failure.PeerSilent, ctx.Err(), "dial host %s", name)
}

func (silentReaders) Hosts() int { return 15 }

// oneRow is a store that answers at once.
type oneRow struct{}

func (oneRow) Snapshot(context.Context, string) ([]Row, Version, error) {
	return []Row{{Key: "a", Version: 1}}, 1, nil
}

func (oneRow) Changes(context.Context, string, Version, time.Duration) ([]Row, Version, error) {
	return nil, 1, nil
}

// TestStoreIsReadAgainAfterAFailedCall checks that a host one of whose calls to the store failed some seconds ago reads it
// in time when its evidence is overdue, and not after a dial to each host that does not answer.
func TestStoreIsReadAgainAfterAFailedCall(t *testing.T) {
	for _, failedAgo := range []time.Duration{1100 * time.Millisecond, 2 * time.Second, 4 * time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			r := NewRelayedTables(oneRow{}, silentReaders{}, DefaultBound, nil)
			r.evidence.asOf = time.Now()
			begun := time.Now()
			time.Sleep(r.evidence.limit() + time.Millisecond)
			r.storeFailedAt = time.Now().Add(-failedAgo)
			_, _, err := r.Snapshot(context.Background(), "t")
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			NewWithT(t).Expect(r.Reader()).To(BeEmpty())
			NewWithT(t).Expect(time.Since(begun)).To(BeNumerically("<", DefaultBound), "failed %v ago", failedAgo)
		})
	}
}
