package accept

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/memory"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const testHeadBytes = 1 << 10

// testBounds are lower than the defaults, so that a small head exceeds them.
var testBounds = Bounds{
	Head:       func() (bytes int, timeout time.Duration) { return testHeadBytes, 2 * time.Second },
	EmptyLines: 4, BodyRate: 16,
}

// startBounded serves the handler with bounds and an account until stop is called, and returns the
// caller's end of one connection.
func startBounded(t *testing.T, a *memory.Account, b Bounds, h http.HandlerFunc) (caller net.Conn, stop func()) {
	t.Helper()
	l := pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxHeaderBytes: HardHeadBytes}
	done := make(chan error, 1)
	go func() { done <- ServeBounded(s, l, WithAccount(a, memory.Callers), WithBounds(b)) }()
	caller, accepted := net.Pipe()
	l.conns <- accepted
	return caller, func() {
		_ = caller.Close()
		_ = s.Close() // The end of Serve tells.
		<-done
		time.Sleep(time.Second) // net/http closes some connections after a pause.
		synctest.Wait()
		if got := a.Counts(); got.Used != 0 || got.Open != 0 {
			t.Errorf("got %d bytes and %d sockets in use after the end, want none", got.Used, got.Open)
		}
	}
}

// TestHeadBounds guards against a head outside the limits that is served or awaited without end, and
// against one inside them that is refused.
func TestHeadBounds(t *testing.T) {
	start := "GET / HTTP/1.1\r\nHost: a\r\n"
	fill := func(line string, bytes int) (text string) {
		return start + strings.Repeat(line, (bytes-len(start)-2)/len(line))
	}
	for _, c := range []struct {
		name, text string

		// want is the status, or 0 when the connection is closed without an answer.
		want  int
		after time.Duration
	}{
		{"largest, long lines", fill("q: "+strings.Repeat("x", 95)+"\r\n", testHeadBytes) + "\r\n", http.StatusOK, 0},
		{"largest, short lines", fill("q:\n", testHeadBytes) + "\r\n", http.StatusOK, 0},
		{"an empty line before", "\r\n" + start + "\r\n", http.StatusBadRequest, 0}, // net/http takes none.
		{"too large", fill("q: x\r\n", testHeadBytes+headSlack+64) + "\r\n", http.StatusRequestHeaderFieldsTooLarge, 0},
		{"lines without end", fill("q:\r\n", 100<<10), http.StatusRequestHeaderFieldsTooLarge, 0},
		{"a line without end", start + "q: " + strings.Repeat("x", 100<<10), http.StatusRequestHeaderFieldsTooLarge, 0},
		{"empty lines without end", strings.Repeat("\r\n", 100<<10), http.StatusBadRequest, 0},
		{"half a head", start, 0, 2 * time.Second},
		{"nothing", "", 0, time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				opened := time.Now()
				caller, stop := startBounded(t, memory.New(0, 0), testBounds, func(http.ResponseWriter, *http.Request) {})
				go func() { _, _ = io.WriteString(caller, c.text) }() // The node closes some connections before.
				status := 0
				if answer, err := http.ReadResponse(bufio.NewReader(caller), nil); err == nil {
					status = answer.StatusCode
				}
				if got := time.Since(opened); status != c.want || got != c.after {
					t.Errorf("got status %d after %v, want %d after %v", status, got, c.want, c.after)
				}
				stop()
			})
		})
	}
}

// TestSlowHead guards against a head that comes byte by byte and keeps its connection, and against one
// that counts the time in which its caller was idle.
func TestSlowHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, stop := startBounded(t, memory.New(0, 0), testBounds, func(http.ResponseWriter, *http.Request) {})
		answers := bufio.NewReader(caller)
		for range 3 {
			time.Sleep(10 * time.Second)
			write(t, caller, get("/")[:9])
			time.Sleep(time.Second)
			write(t, caller, get("/")[9:])
			if answer, err := http.ReadResponse(answers, nil); err != nil || answer.StatusCode != http.StatusOK {
				t.Fatalf("got %v (%v), want an answer", answer, err)
			}
		}
		began := time.Now()
		for _, b := range get("/slow") {
			if _, err := io.WriteString(caller, string(b)); err != nil {
				break
			}
			time.Sleep(time.Second)
		}
		if got, want := time.Since(began), 3*time.Second; got > want {
			t.Errorf("got the connection open for %v, want %v at most", got, want)
		}
		stop()
	})
}

// TestSlowBody guards against a body that comes byte by byte and holds its memory, and against one at
// the least rate that is refused.
func TestSlowBody(t *testing.T) {
	for _, c := range []struct {
		perSecond int
		want      header.RefusalCode
		after     time.Duration
	}{{20, "", 30 * time.Second}, {10, header.DeadlineExceeded, rateWindow}} {
		t.Run(fmt.Sprint(c.perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got header.RefusalCode
				var after time.Duration
				size := 31 * c.perSecond
				caller, stop := startBounded(t, memory.New(0, 0), testBounds, func(w http.ResponseWriter, r *http.Request) {
					began := time.Now()
					ctx, cancel := context.WithTimeout(r.Context(), time.Minute)
					defer cancel()
					if _, refusal := ReadPieces(ctx, w, r, 1<<20); refusal != nil {
						got = refusal.Code
					}
					after = time.Since(began)
				})
				go func() { _, _ = io.Copy(io.Discard, caller) }()
				write(t, caller, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size))
				for range 31 {
					if _, err := caller.Write(make([]byte, c.perSecond)); err != nil {
						break
					}
					time.Sleep(time.Second)
				}
				stop()
				if got != c.want || after != c.after {
					t.Errorf("got code %q after %v, want %q after %v", got, after, c.want, c.after)
				}
			})
		})
	}
}

// TestBodyIsChargedFirst guards against a body that is allocated before it has arrived, or beyond what
// the account has.
func TestBodyIsChargedFirst(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size = 8 << 20
				a := memory.New(48<<20, 0)
				var refusals []header.RefusalCode
				caller, stop := startBounded(t, a, testBounds, func(w http.ResponseWriter, r *http.Request) {
					ctx, cancel := context.WithTimeout(r.Context(), time.Minute)
					defer cancel()
					body, refusal := ReadPieces(ctx, w, r, 64<<20)
					if refusal != nil {
						refusals = append(refusals, refusal.Code)
						return
					}
					if got := a.Counts().Used; got < int64(body.Len()) || got > int64(body.Len()+1<<20) {
						t.Errorf("got %d bytes charged for a body of %d, want little more", got, body.Len())
					}
				})
				head := "Content-Length: 8388608\r\n\r\n"
				if chunked {
					head = "Transfer-Encoding: chunked\r\n\r\n800000\r\n"
				}
				write(t, caller, "POST / HTTP/1.1\r\nHost: a\r\n"+head)
				synctest.Wait()
				if got, want := a.Counts().Used, int64(128<<10); got > want {
					t.Errorf("got %d bytes charged before any of the body, want %d at most", got, want)
				}
				end := ""
				if chunked {
					end = "\r\n0\r\n\r\n"
				}
				write(t, caller, strings.Repeat("x", size)+end)
				if answer, err := http.ReadResponse(bufio.NewReader(caller), nil); err != nil || answer.StatusCode != http.StatusOK || len(refusals) > 0 {
					t.Errorf("got %v (%v), refusals %v, want an answer", answer, err, refusals)
				}
				go func() { _, _ = io.Copy(io.Discard, caller) }()
				_, _ = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 41943040\r\n\r\n"+strings.Repeat("x", 40<<20))
				stop()
				if len(refusals) != 1 || refusals[0] != header.NodeBusy {
					t.Errorf("got refusals %v of a body larger than the account, want %v", refusals, header.NodeBusy)
				}
			})
		})
	}
}

// TestHeadBehindLongRequest guards against a request that is closed without an answer, since its head
// was received behind a request that ran for longer than a head may take.
func TestHeadBehindLongRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bounds := Bounds{Head: func() (bytes int, timeout time.Duration) { return 16 << 10, 2 * time.Second }}
		caller, stop := startBounded(t, memory.New(48<<20, 0), bounds, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				time.Sleep(5 * time.Second)
			}
		})
		answers := bufio.NewReader(caller)
		// The fault showed in about one of 20 rounds.
		for range 100 {
			write(t, caller, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
			time.Sleep(time.Second)
			write(t, caller, "GET / HTTP/1.1\r\nHost: a\r\nq: "+strings.Repeat("x", 7<<10)+"\r\n\r\n")
			for number := range 2 {
				if answer, err := http.ReadResponse(answers, nil); err != nil || answer.StatusCode != http.StatusOK {
					t.Fatalf("request %d: got %v (%v), want status %d", number, answer, err, http.StatusOK)
				}
			}
		}
		stop()
	})
}

// TestEvictedBody guards against a body that makes room and whose caller is told nothing, or whose
// request runs all the same.
func TestEvictedBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := memory.New(48<<20, 0)
		var got *header.RefusalCode
		caller, stop := startBounded(t, a, testBounds, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), time.Minute)
			defer cancel()
			if _, refusal := ReadPieces(ctx, w, r, 64<<20); refusal != nil {
				got = &refusal.Code
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		write(t, caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10000000\r\n\r\n"+strings.Repeat("x", 9000000))
		time.Sleep(time.Second)
		other := a.NewHolder(memory.Callers, remoteIP(caller), func(memory.Stage) {})
		if !a.Admit(other) {
			t.Error("got no room for another connection, want room")
		}
		if !other.Charge(12 << 20) {
			t.Error("got the charge of another connection refused, want it charged")
		}
		answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err != nil || answer.StatusCode != http.StatusServiceUnavailable || got == nil || *got != header.NodeBusy {
			t.Errorf("got %v (%v), want status %d", answer, err, http.StatusServiceUnavailable)
		}
		other.Close()
		stop()
	})
}

// BenchmarkBoundedRequest measures one request on a kept connection with bounds and an account.
func BenchmarkBoundedRequest(b *testing.B) {
	a := memory.New(0, 0)
	c := dialServer(b, func(s *http.Server, l net.Listener) error {
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if TakeHead(r) != nil {
				b.Error("got a refusal, want none")
			}
			beginAnswer(r)
			w.WriteHeader(http.StatusNoContent)
		})
		return ServeBounded(s, l, WithAccount(a, memory.Callers))
	}, 1)[0]
	answers := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		roundTrip(b, c, answers)
	}
}
