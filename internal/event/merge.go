package event

import "sort"

// Merge combines the events of several hosts into one timeline. It sorts by
// Lamport time, which never puts an effect before its cause, then by host name,
// so that the result is deterministic.
func Merge(timelines ...[]Event) []Event {
	var all []Event
	for _, events := range timelines {
		all = append(all, events...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.Lamport != b.Lamport {
			return a.Lamport < b.Lamport
		}
		return a.Host < b.Host
	})
	return all
}
