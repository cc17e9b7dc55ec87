package guavastandin

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavaback"
)

// HeaderBooking carries the caller's identifier of a booking. A service counts how often each one ran.
const HeaderBooking = "X-Booking"

// ServiceConfig describes a plain service.
type ServiceConfig struct {
	// ServiceTime is the time that a call takes.
	ServiceTime time.Duration
	// DisableRecording turns the recording of requests off, for benchmarks.
	DisableRecording bool
}

// Service is a stand-in of a plain service. It answers every path and method with the request's body. A call
// has run once its Work is over, even when the answer is lost afterwards. The booking is taken from HeaderBooking,
// else from the query parameter "booking".
type Service struct {
	*server
	*record
	config   ServiceConfig
	crossing crossing
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
	if !s.off {
		s.request(received(ctx, id))
	}
	booking := string(ctx.Request.Header.Peek(HeaderBooking))
	if booking == "" {
		booking = string(ctx.QueryArgs().Peek("booking"))
	}
	s.count(s.starts, booking)
	s.wait()
	before := s.Crashes()
	if s.marked(ctx.PostBody()) {
		s.Crash()
	}
	time.Sleep(time.Duration(float64(s.config.ServiceTime) * s.factor()))
	if s.Crashes() != before {
		ctx.Conn().Close()
		return
	}
	s.count(s.ends, booking)
	time.Sleep(s.delay())
	body := append([]byte(nil), ctx.PostBody()...)
	if s.crossed() {
		id, body = s.crossing.swap(id, body)
	}
	ctx.Response.Header.Set(guavaback.HeaderID, id)
	ctx.SetContentTypeBytes(ctx.Request.Header.ContentType())
	ctx.Response.SetBodyRaw(body)
}
