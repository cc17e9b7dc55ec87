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

	"guavaridge/core/guavamember"
)

const (
	// pingTime is the pause after which a link without messages sends one.
	pingTime = 200 * time.Millisecond
	// silentTime is the time without a message after which a link is lost. It covers several lost pings.
	silentTime = 1200 * time.Millisecond
	// writeTime bounds one write; a peer that reads nothing loses its link.
	writeTime = time.Second
	// queueLength is the number of messages that may wait to be written.
	queueLength = 1024
	// Sizes of a link's buffers in bytes. Messages are small.
	readSize  = 2 << 10
	writeSize = 2 << 10
)

var errFull = errors.New("too many messages wait for the peer")

// envelope is what travels: a message, or nothing to show that the sender lives.
type envelope struct{ Message any }

// greeting is the first message in both directions.
type greeting struct{ VM guavamember.Identity }

// Link is a connection to another VM that carries messages both ways, in order.
type Link struct {
	// Peer is the VM at the other end.
	Peer guavamember.Identity
	// Outgoing reports whether this VM opened the link.
	Outgoing bool

	conn    net.Conn
	encoder *gob.Encoder
	decoder *gob.Decoder
	writer  *bufio.Writer
	queue   chan any
	closed  chan struct{}
	begun   time.Time
	heard   atomic.Int64 // time of the last message, in ns after begun
	once    sync.Once
	err     error
}

func newLink(c net.Conn, outgoing bool) *Link {
	w := bufio.NewWriterSize(c, writeSize)
	return &Link{
		Outgoing: outgoing, conn: c, writer: w,
		encoder: gob.NewEncoder(w), decoder: gob.NewDecoder(bufio.NewReaderSize(c, readSize)),
		queue: make(chan any, queueLength), closed: make(chan struct{}), begun: time.Now(),
	}
}

// Send puts a message into the queue. It never blocks; a link whose queue is full is closed.
func (l *Link) Send(message any) {
	select {
	case l.queue <- message:
	case <-l.closed:
	default:
		l.close(errFull)
	}
}

// SinceReceived returns how long nothing has been heard from the peer.
func (l *Link) SinceReceived() time.Duration {
	return time.Since(l.begun) - time.Duration(l.heard.Load())
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

// greet exchanges greetings.
func (l *Link) greet(self guavamember.Identity) error {
	if err := l.conn.SetDeadline(time.Now().Add(silentTime)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	if err := l.write(greeting{VM: self}); err != nil {
		return err
	}
	if err := l.writer.Flush(); err != nil {
		return fmt.Errorf("send greeting: %w", err)
	}
	var e envelope
	if err := l.decoder.Decode(&e); err != nil {
		return fmt.Errorf("read greeting: %w", err)
	}
	g, ok := e.Message.(greeting)
	if !ok {
		return fmt.Errorf("read greeting: got %T", e.Message)
	}
	l.Peer = g.VM
	l.heard.Store(int64(time.Since(l.begun)))
	return nil
}

func (l *Link) write(message any) error {
	if err := l.encoder.Encode(envelope{Message: message}); err != nil {
		return fmt.Errorf("encode %T: %w", message, err)
	}
	return nil
}

// send writes what is queued until the link closes.
func (l *Link) send() {
	ping := time.NewTimer(pingTime)
	defer ping.Stop()
	for {
		var message any
		select {
		case message = <-l.queue:
		case <-ping.C:
		case <-l.closed:
			return
		}
		if err := l.flush(message); err != nil {
			l.close(err)
			return
		}
		ping.Reset(pingTime)
	}
}

// flush writes a message and those that wait behind it.
func (l *Link) flush(message any) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
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

// receive passes messages on until the link closes.
func (l *Link) receive(pass func(message any)) {
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(silentTime)); err != nil {
			l.close(err)
			return
		}
		var e envelope
		if err := l.decoder.Decode(&e); err != nil {
			l.close(fmt.Errorf("receive: %w", err))
			return
		}
		l.heard.Store(int64(time.Since(l.begun)))
		pass(e.Message)
	}
}
