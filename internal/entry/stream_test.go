package entry

import (
	"bytes"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var endsWithEvent = regexp.MustCompile("(\r\n|\n|\r)(\r\n|\n|\r)$")

// FuzzEvents reads a stream in pieces of any size. What is forwarded as complete events
// must end at the end of an event, and the newest id must be one that was sent.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), uint8(7))
	f.Add([]byte("\n\nid:\n\n\n"), uint8(1))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\rdata: b\r\rid"), uint8(3))
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		r := bytes.NewReader(text)
		buf := newAnswerBuffer(&bufferLimit{}, int(piece)+1, maxEventBytes)
		var forwarded []byte
		for {
			n, err := buf.readFrom(r)
			if complete := lastEventEnd(buf.bytes, len(buf.bytes)-n); n > 0 && complete > 0 {
				forwarded = append(forwarded, buf.bytes[:complete]...)
				buf.drop(complete)
			}
			if err != nil {
				break
			}
		}
		if !bytes.Equal(append(bytes.Clone(forwarded), buf.bytes...), text) {
			t.Fatalf("%q and %q of %q", forwarded, buf.bytes, text)
		}
		if len(forwarded) > 0 && !endsWithEvent.Match(forwarded) {
			t.Fatalf("%q does not end with an event", forwarded)
		}
		if id := lastID(forwarded); id != "" && !bytes.Contains(forwarded, []byte(id)) {
			t.Fatalf("id %q is not in %q", id, forwarded)
		}
	})
}

var _ = Describe("the events of a stream", func() {
	// Guards against events that are held back until the stream ends because their lines end CRLF or CR.
	DescribeTable("are complete after an empty line",
		func(complete, rest string, events int, id string) {
			for _, end := range []string{"\n", "\r\n", "\r"} {
				text := []byte(strings.ReplaceAll(complete+rest, "\n", end))
				n := lastEventEnd(text, 0)
				Expect(string(text[:n])).To(Equal(strings.ReplaceAll(complete, "\n", end)))
				Expect(countEvents(text[:n])).To(Equal(events))
				Expect(lastID(text[:n])).To(Equal(id))
			}
		},
		Entry("two, and a part of the next", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n", 2, "2"),
		Entry("none", "", "id: 1\ndata: a\n", 0, ""),
		Entry("without an id", "data: a\n\n", "", 1, ""),
		Entry("with a comment", ": c\nid: 7\ndata: a\n\n", ": c\n", 1, "7"),
	)
})
