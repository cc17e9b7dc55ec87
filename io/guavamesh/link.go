package guavamesh

import (
	"bufio"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"guavaridge/core/guavabudget"
	"guavaridge/core/guavamember"
)

const (
	// acceptorInterval and dialerInterval are the intervals at which the two ends of an idle link send heartbeats. The
	// accepting VM is the one that decides, and the dialing VM turns to another one soon after it falls silent. In the
	// other direction a silent VM only holds slots, and a deciding VM has a link from every VM of the fleet.
	acceptorInterval = 200 * time.Millisecond
	dialerInterval   = 600 * time.Millisecond
	// dialerTimeout and acceptorTimeout are the times without a message after which the dialing and the accepting VM close
	// a link. They cover several heartbeats of the other end.
	dialerTimeout   = 1200 * time.Millisecond
	acceptorTimeout = 2000 * time.Millisecond
	// writeTimeout bounds one write. The link to a peer that does not read is closed.
	writeTimeout = time.Second
	// queueLength is the capacity of the send queue, in messages.
	queueLength = 1024
	// maxMessageSize is the maximum size of a message in bytes. The largest are snapshots of tables, and objects of the store
	// that a VM passes on.
	maxMessageSize = 24 << 20
	// maxGreetingSize is the maximum size of a greeting in bytes, with the description of its type.
	maxGreetingSize = 4 << 10
	// smallMessageSize is the size in bytes up to which messages use no memory of the budget.
	smallMessageSize = 16 << 10
	// Sizes of a link's buffers in bytes. Messages are small.
	readBufferSize  = 2 << 10
	writeBufferSize = 2 << 10
)

var errQueueFull = errors.New("send queue of the link is full")

// envelope is the unit of transmission: a message, or nil for a heartbeat.
type envelope struct{ Message any }

// greeting is the first message in both directions and identifies the sender.
type greeting struct{ VM guavamember.Identity }

// Link is a connection to another VM that carries messages both ways, in order.
type Link struct {
	// Peer is the VM at the other end.
	Peer guavamember.Identity
	// Outgoing reports whether this VM opened the link.
	Outgoing bool

	interval    time.Duration // between heartbeats
	readTimeout time.Duration

	conn         net.Conn
	encoder      *gob.Encoder
	decoder      *gob.Decoder
	reader       *messageReader
	writer       *bufio.Writer
	queue        chan any
	closed       chan struct{}
	start        time.Time
	lastReceived atomic.Int64 // time of the last message received, in ns after start
	once         sync.Once
	err          error
}

func newLink(c net.Conn, outgoing bool, budget *guavabudget.Budget) *Link {
	w := bufio.NewWriterSize(c, writeBufferSize)
	interval, timeout := acceptorInterval, acceptorTimeout
	if outgoing {
		interval, timeout = dialerInterval, dialerTimeout
	}
	reader := &messageReader{Reader: bufio.NewReaderSize(c, readBufferSize), held: budget.Holder()}
	return &Link{
		Outgoing: outgoing, interval: interval, readTimeout: timeout, conn: c, writer: w,
		encoder: gob.NewEncoder(w), decoder: gob.NewDecoder(reader), reader: reader,
		queue: make(chan any, queueLength), closed: make(chan struct{}), start: time.Now(),
	}
}

// Send queues a message without blocking. If the queue is full, the link is closed.
func (l *Link) Send(message any) {
	select {
	case l.queue <- message:
	case <-l.closed:
	default:
		l.close(errQueueFull)
	}
}

// SinceReceived returns the time since the last message from the peer.
func (l *Link) SinceReceived() time.Duration {
	return time.Since(l.start) - time.Duration(l.lastReceived.Load())
}

// Close ends the link.
func (l *Link) Close() { l.close(net.ErrClosed) }

func (l *Link) close(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.closed)
		l.conn.Close()
	})
}

// handshake exchanges greetings and sets Peer.
func (l *Link) handshake(self guavamember.Identity) error {
	if err := l.conn.SetDeadline(time.Now().Add(l.readTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	if err := l.write(greeting{VM: self}); err != nil {
		return err
	}
	if err := l.writer.Flush(); err != nil {
		return fmt.Errorf("send greeting: %w", err)
	}
	var e envelope
	if err := l.read(&e, maxGreetingSize); err != nil {
		return fmt.Errorf("read greeting: %w", err)
	}
	g, ok := e.Message.(greeting)
	if !ok {
		return fmt.Errorf("read greeting: got a message of type %T", e.Message)
	}
	l.Peer = g.VM
	l.lastReceived.Store(int64(time.Since(l.start)))
	return nil
}

// read reads a message of at most the given size in bytes.
func (l *Link) read(e *envelope, size int) error {
	l.reader.remaining = size
	defer l.reader.held.Set(0)
	return l.decoder.Decode(e) //nolint:wrapcheck // the callers say what they read
}

func (l *Link) write(message any) error {
	if err := l.encoder.Encode(envelope{Message: message}); err != nil {
		return fmt.Errorf("encode %T: %w", message, err)
	}
	return nil
}

// writeLoop writes queued messages and heartbeats until the link closes.
func (l *Link) writeLoop() {
	heartbeat := time.NewTimer(l.interval)
	defer heartbeat.Stop()
	for {
		var message any
		select {
		case message = <-l.queue:
		case <-heartbeat.C:
		case <-l.closed:
			return
		}
		if err := l.flush(message); err != nil {
			l.close(err)
			return
		}
		heartbeat.Reset(l.interval)
	}
}

// flush writes a message and all that are queued behind it.
func (l *Link) flush(message any) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if err := l.write(message); err != nil {
		return err
	}
	for {
		select {
		case message = <-l.queue:
			if err := l.write(message); err != nil {
				return err
			}
			continue
		default:
		}
		if err := l.writer.Flush(); err != nil {
			return fmt.Errorf("send: %w", err)
		}
		return nil
	}
}

// readLoop calls handle with each message until the link closes.
func (l *Link) readLoop(handle func(message any)) {
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(l.readTimeout)); err != nil {
			l.close(err)
			return
		}
		var e envelope
		if err := l.read(&e, maxMessageSize); err != nil {
			l.close(fmt.Errorf("receive: %w", err))
			return
		}
		l.lastReceived.Store(int64(time.Since(l.start)))
		handle(e.Message)
	}
}
