// Package sample is a target for demos and tests. It announces itself to its
// node, works for a while on each request and may call deeper services.
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

// CountPath answers what the target has counted, in the headers below,
// without counting as a run.
const CountPath = "/sample/counts"

// Headers of the answer to CountPath.
const (
	RunsHeader = "Sample-Runs"
	KeysHeader = "Sample-Keys"
)

// Target is one sample target.
type Target struct {
	service     mesh.ServiceName
	node        netip.AddrPort
	slots       int
	serviceTime time.Duration
	nestedPaths []string
	started     time.Time

	// slotsInUse holds a token for each request that works, so that work beyond
	// the slots waits as it would for a real processor.
	slotsInUse chan struct{}

	mu sync.Mutex

	// executions counts the runs of each request id.
	executions map[string]int

	// requestsWithKey is how many requests came with an Authorization header.
	requestsWithKey int
}

// Option changes a target as it is made.
type Option func(*Target)

// WithSlots sets how many requests the target works on at a time.
func WithSlots(n int) Option { return func(t *Target) { t.slots = n } }

// WithServiceTime sets how long a request takes.
func WithServiceTime(d time.Duration) Option { return func(t *Target) { t.serviceTime = d } }

// WithNestedCalls adds calls, as paths of the local node, that each request makes.
func WithNestedCalls(paths ...string) Option { return func(t *Target) { t.nestedPaths = paths } }

// New returns a target of a service, for the node whose local listener is at
// the address.
func New(service mesh.ServiceName, node netip.AddrPort, options ...Option) (t *Target) {
	t = &Target{service: service, node: node, slots: 8, started: time.Now(), executions: make(map[string]int)}
	for _, o := range options {
		o(t)
	}
	t.slotsInUse = make(chan struct{}, t.slots)
	return t
}

// Executions returns how often each request id was run.
func (t *Target) Executions() (counts map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts = make(map[string]int, len(t.executions))
	for id, n := range t.executions {
		counts[id] = n
	}
	return counts
}

// RequestsWithKey returns how many requests came with a key.
func (t *Target) RequestsWithKey() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requestsWithKey
}

// Run serves on listener and announces the target until ctx ends.
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

// Announce tells the node about the target.
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
		return fmt.Errorf("announcement refused: %s", text)
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

// call makes a deeper call through the local node.
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
