package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	drain = 2 * time.Second

	// inTouch is inTouchS: the rules hold for a machine whose processes have run so long.
	inTouch = 3 * time.Second

	// killedFor is how long the killed node is down.
	killedFor = 500 * time.Millisecond

	// reportDelay is how late the delayed report arrives.
	reportDelay = 2 * time.Second

	// servesOn is how long the leaving instance still serves after its call to leave: "at times
	// many seconds".
	servesOn = 7 * time.Second
)

func init() { cases["leave-restarted"] = leaveRestarted }

// leaveRestarted kills a node, which starts again, and lets its instance leave before the
// instance's next report has arrived: that report is late and arrives after the leave was
// acknowledged. The leaving instance may get no requests drainS after that.
func leaveRestarted(f *fleet, trouble bool) (err error) {
	for n, zone := range []string{"north-a", "north-b"} {
		if _, err := f.add(fmt.Sprintf("n%d", n+1), zone, "pay", 44); err != nil {
			return err
		}
	}
	m := newManifest("pay")
	m.route("payout", "non_idempotent", "pay", 2, 0.5, 2, 0)
	m.tenant("shop", 0, 0)
	if err := f.startAll(m); err != nil {
		return err
	}
	ended := &outcomes{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, entry := range f.machines {
		for range 6 {
			group.Go(func() {
				sendWhileIn(entry, ended, stop, http.MethodPost, "payout", payWork, 2*time.Second, 100*time.Millisecond)
			})
		}
	}
	time.Sleep(3 * time.Second)
	binding, acked, err := leaveAfterKill(f, trouble)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	checkLeave(f, f.machines[0], binding, acked, ended)
	return nil
}

// leaveAfterKill returns when the leave of the first machine's instance was acknowledged, and from
// when on the rule binds: drainS later, and once the machine is in touch.
func leaveAfterKill(f *fleet, trouble bool) (binding, acked time.Time, err error) {
	m := f.machines[0]
	var started time.Time
	m.silent.Store(true)
	if trouble {
		<-m.signal(syscall.SIGKILL)
		time.Sleep(killedFor)
		if err := m.start(); err != nil {
			return binding, acked, err
		}
		started = time.Now()
		if err := m.awaitReady(5 * time.Second); err != nil {
			return binding, acked, err
		}
	}
	body, seq := m.inst.report("ready")
	f.record.note("instance %s sends the report %d, which is delayed", m.inst.id, seq)
	sent := time.Now()
	time.Sleep(500 * time.Millisecond)
	m.inst.mu.Lock()
	m.inst.leaving = true
	m.inst.mu.Unlock()
	status, err := m.inst.tell(http.MethodDelete, m.control, nil)
	acked = time.Now()
	if err != nil || status != http.StatusOK {
		return binding, acked, fmt.Errorf("leave: status %d, %v", status, err)
	}
	f.record.note("instance %s: its DELETE is acknowledged", m.inst.id)
	time.Sleep(time.Until(sent.Add(reportDelay)))
	status, err = m.inst.tell(http.MethodPut, m.control, body)
	f.record.note("instance %s: the late report %d arrives: status %d, %v", m.inst.id, seq, status, err)
	time.Sleep(time.Until(acked.Add(servesOn)))
	m.inst.exit()
	f.record.note("instance %s exits", m.inst.id)
	binding = acked.Add(drain)
	if touch := started.Add(inTouch); touch.After(binding) {
		binding = touch
	}
	return binding, acked, nil
}

func checkLeave(f *fleet, m *machine, binding, acked time.Time, ended *outcomes) {
	for _, r := range m.inst.runs {
		if r.at.After(binding) {
			f.record.violate("DRAIN: %s reached the instance %s %v after its leave was acknowledged", r.id, m.inst.id, r.at.Sub(acked).Round(time.Millisecond))
		}
	}
	runs := f.runsByID()
	lost := 0
	for _, q := range ended.done {
		for _, r := range runs[q.id] {
			if r.broken && q.status != http.StatusOK {
				lost++
				f.record.line(q.done, "%s ran at the instance when it exited; its client got status %d, %v", q.id, q.status, q.err)
			}
		}
	}
	f.record.note("%d requests were at work at the instance when it exited", lost)
}
