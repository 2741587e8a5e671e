package main

import "time"

func init() {
	cases["11"], zones["11"] = contractAfterRestore, []string{"za", "zb", "zc"}
}

// Quota of the tenant in contractAfterRestore.
const quotaRate, quotaBurst = 20, 20

// contractAfterRestore: a fleet starts, the store comes back from a copy from before that, and later
// machines are added. A tenant sends more than its quota at the old and at the new machines.
func contractAfterRestore(w *world) (held bool, err error) {
	quota := tenant{Name: "north", Keys: []string{"key-of-north"}, Rate: quotaRate, Burst: quotaBurst}
	w.store.put("config", newManifest(1, []tenant{quota}, "alpha").text())
	w.record.note("the operator writes the manifest: tenant north has %d requests a second and a burst of %d", quotaRate, quotaBurst)
	before := w.store.copyNow()
	for _, z := range w.zones {
		if _, err := w.add(z, "alpha", 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	old := w.machines
	if err := w.awaitReady(old...); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	w.record.note("rows of the system: %v", w.store.systemRows())
	w.restore(before)
	w.record.note("rows of the system: %v", w.store.systemRows())
	stop := make(chan struct{})
	for _, m := range old {
		go newClient(m).load(stop, 30, "/alpha/", "key-of-north")
	}
	w.record.note("the tenant's clients send 30 requests a second to each of the %d machines", len(old))
	time.Sleep(6 * time.Second)
	for _, z := range w.zones {
		if _, err := w.add(z, "alpha", 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	added := w.machines[len(old):]
	if err := w.awaitReady(added...); err != nil {
		return false, err
	}
	w.record.note("rows of the system: %v", w.store.systemRows())
	time.Sleep(2 * time.Second)
	for _, m := range added {
		go newClient(m).load(stop, 30, "/alpha/", "key-of-north")
	}
	w.record.note("the tenant's clients send 30 requests a second to each of the added machines, too")
	time.Sleep(20 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	return w.judgeQuota(quota, old), nil
}
