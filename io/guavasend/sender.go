// Package guavasend sends requests to backend servers as they are and reads the answers.
package guavasend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavapool"
)

const (
	// largeBody is the size in bytes from which a body is written beside the reading of the answer: a server may answer
	// before it has read all of it.
	largeBody = 8 << 10
	// foreignAnswers is the number of answers to other requests that are passed over on one connection.
	foreignAnswers = 3
	// resetTime is the time within which the reset of a forgotten connection arrives: a round trip between regions. What
	// breaks later may have been worked on.
	resetTime = 100 * time.Millisecond
)

// Error is a failed exchange.
type Error struct {
	// Sent reports whether bytes of the request may have reached the server.
	Sent bool
	// TimedOut reports whether the server sent nothing in the time given.
	TimedOut bool
	Err      error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is what to send.
type Request struct {
	Address string
	// ID is the identifier that the answer has to carry, and IDHeader its header. An empty ID takes any answer.
	ID       string
	IDHeader string
	Message  *fasthttp.Request
	// MaxIdle bounds how long a connection that is used again may have been idle.
	MaxIdle time.Duration
	// Repeatable requests are sent once more, on a new connection, when a used one breaks before an answer begins.
	Repeatable bool
	// HeaderTimeout bounds the wait for the head of the answer, 0 for no bound.
	HeaderTimeout time.Duration
}

// Sender sends requests.
type Sender struct{ pool *guavapool.Pool }

// New returns a sender on connections of the pool.
func New(p *guavapool.Pool) *Sender { return &Sender{pool: p} }

// Exchange is an answer whose body has not been read. It must be finished or closed.
type Exchange struct {
	Response *fasthttp.Response

	sender  *Sender
	address string
	conn    *guavapool.Connection
	stop    func() bool
	written chan error
	quiet   time.Duration
}

// Send sends a request and reads the head of its answer. The end of ctx closes the connection, until the exchange is
// finished or closed. The error is an *Error.
//
// Servers may drop idle connections without notice and reset what comes on them. That looks like a server which the request
// has crashed, but the former accepts a new connection at once.
func (s *Sender) Send(ctx context.Context, r Request) (*Exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Err: context.Cause(ctx)}
	}
	c, err := s.pool.ConnectWithin(ctx, r.Address, r.MaxIdle)
	if err != nil {
		return nil, &Error{Err: err}
	}
	used, began := c.Reused, time.Now()
	x, failure := s.exchange(ctx, c, r)
	if failure == nil {
		return x, nil
	}
	if !used || !r.Repeatable || failure.TimedOut || ctx.Err() != nil || time.Since(began) > resetTime {
		return nil, failure
	}
	if c, err = s.pool.Open(ctx, r.Address); err != nil {
		return nil, failure // the server is gone, possibly by this request
	}
	if x, failure = s.exchange(ctx, c, r); failure != nil {
		failure.Sent = true // the first time at least
		return nil, failure
	}
	return x, nil
}

// exchange sends a request on a connection and reads the head of its answer.
func (s *Sender) exchange(ctx context.Context, c *guavapool.Connection, r Request) (*Exchange, *Error) {
	x := &Exchange{sender: s, address: r.Address, conn: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	err := x.begin(r)
	if err == nil {
		return x, nil
	}
	sent := len(r.Message.Body()) > largeBody || c.Written > 0
	x.Close()
	if len(r.Message.Body()) > largeBody {
		err = errors.Join(err, <-x.written) // the message may be sent again, so its first write must have ended
	}
	var timeout interface{ Timeout() bool }
	quiet := errors.As(err, &timeout) && timeout.Timeout()
	if ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
	}
	return nil, &Error{Sent: sent, TimedOut: quiet, Err: err}
}

func (x *Exchange) begin(r Request) error {
	if len(r.Message.Body()) > largeBody {
		go func() { x.written <- x.write(r.Message) }()
	} else {
		if err := x.write(r.Message); err != nil {
			return err
		}
		x.written <- nil
	}
	if err := x.wait(r.HeaderTimeout); err != nil {
		return err
	}
	for range foreignAnswers {
		x.Response = fasthttp.AcquireResponse()
		x.Response.Header.SetNoDefaultContentType(true)
		x.Response.StreamBody = true
		x.Response.SkipBody = string(r.Message.Header.Method()) == fasthttp.MethodHead
		if err := x.Response.ReadLimitBody(x.conn.Reader, 0); err != nil {
			return fmt.Errorf("read answer of %s: %w", r.Address, err)
		}
		if r.ID == "" || string(x.Response.Header.Peek(r.IDHeader)) == r.ID {
			x.conn.IdleTime = keepAlive(string(x.Response.Header.Peek("Keep-Alive")))
			return nil
		}
		// A late answer to an earlier request of this connection stands before the own one.
		if _, err := io.Copy(io.Discard, x.body()); err != nil {
			return fmt.Errorf("pass over an answer of %s: %w", r.Address, err)
		}
		fasthttp.ReleaseResponse(x.Response)
		x.Response = nil
	}
	return fmt.Errorf("answers of %s belong to other requests", r.Address)
}

func (x *Exchange) write(q *fasthttp.Request) error {
	x.conn.Writer.Reset(x.conn)
	if err := q.Write(x.conn.Writer); err != nil {
		return fmt.Errorf("send to %s: %w", x.address, err)
	}
	if err := x.conn.Writer.Flush(); err != nil {
		return fmt.Errorf("send to %s: %w", x.address, err)
	}
	return nil
}

// wait bounds the reads from now on.
func (x *Exchange) wait(d time.Duration) error {
	var deadline time.Time
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	if err := x.conn.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	return nil
}

// SetReadTimeout bounds the time between reads of the body from now on, 0 for no bound.
func (x *Exchange) SetReadTimeout(d time.Duration) { x.quiet = d }

func (x *Exchange) body() io.Reader {
	if b := x.Response.BodyStream(); b != nil {
		return b
	}
	return strings.NewReader("")
}

// Read reads from the body. io.EOF says that the answer is complete; an answer without a length ends with its
// connection.
func (x *Exchange) Read(p []byte) (int, error) {
	if err := x.wait(x.quiet); err != nil {
		return 0, err
	}
	n, err := x.body().Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, fmt.Errorf("read body from %s: %w", x.address, err)
	}
	return n, err //nolint:wrapcheck // io.Reader wants io.EOF itself
}

// Finish puts the connection back after the body has been read to its end.
func (x *Exchange) Finish() {
	closes := x.Response.ConnectionClose() || x.Response.Header.ContentLength() < -1
	select {
	case err := <-x.written:
		closes = closes || err != nil
	default:
		closes = true // the server answered before it took the whole request
	}
	if !x.stop() || closes || x.conn.Reader.Buffered() > 0 || x.conn.SetReadDeadline(time.Time{}) != nil {
		x.conn.Close()
		x.free()
		return
	}
	x.free()
	x.sender.pool.Put(x.address, x.conn)
}

// Close ends the exchange and its connection, which makes the server drop the request.
func (x *Exchange) Close() {
	x.stop()
	x.conn.Close()
	x.free()
}

func (x *Exchange) free() {
	if x.Response != nil {
		// The body's stream may still be read by another goroutine, so the response is left to the collector.
		x.Response = nil
	}
}

// keepAlive reads the timeout of a Keep-Alive header.
func keepAlive(v string) time.Duration {
	for field := range strings.SplitSeq(v, ",") {
		if n, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if s, err := strconv.Atoi(n); err == nil && s > 0 {
				return time.Duration(s) * time.Second
			}
		}
	}
	return 0
}
