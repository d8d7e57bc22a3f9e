package store

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/wire"
)

var _ = Describe("the compressed rows of a reply", func() {
	reply := func(rows ...*wire.TableRow) *wire.TableReply {
		packed, err := deflate(&wire.TableRows{Rows: rows})
		Expect(err).NotTo(HaveOccurred())
		return &wire.TableReply{Packed: packed}
	}

	// Guards against a list of servers or a configuration without its last rows: a message that is cut off
	// between two rows can be decoded.
	It("are refused, not cut off, above their maximum size", func() {
		first := &wire.TableRow{Key: "a", Value: make([]byte, maxUncompressed)}
		first.Value = first.Value[:2*maxUncompressed-proto.Size(&wire.TableRows{Rows: []*wire.TableRow{first}})]
		rows, err := unpack(reply(first, &wire.TableRow{Key: "b", Value: []byte("x")}))
		Expect(failure.Is(err, failure.BadFrame)).To(BeTrue(), "%d rows: %v", len(rows), err)
	})

	It("are all there below it", func() {
		rows, err := unpack(reply(&wire.TableRow{Key: "a", Value: []byte("x")}, &wire.TableRow{Key: "b", Value: []byte("x")}))
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(2))
	})
})
