package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// request is one client attempt and what came of it.
type request struct {
	id, key, method, path, to string
	size                      int
	limit                     time.Duration
	sent, done                time.Time

	// status is 0 when no answer came. signed says that the answer bears the signature of the instance for
	// this request.
	status int
	signed bool
	body   string
	err    error
}

// requestCount is the number of the last request.
var requestCount atomic.Int64

func newRequestID() (id string) { return fmt.Sprintf("%016x", 0x1c41d07be2a00000+requestCount.Add(1)) }

// client sends requests over one connection, which it opens anew when the last one was closed.
type client struct {
	rec    *record
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and waits for its answer, until its time limit at most.
func (c *client) do(q *request) {
	q.to, q.sent = c.addr, time.Now()
	c.rec.send(q)
	if q.err = c.exchange(q); q.err != nil {
		c.close()
	}
	q.done = time.Now()
	c.rec.answered(q)
}

func (c *client) exchange(q *request) (err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp4", c.addr, time.Second); err != nil {
			c.conn = nil
			return err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	if err := c.conn.SetDeadline(q.sent.Add(q.limit)); err != nil {
		return err
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, hostName, q.id, q.limit.Milliseconds())
	if q.key != "" {
		text += "Api-Key: " + q.key + "\r\n"
	}
	if q.method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", q.size)
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"+bodyOf("request "+q.id, q.size)); err != nil {
		return err
	}
	a, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return err
	}
	q.status, q.signed, q.body = a.StatusCode, a.Header.Get("X-Response-Signature") == signatureOf(q.id), string(body)
	if a.Close {
		c.close()
	}
	return nil
}
