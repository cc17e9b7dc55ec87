package guavagate

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavabudget"
	"guavaridge/io/guavalisten"
	"guavaridge/io/guavasend"
)

// Causes of requests that end because of what their callers send.
const (
	causeMemory   = "memory"
	causeTooLarge = "too large"
	causeSlow     = "not sent in time"
	causeBroken   = "broken off or malformed"
)

var (
	errOverMemory = errors.New("no memory for the body")
	errTooLarge   = errors.New("body over the limit")
)

// readBody reads the body of the request, within the limits of the configuration and the memory of the VM. If it can't, it
// responds with the reason and returns false. Until then, the request has not been executed.
func (c *call) readBody() bool {
	h := &c.ctx.Request.Header
	if limit := c.config.Limits.HeaderBytes; limit > 0 && len(h.RawHeaders()) > limit {
		c.rejectSize(fasthttp.StatusRequestHeaderFieldsTooLarge)
		return false
	}
	stream := c.ctx.RequestBodyStream()
	if stream == nil {
		return true
	}
	limit := c.config.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBodySize
	}
	size := h.ContentLength()
	if size > limit {
		c.rejectSize(fasthttp.StatusRequestEntityTooLarge)
		return false
	}
	body, err := c.collect(stream, size, limit)
	if err == nil {
		c.body = body
		return true
	}
	if c.held != nil {
		c.held.Set(0)
	}
	var timeout net.Error
	switch {
	case errors.Is(err, errTooLarge):
		c.rejectSize(fasthttp.StatusRequestEntityTooLarge)
	case errors.Is(err, errOverMemory):
		c.gate.Counters.OverMemory.Add(1)
		c.closeAfterResponse()
		c.refuse(fasthttp.StatusServiceUnavailable, defaultRetryAfter, causeMemory)
	case errors.As(err, &timeout) && timeout.Timeout():
		c.closeAfterResponse()
		c.reject(fasthttp.StatusRequestTimeout, causeSlow)
	default:
		c.closeAfterResponse()
		c.reject(fasthttp.StatusBadRequest, causeBroken)
	}
	return false
}

// collect reads a body of the given size, negative if it is unknown, and of at most limit bytes. It holds memory only for
// about twice what has arrived, whatever size the caller has announced.
func (c *call) collect(stream io.Reader, size, limit int) ([]byte, error) {
	most := limit + 1 // one more, to see that there is more
	if size >= 0 {
		most = size
	}
	body := make([]byte, 0, min(most, coveredBytes))
	for {
		if len(body) == most {
			if size < 0 {
				return nil, errTooLarge
			}
			return body, nil
		}
		if len(body) == cap(body) {
			grown := min(2*cap(body), most)
			if c.held == nil {
				c.held = c.gate.Bodies.Holder(c.account)
			}
			if !c.held.Set(grown) {
				return nil, errOverMemory
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && (size < 0 || len(body) == size):
			return body, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err //nolint:wrapcheck // readBody tells the kinds of errors apart
		}
	}
}

// rejectSize responds that the request exceeds a limit of the configuration. Repeating it is of no use.
func (c *call) rejectSize(status int) {
	c.gate.Counters.OverLimit.Add(1)
	c.closeAfterResponse()
	c.reject(status, causeTooLarge)
}

// reject responds that the request is not acceptable as it was sent.
func (c *call) reject(status int, cause string) {
	c.ctx.SetStatusCode(status)
	c.log("rejected", "status", status, "cause", cause, "bytes", c.ctx.Request.Header.ContentLength())
	c.recordOutcome(Rejected, cause)
}

// closeAfterResponse closes the connection after the response, although the caller may still be sending its request.
func (c *call) closeAfterResponse() {
	c.ctx.SetConnectionClose()
	if w, ok := c.ctx.Conn().(*guavalisten.Connection); ok {
		w.Linger()
	}
}

// heldBody is the body of a response that its caller has not read yet. The memory that it holds is released by Close.
type heldBody struct {
	rest []byte
	held guavabudget.Holder
	end  time.Time // when the response is broken off
}

// Read implements io.Reader for the HTTP server. It fails after the end, so that a caller that reads a little now and then does
// not hold the memory for long.
func (b *heldBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	if time.Now().After(b.end) {
		return 0, errDeadline
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close implements io.Closer for the HTTP server, which calls it when the response is written or the connection is lost.
func (b *heldBody) Close() error {
	b.rest = nil
	b.held.Set(0)
	return nil
}

// respond sets the body of the response. held is the memory that it holds until the caller has read it.
func (c *call) respond(body []byte, held guavabudget.Holder) {
	if len(body) <= coveredBytes {
		held.Set(0)
		c.ctx.Response.SetBodyRaw(body)
		return
	}
	c.ctx.SetBodyStream(&heldBody{rest: body, held: held, end: c.deadline.Add(unreadTimeout)}, len(body))
}

// holdResponse makes the body of the response of a job's operation hold memory until the caller has read it.
func (c *call) holdResponse() {
	body := c.ctx.Response.Body()
	if len(body) <= coveredBytes {
		return
	}
	held := c.gate.Sender.Holder()
	if !held.Set(len(body)) {
		c.ctx.Response.ResetBody()
		c.gate.Counters.OverMemory.Add(1)
		c.refuse(fasthttp.StatusServiceUnavailable, defaultRetryAfter, causeMemory)
		return
	}
	c.respond(body, held)
}

// coveredBytes is the size up to which bodies hold no memory of the budget: that of the connection covers them.
const coveredBytes = guavasend.CoveredBytes
