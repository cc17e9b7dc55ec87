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

// blockingDispatcher is a dispatcher whose response waits until release is closed.
type blockingDispatcher struct{ entered, release chan struct{} }

func (d blockingDispatcher) Run(context.Context, guavadispatch.Request, guavaback.Sink) (guavaback.Response, error) {
	close(d.entered)
	<-d.release
	return guavaback.Response{Status: http.StatusOK, Body: []byte("whole")}, nil
}

// TestDrainOnTCP guards against a drain that stops waiting for requests because of an error from closing the
// listener twice. A TCP listener returns one, the in-memory listener of the other tests does not.
func TestDrainOnTCP(t *testing.T) {
	s := guavaconfig.NewSnapshot(1, guavaconfig.Declarations{Routes: []guavaconfig.Route{{Name: "r", Path: "/r", Service: "s", Open: true}}})
	d := blockingDispatcher{entered: make(chan struct{}), release: make(chan struct{})}
	f, err := guavafront.New(guavafront.Dependencies{
		Snapshot: func() *guavaconfig.Snapshot { return s }, Dispatcher: d, Logger: hclog.NewNullLogger(),
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
		response, err := http.Get("http://" + l.Addr().String() + "/r")
		if err != nil {
			body <- err.Error()
			return
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		body <- string(data)
	}()
	<-d.entered
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(t.Context()) }()
	select {
	case err := <-drained:
		t.Errorf("drain ended before the running request: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(d.release)
	if got := <-body; got != "whole" {
		t.Errorf("got %q, want the complete response", got)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: %v", err)
	}
	if err := <-served; err != nil {
		t.Errorf("serve: %v", err)
	}
}
