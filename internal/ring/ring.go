// Package ring provides the bounded queue that joins two duties. Many
// goroutines may push; one goroutine takes everything that waits at once, so
// that a burst costs one wake-up and one flush, not one for each item.
package ring

import (
	"context"
	"sync"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Ring is a bounded first-in first-out queue.
// mu guards buf, head and n. ready and space each hold at most one token.
type Ring[T any] struct {
	mu    sync.Mutex
	buf   []T
	head  int
	n     int
	ready chan struct{}
	space chan struct{}
}

// New makes a ring for size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{buf: make([]T, size), ready: make(chan struct{}, 1), space: make(chan struct{}, 1)}
}

// TryPush adds v, or reports false at once when the ring is full.
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

// Push adds v and waits for room. It fails with RingFull when ctx ends first.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	for !r.TryPush(v) {
		select {
		case <-r.space:
		case <-ctx.Done():
			return failure.Wrap(failure.RingFull, ctx.Err(), "ring of %d items stayed full", len(r.buf))
		}
	}
	// One token wakes one pusher; hand it on while there is still room.
	if r.Len() < len(r.buf) {
		signal(r.space)
	}
	return nil
}

// Drain moves all waiting items behind dst and returns it.
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

// Ready yields a token after items were pushed.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Len returns how many items wait.
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
