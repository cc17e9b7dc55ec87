package guavatransport

import (
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// NewRoundTripper returns a transport for a client of the library that reads responses with ReadResponse and repeats no request. If the
// client has StreamResponseBody set, readBody reads the stream of the body, before the connection is released; if it fails, the
// connection is closed.
func NewRoundTripper(readBody func(r *fasthttp.Response) ([]byte, error)) fasthttp.RoundTripper {
	return &roundTripper{readBody: readBody}
}

type roundTripper struct {
	readBody func(r *fasthttp.Response) ([]byte, error)
}

// RoundTrip implements fasthttp.RoundTripper.
func (t *roundTripper) RoundTrip(client *fasthttp.HostClient, q *fasthttp.Request, r *fasthttp.Response) (repeat bool, err error) {
	timeout := q.GetTimeOut()
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	c, err := client.AcquireConn(timeout, q.ConnectionClose())
	if err != nil {
		return false, err //nolint:wrapcheck // callers inspect it
	}
	reusable, err := t.exchange(client, c.Conn(), deadline, q, r)
	if err != nil || !reusable {
		client.CloseConn(c)
	} else {
		client.ReleaseConn(c)
	}
	return false, err
}

// exchange sends a request on a connection and reads the response. It returns whether the connection can be reused.
func (t *roundTripper) exchange(
	client *fasthttp.HostClient, c net.Conn, deadline time.Time, q *fasthttp.Request, r *fasthttp.Response,
) (reusable bool, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return false, fmt.Errorf("set deadline: %w", err)
	}
	writer := client.AcquireWriter(c)
	err = q.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	client.ReleaseWriter(writer)
	if err != nil {
		return false, fmt.Errorf("write request: %w", err)
	}
	reader := client.AcquireReader(c)
	defer client.ReleaseReader(reader)
	r.SkipBody = r.SkipBody || q.Header.IsHead()
	if err := ReadResponse(r, reader, client.MaxResponseBodySize); err != nil {
		return false, fmt.Errorf("read response: %w", err)
	}
	if r.BodyStream() != nil {
		body, err := t.readBody(r)
		if err != nil {
			return false, fmt.Errorf("read body of response: %w", err)
		}
		r.SetBodyRaw(body)
	}
	return !q.ConnectionClose() && !r.ConnectionClose() && reader.Buffered() == 0, nil
}
