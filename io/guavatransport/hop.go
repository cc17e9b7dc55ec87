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

// KeepOrder restores the order of repeated headers in a copy of a header, from which names may have been removed. fasthttp changes the
// order when it deletes a header. The headers named in except stay as they are.
func KeepOrder(h, original *fasthttp.RequestHeader, except []string) {
	var names []string // of repeated headers
	for name := range original.All() {
		s := string(name)
		if slices.Contains(names, s) || slices.Contains(except, s) {
			continue
		}
		if len(original.PeekAll(s)) > 1 && len(h.PeekAll(s)) > 0 {
			names = append(names, s)
		}
	}
	for _, name := range names {
		h.Del(name)
	}
	for _, name := range names { // after all deletions
		for _, v := range original.PeekAll(name) {
			h.AddBytesV(name, v)
		}
	}
}

// IgnoreTrailers makes h treat the headers that its Trailer header names like all others. Without that, fasthttp looks for them in the
// trailer section of the body, which is not forwarded.
func IgnoreTrailers(h *fasthttp.RequestHeader) { h.Del(fasthttp.HeaderTrailer) }

// StripHop removes the hop-by-hop headers of a request: the HopHeaders, and those that its Connection header names.
func StripHop(h *fasthttp.RequestHeader) {
	IgnoreTrailers(h)
	for _, options := range h.PeekAll(fasthttp.HeaderConnection) {
		for name := range strings.SplitSeq(string(options), ",") {
			// Host is no connection option, and a request without it is malformed.
			if name = strings.TrimSpace(name); name != "" && !strings.EqualFold(name, fasthttp.HeaderHost) {
				h.Del(name)
			}
		}
	}
	for _, name := range HopHeaders() {
		h.Del(name)
	}
	h.ResetConnectionClose()
}
