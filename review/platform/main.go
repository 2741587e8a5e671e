// Command standin plays the cases of this review: it starts node processes with the command of
// the deploy file, and stands in for the platform, the instances and the clients.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	troubleName = "TROUBLE"
)

// cases holds the cases by name; each file with a case adds its own.
var cases = map[string]func(f *fleet, trouble bool) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIRECTORY")
		os.Exit(exitCannot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, dir string) (status int) {
	if _, err := os.Stat("target/quetzalstack"); err != nil {
		fmt.Fprintln(os.Stderr, "run the build command of deploy/system.toml first:", err)
		return exitCannot
	}
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer rec.close()
	trouble := os.Getenv(troubleName) != "0"
	rec.note("case %s, disruption %t", name, trouble)
	f, err := newFleet(rec)
	if err != nil {
		rec.note("the case cannot run: %v", err)
		return exitCannot
	}
	err = cases[name](f, trouble)
	f.stop()
	switch {
	case err != nil:
		rec.note("the case cannot run: %v", err)
		return exitCannot
	case rec.violations > 0:
		rec.note("the rule was broken %d times", rec.violations)
		return exitBroken
	}
	rec.note("the rule held")
	return exitHeld
}
