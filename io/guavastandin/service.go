package guavastandin

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavaback"
)

// HeaderBooking carries the caller's identifier of a booking. A Service counts how often each one is executed.
const HeaderBooking = "X-Booking"

// ServiceConfig configures a Service.
type ServiceConfig struct {
	// ServiceTime is the processing time of a request.
	ServiceTime time.Duration
	// DisableRecording turns off the recording of requests, for benchmarks.
	DisableRecording bool
}

// Service simulates a plain service. It responds to every path and method with the request's body. A request counts as
// executed after its ServiceTime, even when the response is lost afterwards. The booking is taken from HeaderBooking,
// else from the query parameter "booking".
type Service struct {
	*server
	*record
	config   ServiceConfig
	previous previousResponse
}

// NewService returns a service.
func NewService(c ServiceConfig) *Service {
	s := &Service{record: newRecord(c.DisableRecording), config: c}
	s.server = newServer(s.handle, nil)
	return s
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(ctx.Path()), "/fault") {
		s.handleFault(ctx)
		return
	}
	id := string(ctx.Request.Header.Peek(guavaback.HeaderID))
	if !s.disabled {
		s.add(newReceived(ctx, id))
	}
	booking := string(ctx.Request.Header.Peek(HeaderBooking))
	if booking == "" {
		booking = string(ctx.QueryArgs().Peek("booking"))
	}
	s.increment(s.starts, booking)
	s.waitWhileHung()
	crashesBefore := s.Crashes()
	if s.hasCrashMarker(ctx.PostBody()) {
		s.Crash()
	}
	time.Sleep(time.Duration(float64(s.config.ServiceTime) * s.factor()))
	if s.Crashes() != crashesBefore {
		ctx.Conn().Close()
		return
	}
	s.increment(s.ends, booking)
	time.Sleep(s.delay())
	body := append([]byte(nil), ctx.PostBody()...)
	if s.crossesResponses() {
		id, body = s.previous.swap(id, body)
	}
	ctx.Response.Header.Set(guavaback.HeaderID, id)
	ctx.SetContentTypeBytes(ctx.Request.Header.ContentType())
	ctx.Response.SetBodyRaw(body)
}
