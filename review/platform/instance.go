package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request on which an instance has begun to work.
type run struct {
	id, method, path string
	at, ended        time.Time

	// answered is true when the instance wrote its answer; broken when it ended first.
	answered, broken bool
}

// instance is a stand-in for an application instance.
type instance struct {
	record            *record
	id, service, zone string
	slots             int

	// rejects says whether the next request is rejected, besides those that find no slot.
	rejects func() bool

	// plainRejections leaves the request's id out of rejections, as the examples of "fleetbench
	// wire" do.
	plainRejections bool

	// lateCopy says whether the answer that is written now is sent a second time, late.
	lateCopy func() bool

	listener net.Listener
	born     time.Time

	mu      sync.Mutex
	seq     uint64
	running int
	leaving bool
	ended   bool
	conns   map[net.Conn]bool
	runs    []*run
	shed    int
	copies  int
}

func startInstance(rec *record, id, service, zone string, slots int) (i *instance, err error) {
	i = &instance{record: rec, id: id, service: service, zone: zone, slots: slots, born: time.Now(), conns: make(map[net.Conn]bool)}
	if i.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go i.accept()
	return i, nil
}

func (i *instance) addr() string { return i.listener.Addr().String() }

func (i *instance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		i.conns[c] = true
		i.mu.Unlock()
		go func() {
			i.serve(c)
			_ = c.Close()
			i.mu.Lock()
			delete(i.conns, c)
			i.mu.Unlock()
		}()
	}
}

// exit ends the instance: its listener and all its connections close.
func (i *instance) exit() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
	_ = i.listener.Close()
	for c := range i.conns {
		_ = c.Close()
	}
}

// serve answers the requests of one connection, one after another.
func (i *instance) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	var copied []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if copied != nil {
			if _, err := c.Write(copied); err != nil {
				return
			}
			i.record.line(time.Now(), "instance %s sends a late second copy of an answer", i.id)
			copied = nil
		}
		// The wait for the next request notices the close of the connection.
		next := make(chan error, 1)
		go func() {
			_, err := reader.Peek(1)
			next <- err
		}()
		answer, open := i.answer(r, next)
		if !open {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if r.URL.Path != healthPath && i.lateCopy != nil && i.lateCopy() {
			i.mu.Lock()
			i.copies++
			i.mu.Unlock()
			copied = answer
		}
		if <-next != nil {
			return
		}
	}
}

const healthPath = "/health"

// answer handles one request. open is false when the connection was closed meanwhile.
func (i *instance) answer(r *http.Request, next chan error) (answer []byte, open bool) {
	id := r.Header.Get("X-Request-Id")
	i.mu.Lock()
	leaving := i.leaving
	i.mu.Unlock()
	if r.URL.Path == healthPath {
		status := http.StatusOK
		if leaving {
			status = http.StatusServiceUnavailable
		}
		return response(status, "X-Instance-Id: "+i.id+"\r\n", ""), true
	}
	echo := "X-Request-Id: " + id + "\r\n"
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != i.id {
		return response(http.StatusMisdirectedRequest, echo+"X-Instance-Id: "+i.id+"\r\n", ""), true
	}
	work, err := time.ParseDuration(r.URL.Query().Get("work"))
	if err != nil {
		work = 50 * time.Millisecond
	}
	started := i.begin(r, id)
	if started == nil {
		i.record.line(time.Now(), "instance %s rejects %s: not executed", i.id, id)
		if i.plainRejections {
			echo = ""
		}
		return response(http.StatusServiceUnavailable, echo+"X-Not-Executed: 1\r\n", ""), true
	}
	select {
	case <-time.After(work):
	case err := <-next:
		next <- err
		if err != nil {
			i.end(started, false)
			return nil, false
		}
		time.Sleep(work - time.Since(started.at))
	}
	i.end(started, true)
	if leaving {
		echo += "Connection: close\r\n"
	}
	return response(http.StatusOK, echo+"X-Response-Signature: proof-of-"+id+"\r\n", "answer to "+id), true
}

// begin takes a slot for a request, or returns nil when it is rejected.
func (i *instance) begin(r *http.Request, id string) (started *run) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.running >= i.slots || i.rejects != nil && i.rejects() {
		i.shed++
		return nil
	}
	i.running++
	started = &run{id: id, method: r.Method, path: r.URL.Path, at: time.Now()}
	i.runs = append(i.runs, started)
	i.record.line(started.at, "instance %s runs %s", i.id, id)
	return started
}

func (i *instance) end(r *run, answered bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
	r.ended, r.answered, r.broken = time.Now(), answered, i.ended
}

func response(status int, headers, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
}

// report returns the body of the next liveness report.
func (i *instance) report(state string) (body []byte, seq uint64) {
	i.mu.Lock()
	i.seq++
	seq = i.seq
	i.mu.Unlock()
	body, _ = json.Marshal(map[string]any{
		"address": i.addr(), "born": i.born.UnixMilli(),
		"info":   map[string]any{"service": i.service, "version": "v1", "zone": i.zone, "slots": i.slots},
		"status": map[string]any{"state": state, "seq": seq, "coldRemainingS": 0},
	})
	return body, seq
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// tell sends a call of an instance to the control address of its node.
func (i *instance) tell(method, control string, body []byte) (status int, err error) {
	r, err := http.NewRequest(method, "http://"+control+"/instances/"+i.id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := controlClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}
