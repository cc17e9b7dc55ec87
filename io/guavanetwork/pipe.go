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
// It never starts a timer that expires immediately. In a testing/synctest bubble the runtime runs such a timer on the
// goroutine that starts it, with a race detector context that all threads of the bubble share; running two at the same
// time corrupts the detector's state. grpc's bufconn starts two for each connection.
type pipe struct {
	mu           sync.Mutex
	buffer       []byte
	writerClosed bool          // Reads return the buffered bytes, then io.EOF.
	readerClosed bool          // Reads and writes return io.ErrClosedPipe.
	changed      chan struct{} // Closed and replaced when a field above changes.
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
		case p.readerClosed:
			p.mu.Unlock()
			return 0, io.ErrClosedPipe
		case len(p.buffer) > 0:
			n := copy(b, p.buffer)
			p.buffer = p.buffer[n:]
			p.notify()
			p.mu.Unlock()
			return n, nil
		case p.writerClosed:
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

// write waits until all of b is buffered, the pipe is closed or the deadline passes. It returns the number of bytes
// buffered.
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
		if p.readerClosed || p.writerClosed {
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

// closeWriter closes the writer's side. Bytes already buffered can still be read.
func (p *pipe) closeWriter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writerClosed = true
	p.notify()
}

// close closes the reader's side and discards the buffered bytes.
func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readerClosed = true
	p.buffer = nil
	p.notify()
}

func (p *pipe) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// deadline is a deadline that can be changed while calls wait for it.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

func newDeadline() *deadline { return &deadline{expired: make(chan struct{})} }

// set changes the deadline. A zero time removes it.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// If the timer cannot be stopped, it has closed the channel or is about to.
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

// wait returns a channel that is closed at the current deadline.
func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

// stream is one end of a connection, which consists of a pipe for each direction.
type stream struct {
	in, out                     *pipe
	readDeadline, writeDeadline *deadline
}

// newStreams returns the two ends of a connection.
func newStreams() (client, server *stream) {
	a, b := newPipe(), newPipe()
	client = &stream{in: a, out: b, readDeadline: newDeadline(), writeDeadline: newDeadline()}
	server = &stream{in: b, out: a, readDeadline: newDeadline(), writeDeadline: newDeadline()}
	return client, server
}

// Read reads bytes written by the other end. Errors: io.EOF, io.ErrClosedPipe, os.ErrDeadlineExceeded.
func (s *stream) Read(b []byte) (int, error) { return s.in.read(b, s.readDeadline) }

// Write writes bytes to the other end. Errors: io.ErrClosedPipe, os.ErrDeadlineExceeded.
func (s *stream) Write(b []byte) (int, error) { return s.out.write(b, s.writeDeadline) }

// Close closes both directions. The other end can still read the bytes buffered for it.
func (s *stream) Close() error {
	s.in.close()
	s.out.closeWriter()
	s.readDeadline.set(time.Time{})
	s.writeDeadline.set(time.Time{})
	return nil
}

// SetDeadline sets the deadlines of reads and writes.
func (s *stream) SetDeadline(t time.Time) error {
	s.readDeadline.set(t)
	s.writeDeadline.set(t)
	return nil
}

// SetReadDeadline sets the deadline of reads.
func (s *stream) SetReadDeadline(t time.Time) error {
	s.readDeadline.set(t)
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (s *stream) SetWriteDeadline(t time.Time) error {
	s.writeDeadline.set(t)
	return nil
}

var _ net.Conn = (*conn)(nil)
