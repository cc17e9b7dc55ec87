package guavatransport

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// HopHeaders returns the headers of a request that concern one connection and are not passed on, in canonical form.
func HopHeaders() []string {
	return []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Expect"}
}

// StripHop removes what concerns the connection on which a request came: the HopHeaders, and those that its Connection
// header names.
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
