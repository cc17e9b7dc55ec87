package guavatransport

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// HopHeaders returns the names of the hop-by-hop headers of a request, which are not forwarded, in canonical form.
func HopHeaders() []string {
	return []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Expect"}
}

// StripHop removes the hop-by-hop headers of a request: the HopHeaders and those that its Connection header names.
func StripHop(h *fasthttp.RequestHeader) {
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
