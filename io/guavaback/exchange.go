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
	"guavaridge/io/guavatransport"
)

// exchange sends one request on one connection and reads its response.
type exchange struct {
	client  *httpClient
	attempt *Attempt
	sink    Sink
	control bool // control request, whose response carries no identifier

	sent             bool // a part of the request may have reached the server
	headReceived     bool // the head of the response has been received
	connectionFailed bool // the connection failed, or the response was malformed, after that
	tokens           int  // events with text that the sink accepted
	escapedText      []byte
}

// run connects to the server, sends the request and reads the response.
func (x *exchange) run(ctx context.Context) (Response, error) {
	if err := ctx.Err(); err != nil {
		return Response{}, err
	}
	c, err := x.client.pool.Connect(ctx, x.attempt.Address)
	if err != nil {
		return Response{}, err
	}
	response, reuse, err := x.roundTrip(ctx, c)
	if err != nil && !x.sent && c.Reused && ctx.Err() == nil {
		// The idle connection had been closed and accepted no bytes, so this is not a repeated request.
		x.client.counters.Stale.Add(1)
		if c, err = x.client.pool.Open(ctx, x.attempt.Address); err != nil {
			return Response{}, err
		}
		response, reuse, err = x.roundTrip(ctx, c)
	}
	if reuse {
		x.client.pool.Put(x.attempt.Address, c)
	}
	return response, err
}

// roundTrip sends the request and reads the response on c. It closes c unless the connection can be reused.
func (x *exchange) roundTrip(ctx context.Context, c *guavapool.Connection) (response Response, reuse bool, err error) {
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
	err = x.writeRequest(ctx, c)
	x.sent = c.Written > 0
	if err != nil {
		x.connectionFailed = x.sent
		return Response{}, false, fmt.Errorf("send request to %s: %w", x.attempt.Address, err)
	}
	r := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(r)
	r.Header.SetNoDefaultContentType(true)
	r.StreamBody = x.attempt.Stream
	r.SkipBody = x.attempt.Method == fasthttp.MethodHead
	if err := guavatransport.ReadResponse(r, c.Reader, x.client.bodyLimit); err != nil {
		x.connectionFailed = !errors.Is(err, fasthttp.ErrBodyTooLarge)
		return Response{}, false, fmt.Errorf("read response of %s: %w", x.attempt.Address, err)
	}
	x.headReceived = true
	if !x.control && string(r.Header.Peek(HeaderID)) != x.attempt.ID {
		x.client.counters.Dropped.Add(1)
		return Response{}, false, fmt.Errorf("%w (from %s)", ErrIDMismatch, x.attempt.Address)
	}
	response = Response{
		Status: r.StatusCode(), Header: callerHeader(r), Load: parseLoad(string(r.Header.Peek(HeaderLoad))),
	}
	switch {
	case r.BodyStream() == nil:
		response.Body = bytes.Clone(r.Body())
	case response.Status == fasthttp.StatusOK && bytes.HasPrefix(r.Header.ContentType(), []byte("text/event-stream")):
		if err := x.sink.Head(response.Status, response.Header); err != nil {
			return Response{}, false, fmt.Errorf("deliver head to sink: %w", err)
		}
		if err := x.readEvents(r.BodyStream()); err != nil {
			return Response{}, false, err
		}
		response.Tokens = x.attempt.Tokens + x.tokens
		return response, x.drain(c, r), nil
	default:
		limited := io.LimitReader(r.BodyStream(), int64(x.client.bodyLimit)+1)
		if response.Body, err = io.ReadAll(limited); err != nil {
			x.connectionFailed = true
			return Response{}, false, fmt.Errorf("read response of %s: %w", x.attempt.Address, err)
		}
		if len(response.Body) > x.client.bodyLimit {
			return Response{}, false, fmt.Errorf("read response of %s: %w", x.attempt.Address, fasthttp.ErrBodyTooLarge)
		}
	}
	return response, !r.ConnectionClose(), nil
}

// drainTimeout bounds the wait for the end of a chunked body after its last event. After it the connection is closed
// instead of reused.
const drainTimeout = 100 * time.Millisecond

// drain reads the end of a stream's body. It reports whether the connection can be reused.
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

// writeRequest writes the request to the connection.
func (x *exchange) writeRequest(ctx context.Context, c *guavapool.Connection) error {
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
		if body, err = addResumeField(a.Body, a.Text); err != nil {
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

// addResumeField inserts the field resume at the start of a JSON object.
func addResumeField(body []byte, text string) ([]byte, error) {
	start := bytes.IndexByte(body, '{')
	if start < 0 {
		return nil, errors.New("resume stream: request body is not a JSON object")
	}
	value, err := json.Marshal(text)
	if err != nil {
		return nil, fmt.Errorf("encode field resume: %w", err)
	}
	out := make([]byte, 0, len(body)+len(value)+16)
	out = append(out, body[:start+1]...)
	out = append(out, `"resume":`...)
	out = append(out, value...)
	out = append(out, ',')
	return append(out, body[start+1:]...), nil
}

// callerHeader returns the headers to forward to the caller. The values of a repeated header, such as Set-Cookie, are
// joined by line feeds, which cannot occur in a value.
func callerHeader(r *fasthttp.Response) map[string]string {
	m := make(map[string]string, 4)
	for k, v := range r.Header.All() {
		switch string(k) {
		case HeaderID, HeaderLoad, "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade",
			"Server", "Date":
		default:
			value := string(v)
			if previous, repeated := m[string(k)]; repeated {
				value = previous + "\n" + value
			}
			m[string(k)] = value
		}
	}
	return m
}
