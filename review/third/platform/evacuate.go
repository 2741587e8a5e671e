package main

import (
	"fmt"
	"time"
)

func init() {
	cases["13"], zones["13"] = evacuationAfterRestore, []string{"za", "zb", "zc"}
}

// inTouch is the time without a disturbance after which a machine is in touch again, and longer than
// inTouchS.
const inTouch = 4 * time.Second

// evacuateBound is evacuateS.
const evacuateBound = 5 * time.Second

// evacuationAfterRestore: machines are added and a manifest is sent, then the store comes back from a
// copy from before that, and the operator writes the manifest again. Later a zone is evacuated.
func evacuationAfterRestore(w *world) (held bool, err error) {
	w.store.put("config", newManifest(1, nil, "alpha").text())
	for _, z := range w.zones {
		if _, err := w.add(z, "alpha", 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(w.machines...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	for _, m := range w.machines {
		go newClient(m).load(stop, 20, "/alpha/", "")
	}
	w.record.note("clients send 20 requests a second to each of the %d machines", len(w.machines))
	time.Sleep(2 * time.Second)
	before := w.store.copyNow()
	first := len(w.machines)
	for _, z := range w.zones[:2] {
		if _, err := w.add(z, "alpha", 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(w.machines[first:]...); err != nil {
		return false, err
	}
	second := newManifest(2, nil, "alpha", "beta").text()
	w.record.note("the operator writes manifest 2, acknowledged with version %d", w.store.put("config", second))
	time.Sleep(3 * time.Second)
	w.restore(before)
	if w.trouble {
		w.record.note("the operator writes manifest 2 again, acknowledged with version %d", w.store.put("config", second))
	}
	time.Sleep(inTouch)
	out := w.zones[0]
	ver := w.store.put("evacuate/"+out, []byte("{}"))
	ack := time.Now()
	w.record.note("the operator evacuates zone %s, acknowledged with version %d", out, ver)
	time.Sleep(evacuateBound + 7*time.Second)
	w.store.remove("evacuate/" + out)
	back := time.Now()
	w.record.note("the operator takes the zone back")
	time.Sleep(time.Second)
	close(stop)
	time.Sleep(time.Second)
	runs, _ := w.record.all()
	late, total := 0, 0
	for _, r := range runs {
		if r.at.After(ack.Add(evacuateBound)) && r.at.Before(back) {
			total++
			if r.zone == out {
				late++
			}
		}
	}
	w.record.note("later than %.0f s after the evacuation was acknowledged and before the zone was taken back, instances ran %d requests, %d of them in zone %s",
		evacuateBound.Seconds(), total, late, out)
	if total == 0 {
		return false, fmt.Errorf("no instance ran a request")
	}
	return late == 0, nil
}
