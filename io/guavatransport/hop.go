package guavatransport

import (
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

// HopHeaders returns the names of the hop-by-hop headers of a request, which are not forwarded, in canonical form.
func HopHeaders() []string {
	return []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Expect"}
}

// KeepOrder restores the order of repeated headers in a copy of a header. fasthttp changes it when it deletes a header.
func KeepOrder(h, original *fasthttp.RequestHeader) {
	var done []string
	for name := range original.All() {
		values := original.PeekAll(string(name))
		if len(values) < 2 || len(h.PeekBytes(name)) == 0 || slices.Contains(done, string(name)) {
			continue
		}
		done = append(done, string(name))
		h.DelBytes(name)
		for _, v := range values {
			h.AddBytesKV(name, v)
		}
	}
}

// StripHop removes the hop-by-hop headers of a request: the HopHeaders, those that its Connection header names, and trailers, which
// belong to the coding of its body.
func StripHop(h *fasthttp.RequestHeader) {
	for _, name := range h.PeekTrailerKeys() {
		h.DelBytes(name)
	}
	for name := range strings.SplitSeq(string(h.Peek(fasthttp.HeaderConnection)), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range HopHeaders() {
		h.Del(name)
	}
	h.ResetConnectionClose()
}
