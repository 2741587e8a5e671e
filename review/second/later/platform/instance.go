package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two liveness reports.
const heartbeat = 1500 * time.Millisecond

// instance is a stand-in for an application instance. It runs each request for the time that the query
// parameter "work" names, in milliseconds.
type instance struct {
	id, service, zone, addr, control string
	slots                            int
	born                             int64
	rec                              *record

	// during, if set, is called while a request runs, and stands for what the request does then.
	during func(r *http.Request)

	// answers, if set, serves the requests of a connection in place of the instance.
	answers func(c net.Conn, br *bufio.Reader)

	mu      sync.Mutex
	seq     int
	running int
}

// bodyOf returns a body of a size that differs from request to request.
func bodyOf(id string, size int) (body string) {
	return strings.Repeat(id+" ", size/(len(id)+1)+1)[:size]
}

func signatureOf(id string) (signature string) { return "proof-of-" + id }

// answerSize is the size of the body of an answer.
const answerSize = 20

func (i *instance) start() (err error) {
	l, err := net.Listen("tcp4", i.addr)
	if err != nil {
		return err
	}
	i.born = time.Now().UnixMilli()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go i.serve(c)
		}
	}()
	go func() {
		for {
			i.report()
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// report sends a liveness report. A node that does not answer gets the next one.
func (i *instance) report() {
	i.mu.Lock()
	i.seq++
	body, err := json.Marshal(map[string]any{
		"address": i.addr, "born": i.born,
		"info":   map[string]any{"service": i.service, "version": "v1", "zone": i.zone, "slots": i.slots},
		"status": map[string]any{"state": "ready", "seq": i.seq, "coldRemainingS": 0},
	})
	i.mu.Unlock()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+i.control+"/instances/"+i.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	if a, err := http.DefaultClient.Do(r); err == nil {
		io.Copy(io.Discard, a.Body)
		a.Body.Close()
	}
}

// serve serves the requests of a connection, one after the other.
func (i *instance) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	if i.answers != nil {
		i.answers(c, br)
		return
	}
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !i.serveRequest(c, br, r) {
			return
		}
	}
}

// serveRequest answers a request, and reports false when the connection is to be closed.
func (i *instance) serveRequest(c net.Conn, br *bufio.Reader, r *http.Request) (keep bool) {
	id := r.Header.Get("X-Request-Id")
	head := fmt.Sprintf("X-Request-Id: %s\r\nX-Instance-Id: %s\r\n", id, i.id)
	switch expected := r.Header.Get("X-Expected-Instance"); {
	case r.URL.Path == "/health":
		return send(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", i.id))
	case expected != "" && expected != i.id:
		return send(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
	case !i.take():
		return send(c, "HTTP/1.1 503 Service Unavailable\r\n"+head+"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	defer i.release()
	u := &run{id: id, instance: i.id, at: time.Now()}
	i.rec.begin(u, r.Method+" "+r.RequestURI)
	work, _ := strconv.Atoi(r.URL.Query().Get("work"))
	limit, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		limit = work
	}
	// The next byte on the connection is that of a later request; the end of the connection is an error.
	next := make(chan error, 1)
	go func() {
		_, err := br.Peek(1)
		next <- err
	}()
	if i.during != nil {
		i.during(r)
	}
	end := u.at.Add(time.Duration(min(work, limit)) * time.Millisecond)
	select {
	case <-time.After(time.Until(end)):
	case err := <-next:
		if err != nil {
			i.rec.finish(u, "given up, since its connection was closed")
			return false
		}
		next <- nil
		time.Sleep(time.Until(end))
	}
	if work > limit {
		i.rec.finish(u, "answered 504 at its time limit")
		send(c, fmt.Sprintf("HTTP/1.1 504 Gateway Timeout\r\n%sX-Response-Signature: %s\r\nContent-Length: 0\r\n\r\n", head, signatureOf(id)))
		return false
	}
	ok := send(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", head, signatureOf(id), answerSize, bodyOf(id, answerSize)))
	i.rec.finish(u, "answered 200")
	return ok && <-next == nil
}

func send(c net.Conn, text string) (ok bool) {
	_, err := io.WriteString(c, text)
	return err == nil
}

func (i *instance) take() (free bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.running >= i.slots {
		return false
	}
	i.running++
	return true
}

func (i *instance) release() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
}
