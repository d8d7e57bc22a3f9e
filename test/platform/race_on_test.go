//go:build race

package platform

// raceArgs are build flags that enable the race detector in gentianhost too.
var raceArgs = []string{"-race"}
