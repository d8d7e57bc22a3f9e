// Package hangup receives SIGHUP from the initialization of the program on. The signal ends a process that has not
// registered for it, and the packages of a host take several milliseconds to initialize. This package has hardly any
// dependencies and is therefore one of the first.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives SIGHUP.
var Signals = register()

func register() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
