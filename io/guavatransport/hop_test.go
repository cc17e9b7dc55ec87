package guavatransport_test

import (
	"testing"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavatransport"
)

// TestStripHop guards against forwarding the headers of a caller's connection to a backend server.
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
			t.Errorf("%s: got %q, want no value", name, v)
		}
	}
	if h.ConnectionClose() {
		t.Error("ConnectionClose: got true, want false")
	}
	if string(h.Peek("X-Other")) != "2" {
		t.Error("X-Other was removed, want it retained")
	}
}
