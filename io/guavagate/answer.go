package guavagate

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaevent"
	"guavaridge/core/guavaplace"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavasend"
)

const (
	// bufferSize is the size in bytes of the buffer for reading answers.
	bufferSize = 4 << 10
	// answerSize bounds an answer that is not a stream, in bytes.
	answerSize = 32 << 20
)

// whole passes on an answer that is not a stream. It is read to its end first, so that a broken one can be repeated. It
// returns whether to try another server.
func (c *call) whole(x *guavasend.Exchange, place *guavacoord.Reservation) bool {
	status := x.Response.StatusCode()
	if promisesNotRun(status) {
		// The server did not state that the request has not run, which these statuses would promise to the caller.
		x.Close()
		place.Release(guavaplace.Failed, 0)
		return c.ran(fmt.Sprintf("status %d without a statement", status))
	}
	body, err := io.ReadAll(io.LimitReader(x, answerSize+1))
	if err == nil && len(body) > answerSize {
		err = fmt.Errorf("answer over %d bytes", answerSize)
	}
	if err != nil {
		x.Close()
		return c.sendFailed(place, &guavasend.Error{Sent: true, Err: err})
	}
	head := x.Response
	x.Finish()
	outcome := guavaplace.Done
	if status >= fasthttp.StatusInternalServerError {
		outcome = guavaplace.Failed
	}
	place.Release(outcome, 0)
	if outcome == guavaplace.Failed && c.route.Repeatable() && c.runs+1 < c.route.Attempts && c.run.Err() == nil {
		return c.ran(fmt.Sprintf("status %d", status))
	}
	copyHead(&c.ctx.Response.Header, &head.Header)
	c.ctx.Response.SetBodyRaw(body)
	c.gate.Counters.Answered.Add(1)
	c.gate.Metrics.Total(time.Since(c.arrived).Seconds())
	c.log(answered, "status", status, "bytes", len(body))
	c.ended(Answered, causeNone)
	return false
}

// promisesNotRun reports whether callers take a status for a promise that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests,
		fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyHead takes over a server's status and headers, without those of its connection.
func copyHead(to, from *fasthttp.ResponseHeader) {
	to.SetStatusCode(from.StatusCode())
	to.SetNoDefaultContentType(true)
	if t := from.ContentType(); len(t) > 0 {
		to.SetContentTypeBytes(t)
	}
	for k, v := range from.All() {
		switch string(k) {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Content-Type":
		default:
			to.AddBytesKV(k, v)
		}
	}
}

// errNoEvents means that a stream ended before its first event, which no request leads to: its server failed.
var errNoEvents = errors.New("stream without events")

// stream passes on the events of an answer. Only whole events are passed on, and the head with the first of them, so that
// a server that fails before can be replaced.
type stream struct {
	call     *call
	exchange *guavasend.Exchange
	place    *guavacoord.Reservation
	splitter guavaevent.Splitter
	ready    []byte // whole events that the caller has not got
	last     int    // number of the last whole event, -1 for none
	events   int
	buffer   []byte
	done     bool
	broken   error
}

// stream begins to pass on events.
func (c *call) stream(x *guavasend.Exchange, place *guavacoord.Reservation) (streaming, again bool) {
	s := &stream{call: c, exchange: x, place: place, last: c.request.LastEventID, buffer: make([]byte, bufferSize)}
	s.bound()
	head := x.Response // a short answer is finished by the first fill
	if err := s.fill(); err != nil {
		x.Close()
		return false, c.sendFailed(place, &guavasend.Error{Sent: true, Err: err})
	}
	copyHead(&c.ctx.Response.Header, &head.Header)
	c.ctx.Response.ImmediateHeaderFlush = true
	c.ctx.SetBodyStream(s, -1)
	return true, false
}

// bound limits the silence of a server whose stream can go on elsewhere.
func (s *stream) bound() {
	if s.call.route.Repeatable() {
		s.exchange.SetReadTimeout(max(2*s.call.route.GapTarget, s.call.silent()))
	}
}

// fill reads until there is a whole event or the answer is complete.
func (s *stream) fill() error {
	for len(s.ready) == 0 && !s.done {
		n, err := s.exchange.Read(s.buffer)
		s.splitter.Write(s.buffer[:n])
		for {
			e, ok := s.splitter.Next()
			if !ok {
				break
			}
			s.ready = append(s.ready, e.Raw...)
			s.events++
			if e.ID >= 0 {
				s.last = e.ID
			}
		}
		switch {
		case errors.Is(err, io.EOF) && s.events == 0:
			return errNoEvents
		case errors.Is(err, io.EOF):
			s.ready = append(s.ready, s.splitter.Rest()...)
			s.done = true
			s.exchange.Finish()
			s.place.Release(guavaplace.Done, 0)
		case err != nil:
			s.broken = err
			if len(s.ready) == 0 {
				return err
			}
			return nil
		}
	}
	return nil
}

// Read implements io.Reader for the HTTP server. An error breaks off the caller's connection, so that an answer that
// ends early does not look complete.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.ready) == 0 {
		if s.done {
			return 0, io.EOF
		}
		err := s.broken
		if err == nil {
			err = s.fill()
		}
		if err != nil {
			if err := s.resume(err); err != nil {
				return 0, err
			}
		}
	}
	n := copy(p, s.ready)
	s.ready = s.ready[:copy(s.ready, s.ready[n:])]
	return n, nil
}

// resume goes on with the stream at another server, if the route allows it.
func (s *stream) resume(cause error) error {
	c := s.call
	s.exchange.Close()
	ended := c.run.Err() != nil
	if ended {
		s.place.Release(guavaplace.Cancelled, 0)
		return fmt.Errorf("stream ended: %w", cause)
	}
	s.place.Release(guavaplace.ConnectionLost, 0)
	for c.route.Repeatable() && s.last >= 0 {
		c.runs++
		c.avoid = append(c.avoid, c.server)
		if c.runs >= c.route.Attempts {
			break
		}
		c.log("resume", "after", s.last, "cause", cause.Error())
		c.gate.Counters.Resumed.Add(1)
		place, err := c.acquire()
		if err != nil {
			return fmt.Errorf("no place to resume: %w", err)
		}
		x, err := c.send(place, s.last)
		if err != nil {
			place.Release(guavaplace.ConnectionLost, 0)
			cause = err
			continue
		}
		answer := c.gate.Protocol.DecodeResponse(&x.Response.Header)
		place.Started(answer.Load)
		if x.Response.StatusCode() != fasthttp.StatusOK {
			cause = fmt.Errorf("status %d", x.Response.StatusCode())
			x.Close()
			place.Release(guavaplace.Shed, 0)
			continue
		}
		s.exchange, s.place, s.splitter, s.broken = x, place, guavaevent.Splitter{}, nil
		s.bound()
		return nil
	}
	return fmt.Errorf("stream broken: %w", cause)
}

// Close implements io.Closer for the HTTP server, which calls it when the answer is complete or its caller has left.
func (s *stream) Close() error {
	c := s.call
	if s.done {
		c.gate.Counters.Answered.Add(1)
		c.gate.Metrics.Total(time.Since(c.arrived).Seconds())
		c.log(answered, "status", fasthttp.StatusOK, "events", s.events)
		c.ended(Answered, causeNone)
	} else {
		s.exchange.Close()
		s.place.Release(guavaplace.Cancelled, 0)
		cause := s.broken
		if cause == nil {
			cause = errGone
		}
		c.gate.Counters.Failed.Add(1)
		c.log("broken off", "events", s.events, "cause", cause.Error())
		if errors.Is(cause, errGone) {
			c.ended(Disconnected, causeNone)
		} else {
			c.ended(Truncated, causeServer)
		}
	}
	c.end()
	return nil
}

// answered is the message of the line about a request that a server answered.
const answered = "answered"

// IsRoutine reports whether a log line, in JSON, is about a request that was served: one such line is like another, and they
// may be left out first.
func IsRoutine(line []byte) bool {
	return bytes.Contains(line, []byte(`"@message":"`+answered+`"`)) && bytes.Contains(line, []byte(`"status":2`))
}
