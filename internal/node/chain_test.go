package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/store"
)

// TestNewsOfAFrozenReaderHoldTheDrainTime checks that the waits add up to less than the drain time, with a twentieth
// of it to spare, when the reader that a host follows stands still as the store acknowledges a change:
// each wait is sound alone, and each deployment has a drain time of its own.
func TestNewsOfAFrozenReaderHoldTheDrainTime(t *testing.T) {
	const readAndRelay = 50 * time.Millisecond // a call to the store, a message, a scheduling round
	for _, drainTime := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		noticed := probePeriod(drainTime) + peer.ProbeDeadline
		nextReader := store.RelayPause // the reader asked next noticed it a moment later
		sum := noticed + nextReader + readAndRelay
		NewWithT(t).Expect(sum).To(BeNumerically("<", drainTime-drainTime/20), "noticed after %v", noticed)
		NewWithT(t).Expect(noticed+readAndRelay).To(BeNumerically("<", drainTime-drainTime/10), "hosts that read the store themselves")
	}
	NewWithT(t).Expect(probePeriod(0)).To(Equal(peer.ProbePeriod), "settings without a drain time")
}
