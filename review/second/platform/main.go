// Command second plays the scripts of the second review.
package main

import (
	"fmt"
	"os"
)

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	cases := map[string]func(f *fleet){
		"slow-instance": slowInstance, "stray-bytes": strayBytes, "cold-again": coldAgain, "late-report": lateReport, "early-answer": earlyAnswer, "turned-away": turnedAway, "silent-store": silentStore,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: second CASE FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](newFleet(os.Args[2]))
}
