// Package notify wakes the duties that follow a changing state.
package notify

import "sync"

// Set is a set of subscribers. The zero value is ready. mu guards listeners.
type Set struct {
	mu        sync.Mutex
	listeners []chan struct{}
}

// Subscribe returns a channel that yields a token after changes; many changes
// before it is read yield one token.
func (s *Set) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	s.listeners = append(s.listeners, c)
	s.mu.Unlock()
	return c
}

// Notify wakes all subscribers and never blocks.
func (s *Set) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.listeners {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
