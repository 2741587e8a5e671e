package main

import (
	"time"
)

func init() {
	cases["15"], zones["15"] = contractAfterKill, []string{"za", "zb", "zc"}
}

// Quota of the tenant in contractAfterKill.
const batchRate, batchBurst = 40, 40

// contractAfterKill: a tenant sends a batch of requests, all nodes are killed and started again, and
// the tenant sends the next batch.
func contractAfterKill(w *world) (held bool, err error) {
	quota := tenant{Name: "north", Keys: []string{"key-of-north"}, Rate: batchRate, Burst: batchBurst}
	w.store.put("config", newManifest(1, []tenant{quota}, "alpha").text())
	w.record.note("the operator writes the manifest: tenant north has %d requests a second and a burst of %d", batchRate, batchBurst)
	for range 2 {
		for _, z := range w.zones {
			if _, err := w.add(z, "alpha", 10*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	if err := w.awaitReady(w.machines...); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	for round := range 3 {
		w.batch(round, time.Second)
		if w.trouble {
			for _, m := range w.machines {
				m.kill()
			}
			w.record.note("all nodes are killed")
			time.Sleep(300 * time.Millisecond)
			for _, m := range w.machines {
				if err := m.startNode(); err != nil {
					return false, err
				}
			}
			w.record.note("all nodes are started again")
			if err := w.awaitReady(w.machines...); err != nil {
				return false, err
			}
		}
		time.Sleep(2300 * time.Millisecond)
		w.batch(round, 1500*time.Millisecond)
		time.Sleep(12 * time.Second)
	}
	return w.judgeQuota(quota, nil), nil
}

// batch lets the tenant's clients send 50 requests a second to each machine.
func (w *world) batch(round int, length time.Duration) {
	w.record.note("round %d: the tenant sends 50 requests a second to each machine for %v", round+1, length)
	stop := make(chan struct{})
	for _, m := range w.machines {
		go newClient(m).load(stop, 50, "/alpha/", "key-of-north")
	}
	time.Sleep(length)
	close(stop)
}
