package guavafront_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavafront"
	"guavaridge/io/guavanetwork"
	"guavaridge/io/guavastandin"
)

// withdrawKey applies a configuration without the bank's key.
func (r *rig) withdrawKey() {
	d := r.declarations
	d.Keys = d.Keys[1:]
	r.snapshot.Store(guavaconfig.NewSnapshot(2, d))
	r.front.Refresh()
}

// TestWithdrawnKey guards against a withdrawn key that remains valid: for new requests on open connections, in a
// running stream, in a running request without a stream, or in an upload.
func TestWithdrawnKey(t *testing.T) {
	inBubble(t, defaultEngine, func(t *testing.T, r *rig) {
		type result struct {
			name     string
			after    time.Duration
			response response
		}
		results := make(chan result)
		var withdrawn time.Time
		for name, body := range map[string]string{
			"stream": streamRequest(1000), "call": strings.Replace(chatRequest, ":5", ":1000", 1),
		} {
			go func() {
				a := r.send("POST", "/v1/chat/completions", body)
				results <- result{name, time.Since(withdrawn), a}
			}()
		}
		for _, path := range []string{"/v1/files", "/v1/completions"} {
			upload, finish := io.Pipe()
			defer func() { _ = finish.Close() }()
			go func() {
				q, _ := http.NewRequestWithContext(t.Context(), "POST", "http://front"+path, upload)
				q.Header.Set("Authorization", "Bearer "+r.bankKey)
				a, err := r.http.Do(q)
				if err != nil {
					t.Error(err)
					return
				}
				b, _ := io.ReadAll(a.Body)
				a.Body.Close()
				results <- result{path, time.Since(withdrawn), response{a.StatusCode, a.Header, string(b)}}
			}()
		}
		if a := r.send("GET", "/v1/models", ""); a.status != 200 { // opens a keep-alive connection
			t.Error(a.status)
		}
		time.Sleep(time.Second)
		withdrawn = time.Now()
		r.withdrawKey()
		if d := cmp.Diff(failure{401, "invalid_key", "none"}, readFailure(t, r.send("POST", "/v1/chat/completions", chatRequest))); d != "" {
			t.Error("new request", d)
		}
		for range 4 {
			got := <-results
			if got.after > 100*time.Millisecond {
				t.Errorf("%s: ended %v after the withdrawal, want at most 100 ms", got.name, got.after)
			}
			if got.name == "stream" {
				text, code, done := parseStream(t, got.response.body)
				if code != "key_withdrawn" || done || !strings.HasPrefix(guavastandin.Text("proof", prompt, 1000), text) {
					t.Errorf("stream: got error %q, done %v, text %q, want error key_withdrawn, no [DONE], the beginning of the text", code, done, text)
				}
				continue
			}
			want := failure{401, "key_withdrawn", "unknown"}
			if got.name == "/v1/completions" { // not dispatched, since its body was incomplete
				want.Ran = "none"
			}
			if d := cmp.Diff(want, readFailure(t, got.response)); d != "" {
				t.Error(got.name, d)
			}
		}
		time.Sleep(time.Second)
		if running, waiting := r.engine.Running(); running+waiting+r.front.Running() > 0 {
			t.Errorf("got %d running and %d waiting at the engine, %d running in the front, want none", running, waiting, r.front.Running())
		}
	})
}

// TestKeyWithdrawnAfterCheck guards against a request that outlives its key. Its key is checked under one
// configuration, and it is tracked only after the next configuration has cancelled the running requests.
func TestKeyWithdrawnAfterCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, key, _ := newDeclarations()
		with := guavaconfig.NewSnapshot(1, d)
		d.Keys = nil
		without := guavaconfig.NewSnapshot(2, d)
		calls := 0
		r := newRig(t, defaultEngine)
		front, err := guavafront.New(guavafront.Dependencies{
			Dispatcher: &directDispatcher{engine: "engine"},
			Snapshot: func() *guavaconfig.Snapshot {
				if calls++; calls == 1 {
					return with
				}
				return without
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		defer front.Close()
		r.serve("second:80", front.Serve)
		q, _ := http.NewRequestWithContext(t.Context(), "POST", "http://second/v1/chat/completions", strings.NewReader(chatRequest))
		q.Header.Set("Authorization", "Bearer "+key)
		a, err := r.http.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		b, _ := io.ReadAll(a.Body)
		if d := cmp.Diff(failure{401, "key_withdrawn", "none"}, readFailure(t, response{a.StatusCode, a.Header, string(b)})); d != "" {
			t.Error(d)
		}
	})
}

// TestCallerDisconnects guards against requests that continue at the engine after the caller has disconnected, in the
// middle of a stream, before its first token, or without a stream.
func TestCallerDisconnects(t *testing.T) {
	for _, c := range []struct {
		name string
		body string
		wait time.Duration
		step time.Duration
	}{
		{"stream", streamRequest(100_000), time.Second, 10 * time.Millisecond},
		{"before the first token", streamRequest(5), time.Second, time.Hour},
		{"plain", strings.Replace(chatRequest, ":5", ":100000", 1), time.Second, 10 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, guavastandin.EngineConfig{Step: c.step}, func(t *testing.T, r *rig) {
				ctx, disconnect := context.WithCancel(t.Context())
				go func() {
					q, _ := http.NewRequestWithContext(ctx, "POST", "http://front/v1/chat/completions", strings.NewReader(c.body))
					q.Header.Set("Authorization", "Bearer "+r.bankKey)
					if a, err := r.http.Do(q); err == nil {
						_, _ = io.Copy(io.Discard, a.Body)
						a.Body.Close()
					}
				}()
				time.Sleep(c.wait)
				if running, _ := r.engine.Running(); running != 1 {
					t.Fatalf("%d requests running at the engine, want 1", running)
				}
				disconnect()
				time.Sleep(time.Second)
				running, waiting := r.engine.Running()
				if running+waiting+r.front.Running() > 0 || r.counters.Disconnected.Load() != 1 {
					t.Errorf("got %d running at the engine, %d in the front, %d disconnects, want 0, 0 and 1", running, r.front.Running(), r.counters.Disconnected.Load())
				}
			})
		})
	}
}

// TestSlowReader guards against a stream, and its memory, that is never released because its caller stops reading.
func TestSlowReader(t *testing.T) {
	inBubble(t, guavastandin.EngineConfig{Step: time.Millisecond}, func(t *testing.T, r *rig) {
		a := r.startRequest(t.Context(), "POST", "/v1/chat/completions", streamRequest(1_000_000))
		defer a.Body.Close()
		time.Sleep(time.Minute)
		if n := r.front.Running(); n != 0 {
			t.Errorf("%d requests running, want 0", n)
		}
	})
}

// TestDeadline guards against requests that continue after their deadline, and against errors that state whether the
// request was executed when this is unknown.
func TestDeadline(t *testing.T) {
	inBubble(t, guavastandin.EngineConfig{Step: time.Second}, func(t *testing.T, r *rig) {
		start := time.Now()
		a := r.send("POST", "/v1/chat/completions", chatRequest, "X-Deadline-Ms", "1500")
		if d := cmp.Diff(failure{504, "deadline_exceeded", "unknown"}, readFailure(t, a)); d != "" {
			t.Error(d)
		}
		a = r.send("POST", "/v1/chat/completions", streamRequest(5), "X-Deadline-Ms", "2700")
		text, code, done := parseStream(t, a.body)
		if text != guavastandin.Text("proof", prompt, 2) || code != "deadline_exceeded" || done {
			t.Errorf("stream: got %q, error %q, done %v, want 2 tokens, error deadline_exceeded, no [DONE]", text, code, done)
		}
		if took := time.Since(start); took != 4200*time.Millisecond {
			t.Errorf("took %v, want 4.2s", took)
		}
	})
}

// TestBackendFaults guards against failures of backend servers that reach the caller without a status, or with a
// wrong statement of whether the request was executed.
func TestBackendFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault guavastandin.Fault
		body  string
		want  failure
	}{
		{"down", guavastandin.Fault{Kind: "crash"}, chatRequest, failure{502, "backend_failed", "none"}},
		{"crashes during the request", guavastandin.Fault{Kind: "mark", CrashMarker: "hello"}, chatRequest, failure{502, "backend_failed", "unknown"}},
		{"hangs", guavastandin.Fault{Kind: "hang"}, chatRequest, failure{504, "deadline_exceeded", "unknown"}},
		{"responds to another request", guavastandin.Fault{Kind: "cross"}, chatRequest, failure{502, "backend_failed", "unknown"}},
		{"down for a stream", guavastandin.Fault{Kind: "crash"}, streamRequest(5), failure{502, "backend_failed", "none"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, defaultEngine, func(t *testing.T, r *rig) {
				if err := r.engine.Inject(c.fault); err != nil {
					t.Fatal(err)
				}
				a := r.send("POST", "/v1/chat/completions", c.body, "X-Deadline-Ms", "60000")
				if d := cmp.Diff(c.want, readFailure(t, a)); d != "" {
					t.Error(d)
				}
				if err := r.engine.Inject(guavastandin.Fault{Kind: "clear"}); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
	inBubble(t, defaultEngine, func(t *testing.T, r *rig) {
		a := r.startRequest(t.Context(), "POST", "/v1/chat/completions", streamRequest(100))
		defer a.Body.Close()
		time.AfterFunc(105*time.Millisecond, r.engine.Crash)
		body, err := io.ReadAll(a.Body)
		text, code, done := parseStream(t, string(body))
		if err != nil || text != guavastandin.Text("proof", prompt, 10) || code != "backend_failed" || done {
			t.Errorf("stream with a crash: got %q, error %q, done %v, read error %v, want 10 tokens, error backend_failed, no [DONE]", text, code, done, err)
		}
	})
}

// TestDrain guards against a shutdown that truncates a running stream or response, rejects a request on an open
// connection, or accepts new connections.
func TestDrain(t *testing.T) {
	inBubble(t, defaultEngine, func(t *testing.T, r *rig) {
		responses := make(chan response)
		for _, body := range []string{streamRequest(500), strings.Replace(chatRequest, ":5", ":500", 1)} {
			go func() { responses <- r.send("POST", "/v1/chat/completions", body) }()
		}
		time.Sleep(10 * time.Millisecond)
		r.send("GET", "/v1/models", "") // opens a keep-alive connection
		drained := make(chan error)
		go func() { drained <- r.front.Drain(t.Context()) }()
		time.Sleep(100 * time.Millisecond)
		if r.front.Ready() {
			t.Error("front is ready while draining")
		}
		if a := r.send("GET", "/v1/models", ""); a.status != 200 {
			t.Error("request on an open connection", a)
		}
		if _, err := r.network.Dial(t.Context(), "tcp", "front:80"); !errors.Is(err, guavanetwork.ErrRefused) {
			t.Errorf("new connection: got %v, want ErrRefused", err)
		}
		for range 2 {
			if a := <-responses; a.status != 200 || !strings.Contains(a.body, `"length"`) {
				t.Errorf("response cut off: status %d, body %.200s", a.status, a.body)
			}
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
	})
}

// TestDrainTimeout guards against a shutdown that never returns, and one that cancels the remaining requests without
// an error response.
func TestDrainTimeout(t *testing.T) {
	inBubble(t, defaultEngine, func(t *testing.T, r *rig) {
		responses := make(chan response)
		for _, body := range []string{streamRequest(5000), strings.Replace(chatRequest, ":5", ":5000", 1)} {
			go func() { responses <- r.send("POST", "/v1/chat/completions", body) }()
		}
		time.Sleep(10 * time.Millisecond)
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		start := time.Now()
		drained := make(chan error, 1)
		go func() { drained <- r.front.Drain(ctx) }()
		for range 2 {
			a := <-responses
			if a.status == 200 {
				if _, code, done := parseStream(t, a.body); code != "closing" || done {
					t.Errorf("stream: got error %q, done %v, want error closing, no [DONE]", code, done)
				}
			} else if d := cmp.Diff(failure{503, "closing", "unknown"}, readFailure(t, a)); d != "" {
				t.Error(d)
			}
		}
		if err := <-drained; !errors.Is(err, context.DeadlineExceeded) || time.Since(start) > 12*time.Second {
			t.Errorf("drained after %v with error %v, want context.DeadlineExceeded within 12 s", time.Since(start), err)
		}
	})
}

// TestConnectionLimit guards against more connections than the limit, and idle connections that are never closed.
func TestConnectionLimit(t *testing.T) {
	inBubble(t, defaultEngine, func(t *testing.T, r *rig) {
		for range 3 {
			c, err := r.network.Dial(t.Context(), "tcp", "front:80")
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
		}
		synctest.Wait()
		c, err := r.network.Dial(t.Context(), "tcp", "front:80")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		b, err := io.ReadAll(a.Body)
		if err != nil {
			t.Error(err)
		}
		if d := cmp.Diff(failure{503, "overloaded", "none"}, readFailure(t, response{a.StatusCode, a.Header, string(b)})); d != "" {
			t.Error(d)
		}
		time.Sleep(time.Minute)
		if a := r.send("GET", "/v1/models", ""); a.status != 200 {
			t.Error("idle connections were not closed", a)
		}
	}, guavafront.WithConnectionLimit(3))
}

// TestFiles guards against uploads that are subject to the size limit of other bodies, or that reach the handler
// without their client account.
func TestFiles(t *testing.T) {
	inBubble(t, defaultEngine, func(t *testing.T, r *rig) {
		a := r.send("POST", "/v1/files", strings.Repeat("x", 200_000))
		if a.status != 200 || a.body != "bank 200000 true" {
			t.Error(a)
		}
	}, guavafront.WithBodyLimit(64<<10, 1<<20))
}
