// Package broken provides broken answers, and a server that sends them, to the tests of everything
// that reads answers.
package broken

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
)

// Answer is a way in which the head of an answer is broken.
type Answer struct {
	Name string

	// StatusLine replaces the status line of the answer; empty when that is sound.
	StatusLine string

	// Field is a line of the head behind the status line; empty when there is no other.
	Field string
}

// Answers are the broken answers.
var Answers = []Answer{
	{Name: "status 000", StatusLine: "HTTP/1.1 000 Trouble"},
	{Name: "status 000 without a reason", StatusLine: "HTTP/1.1 000"},
	{Name: "status -00", StatusLine: "HTTP/1.1 -00 Trouble"},
	{Name: "status 099", StatusLine: "HTTP/1.1 099 Trouble"},
	{Name: "status 600", StatusLine: "HTTP/1.1 600 Trouble"},
	{Name: "status 999", StatusLine: "HTTP/1.1 999 Trouble"},
	{Name: "blank in a name", Field: "X A: 1"},
	{Name: "blank behind a name", Field: "Transfer-Encoding : chunked"},
	{Name: "tab in a name", Field: "X\tA: 1"},
	{Name: "control byte in a name", Field: "X-\x01A: 1"},
	{Name: "control byte behind a name", Field: "X-A\x0b: 1"},
	{Name: "zero byte in a name", Field: "X-\x00A: 1"},
	{Name: "empty name", Field: ": 1"},
}

// Text returns the bytes of an answer that is broken in this way. The arguments are its sound parts;
// fields holds whole lines.
func (a Answer) Text(statusLine, fields, body string) (text string) {
	broken := a.Field
	if broken != "" {
		broken += "\r\n"
	}
	return fmt.Sprintf("%s\r\n%s%sContent-Length: %d\r\n\r\n%s", cmp.Or(a.StatusLine, statusLine), broken, fields, len(body), body)
}

// Server answers each request with the same bytes and keeps its connections open.
type Server struct {
	Addr netip.AddrPort

	// Connections and Requests are the numbers of those that came so far.
	Connections, Requests atomic.Int64

	text string
}

// NewServer starts a server on the loopback interface that sends the text, until the test ends.
func NewServer(tb testing.TB, text string) (s *Server) {
	tb.Helper()
	s = &Server{text: text}
	s.Addr = listen(tb, s.serve)
	return s
}

// listen accepts connections on the loopback interface until the test ends, and serves each with serve.
func listen(tb testing.TB, serve func(c *net.TCPConn)) (addr netip.AddrPort) {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (s *Server) serve(c *net.TCPConn) {
	defer c.Close()
	s.Connections.Add(1)
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.Requests.Add(1)
		if _, err := io.WriteString(c, s.text); err != nil {
			return
		}
	}
}
