package guavagate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaevent"
	"guavaridge/core/guavaplace"
	"guavaridge/core/guavasilence"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavasend"
)

const (
	// bufferSize is the size in bytes of the buffer for reading streamed responses.
	bufferSize = 4 << 10
	// begunEvents is the number of events of a stream after which its server has got beyond the begin of its answer. A
	// server that crashes on a request may have sent the first one.
	begunEvents = 2
)

// relayBuffered relays a response that is not a stream. It reads the complete response first, so that the request can
// be retried after a truncated one. It returns whether to retry on another server.
func (c *call) relayBuffered(x *guavasend.Exchange, reservation *guavacoord.Reservation) bool {
	status := x.Response.StatusCode()
	if impliesNotExecuted(status) {
		// Callers would take the status for a statement that the request was not executed, which the server did not make.
		x.Close()
		reservation.Release(guavaplace.Failed, 0)
		return c.retryPossiblyExecuted(fmt.Sprintf("status %d without a statement that the request was not executed", status))
	}
	body, err := x.ReadAll()
	if err != nil {
		x.Close()
		return c.handleSendError(reservation, &guavasend.Error{Sent: true, Err: err})
	}
	response, held := x.Response, x.TakeHeld()
	x.Finish()
	outcome := guavaplace.Done
	if status >= fasthttp.StatusInternalServerError {
		outcome = guavaplace.Failed
	} else if status < fasthttp.StatusMultipleChoices {
		reservation.Begun()
	}
	reservation.Release(outcome, 0)
	if outcome == guavaplace.Failed && c.route.Repeatable() && c.executions+1 < c.route.Attempts && c.runCtx.Err() == nil {
		held.Set(0)
		return c.retryPossiblyExecuted(fmt.Sprintf("status %d", status))
	}
	copyResponseHeader(&c.ctx.Response.Header, &response.Header)
	c.respond(body, held)
	c.gate.Counters.Answered.Add(1)
	c.gate.Metrics.Total(time.Since(c.arrived).Seconds())
	c.log(messageAnswered, "status", status, "bytes", len(body))
	c.recordOutcome(Answered, causeNone)
	return false
}

// impliesNotExecuted reports whether callers conclude from a status that the request was not executed and never will
// be.
func impliesNotExecuted(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests,
		fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyResponseHeader copies a server's status and its end-to-end headers.
func copyResponseHeader(to, from *fasthttp.ResponseHeader) {
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

// Causes of streams that are not resumed on another server.
var (
	errNotResumable   = errors.New("the route does not allow it, or no event was received")
	errNoAttemptsLeft = errors.New("no attempt left")
	errNoServer       = errors.New("no server for the rest")
)

// errNoEvents means that a stream ended before its first event, though it is not known that there is none.
var errNoEvents = errors.New("stream without events")

// errNoRest means that a server that was asked for the rest of a stream ended its response without an event, and without a
// length or chunks. It has either broken it off or there is no rest.
var errNoRest = errors.New("no rest of the stream")

// errNotContinued means that a server that was asked for the rest of a stream sent something else.
var errNotContinued = fmt.Errorf("not the rest of the stream: %w", guavasend.ErrMalformed)

// errInsideEvent means that a stream ended inside an event, so that its server has broken it off. Without a length or chunks
// that looks like the end of a complete response.
var errInsideEvent = errors.New("stream ended inside an event")

// stream is the body of a streamed response. It relays complete events only, and the status and headers together with
// the first of them, so that the request can be retried if a server fails before.
type stream struct {
	call        *call
	exchange    *guavasend.Exchange
	reservation *guavacoord.Reservation
	splitter    guavaevent.Splitter
	pending     []byte // complete events that were not yet relayed
	lastEventID int    // ID of the last complete event, -1 for none
	events      int
	received    int  // events of the current exchange
	continued   bool // the current exchange continues the stream of an earlier one
	partial     bool // a part of the event after the last one has arrived, so that the stream goes on
	lastEventAt time.Time
	buffer      []byte
	done        bool
	readErr     error
}

// relayStream begins to relay a streamed response. If no event arrives, streaming is false, and retry reports whether
// to retry on another server.
func (c *call) relayStream(x *guavasend.Exchange, reservation *guavacoord.Reservation) (streaming, retry bool) {
	s := &stream{
		call: c, exchange: x, reservation: reservation, lastEventID: c.request.LastEventID, lastEventAt: time.Now(),
		buffer: make([]byte, bufferSize),
	}
	response := x.Response // the first fill may finish a short response, which clears it
	if err := s.fill(); err != nil {
		x.Close()
		return false, c.handleSendError(reservation, &guavasend.Error{Sent: true, Err: err})
	}
	copyResponseHeader(&c.ctx.Response.Header, &response.Header)
	c.ctx.Response.ImmediateHeaderFlush = true
	c.ctx.SetBodyStream(s, -1)
	return true, false
}

// phase returns what of the response is awaited.
func (s *stream) phase() guavasilence.Phase {
	if s.events == 0 {
		return guavasilence.FirstEvent
	}
	return guavasilence.NextEvent
}

// fill reads until there is a complete event or the response ends. A silent server is left only for another one that
// can go on.
func (s *stream) fill() error {
	first := s.events == 0
	if !first && s.lastEventID < 0 {
		return s.readEvents()
	}
	watch := s.call.watchSilence(s.phase(), s.call.interrupt)
	err := s.readEvents()
	// Events that arrive as the wait ends are dropped if the caller has none yet: the request is sent again from its start.
	if watch.stop() && !s.done && (first || err != nil) {
		return errors.Join(errSilent, err)
	}
	return err
}

// readEvents reads until there is a complete event or the response ends.
func (s *stream) readEvents() error {
	for len(s.pending) == 0 && !s.done {
		n, err := s.exchange.Read(s.buffer)
		s.splitter.Write(s.buffer[:n])
		for {
			e, ok := s.splitter.Next()
			if !ok {
				break
			}
			if s.continued && e.ID != s.lastEventID+1 {
				return s.fail(fmt.Errorf("event %d after %d: %w", e.ID, s.lastEventID, errNotContinued))
			}
			s.pending = append(s.pending, e.Raw...)
			s.events++
			if s.received++; s.received == begunEvents {
				s.reservation.Begun()
			}
			s.lastEventAt = time.Now()
			if e.ID >= 0 {
				s.lastEventID = e.ID
			}
		}
		if holdErr := s.exchange.Hold(s.splitter.Pending()); holdErr != nil {
			err = holdErr
		}
		if err != nil && len(bytes.TrimSpace(s.splitter.Rest())) > 0 {
			s.partial = true
		}
		switch {
		case errors.Is(err, io.EOF) && s.received == 0 && !s.isWholeRest():
			return s.noEvents()
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(s.splitter.Rest())) > 0:
			return s.fail(errInsideEvent)
		case errors.Is(err, io.EOF):
			s.pending = append(s.pending, s.splitter.Rest()...)
			s.done = true
			s.exchange.Finish()
			s.reservation.Release(guavaplace.Done, 0)
		case err != nil:
			return s.fail(err)
		}
	}
	return nil
}

// isWholeRest reports whether a response without events is the rest of a stream all of whose events had arrived before. The
// response needs a length or chunks: others may have been broken off before their first event.
func (s *stream) isWholeRest() bool {
	return s.lastEventID >= 0 && !s.partial && s.exchange.IsDelimited()
}

// noEvents returns the error of a response without events.
func (s *stream) noEvents() error {
	switch {
	case s.exchange.IsDelimited():
		return fmt.Errorf("%w: %w", errNoEvents, guavasend.ErrMalformed) // complete, so the server has not crashed
	case s.lastEventID >= 0:
		return errNoRest
	}
	return errNoEvents
}

// fail records that the exchange has failed. The error is returned at once if no events are left to relay before it.
func (s *stream) fail(err error) error {
	s.readErr = err
	if len(s.pending) == 0 {
		return err
	}
	return nil
}

// Read implements io.Reader for the HTTP server. An error aborts the caller's connection, so that a truncated response
// does not look complete.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.done {
			return 0, io.EOF
		}
		err := s.readErr
		if err == nil {
			err = s.fill()
		}
		if err != nil {
			if err := s.resume(err); err != nil {
				s.readErr = err
				return 0, err
			}
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[:copy(s.pending, s.pending[n:])]
	return n, nil
}

// resume continues the stream on another server after the last complete event, if the route allows it. The caller has
// the begin of the response already and can't be told to retry, so it waits for a server until its deadline.
func (s *stream) resume(cause error) error {
	c := s.call
	s.exchange.Close()
	if c.runCtx.Err() != nil {
		s.reservation.Release(guavaplace.Cancelled, 0)
		return fmt.Errorf("request ended during the stream: %w: %w", context.Cause(c.runCtx), cause)
	}
	outcome := c.outcome(cause)
	if c.replacement != nil && outcome == guavaplace.ConnectionLost {
		outcome = guavaplace.TimedOut
	}
	s.reservation.Release(outcome, 0)
	if !c.route.Repeatable() || s.lastEventID < 0 {
		return fmt.Errorf("stream not resumed: %w: %w", errNotResumable, cause)
	}
	c.executions++
	c.avoid = append(c.avoid, c.server)
	for c.executions < c.route.Attempts {
		reservation, err := c.nextReservation(true)
		if err == nil {
			c.log("resume", "after", s.lastEventID, "silent", time.Since(s.lastEventAt).Milliseconds(), "runs", c.executions,
				"cause", cause.Error())
			if err = s.resumeOn(reservation); err == nil {
				c.gate.Counters.Resumed.Add(1)
				return nil
			}
			cause = err
		}
		if c.runCtx.Err() != nil {
			return fmt.Errorf("stream not resumed: %w: %w: %w: %w", errNoServer, context.Cause(c.runCtx), err, cause)
		}
		if c.replacement != nil {
			continue
		}
		if isBanned(err) {
			return fmt.Errorf("stream not resumed: %w: %w: %w", errNoServer, err, cause)
		}
		// The servers before may serve again, among them one that was only silent.
		if refusal := (*guavacoord.RefusalError)(nil); errors.As(err, &refusal) {
			c.avoid = nil
		} else {
			c.avoid = []string{c.server}
		}
		pauseSeek(c.runCtx, err)
	}
	return fmt.Errorf("stream not resumed: %w: %w", errNoAttemptsLeft, cause)
}

// isBanned reports whether a reservation was refused because the request crashes servers.
func isBanned(err error) bool {
	refusal := (*guavacoord.RefusalError)(nil)
	return errors.As(err, &refusal) && refusal.Reason == guavaplace.CrashReason
}

// resumeOn sends the request for the rest of the stream to the server of a reservation.
func (s *stream) resumeOn(reservation *guavacoord.Reservation) error {
	c := s.call
	x, err := c.send(c.runCtx, reservation, s.lastEventID, guavasilence.ResumedHeaders)
	if err != nil {
		outcome := c.outcome(err)
		reservation.Release(outcome, 0)
		if outcome != guavaplace.Unreachable {
			c.executions++
		}
		c.avoid = append(c.avoid, c.server)
		return err
	}
	info := c.gate.Protocol.DecodeResponse(&x.Response.Header)
	reservation.Started(info.Load, info.Leaving)
	status := x.Response.StatusCode()
	if status == fasthttp.StatusOK && !info.Misdirected && !info.NotExecuted {
		s.exchange, s.reservation, s.splitter = x, reservation, guavaevent.Splitter{}
		s.readErr, s.received, s.continued = nil, 0, true
		return nil
	}
	x.Close()
	if x.Resent {
		c.executions++ // the refusal says nothing of the first time that the request was sent
	}
	switch {
	case info.Misdirected:
		reservation.Release(c.request.MisdirectedOutcome(), 0)
	case info.NotExecuted:
		reservation.Release(guavaplace.Shed, 0)
	default:
		reservation.Release(guavaplace.Failed, 0)
		if !x.Resent {
			c.executions++
		}
	}
	c.avoid = append(c.avoid, c.server)
	return fmt.Errorf("status %d", status)
}

// truncationCause returns the label of a truncated stream's metric for its error.
func truncationCause(err error) string {
	switch {
	case errors.Is(err, errNoAttemptsLeft):
		return causeAttempts
	case errors.Is(err, errNoServer):
		return causeNoServer
	case errors.Is(err, errDeadline):
		return causeDeadline
	case errors.Is(err, errClosing):
		return causeClosing
	}
	return causeServer
}

// Close implements io.Closer for the HTTP server, which calls it when the response is complete or the caller has
// disconnected.
func (s *stream) Close() error {
	c := s.call
	if s.done {
		c.gate.Counters.Answered.Add(1)
		c.gate.Metrics.Total(time.Since(c.arrived).Seconds())
		c.log(messageAnswered, "status", fasthttp.StatusOK, "events", s.events)
		c.recordOutcome(Answered, causeNone)
	} else {
		s.exchange.Close()
		s.reservation.Release(guavaplace.Cancelled, 0)
		cause := s.readErr
		if cause == nil {
			cause = errDisconnected
		}
		c.gate.Counters.Failed.Add(1)
		c.log("stream aborted", "events", s.events, "silent", time.Since(s.lastEventAt).Milliseconds(), "runs", c.executions+1,
			"cause", cause.Error())
		if errors.Is(cause, errDisconnected) {
			c.recordOutcome(Disconnected, causeNone)
		} else {
			c.recordOutcome(Truncated, truncationCause(cause))
		}
	}
	c.end()
	return nil
}

// messageAnswered is the log message for a request to which a server responded.
const messageAnswered = "answered"

// IsRoutine reports whether a JSON log line is about a request that was answered with a 2xx status. Such lines are the
// first to be dropped when there are too many.
func IsRoutine(line []byte) bool {
	return bytes.Contains(line, []byte(`"@message":"`+messageAnswered+`"`)) && bytes.Contains(line, []byte(`"status":2`))
}
