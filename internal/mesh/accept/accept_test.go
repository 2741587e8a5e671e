package accept

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"

	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// pipeListener accepts the connections that are sent to it. Its pipes let the tests run under
// a paused clock.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (c net.Conn, err error) {
	select {
	case c = <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() (err error) {
	close(l.closed)
	return nil
}

func (l pipeListener) Addr() (a net.Addr) { return &net.TCPAddr{} }

// startServer serves the handler over pipes until stop is called, and returns the caller's end
// of one connection.
func startServer(t *testing.T, h http.HandlerFunc) (caller net.Conn, stop func()) {
	t.Helper()
	l := pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	done := make(chan error, 1)
	go func() { done <- Serve(s, l) }()
	caller, accepted := net.Pipe()
	l.conns <- accepted
	return caller, func() {
		_ = caller.Close()
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if got := <-done; !errors.Is(got, http.ErrServerClosed) {
			t.Errorf("got %v, want %v", got, http.ErrServerClosed)
		}
		synctest.Wait()
	}
}

func get(path string) (text string) { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// TestCloseBehindOtherBytes guards against a request whose context outlives its connection
// when the caller has sent more bytes behind the request.
func TestCloseBehindOtherBytes(t *testing.T) {
	for _, c := range []struct{ name, behind string }{
		{"nothing", ""},
		{"empty line", "\r\n"},
		{"begun request", "GET /next HT"},
		{"whole requests", strings.Repeat(get("/next"), 10)},
		{"as much as is read ahead", strings.Repeat("x", (maxChunks-1)*chunkSize)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var paths []string
				var ended time.Duration
				caller, stop := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
					paths = append(paths, r.URL.Path)
					started := time.Now()
					if r.Context().Err() == nil {
						<-r.Context().Done()
						ended = time.Since(started)
					}
				})
				write(t, caller, get("/first"))
				synctest.Wait()
				if c.behind != "" {
					write(t, caller, c.behind)
				}
				time.Sleep(time.Second)
				if err := caller.Close(); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				stop()
				if len(paths) == 0 || paths[0] != "/first" || ended != time.Second {
					t.Errorf("got requests %v, the first cancelled after %v, want it after %v", paths, ended, time.Second)
				}
			})
		})
	}
}

// TestArrivalBehindAnotherRequest guards against a time of arrival that is that of another
// request on the connection, or the end of the request before.
func TestArrivalBehindAnotherRequest(t *testing.T) {
	const work = 10 * time.Second
	for _, c := range []struct {
		name string

		// texts are written a second apart.
		texts []string
		want  []time.Duration
	}{
		{"together", []string{get("/") + get("/") + get("/")}, []time.Duration{0, 0, 0}},
		{"apart", []string{get("/"), get("/"), get("/")}, []time.Duration{0, time.Second, 2 * time.Second}},
		{"two behind one", []string{get("/"), get("/") + get("/")}, []time.Duration{0, time.Second, time.Second}},
		{"one behind two", []string{get("/") + get("/"), get("/")}, []time.Duration{0, 0, time.Second}},
		{"in parts", []string{get("/") + get("/")[:9], get("/")[9:], get("/")}, []time.Duration{0, time.Second, 2 * time.Second}},
		{"with a body", []string{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nab", "c" + get("/"), get("/")}, []time.Duration{0, time.Second, 2 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got []time.Duration
				opened := time.Now()
				caller, stop := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
					got = append(got, Arrived(r).Sub(opened))
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						t.Error(err)
					}
					time.Sleep(work)
				})
				for i, text := range c.texts {
					if i > 0 {
						time.Sleep(time.Second)
					}
					write(t, caller, text)
					synctest.Wait()
				}
				answers := bufio.NewReader(caller)
				for range c.want {
					answer, err := http.ReadResponse(answers, nil)
					if err != nil {
						t.Fatal(err)
					}
					_ = answer.Body.Close()
				}
				stop()
				if fmt.Sprint(got) != fmt.Sprint(c.want) {
					t.Errorf("got arrivals after %v, want %v", got, c.want)
				}
			})
		})
	}
}

// TestStalledCallerEndsWrite guards against a handler that waits without limit for a caller
// that does not read, and against one that gives up a caller that reads slowly.
func TestStalledCallerEndsWrite(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration
		want  bool
	}{{"reads slowly", stallTimeout - time.Second, true}, {"stops reading", time.Hour, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size = 20 << 10
				written := make(chan error, 1)
				caller, stop := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
					_, err := w.Write(make([]byte, size))
					written <- err
				})
				write(t, caller, get("/"))
				go func() {
					for buffer := make([]byte, 1<<10); ; time.Sleep(c.pause) {
						if _, err := caller.Read(buffer); err != nil {
							return
						}
					}
				}()
				err := <-written
				if got := err == nil; got != c.want {
					t.Errorf("got the answer written: %v (%v), want %v", got, err, c.want)
				}
				stop()
				time.Sleep(2 * c.pause)
			})
		})
	}
}

// TestRefusalBeforeBody guards against a refusal that waits without limit for the rest of a
// request body, and against bytes of that body that are taken for the next request.
func TestRefusalBeforeBody(t *testing.T) {
	for _, c := range []struct{ name, head string }{
		{"length", "Content-Length: 100\r\n\r\nhalf"},
		{"chunked", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{"expects to be asked", "Content-Length: 100\r\nExpect: 100-continue\r\n\r\n"},
		{"large", "Content-Length: 10000000\r\n\r\nhalf"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				opened := time.Now()
				requests := 0
				caller, stop := startServer(t, func(w http.ResponseWriter, r *http.Request) {
					requests++
					BoundRefusal(w, r)
					w.WriteHeader(http.StatusNotFound)
				})
				write(t, caller, "POST / HTTP/1.1\r\nHost: a\r\n"+c.head)
				answers := bufio.NewReader(caller)
				answer, err := http.ReadResponse(answers, nil)
				if err != nil || answer.StatusCode != http.StatusNotFound || time.Since(opened) > discardTimeout {
					t.Fatalf("got %v after %v (%v), want status %d within %v", answer, time.Since(opened), err, http.StatusNotFound, discardTimeout)
				}
				_, _ = io.WriteString(caller, get("/smuggled")) // The connection may be closed already.
				if _, err := io.Copy(io.Discard, answers); err != nil {
					t.Error(err)
				}
				if got, want := time.Since(opened), time.Second; got > want {
					t.Errorf("got the connection closed after %v, want %v at most", got, want)
				}
				if requests != 1 {
					t.Errorf("got %d requests, want 1", requests)
				}
				stop()
			})
		})
	}
}

// TestBodyDeadline guards against a body that is awaited after the deadline of its request, and
// against one that is refused with a code other than the cause's.
func TestBodyDeadline(t *testing.T) {
	const limit = 64
	for _, c := range []struct {
		name, head string

		// leave closes the connection after a second.
		leave bool
		want  header.RefusalCode
		after time.Duration
	}{
		{"whole", "Content-Length: 4\r\n\r\nhalf", false, "", 0},
		{"stalls", "Content-Length: 8\r\n\r\nhalf", false, header.DeadlineExceeded, 3 * time.Second},
		{"chunk stalls", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false, header.DeadlineExceeded, 3 * time.Second},
		{"caller leaves", "Content-Length: 8\r\n\r\nhalf", true, header.CallerLeft, time.Second},
		{"malformed", "Transfer-Encoding: chunked\r\n\r\nz\r\nhalf\r\n", false, header.BodyBroken, 0},
		{"too large", "Content-Length: 65\r\n\r\n", false, header.BodyTooLarge, discardTimeout},
		{"chunks too large", "Transfer-Encoding: chunked\r\n\r\n41\r\n" + strings.Repeat("x", 65), false, header.BodyTooLarge, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				opened := time.Now()
				var got header.RefusalCode
				var after time.Duration
				caller, stop := startServer(t, func(w http.ResponseWriter, r *http.Request) {
					ctx, cancel := context.WithTimeout(r.Context(), 3*time.Second)
					defer cancel()
					if _, refusal := ReadBody(ctx, w, r, limit); refusal != nil {
						got = refusal.Code
					}
					after = time.Since(opened)
				})
				write(t, caller, "POST / HTTP/1.1\r\nHost: a\r\n"+c.head)
				time.Sleep(time.Second)
				if c.leave {
					_ = caller.Close()
				}
				time.Sleep(3 * time.Second)
				stop()
				time.Sleep(time.Second) // net/http closes some connections after a pause.
				if got != c.want || after != c.after {
					t.Errorf("got code %q after %v, want %q after %v", got, after, c.want, c.after)
				}
			})
		})
	}
}

// TestReadDeadline guards against a deadline that does not end a read, or that still holds
// after it has been replaced.
func TestReadDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, accepted := net.Pipe()
		defer caller.Close()
		c := newConn(accepted)
		c.cancel = func() {}
		defer c.Close()
		for _, d := range []struct {
			name     string
			deadline time.Duration
			want     error
		}{
			{"past", -time.Second, os.ErrDeadlineExceeded},
			{"future", time.Second, os.ErrDeadlineExceeded},
			{"past again", -time.Second, os.ErrDeadlineExceeded},
			{"none", 0, nil}, // From here on, bytes are received ahead.
			{"far", time.Hour, nil},
			{"past after bytes", -time.Second, os.ErrDeadlineExceeded},
			{"future after bytes", time.Second, os.ErrDeadlineExceeded},
			{"none after bytes", 0, nil},
		} {
			var at time.Time
			if d.deadline != 0 {
				at = time.Now().Add(d.deadline)
			}
			if err := c.SetReadDeadline(at); err != nil {
				t.Fatal(err)
			}
			if d.want == nil {
				go func() {
					time.Sleep(time.Minute)
					_, _ = io.WriteString(caller, "x")
				}()
			}
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, d.want) {
				t.Errorf("%s: got %v, want %v", d.name, err, d.want)
			}
		}
	})
}

// TestSilentConnectionIsProbed guards against a connection whose remote end is gone and that
// stays open until the kernel's own probes find it, after minutes.
func TestSilentConnectionIsProbed(t *testing.T) {
	l, err := Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range []struct {
		name         string
		option, want int
	}{
		{"idle time in s", unix.TCP_KEEPIDLE, 1},
		{"interval in s", unix.TCP_KEEPINTVL, 1},
		{"number of probes", unix.TCP_KEEPCNT, 2},
	} {
		var got int
		var optionErr error
		err := raw.Control(func(fd uintptr) { got, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, o.option) })
		if err != nil || optionErr != nil || got != o.want {
			t.Errorf("%s: got %d (%v, %v), want %d", o.name, got, err, optionErr, o.want)
		}
	}
}
