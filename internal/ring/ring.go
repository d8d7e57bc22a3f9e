// Package ring provides a bounded queue with many producers and one consumer.
// The consumer takes all queued items at once, so that a burst costs one wake-up
// and one flush instead of one for each item.
package ring

import (
	"context"
	"sync"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Ring is a bounded FIFO queue. mu guards buf, head and n. The channels ready
// and space each hold at most one token.
type Ring[T any] struct {
	mu    sync.Mutex
	buf   []T
	head  int
	n     int
	ready chan struct{}
	space chan struct{}
}

// New returns a ring with room for size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{buf: make([]T, size), ready: make(chan struct{}, 1), space: make(chan struct{}, 1)}
}

// TryPush adds v without blocking and reports false if the ring is full.
func (r *Ring[T]) TryPush(v T) bool {
	r.mu.Lock()
	ok := r.n < len(r.buf)
	if ok {
		r.buf[(r.head+r.n)%len(r.buf)] = v
		r.n++
	}
	r.mu.Unlock()
	if ok {
		signal(r.ready)
	}
	return ok
}

// Push adds v, blocking while the ring is full. It fails with RingFull if ctx
// ends first.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	for !r.TryPush(v) {
		select {
		case <-r.space:
		case <-ctx.Done():
			return failure.Wrap(failure.RingFull, ctx.Err(), "wait for room in a ring of %d items", len(r.buf))
		}
	}
	// One token wakes one producer; wake the next while there is still room.
	if r.Len() < len(r.buf) {
		signal(r.space)
	}
	return nil
}

// Drain removes all queued items and returns dst with the items appended.
func (r *Ring[T]) Drain(dst []T) []T {
	r.mu.Lock()
	var zero T
	for ; r.n > 0; r.n-- {
		dst = append(dst, r.buf[r.head])
		r.buf[r.head] = zero
		r.head = (r.head + 1) % len(r.buf)
	}
	r.mu.Unlock()
	signal(r.space)
	return dst
}

// Ready returns a channel that receives a token after items were pushed.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
