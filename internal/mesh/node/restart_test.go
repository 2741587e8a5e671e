package node

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// TestRestartBehindAnswers guards against a target that stops right behind its last answers and is
// back before its node reads them: each answer then starts another request, and the restarted, cold
// target gets as many as the warm one had.
func TestRestartBehindAnswers(t *testing.T) {
	for _, c := range []struct {
		name string

		// named is true for a target that names the request in its answers, so that its connections
		// carry more than one.
		named bool
	}{{"one request a connection", false}, {"kept connections", true}} {
		t.Run(c.name, func(t *testing.T) {
			target := &restartingTarget{named: c.named, stopped: make(chan struct{}), end: make(chan struct{}), busy: make(map[net.Conn]bool)}
			r := newNodeFixture(t, newScriptedTarget(t, target.answer).addr())
			var ended atomic.Bool
			var callers sync.WaitGroup
			for range 24 {
				callers.Go(func() {
					for !ended.Load() {
						r.send(http.MethodGet, "/ledger/read", nil)
					}
				})
			}
			waitUntil(t, "the warm target runs more than a cold one may", func() bool { return target.stopAbove(defaultColdLimit + 1) })
			time.Sleep(300 * time.Millisecond)
			if got := target.cold.Load(); got > defaultColdLimit {
				t.Errorf("got %d requests at a cold target, want at most %d", got, defaultColdLimit)
			}
			ended.Store(true)
			close(target.end)
			callers.Wait()
		})
	}
}

// defaultColdLimit is the default concurrency limit of a target during its cold start.
const defaultColdLimit = 2

// restartingTarget is the script of a target that restarts once. Before that each request takes a
// moment, and after it until the end.
type restartingTarget struct {
	named bool

	// running is the number of requests before the restart, and cold that after it.
	running, cold atomic.Int64

	// stopped is closed when the target stops, and end when the test ends.
	stopped, end chan struct{}

	mu sync.Mutex

	// busy holds the connections of before the restart, and whether a request runs on each.
	busy map[net.Conn]bool
}

// stopAbove stops the target if it runs more than n requests. Their answers are followed by the end
// of their connections; idle ones are closed.
func (s *restartingTarget) stopAbove(n int64) (stopped bool) {
	if s.running.Load() <= n {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stopped)
	for conn, busy := range s.busy {
		if !busy {
			_ = conn.Close()
		}
	}
	return true
}

// begin records that a request runs on the connection. It returns false after the restart.
func (s *restartingTarget) begin(conn net.Conn) (before bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stopped:
		return false
	default:
		s.busy[conn] = true
		s.running.Add(1)
		return true
	}
}

// finish records that the request on the connection is answered, and reports whether the connection
// stays open.
func (s *restartingTarget) finish(conn net.Conn) (open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[conn] = false
	s.running.Add(-1)
	select {
	case <-s.stopped:
		return false
	default:
		return true
	}
}

// answer is the script of the target.
func (s *restartingTarget) answer(_ int, conn net.Conn, r *http.Request) (open bool) {
	if !s.begin(conn) {
		if !s.carriedBefore(conn) {
			s.cold.Add(1)
			<-s.end
		}
		return false
	}
	select {
	case <-s.stopped:
		cork(conn)
	case <-time.After(5 * time.Millisecond):
	}
	id := r.Header.Get(header.RequestID)
	if s.named {
		open = reply(conn, header.RequestID+": "+id+"\r\n", id)
	} else {
		open = reply(conn, "", id)
	}
	return s.finish(conn) && open
}

// carriedBefore reports whether the connection is one of before the restart.
func (s *restartingTarget) carriedBefore(conn net.Conn) (before bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, before = s.busy[conn]
	return before
}

// cork makes the next write and the end of the connection arrive in one segment.
func cork(conn net.Conn) {
	if raw, err := conn.(*net.TCPConn).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1) })
	}
}
