package entry

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Buffers for what servers send. One answer may fill its buffer; all of them together stay within a limit, since
// any number of servers may send much at a time.

// defaultBufferLimit applies where the host has no limit of memory.
const defaultBufferLimit = 64 << 20

// bufferLimit bounds the memory of all buffers, beyond the first bytes of each. The zero value has
// defaultBufferLimit.
type bufferLimit struct {
	limit atomic.Int64
	used  atomic.Int64
}

func (l *bufferLimit) set(bytes int64) { l.limit.Store(bytes) }

// take reserves memory and reports whether the limit allows it.
func (l *bufferLimit) take(bytes int) bool {
	limit := l.limit.Load()
	if limit <= 0 {
		limit = defaultBufferLimit
	}
	if l.used.Add(int64(bytes)) <= limit {
		return true
	}
	l.used.Add(-int64(bytes))
	return false
}

func (l *bufferLimit) release(bytes int) { l.used.Add(-int64(bytes)) }

// answerBuffer is a buffer that grows as it is filled. release must be called at the end.
type answerBuffer struct {
	bytes []byte
	limit *bufferLimit
	first int // its size before it has grown
	max   int
	taken int // from limit
}

func newAnswerBuffer(limit *bufferLimit, first, largest int) *answerBuffer {
	return &answerBuffer{bytes: make([]byte, 0, first), limit: limit, first: first, max: largest}
}

// The errors of a buffer that may not grow further.
var (
	errBufferMax   = failure.New(failure.ServerError, "more than may be buffered of an event or answer")
	errBufferLimit = failure.New(failure.ServerError, "the memory for buffers is used up")
)

func isBufferFull(err error) bool {
	return errors.Is(err, errBufferMax) || errors.Is(err, errBufferLimit)
}

// readFrom appends the available data. It grows the buffer when it is full, and fails with errBufferMax or
// errBufferLimit if it may not.
func (b *answerBuffer) readFrom(r io.Reader) (int, error) {
	if len(b.bytes) == cap(b.bytes) {
		more := min(cap(b.bytes), b.max-cap(b.bytes))
		if more <= 0 {
			return 0, errBufferMax
		}
		if !b.limit.take(more) {
			return 0, errBufferLimit
		}
		b.taken += more
		b.bytes = append(make([]byte, 0, cap(b.bytes)+more), b.bytes...)
	}
	n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
	b.bytes = b.bytes[:len(b.bytes)+n]
	return n, err
}

// drop removes the first n bytes, and gives back the memory that is no longer needed.
func (b *answerBuffer) drop(n int) {
	rest := b.bytes[n:]
	if b.taken > 0 && len(rest) <= b.first {
		b.release()
		b.bytes = make([]byte, 0, b.first)
	}
	b.bytes = append(b.bytes[:0], rest...)
}

func (b *answerBuffer) release() {
	b.limit.release(b.taken)
	b.taken = 0
}
