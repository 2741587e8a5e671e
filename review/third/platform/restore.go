package main

import "time"

// awayTime is how long the store is away before it comes back from a copy, and writeTime how long a
// transaction takes.
const (
	awayTime  = 2 * time.Second
	writeTime = 8 * time.Millisecond
)

// restore lets the store come back from a copy. Without trouble nothing happens, in the same time.
func (w *world) restore(c snapshot) {
	if !w.trouble {
		w.record.note("no trouble: the store stays, at version %d", w.store.version())
		time.Sleep(awayTime)
		return
	}
	w.record.note("the store goes away, at version %d", w.store.version())
	w.store.leave()
	time.Sleep(awayTime)
	w.store.comeBack(&c)
	w.record.note("the store is back from a copy that is %.1f s old, at version %d", time.Since(c.at).Seconds(), w.store.version())
}
