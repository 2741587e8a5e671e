package link

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const idHeader = "X-Id"

// startServer starts a server that answers each request with its id, and returns a pool of
// connections to it.
func startServer(t *testing.T) (p *Pool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(c)
		}
	}()
	p = NewPool(netip.MustParseAddrPort(listener.Addr().String()))
	t.Cleanup(p.Close)
	return p
}

func answerAll(c net.Conn) {
	defer c.Close()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", idHeader, r.Header.Get(idHeader)); err != nil {
			return
		}
	}
}

func exchange(t *testing.T, p *Pool, id string, match Match) {
	t.Helper()
	if err := tryExchange(t, p, id, match); err != nil {
		t.Fatal(err)
	}
}

// tryExchange sends a request and returns the error of the exchange.
func tryExchange(t *testing.T, p *Pool, id string, match Match) (err error) {
	t.Helper()
	answer, _, err := p.Exchange(t.Context(), &Request{
		Method: http.MethodGet, Path: "/", Host: "test", Headers: mesh.Headers{idHeader: {id}}, ID: id,
		Match: func(int, mesh.Headers) Match { return match },
	})
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		t.Fatal(err)
	}
	return answer.Body.Close()
}

// TestConnectionOfEarlierAttempt guards against an attempt that is sent over a connection on which
// an earlier attempt with its id was answered, so that a late copy of that answer matches it.
func TestConnectionOfEarlierAttempt(t *testing.T) {
	p := startServer(t)
	for i, c := range []struct {
		id   string
		want uint64
	}{
		{"a", 1},
		{"b", 1},
		{"a", 2},
		{"c", 2},
		{"a", 3},
		{"b", 3},
	} {
		exchange(t, p, c.id, MatchByID)
		if got := p.Opened(); got != c.want {
			t.Errorf("request %d, id %q: got %d connections, want %d", i, c.id, got, c.want)
		}
	}
}

// TestConnectionOfRecentAttempt guards against an id that is forgotten while other requests use the
// connection.
func TestConnectionOfRecentAttempt(t *testing.T) {
	p := startServer(t)
	for i := range rememberedIDs {
		exchange(t, p, fmt.Sprint(i), MatchByID)
	}
	exchange(t, p, "0", MatchByID)
	if got, want := p.Opened(), uint64(2); got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}

// TestConnectionOfUnnamedAnswer guards against a connection that is used again after an answer
// which names no request, so that a late copy passes for the answer to the next request, and against
// such an answer on a connection that has carried others, which may be such a copy.
func TestConnectionOfUnnamedAnswer(t *testing.T) {
	p := startServer(t)
	for i, c := range []struct {
		match Match
		want  uint64
		err   error
	}{
		{MatchByID, 1, nil},
		{MatchByID, 1, nil},
		{MatchByOrder, 1, ErrBrokenAnswer},
		{MatchByOrder, 2, nil},
		{MatchByOrder, 3, nil},
		{MatchByID, 4, nil},
		{MatchByID, 5, nil},
	} {
		if err := tryExchange(t, p, fmt.Sprint(i), c.match); !errors.Is(err, c.err) {
			t.Errorf("request %d: got error %v, want %v", i, err, c.err)
		}
		if got := p.Opened(); got != c.want {
			t.Errorf("request %d: got %d connections, want %d", i, got, c.want)
		}
	}
}
