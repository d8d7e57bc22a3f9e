//go:build race

package test

// raceArgs are build flags that enable the race detector in the processes under test.
var raceArgs = []string{"-race"}
