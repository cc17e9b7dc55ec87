package guavafront_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
	"guavaridge/io/guavafront"
)

// gate is a dispatcher whose answers wait until it is opened.
type gate struct{ entered, open chan struct{} }

func (g gate) Run(context.Context, guavadispatch.Request, guavaback.Sink) (guavaback.Response, error) {
	close(g.entered)
	<-g.open
	return guavaback.Response{Status: http.StatusOK, Body: []byte("whole")}, nil
}

// TestDrainOnTCP guards against a drain that stops waiting for requests because a TCP listener, other than one in
// memory, returns an error when it is closed twice.
func TestDrainOnTCP(t *testing.T) {
	s := guavaconfig.NewSnapshot(1, guavaconfig.Declarations{Routes: []guavaconfig.Route{{Name: "r", Path: "/r", Service: "s", Open: true}}})
	g := gate{entered: make(chan struct{}), open: make(chan struct{})}
	f, err := guavafront.New(guavafront.Dependencies{
		Snapshot: func() *guavaconfig.Snapshot { return s }, Dispatcher: g, Logger: hclog.NewNullLogger(),
	}, guavafront.WithDrainGrace(time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- f.Serve(l) }()
	body := make(chan string, 1)
	go func() {
		answer, err := http.Get("http://" + l.Addr().String() + "/r")
		if err != nil {
			body <- err.Error()
			return
		}
		defer answer.Body.Close()
		data, _ := io.ReadAll(answer.Body)
		body <- string(data)
	}()
	<-g.entered
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(t.Context()) }()
	select {
	case err := <-drained:
		t.Errorf("the drain ended before the request: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(g.open)
	if got := <-body; got != "whole" {
		t.Errorf("got %q, want the whole answer", got)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: %v", err)
	}
	if err := <-served; err != nil {
		t.Errorf("serve: %v", err)
	}
}
