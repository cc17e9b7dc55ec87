// Package guavaadmin serves a VM's health checks and metrics.
package guavaadmin

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Timeouts of the endpoint, which only monitoring systems and load balancers call.
const (
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
	idleTimeout  = time.Minute
)

// Server serves /healthz, /readyz and /metrics. Use New.
type Server struct {
	server *fasthttp.Server
}

// New returns a server. ready reports whether the VM accepts new requests; /readyz responds with 503 while it does not.
func New(ready func() bool, metrics http.Handler) *Server {
	serveMetrics := fasthttpadaptor.NewFastHTTPHandler(metrics)
	return &Server{server: &fasthttp.Server{
		ReadTimeout:  readTimeout,
		WriteTimeout: writeTimeout,
		IdleTimeout:  idleTimeout,
		Handler: func(c *fasthttp.RequestCtx) {
			switch string(c.Path()) {
			case "/healthz":
				c.SetBodyString("ok\n")
			case "/readyz":
				if !ready() {
					c.Error("not ready\n", fasthttp.StatusServiceUnavailable)
					return
				}
				c.SetBodyString("ok\n")
			case "/metrics":
				serveMetrics(c)
			default:
				c.Error("not found\n", fasthttp.StatusNotFound)
			}
		},
	}}
}

// Serve serves requests on l until Close.
func (s *Server) Serve(l net.Listener) error {
	if err := s.server.Serve(l); err != nil {
		return errors.Newf("serve admin endpoint: %w", err)
	}
	return nil
}

// Close stops the server and waits for requests in progress.
func (s *Server) Close() error {
	if err := s.server.Shutdown(); err != nil {
		return errors.Newf("stop admin endpoint: %w", err)
	}
	return nil
}
