package main

import (
	"errors"
	"net/http"
	"time"
)

func init() {
	cases["14"], zones["14"] = reportAfterRestart, []string{"za", "zb", "zc"}
}

// drainBound is drainS.
const drainBound = 2 * time.Second

// reportAfterRestart: an instance reports that it is gone, its node is killed and started again, and a
// report that the instance sent before arrives late.
func reportAfterRestart(w *world) (held bool, err error) {
	rules := newManifest(1, nil, "alpha", "beta")
	for i := range rules.Routes {
		rules.Routes[i].Kind = "non_idempotent"
	}
	w.store.put("config", rules.text())
	for i, z := range w.zones {
		if _, err := w.add(z, []string{"alpha", "alpha", "beta"}[i], 300*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(w.machines...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	for _, m := range w.machines[1:] {
		go newClient(m).load(stop, 20, "/alpha/", "")
	}
	w.record.note("clients send 20 requests a second, which may run once, to %s and %s", w.machines[1].name, w.machines[2].name)
	time.Sleep(3 * time.Second)
	leaving := w.machines[0]
	late := leaving.instance.nextReport()
	w.record.note("instance %s sends a report that it is ready, which arrives late", leaving.instance.id)
	sent := time.Now()
	time.Sleep(200 * time.Millisecond)
	ack := leaving.instance.leave()
	w.record.note("the instance reports that it is gone, and the node acknowledges it; the instance serves on")
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		leaving.kill()
		w.record.note("the node of %s is killed", leaving.name)
		time.Sleep(300 * time.Millisecond)
		if err := leaving.startNode(); err != nil {
			return false, err
		}
		w.record.note("it is started again")
	}
	time.Sleep(time.Until(sent.Add(6500 * time.Millisecond)))
	err = leaving.control("PUT", leaving.instance.id, late)
	w.record.note("the report arrives, %.1f s late (answer: %v)", time.Since(sent).Seconds(), err)
	time.Sleep(time.Until(ack.Add(13 * time.Second)))
	_ = leaving.instance.server.Close()
	exit := time.Now()
	w.record.note("the instance exits")
	close(stop)
	time.Sleep(time.Second)
	runs, answers := w.record.all()
	served := make(map[string]bool, len(answers))
	for _, a := range answers {
		served[a.id] = a.status == http.StatusOK
	}
	after, lost, others := 0, 0, 0
	for _, r := range runs {
		switch {
		case r.at.Before(ack.Add(drainBound)) || r.at.After(exit):
		case r.instance == leaving.instance.id:
			after++
			if !served[r.id] {
				lost++
			}
		default:
			others++
		}
	}
	w.record.note("later than %.0f s after the ack, the instance that had left ran %d requests, the other one %d", drainBound.Seconds(), after, others)
	w.record.note("of those that reached the instance that had left, %d got no answer of it: it exited", lost)
	if others == 0 {
		return false, errors.New("no instance ran a request")
	}
	return after == 0, nil
}
