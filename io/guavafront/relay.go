package guavafront

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"sync"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
)

// relayLimit bounds the bytes that wait for a caller who reads slower than the tokens come.
const relayLimit = 256 << 10

var errRelayClosed = errors.New("the caller's stream is closed")

// relay passes the events of a stream from the dispatcher to the server. Events that arrive while the server
// writes are sent together.
type relay struct {
	call *call

	mu     sync.Mutex
	ready  sync.Cond // data, head or end for the server
	space  sync.Cond // for the dispatcher
	data   []byte
	header map[string]string
	head   bool
	ended  bool
	closed bool
	answer guavaback.Response
	err    error
}

// serveStream dispatches a request that streams. It returns true when the answer is under way; it then ends
// with Close.
func (c *call) serveStream(r guavadispatch.Request) bool {
	s := &relay{call: c}
	s.ready.L, s.space.L = &s.mu, &s.mu
	go s.run(r)
	s.mu.Lock()
	for !s.head && !s.ended {
		s.ready.Wait()
	}
	head, answer, err := s.head, s.answer, s.err
	s.mu.Unlock()
	switch {
	case head:
		for k, v := range s.header {
			c.ctx.Response.Header.Set(k, v)
		}
		c.ctx.Response.Header.Set("Cache-Control", "no-cache")
		c.ctx.SetContentType("text/event-stream")
		c.ctx.Response.ImmediateHeaderFlush = true
		c.ctx.SetBodyStream(s, -1)
		return true
	case err != nil:
		dispatchFailure(c.run, err).write(c.ctx)
	default:
		c.write(answer)
	}
	return false
}

func (s *relay) run(r guavadispatch.Request) {
	answer, err := s.call.front.Dispatcher.Run(s.call.run, r, s)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer, s.err, s.ended = answer, err, true
	if s.head {
		if err != nil {
			// The status is already sent, so the error is the last event, and [DONE] stays away.
			s.data = append(append(append(s.data, "data: "...), dispatchFailure(s.call.run, err).object()...), "\n\n"...)
		} else {
			s.data = append(s.data, "data: [DONE]\n\n"...)
		}
	}
	s.ready.Signal()
}

// Head implements guavaback.Sink. A stream that resumes has a second head, which is of no concern to the caller.
func (s *relay) Head(_ int, header map[string]string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.head {
		s.head, s.header = true, header
		s.ready.Signal()
	}
	return nil
}

// Event implements guavaback.Sink. It waits while too much is unsent.
func (s *relay) Event(data []byte) error {
	s.mu.Lock()
	for len(s.data) > relayLimit && !s.closed {
		s.space.Wait()
	}
	if s.closed {
		s.mu.Unlock()
		return errRelayClosed
	}
	s.data = append(s.data, "data: "...)
	s.data = appendWithID(s.data, data, s.call.id)
	s.data = append(s.data, "\n\n"...)
	s.mu.Unlock()
	s.ready.Signal()
	return nil
}

// Read implements io.Reader for the server.
func (s *relay) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.data) == 0 && !s.ended {
		s.ready.Wait()
	}
	if len(s.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.data)
	s.data = s.data[:copy(s.data, s.data[n:])]
	s.space.Signal()
	return n, nil
}

// Close implements io.Closer. The server calls it at the end of the answer or when the caller does not take it.
func (s *relay) Close() error {
	s.mu.Lock()
	s.closed = true
	if !s.ended {
		s.call.vanish()
	}
	s.mu.Unlock()
	s.space.Signal()
	s.call.finish()
	return nil
}

// appendWithID appends a JSON object of a backend server with its identifier, that of an attempt, replaced by
// that of the request. Attempts that continue each other thus look like one answer.
func appendWithID(dst, data []byte, id string) []byte {
	rest, ok := bytes.CutPrefix(data, []byte(`{"id":`))
	rest = bytes.TrimLeft(rest, " ")
	if !ok || len(rest) == 0 || rest[0] != '"' {
		return append(dst, data...)
	}
	end := bytes.IndexByte(rest[1:], '"')
	if end < 0 || bytes.IndexByte(rest[1:end+1], '\\') >= 0 {
		return append(dst, data...)
	}
	dst = append(dst, `{"id":"`...)
	dst = append(dst, id...) // needs no escapes, see validName
	return append(dst, rest[end+1:]...)
}

// errorMessage returns the message of a customary error object, or "".
func errorMessage(body []byte) string {
	var v struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &v) != nil {
		return ""
	}
	return v.Error.Message
}

var (
	_ guavaback.Sink  = (*relay)(nil)
	_ io.ReadCloser   = (*relay)(nil)
	_ fasthttp.Logger = quietLogger{}
)
