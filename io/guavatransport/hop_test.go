package guavatransport_test

import (
	"testing"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavatransport"
)

// TestStripHop guards against headers of a caller's connection that reach a backend server.
func TestStripHop(t *testing.T) {
	var h fasthttp.RequestHeader
	h.Set("Connection", "close, X-Private")
	h.Set("X-Private", "1")
	h.Set("X-Other", "2")
	for _, name := range guavatransport.HopHeaders()[1:] {
		h.Set(name, "3")
	}
	guavatransport.StripHop(&h)
	for _, name := range append(guavatransport.HopHeaders(), "X-Private") {
		if v := h.Peek(name); len(v) > 0 {
			t.Errorf("%s: %q is passed on", name, v)
		}
	}
	if h.ConnectionClose() {
		t.Error("the caller's wish to close its connection is passed on")
	}
	if string(h.Peek("X-Other")) != "2" {
		t.Error("a header of the request itself is gone")
	}
}
