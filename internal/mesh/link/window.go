package link

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// windowPoll is the interval at which it is checked whether the remote end takes more of a large
	// body, well below ackTimeout.
	windowPoll = 200 * time.Millisecond

	// aliveInterval is the interval at which a remote end that takes no more is asked whether it is
	// alive, by opening a connection. After maxSilent answers that did not come in time it is not.
	aliveInterval = 400 * time.Millisecond
	maxSilent     = 2
)

// watchWindow keeps a connection open whose remote end is alive and has closed its window: it reads
// slowly, or not at all for a while. The kernel counts that as data that is not acknowledged. A remote
// end that is dead does not acknowledge, or, while its window is closed, accepts no connection. It
// returns when all of the body is acknowledged or the connection is closed.
func (p *Pool) watchWindow(c *conn, written <-chan struct{}) {
	ticker := time.NewTicker(windowPoll)
	defer ticker.Stop()
	wasClosed, silent, asked := false, 0, time.Time{}
	for now := range ticker.C {
		closed, queued, err := c.window()
		if err != nil {
			return
		}
		if closed != wasClosed && c.setAckTimeout(closed) != nil {
			return
		}
		if closed && !wasClosed {
			asked = now
		}
		wasClosed = closed
		if !closed {
			silent = 0
		}
		if closed && now.Sub(asked) >= aliveInterval {
			asked = now
			if p.isSilent() {
				silent++
			} else {
				silent = 0
			}
			if silent == maxSilent {
				_ = c.Close()
				return
			}
		}
		select {
		case <-written:
			if queued == 0 {
				return
			}
		default:
		}
	}
}

// window reports whether the remote end has acknowledged all that it let this end send, while more is
// due, and how many bytes it has not acknowledged yet.
func (c *conn) window() (closed bool, queued int, err error) {
	var info *unix.TCPInfo
	var infoErr, queueErr error
	err = c.raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		queued, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	if err = errors.Join(err, infoErr, queueErr); err != nil {
		return false, 0, err
	}
	return info.Unacked == 0 && info.Notsent_bytes > 0, queued, nil
}

// setAckTimeout bounds the time for which data may stay unacknowledged, or ends that bound while the
// window of the remote end is closed.
func (c *conn) setAckTimeout(closed bool) (err error) {
	timeout := ackTimeout
	if closed {
		timeout = 0
	}
	controlErr := c.raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}

// isSilent reports whether the host of the remote end does not answer. One that refuses connections
// does.
func (p *Pool) isSilent() bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := p.dial(ctx, "tcp", p.addr.String())
	if err == nil {
		_ = c.Close()
		return false
	}
	var network net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &network) && network.Timeout()
}
