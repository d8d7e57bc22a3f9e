// Package notify signals subscribers that a shared state has changed.
package notify

import "sync"

// Set is a set of subscribers. The zero value is ready for use. mu guards
// subscribers.
type Set struct {
	mu          sync.Mutex
	subscribers []chan struct{}
}

// Subscribe returns a channel that receives a token after each change. Changes
// that occur before the token is read are merged into one.
func (s *Set) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	s.subscribers = append(s.subscribers, c)
	s.mu.Unlock()
	return c
}

// Notify signals all subscribers without blocking.
func (s *Set) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
