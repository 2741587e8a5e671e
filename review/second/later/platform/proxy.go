package main

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
)

// proxy stands at the address at which other machines reach a node. While it is cut, it passes nothing.
type proxy struct {
	to        string
	datagrams *net.UDPConn
	cut       atomic.Bool
}

func startProxy(listen, to string) (p *proxy, err error) {
	p = &proxy{to: to}
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	from, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return nil, err
	}
	if p.datagrams, err = net.ListenUDP("udp4", from); err != nil {
		return nil, err
	}
	dest, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		return nil, err
	}
	go p.passDatagrams(dest)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p, nil
}

func (p *proxy) passDatagrams(dest *net.UDPAddr) {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := p.datagrams.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && !p.cut.Load() {
			_, _ = p.datagrams.WriteToUDP(buffer[:n], dest) // A datagram may be lost.
		}
	}
}

func (p *proxy) pass(c net.Conn) {
	defer c.Close()
	s, err := net.Dial("tcp4", p.to)
	if err != nil {
		return
	}
	defer s.Close()
	back := make(chan struct{})
	go func() {
		p.copy(c, s)
		close(back)
	}()
	p.copy(s, c)
	<-back
}

// copy passes bytes from one connection to another, and the end of the first one.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.cut.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
		}
		if err != nil {
			return
		}
	}
}
