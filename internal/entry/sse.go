package entry

import "bytes"

// Server-sent events. A line ends with LF, CRLF or CR, and an event with an empty line.

var endOfEvent = []byte("\n\n")

// lastEventEnd returns the position after the last complete event in b, 0 if there is none. The first known
// bytes of b have no end of an event.
func lastEventEnd(b []byte, known int) int {
	for end := len(b); end > known; end-- {
		if line, ok := cutLineEnd(b[:end]); ok {
			if _, ok := cutLineEnd(line); ok {
				return end
			}
		}
	}
	return 0
}

// cutLineEnd returns b without the line end that it ends with.
func cutLineEnd(b []byte) (line []byte, ok bool) {
	if n := len(b); n > 0 {
		switch {
		case b[n-1] == '\r':
			return b[:n-1], true
		case b[n-1] == '\n':
			return bytes.TrimSuffix(b[:n-1], []byte{'\r'}), true
		}
	}
	return b, false
}

// withLF returns b with all line ends as LF.
func withLF(b []byte) []byte {
	if bytes.IndexByte(b, '\r') < 0 {
		return b
	}
	b = bytes.ReplaceAll(b, []byte("\r\n"), []byte("\n"))
	return bytes.ReplaceAll(b, []byte("\r"), []byte("\n"))
}

// countEvents returns the number of complete events in b.
func countEvents(b []byte) int { return bytes.Count(withLF(b), endOfEvent) }

var idField = []byte("id:")

// lastID returns the id of the newest event that has one.
func lastID(events []byte) string {
	events = withLF(events)
	for end := len(events); end > 0; {
		start := bytes.LastIndexByte(events[:end-1], '\n') + 1
		line := events[start:end]
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
		end = start
	}
	return ""
}
