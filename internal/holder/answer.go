package holder

import (
	"bytes"
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Answer is the answer to one request while it arrives and after. It only
// grows; any number of readers follow it by offset.
// mu guards all fields below it.
type Answer struct {
	mu          sync.Mutex
	status      int
	contentType string
	data        []byte
	parts       int
	partSum     *xxhash.Digest // over the parts' payloads, as the server sums them
	ended       bool
	err         *failure.Error // the final word when it is not the whole answer
	changed     chan struct{}  // closed and renewed at each change
}

func newAnswer() *Answer {
	return &Answer{partSum: xxhash.New(), changed: make(chan struct{})}
}

// wake tells the readers of a change. The caller holds mu.
func (a *Answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Answer) begin(status int, contentType string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status == 0 {
		a.status, a.contentType = status, contentType
		a.wake()
	}
}

// addPart appends the part of an index; it refuses one that is not next.
func (a *Answer) addPart(index int, payload, framed []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if index != a.parts || a.ended {
		return false
	}
	a.parts++
	_, _ = a.partSum.Write(payload)
	a.data = append(a.data, framed...)
	a.wake()
	return true
}

// addAt appends bytes at an offset, as a relay receives them. What is there
// already must be the same; it reports false when it is not.
func (a *Answer) addAt(offset int, data []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset > len(a.data) || a.ended {
		return false
	}
	known := min(len(a.data)-offset, len(data))
	if !bytes.Equal(a.data[offset:offset+known], data[:known]) {
		return false
	}
	if known < len(data) {
		a.data = append(a.data, data[known:]...)
		a.wake()
	}
	return true
}

// finish ends the answer: whole when err is nil. Only the first call counts.
func (a *Answer) finish(err *failure.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended, a.err = true, err
	a.wake()
}

// drop frees the bytes of an ended answer; who reads it later is told so.
func (a *Answer) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.data = nil
	a.err = &failure.Error{Code: failure.AnswerDropped, Message: "it ran; its answer was not kept"}
	a.wake()
}

func (a *Answer) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.data)
}

func (a *Answer) next() (parts int, sum uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.parts, a.partSum.Sum64()
}

// Head returns the status and content type, zero before the first byte.
func (a *Answer) Head() (int, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.status, a.contentType
}

// Whole returns length and checksum of an answer that ended whole.
func (a *Answer) Whole() (length int, sum uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.data), xxhash.Sum64(a.data)
}

// Read returns the bytes from offset on and waits until there are some or
// the answer has ended. The error is the final word, or ctx's end.
func (a *Answer) Read(ctx context.Context, offset int) (data []byte, ended bool, err error) {
	for {
		a.mu.Lock()
		changed := a.changed
		if offset < len(a.data) {
			data = a.data[offset:len(a.data):len(a.data)]
		}
		ended = a.ended
		if a.err != nil {
			err = a.err
		}
		a.mu.Unlock()
		if len(data) > 0 || ended {
			return data, ended, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, failure.Wrap(failure.Withdrawn, ctx.Err(), "reader left")
		}
	}
}
