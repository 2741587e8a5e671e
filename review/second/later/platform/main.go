// Command platform plays a script of the second review, of its later sitting: the nodes of a small deployment, with stand-ins for the
// platform's store, its instances and clients.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is a case: places is where its machines are, and run plays it in a deployment that is not started
// yet.
type play struct {
	places []place
	run    func(d *deployment) (err error)
}

var plays = map[string]play{
	"broken-copy":  {brokenCopyPlaces, brokenCopy},
	"planned-stop": {plannedStopPlaces, plannedStop},
	"tenant-back":  {tenantBackPlaces, tenantBack},
	"lost-regions": {lostRegionsPlaces, lostRegions},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: platform CASE FOLDER")
		os.Exit(exitNotRun)
	}
	p, found := plays[os.Args[1]]
	if !found {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(p.play(os.Args[2]))
}

func (p play) play(folder string) (status int) {
	begun := time.Now()
	d, err := newDeployment(folder, p.places)
	if err == nil {
		err = p.run(d)
	}
	if ended := d.end(); err == nil {
		err = ended
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	fmt.Printf("%d requests, %d runs, %d times broken, %.0f s\n", len(d.rec.requests), len(d.rec.runs), len(d.rec.breaks), time.Since(begun).Seconds())
	for k, text := range d.rec.breaks {
		if k == 10 {
			fmt.Println("...")
			break
		}
		fmt.Println("rule broken:", text)
	}
	if len(d.rec.breaks) > 0 {
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
