package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// request is one client attempt and what its client saw.
type request struct {
	id, method, route, tenant string
	work, limit               time.Duration

	// body is sent over uploadTime.
	body       []byte
	uploadTime time.Duration

	entry      *machine
	sent, last time.Time
	done       time.Time

	// status is 0 when the connection ended without a complete answer; err says how.
	status int
	err    error
}

var nextID atomic.Uint64

func newRequest(method, route, tenant string, work, limit time.Duration) (q *request) {
	return &request{id: fmt.Sprintf("q-%05d", nextID.Add(1)), method: method, route: route, tenant: tenant, work: work, limit: limit}
}

// client sends requests to one machine over a kept connection.
type client struct {
	entry  *machine
	conn   net.Conn
	reader *bufio.Reader
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// do sends a request and waits for its answer.
func (c *client) do(q *request) {
	rec := c.entry.fleet.record
	q.entry = c.entry
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.entry.outbound, time.Second)
		if err != nil {
			q.sent, q.done, q.err = time.Now(), time.Now(), err
			return
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	q.sent = time.Now()
	rec.line(q.sent, "client of %s sends %s %s /%s/", c.entry.name, q.id, q.method, q.route)
	q.err = c.exchange(q)
	q.done = time.Now()
	if q.err != nil {
		c.drop()
	}
	rec.line(q.done, "client of %s: %s ends after %v: status %d, error %v", c.entry.name, q.id, q.done.Sub(q.sent).Round(time.Millisecond), q.status, q.err)
}

func (c *client) exchange(q *request) (err error) {
	_ = c.conn.SetDeadline(q.sent.Add(q.limit + time.Second))
	head := fmt.Sprintf("%s /%s/x?work=%s HTTP/1.1\r\nHost: %s.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n",
		q.method, q.route, q.work, q.route, q.id, q.limit.Milliseconds(), keyOf(q.tenant))
	if q.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		return err
	}
	if err := c.upload(q); err != nil {
		return err
	}
	q.last = time.Now()
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	q.status = answer.StatusCode
	if answer.Close {
		c.drop()
	}
	return nil
}

// uploadSteps is the number of pieces in which a body is sent.
const uploadSteps = 50

func (c *client) upload(q *request) (err error) {
	if q.uploadTime == 0 {
		_, err := c.conn.Write(q.body)
		return err
	}
	step := len(q.body) / uploadSteps
	for n := range uploadSteps {
		part := q.body[n*step : (n+1)*step]
		if n == uploadSteps-1 {
			part = q.body[n*step:]
		}
		if _, err := c.conn.Write(part); err != nil {
			return err
		}
		time.Sleep(time.Until(q.sent.Add(q.uploadTime * time.Duration(n+1) / uploadSteps)))
	}
	return nil
}

// outcomes collects requests that have ended.
type outcomes struct {
	mu   sync.Mutex
	done []*request
}

func (l *outcomes) add(q *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = append(l.done, q)
}

// runsByID returns the runs of all instances by request id.
func (f *fleet) runsByID() (runs map[string][]*run) {
	runs = make(map[string][]*run)
	for _, m := range f.machines {
		m.inst.mu.Lock()
		for _, r := range m.inst.runs {
			runs[r.id] = append(runs[r.id], r)
		}
		m.inst.mu.Unlock()
	}
	return runs
}
