package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// world is a small deployment on loopback addresses.
type world struct {
	// root is the root of the repository and folder a temporary one.
	root, folder string

	zones    []string
	ports    ports
	prefix   string
	store    *store
	machines []*machine
	record   *record
	trouble  bool
	ids      atomic.Uint64
}

// newWorld returns a world without machines, whose store runs.
func newWorld(root string, r *record, trouble bool, zones ...string) (w *world, err error) {
	w = &world{root: root, zones: zones, record: r, trouble: trouble}
	if w.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	// Each run has a loopback network of its own, whose first address shows that the ports are free.
	pid := os.Getpid()
	w.prefix = fmt.Sprintf("127.%d.%d.", 16+pid/250%200, 1+pid%250)
	base, err := freePorts(w.prefix+"1", 40)
	if err != nil {
		return nil, err
	}
	w.ports = ports{app: base, inbound: base + 1, outbound: base + 2, ready: base + 3, control: base + 4, internal: base + 10}
	w.store, err = startStore(w.prefix + "250:" + strconv.Itoa(base+5))
	return w, err
}

// freePorts returns the first of n ports in a row that are free at an address.
func freePorts(ip string, n int) (base int, err error) {
search:
	for base = 21000 + os.Getpid()%200*40; base < 32000; base += n {
		for p := base; p < base+n; p++ {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
			if err != nil {
				continue search
			}
			_ = l.Close()
		}
		return base, nil
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

// add starts a machine with its instance and node.
func (w *world) add(zone, service string, work time.Duration) (m *machine, err error) {
	n := len(w.machines) + 1
	m = &machine{name: fmt.Sprintf("m%d-%s", n, zone), zone: zone, service: service, ip: w.prefix + strconv.Itoa(n), world: w}
	w.machines = append(w.machines, m)
	if err := m.startInstance(work); err != nil {
		return nil, err
	}
	if err := m.startNode(); err != nil {
		return nil, err
	}
	w.record.note("%s starts: zone %s, service %s, instance %s, node %s", m.name, zone, service, m.instance.id, m.addr(w.ports.internal))
	return m, nil
}

// awaitReady waits until the machines are ready.
func (w *world) awaitReady(machines ...*machine) (err error) {
	end := time.Now().Add(10 * time.Second)
	for _, m := range machines {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and keeps their logs in the folder of the case if it is named.
func (w *world) close() {
	for _, m := range w.machines {
		if m.process != nil && m.alive() {
			m.kill()
		}
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		logs, _ := filepath.Glob(filepath.Join(w.folder, "*.log"))
		for _, l := range logs {
			if text, err := os.ReadFile(l); err == nil {
				_ = os.WriteFile(filepath.Join(kept, filepath.Base(l)), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.folder)
}

// route, service and tenant are parts of a manifest.
type (
	route struct {
		Name     string  `json:"name"`
		Host     string  `json:"host"`
		Prefix   string  `json:"prefix"`
		Kind     string  `json:"kind"`
		Timeout  float64 `json:"timeoutS"`
		Latency  float64 `json:"targetLatencyS"`
		Attempts int     `json:"attempts"`
		Priority int     `json:"priority"`
		Service  string  `json:"service"`
		Public   bool    `json:"public"`
	}
	service struct {
		Name        string  `json:"name"`
		HealthPath  string  `json:"healthPath"`
		Connections int     `json:"maxConnections"`
		ColdStart   float64 `json:"coldStartS"`
		ColdPerS    float64 `json:"coldPerS"`
	}
	tenant struct {
		Name  string   `json:"name"`
		Keys  []string `json:"apiKeys"`
		Rate  float64  `json:"ratePerS"`
		Burst float64  `json:"burst"`
	}
	manifest struct {
		Version  int            `json:"version"`
		Routes   []route        `json:"routes"`
		Services []service      `json:"services"`
		Tenants  []tenant       `json:"tenants"`
		Limits   map[string]any `json:"limits"`
	}
)

// host is the host name of all routes.
const host = "shop.example"

// newManifest returns a manifest with a route to each service, whose prefix is its name.
func newManifest(version int, tenants []tenant, services ...string) (m manifest) {
	m = manifest{Version: version, Tenants: tenants, Limits: map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 5, "idleTimeoutS": 30,
	}}
	for _, s := range services {
		m.Routes = append(m.Routes, route{
			Name: "to-" + s, Host: host, Prefix: "/" + s + "/", Kind: "idempotent", Timeout: 5, Latency: 1, Attempts: 2, Priority: 1, Service: s,
		})
		m.Services = append(m.Services, service{Name: s, HealthPath: "/health", Connections: 1600, ColdStart: 3, ColdPerS: 45})
	}
	return m
}

func (m manifest) text() (text []byte) {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return text
}

// answered is what a client got for a request.
type answered struct {
	id, machine, key string
	sent, ended      time.Time
	status           int
	err              error
}

// client sends requests to the node of a machine, over kept connections.
type client struct {
	machine *machine
	http    *http.Client
}

func newClient(m *machine) (c *client) {
	return &client{machine: m, http: &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one request and records the answer.
func (c *client) send(method, path, key string, timeLimit time.Duration) (a answered) {
	w := c.machine.world
	a = answered{id: fmt.Sprintf("r%07d", w.ids.Add(1)), machine: c.machine.name, key: key, sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+c.machine.addr(w.ports.outbound)+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeLimit.Milliseconds(), 10))
	if key != "" {
		request.Header.Set("Api-Key", key)
	}
	answer, err := c.http.Do(request)
	if err == nil {
		a.status = answer.StatusCode
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	a.err, a.ended = err, time.Now()
	w.record.answered(a)
	return a
}

// load sends requests at a rate until the stop channel is closed.
func (c *client) load(stop <-chan struct{}, perSecond float64, path, key string) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	var waiting sync.WaitGroup
	defer waiting.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			waiting.Add(1)
			go func() {
				defer waiting.Done()
				c.send(http.MethodGet, path, key, 5*time.Second)
			}()
		}
	}
}

// record holds what was sent, answered and run, and writes it to record.txt.
type record struct {
	began time.Time

	mu      sync.Mutex
	lines   []string
	runs    []run
	answers []answered
}

func newRecord() (r *record) { return &record{began: time.Now()} }

func (r *record) at(t time.Time) (text string) { return fmt.Sprintf("%8.3f", t.Sub(r.began).Seconds()) }

// note records an event of the case.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := r.at(time.Now()) + "  " + fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
	fmt.Println(line)
}

func (r *record) ran(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, one)
}

func (r *record) answered(a answered) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

// all returns the runs and answers so far.
func (r *record) all() (runs []run, answers []answered) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(runs, r.runs...), append(answers, r.answers...)
}

// write writes record.txt.
func (r *record) write(file string) (err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var text strings.Builder
	text.WriteString("events (seconds from the start of the script)\n")
	for _, l := range r.lines {
		fmt.Fprintln(&text, l)
	}
	text.WriteString("\nrequests: sent at, id, machine, key, status, answered at\n")
	for _, a := range r.answers {
		outcome := strconv.Itoa(a.status)
		if a.err != nil {
			outcome = "error " + a.err.Error()
		}
		fmt.Fprintf(&text, "%s %s %s %q %s %s\n", r.at(a.sent), a.id, a.machine, a.key, outcome, r.at(a.ended))
	}
	text.WriteString("\nruns: at, id, instance, zone, service, tenant\n")
	for _, o := range r.runs {
		fmt.Fprintf(&text, "%s %s %s %s %s %s\n", r.at(o.at), o.id, o.instance, o.zone, o.service, o.tenant)
	}
	return os.WriteFile(file, []byte(text.String()), 0o644)
}
