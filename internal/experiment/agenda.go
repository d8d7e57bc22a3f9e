package experiment

import "time"

// scheduledEvent is an event of the simulation at a virtual time. Events at the same time
// run in the order of seq, in which they were scheduled.
type scheduledEvent struct {
	at  time.Duration
	seq int
	do  func(now time.Duration)
}

// eventQueue is a heap of future events, earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
