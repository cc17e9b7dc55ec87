package guavanetwork

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// pipe is one direction of a connection: a bounded buffer between a writer and a reader.
//
// It never starts a timer that is due at once. In a testing/synctest bubble the runtime runs such a timer on the
// goroutine that starts it, with a race detector context that all threads of the bubble share, and two of them at a
// time damage the detector's state. grpc's bufconn starts two for each connection.
type pipe struct {
	mu      sync.Mutex
	buffer  []byte
	ended   bool          // The writer has closed: the reader gets what is buffered, then io.EOF.
	closed  bool          // The reader has closed: nobody takes what is written.
	changed chan struct{} // Closed and replaced when one of the fields above changes.
}

func newPipe() *pipe { return &pipe{changed: make(chan struct{})} }

// read waits for bytes, the end of the pipe or the deadline.
func (p *pipe) read(b []byte, deadline *deadline) (int, error) {
	for {
		expired := deadline.wait()
		select {
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		default:
		}
		p.mu.Lock()
		switch {
		case p.closed:
			p.mu.Unlock()
			return 0, io.ErrClosedPipe
		case len(p.buffer) > 0:
			n := copy(b, p.buffer)
			p.buffer = p.buffer[n:]
			p.notify()
			p.mu.Unlock()
			return n, nil
		case p.ended:
			p.mu.Unlock()
			return 0, io.EOF
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-expired:
		}
	}
}

// write waits until the buffer holds all of b, the pipe is closed or the deadline has passed.
func (p *pipe) write(b []byte, deadline *deadline) (int, error) {
	written := 0
	for {
		expired := deadline.wait()
		select {
		case <-expired:
			return written, os.ErrDeadlineExceeded
		default:
		}
		p.mu.Lock()
		if p.closed || p.ended {
			p.mu.Unlock()
			return written, io.ErrClosedPipe
		}
		if n := min(bufferSize-len(p.buffer), len(b)-written); n > 0 {
			p.buffer = append(p.buffer, b[written:written+n]...)
			written += n
			p.notify()
		}
		changed := p.changed
		p.mu.Unlock()
		if written == len(b) {
			return written, nil
		}
		select {
		case <-changed:
		case <-expired:
		}
	}
}

// end closes the pipe on the writer's side.
func (p *pipe) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.notify()
}

// close closes the pipe on the reader's side.
func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.buffer = nil
	p.notify()
}

func (p *pipe) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// deadline is a time limit that may be moved while calls wait for it.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

func newDeadline() *deadline { return &deadline{expired: make(chan struct{})} }

// set moves the deadline. A zero time takes it away.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A timer that cannot be stopped has closed the channel or is about to.
	if d.timer != nil && !d.timer.Stop() {
		<-d.expired
	}
	d.timer = nil
	select {
	case <-d.expired:
		d.expired = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return
	}
	expired := d.expired
	if wait := time.Until(t); wait > 0 {
		d.timer = time.AfterFunc(wait, func() { close(expired) })
		return
	}
	close(expired)
}

// wait returns a channel that is closed at the deadline.
func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

// stream is one end of two pipes.
type stream struct {
	in, out       *pipe
	reads, writes *deadline
}

// newStreams returns the two ends of a connection.
func newStreams() (client, server *stream) {
	a, b := newPipe(), newPipe()
	client = &stream{in: a, out: b, reads: newDeadline(), writes: newDeadline()}
	server = &stream{in: b, out: a, reads: newDeadline(), writes: newDeadline()}
	return client, server
}

// Read reads what the other end has written. Errors: io.EOF, io.ErrClosedPipe, os.ErrDeadlineExceeded.
func (s *stream) Read(b []byte) (int, error) { return s.in.read(b, s.reads) }

// Write hands bytes to the other end. Errors: io.ErrClosedPipe, os.ErrDeadlineExceeded.
func (s *stream) Write(b []byte) (int, error) { return s.out.write(b, s.writes) }

// Close ends both directions. The other end still reads what is buffered.
func (s *stream) Close() error {
	s.in.close()
	s.out.end()
	s.reads.set(time.Time{})
	s.writes.set(time.Time{})
	return nil
}

// SetDeadline sets both deadlines.
func (s *stream) SetDeadline(t time.Time) error {
	s.reads.set(t)
	s.writes.set(t)
	return nil
}

// SetReadDeadline sets the deadline of reads.
func (s *stream) SetReadDeadline(t time.Time) error {
	s.reads.set(t)
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (s *stream) SetWriteDeadline(t time.Time) error {
	s.writes.set(t)
	return nil
}

var _ net.Conn = (*conn)(nil)
