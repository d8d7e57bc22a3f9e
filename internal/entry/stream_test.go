package entry

import (
	"bytes"
	"testing"
)

// FuzzEvents cuts a stream in pieces as it may arrive: what is passed on as whole
// events ends where an event ends, and the newest id is one that was sent.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), uint8(7))
	f.Add([]byte("\n\nid:\n\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		r := bytes.NewReader(text)
		buf := make([]byte, 0, int(piece)+1)
		var passed []byte
		for {
			n, err := readMore(r, &buf)
			if whole := bytes.LastIndex(buf, endOfEvent) + len(endOfEvent); n > 0 && whole >= len(endOfEvent) {
				passed = append(passed, buf[:whole]...)
				buf = append(buf[:0], buf[whole:]...)
			}
			if err != nil {
				break
			}
		}
		if !bytes.Equal(append(bytes.Clone(passed), buf...), text) {
			t.Fatalf("%q and %q of %q", passed, buf, text)
		}
		if len(passed) > 0 && !bytes.HasSuffix(passed, endOfEvent) {
			t.Fatalf("%q does not end with an event", passed)
		}
		if id := lastID(passed); id != "" && !bytes.Contains(passed, []byte(id)) {
			t.Fatalf("id %q is not in %q", id, passed)
		}
	})
}
