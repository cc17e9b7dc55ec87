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

// maxUnsentBytes bounds the bytes buffered for a caller who reads more slowly than tokens are generated. Event
// blocks while more are buffered.
const maxUnsentBytes = 256 << 10

var errStreamClosed = errors.New("the caller's stream is closed")

// streamRelay buffers the events of a stream between the dispatcher, which writes them as a guavaback.Sink, and
// the HTTP server, which reads them as a response body. Events that arrive during a write are sent together.
type streamRelay struct {
	call *call

	mu       sync.Mutex
	ready    sync.Cond // signals data, head or end to the HTTP server
	space    sync.Cond // signals free buffer space to the dispatcher
	data     []byte
	header   map[string]string
	hasHead  bool
	ended    bool
	closed   bool
	response guavaback.Response
	err      error
}

// serveStream dispatches a streaming request. It returns true once the response has started; streamRelay.Close
// then calls finish.
func (c *call) serveStream(r guavadispatch.Request) bool {
	s := &streamRelay{call: c}
	s.ready.L, s.space.L = &s.mu, &s.mu
	go s.run(r)
	s.mu.Lock()
	for !s.hasHead && !s.ended {
		s.ready.Wait()
	}
	head, response, err := s.hasHead, s.response, s.err
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
		dispatchFailure(c.runContext, err).write(c.ctx)
	default:
		c.writeResponse(response)
	}
	return false
}

func (s *streamRelay) run(r guavadispatch.Request) {
	response, err := s.call.front.Dispatcher.Run(s.call.runContext, r, s)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response, s.err, s.ended = response, err, true
	if s.hasHead {
		if err != nil {
			// The status is already sent, so the error is sent as the last event, without [DONE].
			s.data = append(append(append(s.data, "data: "...),
				dispatchFailure(s.call.runContext, err).errorObject()...), "\n\n"...)
		} else {
			s.data = append(s.data, "data: [DONE]\n\n"...)
		}
	}
	s.ready.Signal()
}

// Head implements guavaback.Sink. The head of a resumed stream is ignored, since the caller has received the first.
func (s *streamRelay) Head(_ int, header map[string]string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasHead {
		s.hasHead, s.header = true, header
		s.ready.Signal()
	}
	return nil
}

// Event implements guavaback.Sink. It blocks while more than maxUnsentBytes are buffered.
func (s *streamRelay) Event(data []byte) error {
	s.mu.Lock()
	for len(s.data) > maxUnsentBytes && !s.closed {
		s.space.Wait()
	}
	if s.closed {
		s.mu.Unlock()
		return errStreamClosed
	}
	s.data = append(s.data, "data: "...)
	s.data = appendWithID(s.data, data, s.call.id)
	s.data = append(s.data, "\n\n"...)
	s.mu.Unlock()
	s.ready.Signal()
	return nil
}

// Read implements io.Reader for the HTTP server.
func (s *streamRelay) Read(p []byte) (int, error) {
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

// Close implements io.Closer. The HTTP server calls it at the end of the response or when writing to the caller fails.
func (s *streamRelay) Close() error {
	s.mu.Lock()
	s.closed = true
	if !s.ended {
		s.call.countDisconnect()
	}
	s.mu.Unlock()
	s.space.Signal()
	s.call.finish()
	return nil
}

// appendWithID appends a JSON object from a backend server, with the attempt's identifier replaced by the
// request's, so that the attempts of a resumed stream look like one response.
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
	dst = append(dst, id...) // needs no escaping, see validID
	return append(dst, rest[end+1:]...)
}

// errorMessage returns the message of an OpenAI error object, or "".
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
	_ guavaback.Sink  = (*streamRelay)(nil)
	_ io.ReadCloser   = (*streamRelay)(nil)
	_ fasthttp.Logger = debugLogger{}
)
