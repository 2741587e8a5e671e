package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

func signalContext() (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// breakpoint stops one request at a certain step until it is released.
type breakpoint struct {
	mu     sync.Mutex
	hit    chan struct{}
	resume chan struct{}
}

// arm makes the next call of stopIfArmed block.
func (h *breakpoint) arm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hit, h.resume = make(chan struct{}), make(chan struct{})
}

// stopIfArmed blocks the first caller after arm until releaseAll.
func (h *breakpoint) stopIfArmed() {
	h.mu.Lock()
	hit, resume := h.hit, h.resume
	h.hit = nil
	h.mu.Unlock()
	if hit == nil {
		return
	}
	close(hit)
	<-resume
}

// awaitHit waits until a request has stopped here. It returns false after a timeout.
func (h *breakpoint) awaitHit() (stopped bool) {
	h.mu.Lock()
	hit := h.hit
	h.mu.Unlock()
	if hit == nil {
		return true
	}
	select {
	case <-hit:
		return true
	case <-time.After(recoveryTimeout):
		return false
	}
}

// releaseAll resumes the stopped request and disarms the breakpoint.
func (h *breakpoint) releaseAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hit = nil
	if h.resume != nil {
		close(h.resume)
		h.resume = nil
	}
}

func newPausablePlatform(t *testing.T, addr netip.AddrPort) (p *pausablePlatform) {
	t.Helper()
	p = &pausablePlatform{Stub: stub.New()}
	inner := p.Handler()
	s := serve(listen(t, addr), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		claim := r.Method == http.MethodPost && bytes.Contains(body, []byte(`"claim`))
		if claim {
			p.beforeClaim.stopIfArmed()
		}
		inner.ServeHTTP(w, r)
		if claim {
			p.afterClaim.stopIfArmed()
		}
	}))
	t.Cleanup(func() { _ = s.Close() })
	return p
}

// pausableTarget is a stand-in target with breakpoints at several steps of a request.
type pausableTarget struct {
	service    string
	addr       netip.AddrPort
	node       netip.AddrPort
	nestedPath string

	afterReceive, afterWork, midAnswer breakpoint

	// freeze is locked for writing to block all requests.
	freeze sync.RWMutex

	// inFlight is the number of requests that were received and not yet answered.
	inFlight atomic.Int64

	mu              sync.Mutex
	server          *http.Server
	started         time.Time
	draining        bool
	executions      map[string]int
	requestsWithKey int

	// totalRuns is the number of executions of all requests.
	totalRuns int
}

func newPausableTarget(t *testing.T, service string, addr, node netip.AddrPort, nestedPath string) (h *pausableTarget) {
	t.Helper()
	h = &pausableTarget{service: service, addr: addr, node: node, nestedPath: nestedPath, executions: make(map[string]int)}
	h.start(t)
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			h.announce()
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-ended
		h.kill()
	})
	return h
}

// start starts a new incarnation of the target.
func (h *pausableTarget) start(t *testing.T) {
	t.Helper()
	l := listen(t, h.addr)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = time.Now()
	h.server = serve(l, h)
}

// kill closes the listener and all connections of the target immediately.
func (h *pausableTarget) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.server.Close()
}

func (h *pausableTarget) setDraining(draining bool) {
	h.mu.Lock()
	h.draining = draining
	h.mu.Unlock()
	h.announce()
}

func (h *pausableTarget) announce() {
	h.mu.Lock()
	body, _ := json.Marshal(map[string]any{
		"service": h.service, "addr": h.addr, "slots": 16, "connections": 160,
		"incarnation": h.started.UnixNano(), "draining": h.draining,
	})
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+h.node.String()+"/quetzal/target", bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
	}
}

func (h *pausableTarget) runs(id string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.executions[id]
}

func (h *pausableTarget) runCount() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.totalRuns
}

// maxRuns returns the highest number of executions of a single request, and the number of
// requests that carried an API key.
func (h *pausableTarget) maxRuns() (runs, keys int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.executions {
		runs = max(runs, n)
	}
	return runs, h.requestsWithKey
}

// answerText returns the body of the answer to a request. It is longer than the buffer of
// a node, so that nodes stream it.
func answerText(id string) (text string) { return strings.Repeat(id+"\n", 4000) }

// ServeHTTP implements http.Handler.
func (h *pausableTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(header.RequestID)
	h.mu.Lock()
	h.executions[id]++
	h.totalRuns++
	if strings.Contains(fmt.Sprint(r.Header), "key-") {
		h.requestsWithKey++
	}
	h.mu.Unlock()
	h.inFlight.Add(1)
	var once sync.Once
	finish := func() { once.Do(func() { h.inFlight.Add(-1) }) }
	// As at a real target, a request ends when its caller disconnects.
	defer context.AfterFunc(r.Context(), finish)()
	defer finish()
	h.freeze.RLock()
	defer h.freeze.RUnlock()
	h.afterReceive.stopIfArmed()
	if h.nestedPath != "" {
		h.callNested(r)
	}
	h.afterWork.stopIfArmed()
	text := answerText(id)
	_, _ = io.WriteString(w, text[:len(text)/2])
	_ = http.NewResponseController(w).Flush()
	h.midAnswer.stopIfArmed()
	_, _ = io.WriteString(w, text[len(text)/2:])
}

func (h *pausableTarget) callNested(r *http.Request) {
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+h.node.String()+h.nestedPath, nil)
	if err != nil {
		return
	}
	request.Header.Set(header.Call, r.Header.Get(header.Call))
	if response, err := http.DefaultClient.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
}

// relay is a TCP relay that simulates a network partition: while the link is cut, bytes
// are dropped in both directions and the connections stay open.
type relay struct {
	to netip.AddrPort

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newRelay(t *testing.T, at, to netip.AddrPort) (r *relay) {
	t.Helper()
	r = &relay{to: to}
	l := listen(t, at)
	t.Cleanup(func() { l.Close(); r.closeAll() })
	go func() {
		for {
			downstream, err := l.Accept()
			if err != nil {
				return
			}
			go r.connect(downstream)
		}
	}()
	return r
}

func (r *relay) connect(downstream net.Conn) {
	upstream, err := net.Dial("tcp", r.to.String())
	if err != nil {
		downstream.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, downstream, upstream)
	r.mu.Unlock()
	go r.copy(downstream, upstream)
	r.copy(upstream, downstream)
}

// copy forwards bytes until either side closes. While the link is cut it drops them, which
// makes the connection unusable afterwards.
func (r *relay) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.isCut() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) isCut() (cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	if !cut {
		r.closeAll()
	}
}

func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.Close()
	}
	r.conns = nil
}
