package accept

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// chunkSize is the maximum number of bytes that are received at a time.
	chunkSize = 2 << 10

	// maxChunks is the capacity of the ring. While it is full, nothing more is read from the
	// connection, and its close is not noticed.
	maxChunks = 8
)

// chunk is a piece of what a connection has received.
type chunk struct {
	data    []byte
	arrived time.Time
}

// ahead is what a connection has received behind a running request. One goroutine fills it, and
// one at a time reads it.
type ahead struct {
	// chunks is closed once the remote end has closed the connection or receiving has failed.
	chunks chan chunk

	// err is the reason why chunks was closed. It is set before.
	err error

	deadline deadline

	// current is the chunk that is being read, and unread the rest of its data.
	current chunk
	unread  []byte
}

func newAhead() (a *ahead) {
	return &ahead{chunks: make(chan chunk, maxChunks), deadline: newDeadline()}
}

// receive reads from the connection until it ends.
func (a *ahead) receive(source io.Reader, closed <-chan struct{}) {
	defer close(a.chunks)
	for {
		data := make([]byte, chunkSize)
		n, err := source.Read(data)
		if n > 0 {
			select {
			case a.chunks <- chunk{data: data[:n], arrived: time.Now()}:
			case <-closed:
				a.err = net.ErrClosed
				return
			}
		}
		if err != nil {
			a.err = err
			return
		}
	}
}

// read returns the next bytes with the time of their arrival.
func (a *ahead) read(p []byte, closed <-chan struct{}) (n int, arrived time.Time, err error) {
	if len(a.unread) == 0 {
		if err := a.next(closed); err != nil {
			return 0, arrived, err
		}
	}
	n = copy(p, a.unread)
	a.unread = a.unread[n:]
	return n, a.current.arrived, nil
}

// next waits for the next chunk.
func (a *ahead) next(closed <-chan struct{}) (err error) {
	select {
	case received, open := <-a.chunks:
		if !open {
			return a.err
		}
		a.current, a.unread = received, received.data
		return nil
	case <-a.deadline.expired():
		return os.ErrDeadlineExceeded
	case <-closed:
		return net.ErrClosed
	}
}

// deadline is a channel that is closed once a time has come, and replaced when a later time is
// set after that.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	done  chan struct{}
}

func newDeadline() (d deadline) { return deadline{done: make(chan struct{})} }

func (d *deadline) expired() (done <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

// set replaces the time; the zero time means that there is no deadline.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.done // The timer is closing the channel.
	}
	d.timer = nil
	left := time.Until(t)
	select {
	case <-d.done:
		if t.IsZero() || left > 0 {
			d.done = make(chan struct{})
		}
	default:
		if !t.IsZero() && left <= 0 {
			close(d.done)
		}
	}
	if !t.IsZero() && left > 0 {
		done := d.done
		d.timer = time.AfterFunc(left, func() { close(done) })
	}
}
