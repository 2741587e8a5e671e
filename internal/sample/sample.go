// Package sample provides a target for demos and tests. It announces itself to its node,
// takes a fixed service time per request and can make nested calls to other services.
package sample

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// CountPath returns the target's counters in the headers below. Requests to it are not
// counted.
const CountPath = "/sample/counts"

// Headers of the answer to CountPath.
const (
	RunsHeader = "Sample-Runs"
	KeysHeader = "Sample-Keys"
)

// Target is a sample target.
type Target struct {
	service     mesh.ServiceName
	node        netip.AddrPort
	slots       int
	serviceTime time.Duration
	nestedPaths []string
	started     time.Time

	// slotsInUse is a semaphore with one token per running request. Requests beyond
	// the slots queue, as on a machine with a limited number of processors.
	slotsInUse chan struct{}

	mu sync.Mutex

	// executions counts the runs of each request id.
	executions map[string]int

	// requestsWithKey counts the requests with an Authorization header.
	requestsWithKey int
}

// Option configures a target.
type Option func(*Target)

// WithSlots sets the number of requests that the target runs concurrently.
func WithSlots(n int) Option { return func(t *Target) { t.slots = n } }

// WithServiceTime sets the service time of a request.
func WithServiceTime(d time.Duration) Option { return func(t *Target) { t.serviceTime = d } }

// WithNestedCalls sets the nested calls that each request makes, as paths at the local
// node.
func WithNestedCalls(paths ...string) Option { return func(t *Target) { t.nestedPaths = paths } }

// New returns a target of a service. node is the address of the local listener of the
// node on its host.
func New(service mesh.ServiceName, node netip.AddrPort, options ...Option) (t *Target) {
	t = &Target{service: service, node: node, slots: 8, started: time.Now(), executions: make(map[string]int)}
	for _, o := range options {
		o(t)
	}
	t.slotsInUse = make(chan struct{}, t.slots)
	return t
}

// Executions returns the number of executions per request id.
func (t *Target) Executions() (counts map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts = make(map[string]int, len(t.executions))
	for id, n := range t.executions {
		counts[id] = n
	}
	return counts
}

// RequestsWithKey returns the number of requests with an Authorization header.
func (t *Target) RequestsWithKey() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requestsWithKey
}

// Run serves on listener and announces the target until ctx is done.
func (t *Target) Run(ctx context.Context, listener net.Listener) (err error) {
	server := &http.Server{Handler: t, ReadHeaderTimeout: time.Second}
	go func() {
		addr := netip.MustParseAddrPort(listener.Addr().String())
		for ctx.Err() == nil {
			_ = t.Announce(ctx, addr, false)
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
		_ = server.Close()
	}()
	err = server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("sample target of %s: %w", t.service, err)
}

// Announce sends one announcement of the target to its node.
func (t *Target) Announce(ctx context.Context, addr netip.AddrPort, draining bool) (err error) {
	body, err := json.Marshal(map[string]any{
		"service": t.service, "addr": addr, "slots": t.slots, "connections": 10 * t.slots,
		"incarnation": t.started.UnixNano(), "draining": draining,
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+t.node.String()+"/quetzal/target", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("node refused the announcement: %s", text)
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == CountPath {
		t.writeCounts(w)
		return
	}
	t.recordRequest(r)
	select {
	case t.slotsInUse <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.slotsInUse }()
	body, _ := io.ReadAll(r.Body)
	time.Sleep(t.serviceTime)
	for _, path := range t.nestedPaths {
		if status, text := t.call(r, path); status >= http.StatusBadRequest {
			http.Error(w, text, http.StatusBadGateway)
			return
		}
	}
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	fmt.Fprintf(w, "%s %s %s %d", t.service, r.Method, r.URL.Path, len(body))
}

func (t *Target) writeCounts(w http.ResponseWriter) {
	runs := 0
	for _, n := range t.Executions() {
		runs += n
	}
	w.Header().Set(RunsHeader, strconv.Itoa(runs))
	w.Header().Set(KeysHeader, strconv.Itoa(t.RequestsWithKey()))
}

func (t *Target) recordRequest(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executions[r.Header.Get(header.RequestID)]++
	if r.Header.Get("Authorization") != "" {
		t.requestsWithKey++
	}
}

// call makes a nested call through the local node.
func (t *Target) call(r *http.Request, path string) (status int, text string) {
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+t.node.String()+path, nil)
	if err != nil {
		return http.StatusInternalServerError, err.Error()
	}
	request.Header.Set(header.Call, r.Header.Get(header.Call))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return http.StatusBadGateway, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return http.StatusBadGateway, err.Error()
	}
	return response.StatusCode, string(data)
}
