package experiment

import "time"

// happening is something that comes at a time; seq keeps those of one moment in
// the order in which they were planned.
type happening struct {
	at  time.Duration
	seq int
	do  func(now time.Duration)
}

// agenda is a heap of what is to come, soonest first.
type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(happening)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}
