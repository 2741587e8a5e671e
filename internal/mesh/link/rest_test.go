package link

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// earlyTarget answers a request when its head has arrived, reads its body later, and returns how much
// of it arrived.
type earlyTarget struct {
	pool *Pool

	// read is closed when the body is to be read, and got has how much of it arrived.
	read chan struct{}
	got  chan int64
}

func newEarlyTarget(t *testing.T, options ...Option) (e *earlyTarget) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e = &earlyTarget{
		pool: NewPool(netip.MustParseAddrPort(listener.Addr().String()), options...),
		read: make(chan struct{}), got: make(chan int64, 1),
	}
	t.Cleanup(func() {
		_ = listener.Close()
		e.pool.Close()
	})
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
		<-e.read
		n, _ := io.Copy(io.Discard, r.Body)
		e.got <- n
	}()
	return e
}

// send sends a request with a body of 16 MB and returns its answer.
func (e *earlyTarget) send(t *testing.T) (answer *Response, size int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	body := mesh.Pieces{bytes.Repeat([]byte("x"), 10<<20), bytes.Repeat([]byte("y"), 6<<20)}
	answer, _, err := e.pool.Exchange(ctx, &Request{Method: http.MethodPut, Path: "/", Host: "test", Body: body, Whole: true})
	if err != nil {
		t.Fatal(err)
	}
	if answer.Rest == nil {
		t.Fatal("got no rest of the body, want one")
	}
	_ = answer.Body.Close()
	return answer, int64(body.Len())
}

// TestBodyBehindAnswer guards against a body that is cut because its answer came first. The request
// has ended by then, and its context with it.
func TestBodyBehindAnswer(t *testing.T) {
	e := newEarlyTarget(t)
	answer, want := e.send(t)
	time.Sleep(50 * time.Millisecond)
	select {
	case <-answer.Rest.Done():
		t.Error("got the rest delivered before the target reads, want it kept")
	default:
	}
	close(e.read)
	if got := <-e.got; got != want {
		t.Errorf("got %d bytes of the body, want %d", got, want)
	}
	<-answer.Rest.Done()
	e.pool.AwaitRests(t.Context())
}

// TestDroppedRest guards against a body that is delivered although the target has not run the request.
func TestDroppedRest(t *testing.T) {
	e := newEarlyTarget(t)
	answer, all := e.send(t)
	answer.Rest.Drop()
	<-answer.Rest.Done()
	close(e.read)
	if got := <-e.got; got >= all {
		t.Errorf("got %d bytes of the body, want less than %d", got, all)
	}
}

// TestRestWithoutProgress guards against a body that is kept for as long as a target does not read it.
func TestRestWithoutProgress(t *testing.T) {
	const timeout = 200 * time.Millisecond
	e := newEarlyTarget(t, func(p *Pool) { p.restTimeout = timeout })
	answer, _ := e.send(t)
	start := time.Now()
	<-answer.Rest.Done()
	if got := time.Since(start); got < timeout/2 || got > timeout+2*time.Second {
		t.Errorf("got the rest given up after %v, want it after %v", got, timeout)
	}
	close(e.read)
}

// stallingTarget reads nothing of a request for a while after its head, and answers when it has read
// all of it.
func newStallingTarget(t *testing.T, stall time.Duration, options ...Option) (p *Pool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p = NewPool(netip.MustParseAddrPort(listener.Addr().String()), options...)
	t.Cleanup(func() {
		_ = listener.Close()
		p.Close()
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				time.Sleep(stall)
				n, _ := io.Copy(io.Discard, r.Body)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Read: %d\r\nContent-Length: 0\r\n\r\n", n)
			}()
		}
	}()
	return p
}

// TestClosedWindow guards against a remote end that is taken for dead because it reads slowly, and
// against one that is dead and keeps its connection since its window was closed.
func TestClosedWindow(t *testing.T) {
	const stall = 2*ackTimeout + 300*time.Millisecond
	body := mesh.Pieces{bytes.Repeat([]byte("x"), 16<<20)}
	request := &Request{Method: http.MethodPut, Path: "/", Host: "test", Body: body}
	t.Run("alive", func(t *testing.T) {
		t.Parallel()
		answer, _, err := newStallingTarget(t, stall).Exchange(t.Context(), request)
		if err != nil {
			t.Fatalf("got %v, want the answer", err)
		}
		if got, want := answer.Header["X-Read"], fmt.Sprint(body.Len()); len(got) != 1 || got[0] != want {
			t.Errorf("got %v bytes at the target, want %s", got, want)
		}
	})
	t.Run("dead", func(t *testing.T) {
		t.Parallel()
		opened := false
		p := newStallingTarget(t, 10*time.Second, func(p *Pool) {
			p.dial = func(ctx context.Context, network, address string) (c net.Conn, err error) {
				if opened {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				opened = true
				return Dial(ctx, network, address)
			}
		})
		start := time.Now()
		_, sent, err := p.Exchange(t.Context(), request)
		if got, limit := time.Since(start), 2*ackTimeout; err == nil || !sent || got > limit {
			t.Errorf("got error %v, sent %t after %v, want an error after %v at most", err, sent, got, limit)
		}
	})
}
