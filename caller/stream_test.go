package caller

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/callerapi"
	"github.com/gentianflow/gentianflow/internal/failure"
)

// TestErrorEventThatCannotBeDecoded guards against telling a caller "not run" of a request that was
// sent: the host's statement is lost, so what became of the request is unknown.
func TestErrorEventThatCannotBeDecoded(t *testing.T) {
	for _, data := range []string{"{", "null", "{}", `{"error":7}`} {
		k := &call{}
		a, f, err := k.readEvents(strings.NewReader("event: "+callerapi.EventError+"\ndata: "+data+"\n\n"), 0)
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a).To(BeNil())
		g.Expect(f.NotRun()).To(BeFalse(), data)
		g.Expect(f.Outcome).To(Equal(string(failure.Unknown)), data)
	}
}
