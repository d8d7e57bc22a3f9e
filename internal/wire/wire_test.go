package wire_test

import (
	"bufio"
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/cellwire"
	"github.com/gentianflow/gentianflow/internal/core"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire")
}

var _ = Describe("message framing", func() {
	It("rejects a message over the size limit without reading it", func() {
		// The varint length prefix is 2^40.
		r := bufio.NewReader(bytes.NewReader([]byte{0x80, 0x80, 0x80, 0x80, 0x80, 0x20}))
		Expect(failure.Is(wire.Read(r, &wire.Batch{}), failure.BadFrame)).To(BeTrue())
	})

	It("distinguishes a truncated message from a malformed one", func() {
		var b bytes.Buffer
		Expect(wire.Write(&b, &wire.Hello{Host: "entry-1"})).To(Succeed())
		cut := bufio.NewReader(bytes.NewReader(b.Bytes()[:b.Len()-2]))
		Expect(failure.Is(wire.Read(cut, &wire.Hello{}), failure.PeerSilent)).To(BeTrue())
		bad := bufio.NewReader(bytes.NewReader([]byte{3, 0xff, 0xff, 0xff}))
		Expect(failure.Is(wire.Read(bad, &wire.Hello{}), failure.BadFrame)).To(BeTrue())
	})

	It("encodes a Register frame in the size that the control traffic budget allows", func() {
		req := core.Request{
			ID: ident.NewRequestID(ident.NewIncarnation()), Account: 1 << 31, Tier: 3, PromptTokens: 30500, OutputTokens: 700,
			Prefix: 1 << 63, PrefixTokens: 30000, PromptKey: 1 << 62,
		}
		var b bytes.Buffer
		Expect(wire.Write(&b, &wire.Batch{Frames: []*wire.Frame{cellwire.RegisterFrame(&req, 90e9)}})).To(Succeed())
		Expect(b.Len()).To(BeNumerically("<", 80))
	})
})

// FuzzRead checks that any input to Read gives either an error with the code
// BadFrame or PeerSilent, or a batch that a cell processes without a panic.
func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	id := ident.NewRequestID(7)
	_ = wire.Write(&b, &wire.Batch{Frames: []*wire.Frame{{Body: &wire.Frame_Withdraw{Withdraw: id[:]}}, {Body: &wire.Frame_Heard{Heard: 5}}}})
	f.Add(b.Bytes())
	f.Add([]byte{0x80, 0x80, 0x80, 0x80, 0x80, 0x20})
	f.Fuzz(func(t *testing.T, in []byte) {
		var batch wire.Batch
		if err := wire.Read(bufio.NewReader(bytes.NewReader(in)), &batch); err != nil {
			if c := failure.From(err).Code; c != failure.BadFrame && c != failure.PeerSilent {
				t.Fatalf("unexpected error code: %v", err)
			}
			return
		}
		cell := core.NewCell(0, core.DefaultPolicy())
		cell.Step(0, core.Report{Holder: 7, Stamp: 1}, nil)
		for _, fr := range batch.Frames {
			if ev, err := cellwire.Event(fr, 7, 0); err == nil {
				cell.Step(0, ev, nil)
			}
			_, _ = cellwire.Action(fr)
		}
	})
}
