//go:build !race

package test

var raceArgs []string
