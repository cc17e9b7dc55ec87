// Package guavasend sends HTTP requests to backend servers unchanged and reads the responses.
package guavasend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavabudget"
	"guavaridge/core/guavaplace"
	"guavaridge/io/guavapool"
	"guavaridge/io/guavatransport"
)

const (
	// largeBody is the size in bytes above which a body is written concurrently with the reading of the response, since a
	// server may respond before it has read the complete body.
	largeBody = 8 << 10
	// maxForeignResponses is the number of responses to other requests that are skipped on one connection.
	maxForeignResponses = 3
	// maxForeignSize bounds the bytes of such a response. A server that sends more is not in step with the requests.
	maxForeignSize = 1 << 20
	// minReadSize is the size of the first read of a body without a length.
	minReadSize = 4 << 10
	// CoveredBytes is the size of a response up to which it uses none of the budget: the memory of its connections covers it,
	// so that small responses are read also while large ones use up the budget.
	CoveredBytes = 8 << 10
	// resetWindow bounds the time until the reset of a connection that the server has dropped arrives: a round trip
	// between regions. If the connection fails later, the request may have been executed.
	resetWindow = 100 * time.Millisecond
	// writeTimeout bounds the wait for the rest of a request to be written after the end of a response without a length.
	writeTimeout = 2 * time.Second
)

// errNotWritten means that a server has ended its connection before it read the complete request.
var errNotWritten = errors.New("request not read by the server")

// ErrOverBudget means that a server has sent more than fits into the memory that the VM uses for responses.
var ErrOverBudget = errors.New("response exceeds the memory for responses")

// ErrMalformed means that a server has sent something that is no response to the request, or no part of one.
var ErrMalformed = errors.New("malformed response")

// Error is a failed exchange.
type Error struct {
	// Sent reports whether bytes of the request may have reached the server.
	Sent bool
	// TimedOut reports whether a read exceeded its timeout.
	TimedOut bool
	Err      error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Outcome returns the outcome of a run whose exchange has failed with err. Only a connection that was lost without the
// server's doing otherwise, or a silence, may come from a server that crashed on the request.
func Outcome(err error) guavaplace.Outcome {
	var failure *Error
	switch isError := errors.As(err, &failure); {
	case isError && !failure.Sent:
		return guavaplace.Unreachable
	case isTimeout(err):
		return guavaplace.TimedOut
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrOverBudget):
		return guavaplace.Malformed
	}
	return guavaplace.ConnectionLost
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readError returns the error of a failed read of a response. It wraps ErrMalformed if the connection did not end, so that the
// bytes were no part of a response.
func readError(err error) error {
	var network net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.ErrClosedPipe), errors.Is(err, net.ErrClosed),
		errors.As(err, &network), isTimeout(err):
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// Request is a request and the rules for sending it.
type Request struct {
	Address string
	// ID is the value that the response has to carry in IDHeader. Without an ID the request is sent on a new connection:
	// a late copy of an earlier response on a reused one could not be told apart from its response.
	ID       string
	IDHeader string
	Message  *fasthttp.Request
	// MaxIdle bounds the idle time of a reused connection.
	MaxIdle time.Duration
	// NewConnection sends the request on a new connection. It is set when the server has refused a request with the same ID,
	// since a late copy of the refusal on a reused connection would look like the response.
	NewConnection bool
	// Repeatable requests are sent once more, on a new connection, if a reused one fails before the response begins.
	Repeatable bool
	// HeaderTimeout bounds the wait for the headers of the response; 0 means no bound.
	HeaderTimeout time.Duration
}

// Sender sends requests.
type Sender struct {
	// OverBudget counts the responses that failed with ErrOverBudget.
	OverBudget atomic.Uint64

	pool   *guavapool.Pool
	budget *guavabudget.Budget
}

// New returns a sender that uses the connections of the pool, and holds what servers send within the budget.
func New(p *guavapool.Pool, b *guavabudget.Budget) *Sender { return &Sender{pool: p, budget: b} }

// Holder returns a holder of 0 bytes of the budget.
func (s *Sender) Holder() guavabudget.Holder { return s.budget.Holder() }

// Exchange is a request whose response headers have been read. It must be finished or closed.
type Exchange struct {
	Response *fasthttp.Response
	// Resent reports that the request had been sent before, on a connection that failed, and may have been executed then.
	// The response says nothing about that.
	Resent bool

	sender    *Sender
	address   string
	conn      *guavapool.Connection
	stop      func() bool
	writeDone chan error // gets the outcome of the write of the request
	written   bool       // whether writeErr is that outcome
	writeErr  error
	buffered  guavabudget.Holder
}

// Send sends a request and reads the headers of its response. The end of ctx closes the connection, until the exchange
// is finished or closed. The error is an *Error.
//
// A server may drop an idle connection without notice and reset it when the next request arrives. That looks as if the
// request had crashed the server. Unlike a crashed server, it accepts a new connection at once.
func (s *Sender) Send(ctx context.Context, r Request) (*Exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Err: context.Cause(ctx)}
	}
	c, err := s.connect(ctx, r)
	if err != nil {
		return nil, &Error{Err: err}
	}
	reused, start := c.Reused, time.Now()
	x, failure := s.exchange(ctx, c, r)
	if failure == nil {
		return x, nil
	}
	if !reused || !r.Repeatable || failure.TimedOut || ctx.Err() != nil || time.Since(start) > resetWindow {
		return nil, failure
	}
	if c, err = s.pool.Open(ctx, r.Address); err != nil {
		return nil, failure // the server is down, possibly crashed by this request
	}
	if x, failure = s.exchange(ctx, c, r); failure != nil {
		failure.Sent = true // at least on the first connection
		return nil, failure
	}
	x.Resent = true
	return x, nil
}

func (s *Sender) connect(ctx context.Context, r Request) (*guavapool.Connection, error) {
	if r.ID == "" || r.NewConnection {
		return s.pool.Open(ctx, r.Address) //nolint:wrapcheck // Send wraps it
	}
	return s.pool.ConnectWithin(ctx, r.Address, r.MaxIdle) //nolint:wrapcheck // Send wraps it
}

// exchange sends a request on a connection and reads the headers of its response.
func (s *Sender) exchange(ctx context.Context, c *guavapool.Connection, r Request) (*Exchange, *Error) {
	x := &Exchange{sender: s, address: r.Address, conn: c, writeDone: make(chan error, 1), buffered: s.budget.Holder()}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	err := x.roundTrip(r)
	if err == nil {
		return x, nil
	}
	sent := len(r.Message.Body()) > largeBody || c.Written > 0
	x.Close()
	if len(r.Message.Body()) > largeBody {
		err = errors.Join(err, <-x.writeDone) // the message may be sent again, so its first write has to end before
	}
	timedOut := isTimeout(err)
	if ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
	}
	return nil, &Error{Sent: sent, TimedOut: timedOut, Err: err}
}

func (x *Exchange) roundTrip(r Request) error {
	if len(r.Message.Body()) > largeBody {
		go func() { x.writeDone <- x.write(r.Message) }()
	} else {
		if err := x.write(r.Message); err != nil {
			return err
		}
		x.writeDone <- nil
	}
	if err := x.SetReadTimeout(r.HeaderTimeout); err != nil {
		return err
	}
	for skipped := range maxForeignResponses {
		x.Response = fasthttp.AcquireResponse()
		x.Response.Header.SetNoDefaultContentType(true)
		x.Response.StreamBody = true
		x.Response.SkipBody = string(r.Message.Header.Method()) == fasthttp.MethodHead
		if err := guavatransport.ReadResponse(x.Response, x.conn.Reader, 0); err != nil {
			if err = readError(err); skipped > 0 {
				err = fmt.Errorf("%w: after a response to another request: %w", ErrMalformed, err)
			}
			return fmt.Errorf("read response headers from %s: %w", r.Address, err)
		}
		if r.ID == "" || string(x.Response.Header.Peek(r.IDHeader)) == r.ID {
			x.conn.IdleTime = keepAliveTimeout(string(x.Response.Header.Peek("Keep-Alive")))
			return x.SetReadTimeout(0)
		}
		// This is a late response to an earlier request on the connection; that to r follows.
		n, err := io.Copy(io.Discard, io.LimitReader(x.body(), maxForeignSize+1))
		if err == nil && n > maxForeignSize {
			err = fmt.Errorf("%w: more than %d bytes", ErrMalformed, maxForeignSize)
		}
		if err != nil {
			return fmt.Errorf("skip a late response from %s: %w", r.Address, readError(err))
		}
		fasthttp.ReleaseResponse(x.Response)
		x.Response = nil
	}
	return fmt.Errorf("%w: responses from %s belong to other requests", ErrMalformed, r.Address)
}

func (x *Exchange) write(q *fasthttp.Request) error {
	x.conn.Writer.Reset(x.conn)
	if err := q.Write(x.conn.Writer); err != nil {
		return fmt.Errorf("write request to %s: %w", x.address, err)
	}
	if err := x.conn.Writer.Flush(); err != nil {
		return fmt.Errorf("flush request to %s: %w", x.address, err)
	}
	return nil
}

// SetReadTimeout bounds all reads until the next call by a time from now; 0 means no bound. A server that sends a byte
// now and then does not extend it.
func (x *Exchange) SetReadTimeout(d time.Duration) error {
	var deadline time.Time
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	if err := x.conn.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	return nil
}

// Hold records the number of bytes of the response that are buffered, and returns ErrOverBudget if they are too many.
func (x *Exchange) Hold(bytes int) error {
	if !x.buffered.Set(max(bytes-CoveredBytes, 0)) {
		x.sender.OverBudget.Add(1)
		return fmt.Errorf("buffer %d bytes from %s: %w", bytes, x.address, ErrOverBudget)
	}
	return nil
}

// TakeHeld returns the memory that the response holds, which Finish and Close then no longer release.
func (x *Exchange) TakeHeld() guavabudget.Holder {
	held := x.buffered
	x.buffered = x.sender.budget.Holder()
	return held
}

// ReadAll reads the complete body.
func (x *Exchange) ReadAll() ([]byte, error) {
	return ReadAll(x, x.Response.Header.ContentLength(), x.Hold)
}

// ReadAll reads to the end of r, whose length in bytes is expected to be as given if it is not negative. It calls hold with the
// size of its buffer, in bytes, before it uses one, and returns the error of hold, or that of r unless it is io.EOF.
func ReadAll(r io.Reader, length int, hold func(bytes int) error) ([]byte, error) {
	size := max(length+1, minReadSize) // one more byte than the body, to read its end
	if err := hold(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if err := hold(2 * cap(body)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // the caller knows what it reads
		}
	}
}

func (x *Exchange) body() io.Reader {
	if b := x.Response.BodyStream(); b != nil {
		return b
	}
	return strings.NewReader("")
}

// Read reads from the body. io.EOF means that the response is complete; one without a length ends when its connection
// is closed.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.body().Read(p)
	if errors.Is(err, io.EOF) && !x.IsDelimited() {
		// A connection that is reset while the request is written looks closed here: the write gets the reset.
		if writeErr := x.awaitWrite(); writeErr != nil {
			err = fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, writeErr)
		}
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return n, fmt.Errorf("read body from %s: %w", x.address, readError(err))
	}
	return n, err //nolint:wrapcheck // io.Reader wants io.EOF itself
}

// awaitWrite returns the outcome of the write of the request. A server that has ended its response and neither reads on nor resets the
// connection ends the wait after writeTimeout.
func (x *Exchange) awaitWrite() error {
	if x.written {
		return x.writeErr
	}
	timeout := time.NewTimer(writeTimeout)
	defer timeout.Stop()
	select {
	case err := <-x.writeDone:
		x.written, x.writeErr = true, err
		return err
	case <-timeout.C:
		return errNotWritten
	}
}

// isWritten reports whether the request has been written completely.
func (x *Exchange) isWritten() bool {
	if !x.written {
		select {
		case err := <-x.writeDone:
			x.written, x.writeErr = true, err
		default:
			return false // the server responded before it read the complete request
		}
	}
	return x.writeErr == nil
}

// IsDelimited reports whether the response has a length or chunks, so that the end of its body shows that it is complete. It
// may be called before Finish and Close only.
func (x *Exchange) IsDelimited() bool { return x.Response.Header.ContentLength() >= -1 }

// Finish returns the connection to the pool after the body has been read completely.
func (x *Exchange) Finish() {
	closes := x.Response.ConnectionClose() || x.Response.Header.ContentLength() < -1 || !x.isWritten()
	if !x.stop() || closes || x.conn.Reader.Buffered() > 0 || x.conn.SetReadDeadline(time.Time{}) != nil {
		x.conn.Close()
		x.freeResponse()
		return
	}
	x.freeResponse()
	x.sender.pool.Put(x.address, x.conn)
}

// Close ends the exchange and closes its connection, so that the server cancels the request.
func (x *Exchange) Close() {
	x.stop()
	x.conn.Close()
	x.freeResponse()
}

func (x *Exchange) freeResponse() {
	x.buffered.Set(0)
	if x.Response != nil {
		// Another goroutine may still read the body, so the response is left to the garbage collector instead of released.
		x.Response = nil
	}
}

// keepAliveTimeout returns the timeout of a Keep-Alive header, 0 if it has none.
func keepAliveTimeout(v string) time.Duration {
	for field := range strings.SplitSeq(v, ",") {
		if n, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if s, err := strconv.Atoi(n); err == nil && s > 0 {
				return time.Duration(s) * time.Second
			}
		}
	}
	return 0
}
