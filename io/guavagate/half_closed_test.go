package guavagate_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavalisten"
)

// noRoom never grants a reservation.
type noRoom struct{ waiting chan struct{} }

// Acquire implements guavagate.Admission.
func (n noRoom) Acquire(ctx context.Context, _ string, _ guavaplace.Request) (*guavacoord.Reservation, error) {
	close(n.waiting)
	<-ctx.Done()
	return nil, context.Cause(ctx)
}

// Token implements guavagate.Admission.
func (noRoom) Token(context.Context, string) (guavacoord.Token, bool, time.Duration) {
	return guavacoord.Token{}, true, 0
}

// Return implements guavagate.Admission.
func (noRoom) Return(guavacoord.Token) {}

// TestHalfClosedCaller guards against a caller that closes only its sending side and gets a success without a server's response.
func TestHalfClosedCaller(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	config := guavatraffic.NewConfig(1, guavatraffic.Limits{}, []guavatraffic.Route{
		{Name: "r", Host: host, Prefix: "/", Kind: guavatraffic.Idempotent, Open: true, Targets: []guavatraffic.Target{{Service: "s", Weight: 1}}},
	}, nil, nil)
	room := noRoom{waiting: make(chan struct{})}
	gate := guavagate.New(guavagate.Dependencies{
		Protocol: protocol{}, Admission: room, Jobs: jobs{}, Config: func() *guavatraffic.Config { return config },
		Stale: func() bool { return false }, Logger: hclog.NewNullLogger(),
	}, 10)
	defer gate.Close()
	go func() { _ = gate.Serve(guavalisten.New(ln, guavalisten.Options{Limit: 10, WriteTimeout: time.Second})) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", host)
	<-room.waiting
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil { //nolint:forcetypeassert // Dial was for TCP
		t.Fatal(err)
	}
	var response fasthttp.Response
	if err := response.Read(bufio.NewReader(conn)); err == nil && response.StatusCode() != fasthttp.StatusBadGateway {
		t.Errorf("got status %d, want 502 or a closed connection", response.StatusCode())
	}
}
