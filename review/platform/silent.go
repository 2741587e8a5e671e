package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	configApply = 2 * time.Second

	// changeAfter is how long after the connections went silent the key is taken away. The
	// machines are in touch again by then (inTouchS).
	changeAfter = 4 * time.Second
)

func init() { cases["silent-store"] = silentStore }

// silentStore lets the open connections to the store go silent for good, while new ones work, and
// takes a key away after that. No request with that key may run later than configApplyS after the
// change was acknowledged.
func silentStore(f *fleet, trouble bool) (err error) {
	p, err := newProxy(f.store.addr)
	if err != nil {
		return err
	}
	f.store.addr = p.listener.Addr().String()
	for n, zone := range []string{"north-a", "north-a", "north-b", "north-b"} {
		if _, err := f.add(fmt.Sprintf("n%d", n+1), zone, "pay", 44); err != nil {
			return err
		}
	}
	m := newManifest("pay")
	m.route("payout", "non_idempotent", "pay", 2, 0.5, 2, 0)
	m.tenant("shop", 0, 0)
	m.tenant("gone", 0, 0)
	if err := f.startAll(m); err != nil {
		return err
	}
	ended := &outcomes{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, entry := range f.machines {
		for _, tenant := range []string{"shop", "gone"} {
			for range 2 {
				group.Go(func() { payWithKey(entry, tenant, ended, stop) })
			}
		}
	}
	f.change(&m)
	time.Sleep(time.Second)
	if trouble {
		f.record.note("%d open connections to the store go silent", p.silence())
	}
	time.Sleep(changeAfter)
	m.Tenants[1]["apiKeys"] = []string{}
	acked := f.change(&m)
	f.record.note("the key of tenant gone is taken away")
	time.Sleep(watched)
	close(stop)
	group.Wait()
	checkWithdrawn(f, acked, ended)
	return nil
}

// watched is how long requests with the key are sent after the change.
const watched = 25 * time.Second

// change writes the next version of the manifest.
func (f *fleet) change(m *manifest) (acked time.Time) {
	m.Version += 3
	text, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	f.store.put("config", text)
	f.record.note("manifest version %d is acknowledged", m.Version)
	return time.Now()
}

func payWithKey(entry *machine, tenant string, ended *outcomes, stop chan struct{}) {
	c := &client{entry: entry}
	defer c.drop()
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		q := newRequest(http.MethodPost, "payout", tenant, 20*time.Millisecond, 2*time.Second)
		c.do(q)
		ended.add(q)
	}
}

func checkWithdrawn(f *fleet, acked time.Time, ended *outcomes) {
	runs := f.runsByID()
	var last time.Duration
	denied := 0
	for _, q := range ended.done {
		switch {
		case q.tenant != "gone" || !q.sent.After(acked.Add(configApply)):
		case len(runs[q.id]) > 0:
			f.record.violate("CONFIG: %s was sent to %s %v after its key was taken away, and ran", q.id, q.entry.name, q.sent.Sub(acked).Round(time.Millisecond))
			last = max(last, q.sent.Sub(acked))
		case q.status == http.StatusUnauthorized:
			denied++
		}
	}
	f.record.note("last such request %v after the change; %d requests with the key were denied with 401", last.Round(time.Millisecond), denied)
}

// proxy forwards connections to the store until they go silent.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns map[*proxied]bool
}

type proxied struct {
	mu     sync.Mutex
	silent bool
}

func newProxy(to string) (p *proxy, err error) {
	p = &proxy{to: to, conns: make(map[*proxied]bool)}
	if p.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := p.listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	store, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer store.Close()
	state := &proxied{}
	p.mu.Lock()
	p.conns[state] = true
	p.mu.Unlock()
	go func() {
		_, _ = io.Copy(silencer{store, state}, c)
		_ = store.Close()
	}()
	_, _ = io.Copy(silencer{c, state}, store)
	p.mu.Lock()
	delete(p.conns, state)
	p.mu.Unlock()
}

// silencer drops what is written once the connection has gone silent.
type silencer struct {
	to    io.Writer
	state *proxied
}

// Write implements io.Writer.
func (s silencer) Write(b []byte) (n int, err error) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.state.silent {
		return len(b), nil
	}
	return s.to.Write(b)
}

// silence makes all open connections silent and returns their number.
func (p *proxy) silence() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
		n++
	}
	return n
}
