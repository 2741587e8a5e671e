package main

import "time"

func init() {
	cases["12"], zones["12"] = withdrawalAfterRestore, []string{"za", "zb", "zc"}
}

// applyBound is configApplyS, and stretch what an unstable store adds to it at most.
const applyBound, stretch = 2 * time.Second, 5 * time.Second

// withdrawalAfterRestore: a machine is added and a manifest is sent, then the store comes back from a
// copy from before that. The operator writes the manifest again, and next the one that withdraws a key.
func withdrawalAfterRestore(w *world) (held bool, err error) {
	version := func(n int, services []string, keys ...string) (text []byte) {
		return newManifest(n, []tenant{{Name: "north", Keys: keys}}, services...).text()
	}
	services := []string{"alpha"}
	w.store.put("config", version(1, services, "key-1", "key-2"))
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
		go newClient(m).load(stop, 10, "/alpha/", "key-1")
		go newClient(m).load(stop, 10, "/alpha/", "key-2")
	}
	w.record.note("clients send 10 requests a second with each of key-1 and key-2 to each machine")
	time.Sleep(2 * time.Second)
	before := w.store.copyNow()
	added, err := w.add(w.zones[0], "alpha", 10*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := w.awaitReady(added); err != nil {
		return false, err
	}
	services = append(services, "beta")
	w.record.note("the operator writes manifest 2, which adds a route, acknowledged with version %d", w.store.put("config", version(2, services, "key-1", "key-2")))
	time.Sleep(3 * time.Second)
	w.restore(before)
	if w.trouble {
		time.Sleep(writeTime)
		w.record.note("the operator writes manifest 2 again, acknowledged with version %d", w.store.put("config", version(2, services, "key-1", "key-2")))
	}
	time.Sleep(writeTime)
	w.record.note("the operator writes manifest 3, which withdraws key-1, acknowledged with version %d", w.store.put("config", version(3, services, "key-2")))
	ack := time.Now()
	time.Sleep(applyBound + stretch + 10*time.Second)
	close(stop)
	time.Sleep(time.Second)
	return w.judgeWithdrawal(ack, "key-1"), nil
}

// judgeWithdrawal checks the rule CONFIG: no request with the key runs that was sent later than the
// bound after the ack.
func (w *world) judgeWithdrawal(ack time.Time, key string) (held bool) {
	runs, answers := w.record.all()
	sent := make(map[string]answered, len(answers))
	for _, a := range answers {
		sent[a.id] = a
	}
	ran, asked := 0, 0
	for _, a := range answers {
		if a.key == key && a.sent.After(ack.Add(applyBound+stretch)) {
			asked++
		}
	}
	for _, r := range runs {
		if a := sent[r.id]; a.key == key && a.sent.After(ack.Add(applyBound+stretch)) {
			ran++
		}
	}
	w.record.note("of %d requests with %s that were sent later than %.0f s after the ack of its withdrawal, %d ran", asked, key, (applyBound + stretch).Seconds(), ran)
	return ran == 0
}
