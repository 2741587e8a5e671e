// Command standin plays the cases of the third review: it starts nodes with the command of the deploy
// file, and is their platform, their instances and their clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// errCannotRun means that a case could not run.
var errCannotRun = errors.New("the case could not run")

// cases holds the cases by their folder below review/. Each reports whether the rule held.
var cases = map[string]func(w *world) (held bool, err error){}

// zones holds the zones of each case.
var zones = map[string][]string{}

// Exit statuses of a script.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) (status int) {
	if len(args) != 2 || cases[args[1]] == nil {
		fmt.Println("usage: standin ROOT CASE")
		return exitCannotRun
	}
	root, name := args[0], args[1]
	r := newRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(root, r, trouble, zones[name]...)
	if err != nil {
		fmt.Println(err)
		return exitCannotRun
	}
	held, err := cases[name](w)
	for _, m := range w.machines {
		if err == nil && !m.stopping && m.process != nil && !m.alive() {
			r.note("the node of %s ended by itself", m.name)
		}
	}
	w.close()
	switch {
	case err != nil:
		r.note("%v: %v", errCannotRun, err)
		status = exitCannotRun
	case held:
		r.note("the rule held")
	default:
		r.note("the rule is broken")
		status = exitBroken
	}
	if err := r.write(filepath.Join(root, "review", name, "record.txt")); err != nil {
		fmt.Println(err)
		return exitCannotRun
	}
	return status
}
