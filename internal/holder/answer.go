package holder

import (
	"bytes"
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Answer is the answer to one request, both while it arrives and afterwards.
// It is append-only until it is dropped; any number of readers follow it by
// byte offset. mu guards all fields below it.
type Answer struct {
	mu          sync.Mutex
	status      int
	contentType string
	data        []byte
	parts       int
	partsDigest *xxhash.Digest // xxh64 of the parts' payloads, as the server computes it
	ended       bool
	err         *failure.Error // final error of an answer that is not complete
	changed     chan struct{}  // closed and replaced at each change
}

func newAnswer() *Answer {
	return &Answer{partsDigest: xxhash.New(), changed: make(chan struct{})}
}

// wake notifies the readers of a change. The caller holds mu.
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

// addPart appends the part with the given index. It reports false for a part
// that is not the next one, and after the end of the answer.
func (a *Answer) addPart(index int, payload, framed []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if index != a.parts || a.ended {
		return false
	}
	a.parts++
	_, _ = a.partsDigest.Write(payload)
	a.data = append(a.data, framed...)
	a.wake()
	return true
}

// addAt appends bytes received from a relay at an offset. Bytes that overlap
// existing ones must be identical. It reports false when they differ, when the
// offset leaves a gap, and after the end of the answer.
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

// finish ends the answer; a nil err means that it is complete. Only the first
// call has an effect.
func (a *Answer) finish(err *failure.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended, a.err = true, err
	a.wake()
}

// drop frees the bytes of an ended answer. Later reads fail with
// AnswerDropped.
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

// received returns the number of parts so far and their checksum.
func (a *Answer) received() (parts int, sum uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.parts, a.partsDigest.Sum64()
}

// Head returns the status and content type. Both are zero before the first
// byte.
func (a *Answer) Head() (int, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.status, a.contentType
}

// LengthAndChecksum returns the length and xxh64 checksum of the bytes received so far.
// They are those of the complete answer once it has ended without an error.
func (a *Answer) LengthAndChecksum() (length int, sum uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.data), xxhash.Sum64(a.data)
}

// Read returns the bytes from offset on. It waits until there are some or the
// answer has ended. The error is the answer's final error, or Withdrawn when
// ctx ends.
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
