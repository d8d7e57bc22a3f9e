// Command stand runs the cases of the review: it stands in for the platform, the backend servers and the
// clients, and starts the project's entry hosts with the command of the deploy file.
//
// Its exit code is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime is the longest time that a case may take.
const maxTime = 110 * time.Second

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(e *env) (broken bool, err error){
	"drill":       drill,
	"late-drain":  lateDrain,
	"cut-stream":  cutStream,
	"move-store":  moveStore,
	"second-home": secondHome,
}

// env is what a case runs in.
type env struct {
	dir     string
	rec     *record
	trouble bool // with the disruption
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD-FILE")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	e := &env{dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](e)
		done <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	var o outcome
	select {
	case o = <-done:
	case <-interrupted:
		o.err = errors.New("interrupted")
		stopFleets()
	case <-time.After(maxTime):
		o.err = errors.New("the case takes too long")
		stopFleets()
	}
	switch {
	case o.err != nil:
		rec.say("the case could not run: %s", o.err)
		return exitFailed
	case o.broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
