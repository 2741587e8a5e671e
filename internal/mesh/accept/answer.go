package accept

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/memory"
)

// startBytes is how much of a body without a length is read before its answer to an HTTP/1.0 caller
// begins. net/http holds back as much, and sends a body that ends before with its length.
const startBytes = 2 << 10

// WriteAnswer writes an answer with the header of w. After an error the handler has to abort, so that the
// caller cannot mistake a truncated answer for a complete one.
func WriteAnswer(w http.ResponseWriter, r *http.Request, status int, body io.Reader) (err error) {
	beginAnswer(r)
	w.WriteHeader(status)
	if c := connOf(r); c != nil && endsWithConnection(w, r) {
		return c.writeOpenAnswer(w, body)
	}
	_, err = io.Copy(w, body)
	return err
}

// beginAnswer notes that the answer to a request begins.
func beginAnswer(r *http.Request) { Holder(r).Enter(memory.Answer, time.Now()) }

// endsWithConnection reports whether the end of the connection ends the answer to a request: HTTP/1.0 has
// no chunks.
func endsWithConnection(w http.ResponseWriter, r *http.Request) (ends bool) {
	return !r.ProtoAtLeast(1, 1) && w.Header().Get("Content-Length") == ""
}

// writeOpenAnswer writes the body of an answer that the end of the connection ends. Until it has been
// written, every close of the connection is a reset, also that by the kernel when the process dies.
func (c *conn) writeOpenAnswer(w http.ResponseWriter, body io.Reader) (err error) {
	start := make([]byte, startBytes)
	n, err := fill(body, start)
	switch {
	case errors.Is(err, io.EOF):
		_, err = w.Write(start[:n])
		return err
	case err != nil:
		return err
	}
	if err := c.setLinger(0); err != nil {
		return err
	}
	if _, err := io.Copy(w, io.MultiReader(bytes.NewReader(start), body)); err != nil {
		return err
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	return c.setLinger(-1)
}

// setLinger sets how a close treats data that was not sent, as net.TCPConn.SetLinger does.
func (c *conn) setLinger(seconds int) (err error) {
	if l, can := c.Conn.(interface{ SetLinger(seconds int) error }); can {
		return l.SetLinger(seconds)
	}
	return nil
}
