package entry

import (
	"bytes"
	"testing"
)

// FuzzEvents reads a stream in pieces of any size. What is forwarded as complete events
// must end at the end of an event, and the newest id must be one that was sent.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), uint8(7))
	f.Add([]byte("\n\nid:\n\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		r := bytes.NewReader(text)
		buf := make([]byte, 0, int(piece)+1)
		var forwarded []byte
		for {
			n, err := readMore(r, &buf)
			if complete := bytes.LastIndex(buf, endOfEvent) + len(endOfEvent); n > 0 && complete >= len(endOfEvent) {
				forwarded = append(forwarded, buf[:complete]...)
				buf = append(buf[:0], buf[complete:]...)
			}
			if err != nil {
				break
			}
		}
		if !bytes.Equal(append(bytes.Clone(forwarded), buf...), text) {
			t.Fatalf("%q and %q of %q", forwarded, buf, text)
		}
		if len(forwarded) > 0 && !bytes.HasSuffix(forwarded, endOfEvent) {
			t.Fatalf("%q does not end with an event", forwarded)
		}
		if id := lastID(forwarded); id != "" && !bytes.Contains(forwarded, []byte(id)) {
			t.Fatalf("id %q is not in %q", id, forwarded)
		}
	})
}
