package main

import "time"

// Bounds of the rule QUOTA.
const (
	quotaWindow             = 5 * time.Second
	quotaOverage, quotaMore = 0.1, 20
)

// judgeQuota checks the rule QUOTA over all windows. It tells the requests that began at the machines
// in old from the others.
func (w *world) judgeQuota(t tenant, old []*machine) (held bool) {
	runs, answers := w.record.all()
	limit := (t.Rate*quotaWindow.Seconds()+t.Burst)*(1+quotaOverage) + quotaMore
	sent := make(map[string]answered, len(answers))
	for _, a := range answers {
		sent[a.id] = a
	}
	early := make(map[string]bool, len(old))
	for _, m := range old {
		early[m.name] = true
	}
	most, ofOld, at := 0, 0, time.Time{}
	for _, first := range runs {
		n, fromOld := 0, 0
		begin := sent[first.id].sent
		for _, r := range runs {
			// Counted is what was both sent and run inside the window.
			if s := sent[r.id]; !s.sent.Before(begin) && r.at.Before(begin.Add(quotaWindow)) {
				n++
				if early[s.machine] {
					fromOld++
				}
			}
		}
		if n > most {
			most, ofOld, at = n, fromOld, begin
		}
	}
	w.record.note("in the %.0f s from %s on, %d requests of the tenant ran; the rule allows %.0f", quotaWindow.Seconds(), w.record.at(at), most, limit)
	if len(old) > 0 {
		w.record.note("%d of them began at the first machines and %d at the added ones", ofOld, most-ofOld)
	}
	return float64(most) <= limit
}
