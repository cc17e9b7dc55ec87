// Package guavaclock is test support: it starts clocks of libraries that run for as long as the process.
package guavaclock

import "github.com/valyala/fasthttp"

// Start starts the clock of fasthttp's Date header. Tests that serve in synctest bubbles call it before the first: started by
// an answer in a bubble, it would keep that bubble from ending.
func Start() {
	var w fasthttp.Response
	_ = w.Header.Header()
}
