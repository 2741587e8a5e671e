package accept

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/broken"
	"github.com/quetzalstack/quetzalstack/internal/mesh/memory"
)

// serveTCP serves the handler over sockets until the test ends.
func serveTCP(t *testing.T, h http.HandlerFunc) (s *http.Server, addr netip.AddrPort) {
	t.Helper()
	l, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	s = &http.Server{Handler: h}
	done := make(chan error, 1)
	go func() { done <- Serve(s, l) }()
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if got := <-done; !errors.Is(got, http.ErrServerClosed) {
			t.Errorf("got %v, want %v", got, http.ErrServerClosed)
		}
	})
	return s, netip.MustParseAddrPort(l.Addr().String())
}

// answerWith returns a handler that reads its request and writes what body returns.
func answerWith(body func(r *http.Request) io.Reader) (h http.HandlerFunc) {
	return func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		if err = errors.Join(err, WriteAnswer(w, r, http.StatusOK, body(r))); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

var bodySizes = []int{0, 1, startBytes - 1, startBytes, startBytes + 1, 100 << 10, 2 << 20}

// TestCutAnswer guards against a part of an answer without a length that a caller takes for all of it: its
// body breaks off, or its connection is closed because it made room for others or because the server stops.
func TestCutAnswer(t *testing.T) {
	var server *http.Server
	for name, end := range map[string]func(r *http.Request) error{
		"body":    func(*http.Request) error { return errors.New("the body broke off") },
		"evicted": func(r *http.Request) error { connOf(r).evict(memory.Answer); return io.EOF },
		"closed":  func(*http.Request) error { return errors.Join(server.Close(), io.EOF) },
	} {
		for _, protocol := range broken.Protocols {
			for _, size := range bodySizes {
				t.Run(fmt.Sprintf("%s/%s/%d bytes", name, protocol, size), func(t *testing.T) {
					var addr netip.AddrPort
					server, addr = serveTCP(t, answerWith(func(r *http.Request) io.Reader {
						return io.MultiReader(bytes.NewReader(make([]byte, size)), readerFunc(func([]byte) (n int, err error) {
							time.Sleep(20 * time.Millisecond) // The caller receives the part first.
							return 0, end(r)
						}))
					}))
					if _, got, err := broken.Send(addr, protocol, http.MethodGet, "/", http.Header{"Host": {"test"}}, nil); err == nil {
						t.Errorf("got %d bytes as a whole answer, want an error", len(got))
					}
				})
			}
		}
	}
}

// TestWholeAnswerOverHTTP10 guards against a whole answer that a caller takes for a part, and against a
// short one without a length, behind which the connection could not be used again.
func TestWholeAnswerOverHTTP10(t *testing.T) {
	for _, size := range bodySizes {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			_, addr := serveTCP(t, answerWith(func(*http.Request) io.Reader { return bytes.NewReader(make([]byte, size)) }))
			for range 20 {
				answer, got, err := broken.Send(addr, "HTTP/1.0", http.MethodPost, "/", nil, make([]byte, 1<<20))
				if err != nil || len(got) != size {
					t.Errorf("got %d bytes (%v), want all %d bytes", len(got), err, size)
				}
				if err == nil && size < startBytes && answer.ContentLength != int64(size) {
					t.Errorf("got a length of %d, want %d", answer.ContentLength, size)
				}
			}
		})
	}
}

// readerFunc is a Read method.
type readerFunc func(p []byte) (n int, err error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (n int, err error) { return f(p) }
