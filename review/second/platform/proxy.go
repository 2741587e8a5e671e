package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections on a loopback address. It can silence those that are open.
type proxy struct {
	addr, to string
	mu       sync.Mutex
	open     map[*forward]bool
	closed   bool

	// asked is when the node last sent something to the store.
	asked time.Time
}

// forward is one forwarded connection.
type forward struct {
	from, to net.Conn
	mu       sync.Mutex
	silent   bool
}

func (f *fleet) newProxy(to string) *proxy {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", f.net[0], f.net[1]))
	if err != nil {
		f.fail("%v", err)
	}
	p := &proxy{addr: l.Addr().String(), to: to, open: make(map[*forward]bool)}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			closed := p.closed
			p.mu.Unlock()
			if closed {
				_ = from.(*net.TCPConn).SetLinger(0) // A reset.
				_ = from.Close()
				continue
			}
			to, err := net.Dial("tcp", p.to)
			if err != nil {
				_ = from.Close()
				continue
			}
			c := &forward{from: from, to: to}
			p.mu.Lock()
			p.open[c] = true
			p.mu.Unlock()
			go p.copy(c, from, to)
			go p.copy(c, to, from)
		}
	}()
	return p
}

// copy forwards one direction. On a silent connection nothing is delivered, nor is its end.
func (p *proxy) copy(c *forward, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if from == c.from {
				p.mu.Lock()
				p.asked = time.Now()
				p.mu.Unlock()
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			p.mu.Lock()
			delete(p.open, c)
			p.mu.Unlock()
			_ = c.from.Close()
			_ = c.to.Close()
			return
		}
	}
}

// silence makes the open connections silent for good and returns their number. New ones work.
func (p *proxy) silence() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(p.open)
}

// turnAway resets the open connections and all new ones, or serves again.
func (p *proxy) turnAway(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = on
	for c := range p.open {
		if on {
			_ = c.from.(*net.TCPConn).SetLinger(0)
			_ = c.from.Close()
			_ = c.to.Close()
		}
	}
}

// follows reports whether the node has asked the store within the time.
func (p *proxy) follows(within time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.asked) < within
}
