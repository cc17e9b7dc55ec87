package guavaadmin_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"guavaridge/io/guavaadmin"
)

// TestReadiness guards against a VM that stays ready after it stops accepting requests, or is no longer healthy then.
func TestReadiness(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var ready atomic.Bool
	ready.Store(true)
	s := guavaadmin.New(ready.Load, http.NotFoundHandler())
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	get := func(path string) int {
		status, _, err := fasthttp.Get(nil, "http://"+l.Addr().String()+path)
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	healthy, readyBefore := get("/healthz"), get("/readyz")
	ready.Store(false)
	got := []int{healthy, readyBefore, get("/healthz"), get("/readyz"), get("/other")}
	if d := cmp.Diff([]int{200, 200, 200, 503, 404}, got); d != "" {
		t.Errorf("statuses (-want +got):\n%s", d)
	}
}
