package proof_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"guavaridge/io/guavastandin"
)

// engineStarts returns how often the engines have started to execute a prompt.
func (r *rig) engineStarts(prompt string) int {
	n := 0
	for _, e := range r.engines {
		n += e.Starts(prompt)
	}
	return n
}

// complete requests a completion, with a retry at another VM after each failure. Each attempt has a different prompt, so that
// an error response that says "ran": "none" can be checked against the executions on the engines.
func (r *rig) complete(name string, tokens int, stream bool) {
	for n := range maxAttempts {
		live := r.live()
		if len(live) == 0 {
			time.Sleep(retryDelay)
			continue
		}
		prompt := fmt.Sprintf("%s try %d", name, n)
		v := live[int(r.nextVM.Add(1))%len(live)]
		a := r.send(request{vm: v, key: r.key.Text, path: "/v1/completions", body: completion(prompt, tokens, stream)})
		want := guavastandin.Text(model, prompt, tokens)
		if a.status == http.StatusOK && (a.done || !stream) {
			if a.text != want {
				r.t.Errorf("%s: got response %q, want %q", prompt, a.text, want)
			}
			return
		}
		if !strings.HasPrefix(want, a.text) {
			r.t.Errorf("%s: got partial response %q, want a prefix of %q", prompt, a.text, want)
		}
		if a.execution == "none" && r.engineStarts(prompt) > 0 {
			r.t.Errorf("%s: rejected as not executed with code %q, but an engine started it", prompt, a.code)
		}
		time.Sleep(retryDelay)
	}
	r.t.Errorf("%s: no successful response within %d attempts", name, maxAttempts)
}

// flowOnline makes concurrent completion requests.
func flowOnline(r *rig, at func(step), name string, tokens int, stream bool) {
	at(before)
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { r.complete(fmt.Sprintf("%s %d", name, i), tokens, stream) })
	}
	time.Sleep(50 * time.Millisecond)
	at(running)
	wg.Wait()
	at(after)
	r.complete(name+" later", tokens, stream)
}

func flowPlain(r *rig, at func(step)) { flowOnline(r, at, "plain", 40, false) }

func flowStream(r *rig, at func(step)) { flowOnline(r, at, "stream", 100, true) }

// flowService makes non-idempotent requests with and without an idempotency key. Requests with a key are retried until they
// succeed, and one is sent again after its success.
func flowService(r *rig, at func(step)) {
	at(before)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { r.book(fmt.Sprintf("keyed-%d", i), true) })
		wg.Go(func() { r.book(fmt.Sprintf("single-%d", i), false) })
	}
	time.Sleep(10 * time.Millisecond)
	at(running)
	wg.Wait()
	at(after)
	r.book("keyed-0", true)
}

// book confirms a booking and checks that it is executed at most once and that it was not executed if an error response says
// so.
func (r *rig) book(booking string, keyed bool) {
	header := map[string]string{guavastandin.HeaderBooking: booking}
	if keyed {
		header["Idempotency-Key"] = booking
	}
	for n := range maxAttempts {
		live := r.live()
		if len(live) == 0 {
			time.Sleep(retryDelay)
			continue
		}
		startsBefore := r.bookingStarts(booking)
		a := r.send(request{vm: live[n%len(live)], key: r.key.Text, path: "/bookings/confirm", header: header, body: []byte(`{}`)})
		if a.execution == "none" && r.bookingStarts(booking) > startsBefore {
			r.t.Errorf("booking %s: rejected as not executed with code %q, but it was executed", booking, a.code)
		}
		if a.status == http.StatusOK && r.bookingStarts(booking) == 0 {
			r.t.Errorf("booking %s: confirmed, but never executed", booking)
		}
		if a.status == http.StatusOK || (a.execution != "none" && (!keyed || a.execution == "unknown")) {
			break
		}
		time.Sleep(retryDelay)
	}
	if n := r.bookingStarts(booking); n > 1 {
		r.t.Errorf("booking %s: got %d executions, want at most 1", booking, n)
	}
}

func (r *rig) bookingStarts(booking string) int {
	n := 0
	for _, s := range r.services {
		n += s.Starts(booking)
	}
	return n
}
