package guavaback

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavapool"
)

// exchange is one request on one connection and its answer.
type exchange struct {
	backend *backend
	attempt *Attempt
	sink    Sink
	control bool // the answer needs no identifier

	sent     bool // bytes of the request may have left
	answered bool // the head of an answer has arrived
	broken   bool // the connection failed after that
	tokens   int  // events with text that the sink took
	escaped  []byte
}

// run sends the request and reads the answer.
func (x *exchange) run(ctx context.Context) (Response, error) {
	if err := ctx.Err(); err != nil {
		return Response{}, err
	}
	c, err := x.backend.pool.Connect(ctx, x.attempt.Address)
	if err != nil {
		return Response{}, err
	}
	answer, reuse, err := x.on(ctx, c)
	if err != nil && !x.sent && c.Reused && ctx.Err() == nil {
		// The idle connection was gone and took no byte, so a new connection is the first sending.
		x.backend.counters.Stale.Add(1)
		if c, err = x.backend.pool.Open(ctx, x.attempt.Address); err != nil {
			return Response{}, err
		}
		answer, reuse, err = x.on(ctx, c)
	}
	if reuse {
		x.backend.pool.Put(x.attempt.Address, c)
	}
	return answer, err
}

// on runs the exchange on a connection and closes it unless it can be used again.
func (x *exchange) on(ctx context.Context, c *guavapool.Connection) (answer Response, reuse bool, err error) {
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { c.Close() })
		defer func() {
			if !stop() {
				reuse = false
			}
		}()
	}
	defer func() {
		if !reuse {
			c.Close()
		}
	}()
	err = x.write(ctx, c)
	x.sent = c.Written > 0
	if err != nil {
		x.broken = x.sent
		return Response{}, false, fmt.Errorf("send to %s: %w", x.attempt.Address, err)
	}
	r := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(r)
	r.Header.SetNoDefaultContentType(true)
	r.StreamBody = x.attempt.Stream
	r.SkipBody = x.attempt.Method == fasthttp.MethodHead
	if err := r.ReadLimitBody(c.Reader, x.backend.bodyLimit); err != nil {
		x.broken = !errors.Is(err, fasthttp.ErrBodyTooLarge)
		return Response{}, false, fmt.Errorf("read answer of %s: %w", x.attempt.Address, err)
	}
	x.answered = true
	if !x.control && string(r.Header.Peek(HeaderID)) != x.attempt.ID {
		x.backend.counters.Dropped.Add(1)
		return Response{}, false, fmt.Errorf("%w (from %s)", ErrIDMismatch, x.attempt.Address)
	}
	answer = Response{Status: r.StatusCode(), Header: header(r), Load: parseLoad(string(r.Header.Peek(HeaderLoad)))}
	switch {
	case r.BodyStream() == nil:
		answer.Body = bytes.Clone(r.Body())
	case answer.Status == fasthttp.StatusOK && bytes.HasPrefix(r.Header.ContentType(), []byte("text/event-stream")):
		if err := x.sink.Head(answer.Status, answer.Header); err != nil {
			return Response{}, false, fmt.Errorf("pass on head: %w", err)
		}
		if err := x.events(r.BodyStream()); err != nil {
			return Response{}, false, err
		}
		answer.Tokens = x.attempt.Tokens + x.tokens
		return answer, x.drain(c, r), nil
	default:
		limited := io.LimitReader(r.BodyStream(), int64(x.backend.bodyLimit)+1)
		if answer.Body, err = io.ReadAll(limited); err != nil {
			x.broken = true
			return Response{}, false, fmt.Errorf("read answer of %s: %w", x.attempt.Address, err)
		}
		if len(answer.Body) > x.backend.bodyLimit {
			return Response{}, false, fmt.Errorf("read answer of %s: %w", x.attempt.Address, fasthttp.ErrBodyTooLarge)
		}
	}
	return answer, !r.ConnectionClose(), nil
}

// drainTimeout bounds the wait for the end of a chunked body after its last event. A connection whose end does
// not come is closed, which costs a new one.
const drainTimeout = 100 * time.Millisecond

// drain reads the end of a stream's body, so that the connection can be used again.
func (x *exchange) drain(c *guavapool.Connection, r *fasthttp.Response) bool {
	if r.ConnectionClose() || c.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return false
	}
	var b [64]byte
	for range 8 {
		if _, err := r.BodyStream().Read(b[:]); err != nil {
			return err == io.EOF && c.SetReadDeadline(time.Time{}) == nil
		}
	}
	return false
}

// write sends the request.
func (x *exchange) write(ctx context.Context, c *guavapool.Connection) error {
	a := x.attempt
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	h := &q.Header
	h.SetNoDefaultContentType(true)
	h.SetMethod(a.Method)
	h.SetRequestURI(a.Path)
	h.SetHost(a.Address)
	for k, v := range a.Header {
		h.Set(k, v)
	}
	if !x.control {
		h.Set(HeaderID, a.ID)
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	body := a.Body
	if a.Tokens > 0 {
		h.Set(HeaderResume, strconv.Itoa(a.Tokens))
		var err error
		if body, err = resume(a.Body, a.Text); err != nil {
			return err
		}
	}
	if len(body) > 0 {
		q.SetBodyRaw(body)
	}
	c.Writer.Reset(c)
	if err := q.Write(c.Writer); err != nil {
		return err
	}
	return c.Writer.Flush()
}

// resume adds the field resume at the start of a JSON object.
func resume(body []byte, text string) ([]byte, error) {
	start := bytes.IndexByte(body, '{')
	if start < 0 {
		return nil, errors.New("a body that resumes must be a JSON object")
	}
	value, err := json.Marshal(text)
	if err != nil {
		return nil, fmt.Errorf("encode resume: %w", err)
	}
	out := make([]byte, 0, len(body)+len(value)+16)
	out = append(out, body[:start+1]...)
	out = append(out, `"resume":`...)
	out = append(out, value...)
	out = append(out, ',')
	return append(out, body[start+1:]...), nil
}

// header copies the headers that concern the caller. The values of a header that occurs more than once, such as
// Set-Cookie, are joined by line feeds, which no value holds.
func header(r *fasthttp.Response) map[string]string {
	m := make(map[string]string, 4)
	for k, v := range r.Header.All() {
		switch string(k) {
		case HeaderID, HeaderLoad, "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade",
			"Server", "Date":
		default:
			value := string(v)
			if before, twice := m[string(k)]; twice {
				value = before + "\n" + value
			}
			m[string(k)] = value
		}
	}
	return m
}
