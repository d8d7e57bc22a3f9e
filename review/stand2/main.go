// Command stand2 plays the cases of the second review: it starts entry hosts of the project with the command of
// the deploy file, before stand-ins for the platform's store, the backend servers and the clients. All
// addresses are loopback addresses.
//
//	stand2 CASE FOLDER
//
// FOLDER receives record.txt. The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitCannot   = 2
	disruptedEnv = "TROUBLE"
)

// cases returns for each case the function that plays it. It returns what broke the rule.
var cases = map[string]func(r *record, trouble bool) (broken []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(exitCannot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	signal.Ignore(syscall.SIGPIPE)
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	broken, err := cases[name](r, os.Getenv(disruptedEnv) != "0")
	if err != nil {
		r.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannot
	}
	for _, line := range broken {
		r.add("BROKEN: %s", line)
		fmt.Println(line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
