package store

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
		g.Expect(e.limit()+minCallTime+read).To(BeNumerically("<", c.bound-changeWait), "readers and standbys, %v", c)
		g.Expect(e.limit()+turnDelay+e.turnSpread(c.hosts)+minCallTime+read).To(BeNumerically("<", c.bound), "followers, %v", c)
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
		{"a change in the wait", 300 * time.Millisecond, changeWait, true, after(300 * time.Millisecond)},
		{"a change, held up", 1200 * time.Millisecond, changeWait, true, after(changeWait)},
		{"no change, answered early", 300 * time.Millisecond, changeWait, false, begun},
	} {
		e := &evidence{bound: DefaultBound}
		e.answered(begun, after(c.elapsed), c.wait, c.changes)
		NewWithT(t).Expect(e.asOf).To(Equal(c.asOf), c.what)
	}
}
