package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	bodyBytes   = 8 << 20
	uploadTime  = 4500 * time.Millisecond
	uploadLimit = 6 * time.Second

	// usualUploads is the usual rate of the tenant's uploads at each machine, per second, and
	// hotFactor how much more it sends for hotSpell.
	usualUploads = 1.5
	hotFactor    = 7.5
	hotSpell     = 6500 * time.Millisecond
	hotPause     = 9 * time.Second
	hotSpells    = 5

	memoryLimit  = 284 << 20
	restartDelay = 500 * time.Millisecond
)

func init() { cases["memory"] = memory }

// memory lets one tenant send 7.5 times its usual uploads, far beyond its quota. No node process
// may exceed its memory for it.
func memory(f *fleet, trouble bool) (err error) {
	for n, zone := range []string{"north-a", "north-a", "north-b", "north-b"} {
		if _, err := f.add(fmt.Sprintf("n%d", n+1), zone, "store", 44); err != nil {
			return err
		}
	}
	m := newManifest("store")
	m.route("upload", "non_idempotent", "store", uploadLimit.Seconds(), 5, 2, 2)
	m.route("payout", "non_idempotent", "store", 2, 0.3, 2, 0)
	m.tenant("bulk", 8, 8)
	m.tenant("shop", 0, 0)
	if err := f.startAll(m); err != nil {
		return err
	}
	ends := make([]int, len(f.machines))
	peaks := make([]int, len(f.machines))
	uploads, payouts := &outcomes{}, &outcomes{}
	stop := make(chan struct{})
	var group, guards sync.WaitGroup
	for n, entry := range f.machines {
		guards.Go(func() { ends[n], peaks[n] = guardMemory(entry, stop) })
		group.Go(func() { pay(entry, payouts, stop) })
	}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	for range hotSpells {
		sendUploads(f, uploads, body, usualUploads, hotPause)
		rate := usualUploads
		if trouble {
			rate *= hotFactor
		}
		sendUploads(f, uploads, body, rate, hotSpell)
	}
	time.Sleep(uploadLimit + time.Second)
	close(stop)
	group.Wait()
	guards.Wait()
	reportMemory(f, ends, peaks, uploads, payouts)
	return nil
}

// reportMemory checks the rule: no fault if fewer than two machines had three ends.
func reportMemory(f *fleet, ends, peaks []int, uploads, payouts *outcomes) {
	often := 0
	for n, m := range f.machines {
		f.record.note("node %s: killed %d times for its memory, peak %d MB", m.name, ends[n], peaks[n]>>20)
		if ends[n] >= 3 {
			often++
		}
	}
	statuses := make(map[int]int)
	for _, q := range uploads.done {
		statuses[q.status]++
	}
	f.record.note("%d uploads by status (0: connection ended): %v", len(uploads.done), statuses)
	runs := f.runsByID()
	lost := 0
	for _, q := range payouts.done {
		if q.status == 0 && len(runs[q.id]) > 0 {
			lost++
			f.record.line(q.done, "LOST %s of another tenant ran and was never answered: %v", q.id, q.err)
		}
	}
	f.record.note("%d payouts of another tenant; %d ran and were never answered", len(payouts.done), lost)
	if often >= 2 {
		f.record.violate("Fault: the processes of %d machines ended three times or more for their memory, with no disturbance there", often)
	}
}

// sendUploads lets the clients of each machine send uploads at the rate.
func sendUploads(f *fleet, ended *outcomes, body []byte, rate float64, d time.Duration) {
	f.record.note("the tenant sends %.1f uploads a second at each machine", rate)
	pause := time.Duration(float64(time.Second) / rate)
	for next := time.Now(); d > 0; d -= pause {
		next = next.Add(pause)
		for _, m := range f.machines {
			if !m.mayReceive() {
				continue
			}
			go func() {
				c := &client{entry: m}
				defer c.drop()
				q := newRequest(http.MethodPut, "upload", "bulk", 50*time.Millisecond, uploadLimit)
				q.body, q.uploadTime = body, uploadTime
				c.do(q)
				ended.add(q)
			}()
		}
		time.Sleep(time.Until(next))
	}
}

// pay sends small payouts of another tenant.
func pay(entry *machine, ended *outcomes, stop chan struct{}) {
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			c := &client{entry: entry}
			defer c.drop()
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if !entry.mayReceive() {
					continue
				}
				q := newRequest(http.MethodPost, "payout", "shop", 100*time.Millisecond, 2*time.Second)
				c.do(q)
				ended.add(q)
			}
		})
	}
	group.Wait()
}

// guardMemory kills the node when its resident memory exceeds the limit, as the platform does,
// and starts it again after a short delay.
func guardMemory(m *machine, stop chan struct{}) (ends, peak int) {
	for {
		select {
		case <-stop:
			return ends, peak
		case <-time.After(20 * time.Millisecond):
		}
		m.mu.Lock()
		pid, ended := m.cmd.Process.Pid, m.ended
		m.mu.Unlock()
		used := residentBytes(pid)
		peak = max(peak, used)
		if used <= memoryLimit {
			select {
			case <-ended:
			default:
				continue
			}
			m.fleet.record.note("node %s has ended by itself", m.name)
		} else {
			m.fleet.record.note("node %s uses %d MB, limit %d MB", m.name, used>>20, memoryLimit>>20)
			<-m.signal(syscall.SIGKILL)
		}
		ends++
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			m.fleet.record.note("starting node %s failed: %v", m.name, err)
			return ends, peak
		}
	}
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (n int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}
