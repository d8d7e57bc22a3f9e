package event

import "sort"

// Merge orders the events of many hosts: by Lamport time first, which never
// puts an effect before its cause, then by host name, so that the same
// events always merge to the same line.
func Merge(lines ...[]Event) []Event {
	var all []Event
	for _, l := range lines {
		all = append(all, l...)
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
