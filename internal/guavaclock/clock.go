// Package guavaclock supports tests: it starts the clock goroutines of libraries, which run until the process ends.
package guavaclock

import "github.com/valyala/fasthttp"

// Start starts the goroutine that updates fasthttp's Date header. Tests that serve in synctest bubbles call it before
// the first bubble, because a bubble in which a response starts the goroutine never ends.
func Start() {
	var w fasthttp.Response
	_ = w.Header.Header()
}
