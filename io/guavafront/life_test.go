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

// withdraw puts a configuration without the bank's key in force.
func (r *rig) withdraw() {
	d := r.declared
	d.Keys = d.Keys[1:]
	r.snapshot.Store(guavaconfig.NewSnapshot(2, d))
	r.front.Refresh()
}

// TestWithdrawnKey guards against a withdrawn key that goes on working: in new requests on open connections,
// in a running stream, in a running call, or in an upload.
func TestWithdrawnKey(t *testing.T) {
	inBubble(t, steady, func(t *testing.T, r *rig) {
		type result struct {
			name   string
			after  time.Duration
			answer answer
		}
		results := make(chan result)
		var withdrawn time.Time
		for name, body := range map[string]string{
			"stream": stream(1000), "call": strings.Replace(chat, ":5", ":1000", 1),
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
				q.Header.Set("Authorization", "Bearer "+r.key)
				a, err := r.http.Do(q)
				if err != nil {
					t.Error(err)
					return
				}
				b, _ := io.ReadAll(a.Body)
				a.Body.Close()
				results <- result{path, time.Since(withdrawn), answer{a.StatusCode, a.Header, string(b)}}
			}()
		}
		if a := r.send("GET", "/v1/models", ""); a.status != 200 { // leaves an open connection
			t.Error(a.status)
		}
		time.Sleep(time.Second)
		withdrawn = time.Now()
		r.withdraw()
		if d := cmp.Diff(refusal{401, "invalid_key", "none"}, refused(t, r.send("POST", "/v1/chat/completions", chat))); d != "" {
			t.Error("new request", d)
		}
		for range 4 {
			got := <-results
			if got.after > 100*time.Millisecond {
				t.Errorf("%s ended after %v", got.name, got.after)
			}
			if got.name == "stream" {
				text, code, done := streamed(t, got.answer.body)
				if code != "key_withdrawn" || done || !strings.HasPrefix(guavastandin.Text("proof", prompt, 1000), text) {
					t.Errorf("stream: error %q, done %v, text %q", code, done, text)
				}
				continue
			}
			want := refusal{401, "key_withdrawn", "unknown"}
			if got.name == "/v1/completions" { // was never dispatched
				want.Ran = "none"
			}
			if d := cmp.Diff(want, refused(t, got.answer)); d != "" {
				t.Error(got.name, d)
			}
		}
		time.Sleep(time.Second)
		if running, waiting := r.engine.Running(); running+waiting+r.front.Running() > 0 {
			t.Errorf("left at the engine: %d running, %d waiting; in the front: %d", running, waiting, r.front.Running())
		}
	})
}

// TestWithdrawnBetween guards against a request that was checked under a configuration, and tracked only after
// the next one had ended the running requests.
func TestWithdrawnBetween(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, key, _ := newDeclarations()
		with := guavaconfig.NewSnapshot(1, d)
		d.Keys = nil
		without := guavaconfig.NewSnapshot(2, d)
		calls := 0
		r := newRig(t, steady)
		front, err := guavafront.New(guavafront.Dependencies{
			Dispatcher: &direct{engine: "engine"},
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
		q, _ := http.NewRequestWithContext(t.Context(), "POST", "http://second/v1/chat/completions", strings.NewReader(chat))
		q.Header.Set("Authorization", "Bearer "+key)
		a, err := r.http.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		b, _ := io.ReadAll(a.Body)
		if d := cmp.Diff(refusal{401, "key_withdrawn", "none"}, refused(t, answer{a.StatusCode, a.Header, string(b)})); d != "" {
			t.Error(d)
		}
	})
}

// TestCallerVanishes guards against work that goes on at the engine for a caller who has left, in the middle of
// a stream or before its first token.
func TestCallerVanishes(t *testing.T) {
	for _, c := range []struct {
		name string
		body string
		wait time.Duration
		step time.Duration
	}{
		{"stream", stream(100_000), time.Second, 10 * time.Millisecond},
		{"before the first token", stream(5), time.Second, time.Hour},
		{"plain", strings.Replace(chat, ":5", ":100000", 1), time.Second, 10 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, guavastandin.EngineConfig{Step: c.step}, func(t *testing.T, r *rig) {
				ctx, leave := context.WithCancel(t.Context())
				go func() {
					q, _ := http.NewRequestWithContext(ctx, "POST", "http://front/v1/chat/completions", strings.NewReader(c.body))
					q.Header.Set("Authorization", "Bearer "+r.key)
					if a, err := r.http.Do(q); err == nil {
						_, _ = io.Copy(io.Discard, a.Body)
						a.Body.Close()
					}
				}()
				time.Sleep(c.wait)
				if running, _ := r.engine.Running(); running != 1 {
					t.Fatalf("%d requests run at the engine", running)
				}
				leave()
				time.Sleep(time.Second)
				running, waiting := r.engine.Running()
				if running+waiting+r.front.Running() > 0 || r.counters.Vanished.Load() != 1 {
					t.Errorf("engine %d, front %d, vanished %d", running, r.front.Running(), r.counters.Vanished.Load())
				}
			})
		})
	}
}

// TestSlowReader guards against a caller who stops reading and so holds a stream and its memory for ever.
func TestSlowReader(t *testing.T) {
	inBubble(t, guavastandin.EngineConfig{Step: time.Millisecond}, func(t *testing.T, r *rig) {
		a := r.open(t.Context(), "POST", "/v1/chat/completions", stream(1_000_000))
		defer a.Body.Close()
		time.Sleep(time.Minute)
		if n := r.front.Running(); n != 0 {
			t.Errorf("%d requests are held", n)
		}
	})
}

// TestDeadline guards against requests that outlive their deadline, and against a refusal that claims more than
// is known.
func TestDeadline(t *testing.T) {
	inBubble(t, guavastandin.EngineConfig{Step: time.Second}, func(t *testing.T, r *rig) {
		start := time.Now()
		a := r.send("POST", "/v1/chat/completions", chat, "X-Deadline-Ms", "1500")
		if d := cmp.Diff(refusal{504, "deadline_exceeded", "unknown"}, refused(t, a)); d != "" {
			t.Error(d)
		}
		a = r.send("POST", "/v1/chat/completions", stream(5), "X-Deadline-Ms", "2700")
		text, code, done := streamed(t, a.body)
		if text != guavastandin.Text("proof", prompt, 2) || code != "deadline_exceeded" || done {
			t.Errorf("stream: %q, error %q, done %v", text, code, done)
		}
		if took := time.Since(start); took != 4200*time.Millisecond {
			t.Errorf("took %v", took)
		}
	})
}

// TestBackendFaults guards against failures of backend servers that reach the caller without a status, or with
// a wrong statement of whether the request ran.
func TestBackendFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault guavastandin.Fault
		body  string
		want  refusal
	}{
		{"down", guavastandin.Fault{Kind: "crash"}, chat, refusal{502, "backend_failed", "none"}},
		{"dies under the request", guavastandin.Fault{Kind: "mark", CrashMarker: "hello"}, chat, refusal{502, "backend_failed", "unknown"}},
		{"hangs", guavastandin.Fault{Kind: "hang"}, chat, refusal{504, "deadline_exceeded", "unknown"}},
		{"answers another request", guavastandin.Fault{Kind: "cross"}, chat, refusal{502, "backend_failed", "unknown"}},
		{"down for a stream", guavastandin.Fault{Kind: "crash"}, stream(5), refusal{502, "backend_failed", "none"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, steady, func(t *testing.T, r *rig) {
				if err := r.engine.Inject(c.fault); err != nil {
					t.Fatal(err)
				}
				a := r.send("POST", "/v1/chat/completions", c.body, "X-Deadline-Ms", "60000")
				if d := cmp.Diff(c.want, refused(t, a)); d != "" {
					t.Error(d)
				}
				if err := r.engine.Inject(guavastandin.Fault{Kind: "clear"}); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
	inBubble(t, steady, func(t *testing.T, r *rig) {
		a := r.open(t.Context(), "POST", "/v1/chat/completions", stream(100))
		defer a.Body.Close()
		time.AfterFunc(105*time.Millisecond, r.engine.Crash)
		body, err := io.ReadAll(a.Body)
		text, code, done := streamed(t, string(body))
		if err != nil || text != guavastandin.Text("proof", prompt, 10) || code != "backend_failed" || done {
			t.Errorf("stream over a crash: %q, error %q, done %v, %v", text, code, done, err)
		}
	})
}

// TestDrain guards against a shutdown that cuts off a running stream or call, refuses a request on an open
// connection, or takes new connections.
func TestDrain(t *testing.T) {
	inBubble(t, steady, func(t *testing.T, r *rig) {
		answers := make(chan answer)
		for _, body := range []string{stream(500), strings.Replace(chat, ":5", ":500", 1)} {
			go func() { answers <- r.send("POST", "/v1/chat/completions", body) }()
		}
		time.Sleep(10 * time.Millisecond)
		r.send("GET", "/v1/models", "") // leaves an open connection
		drained := make(chan error)
		go func() { drained <- r.front.Drain(t.Context()) }()
		time.Sleep(100 * time.Millisecond)
		if r.front.Ready() {
			t.Error("still ready")
		}
		if a := r.send("GET", "/v1/models", ""); a.status != 200 {
			t.Error("request on an open connection", a)
		}
		if _, err := r.network.Dial(t.Context(), "tcp", "front:80"); !errors.Is(err, guavanetwork.ErrRefused) {
			t.Errorf("new connection: %v", err)
		}
		for range 2 {
			if a := <-answers; a.status != 200 || !strings.Contains(a.body, `"length"`) {
				t.Errorf("cut off: %d %.200s", a.status, a.body)
			}
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
	})
}

// TestDrainTimeout guards against a shutdown that never returns, and one that ends late requests without an error.
func TestDrainTimeout(t *testing.T) {
	inBubble(t, steady, func(t *testing.T, r *rig) {
		answers := make(chan answer)
		for _, body := range []string{stream(5000), strings.Replace(chat, ":5", ":5000", 1)} {
			go func() { answers <- r.send("POST", "/v1/chat/completions", body) }()
		}
		time.Sleep(10 * time.Millisecond)
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		start := time.Now()
		drained := make(chan error, 1)
		go func() { drained <- r.front.Drain(ctx) }()
		for range 2 {
			a := <-answers
			if a.status == 200 {
				if _, code, done := streamed(t, a.body); code != "closing" || done {
					t.Errorf("stream: error %q, done %v", code, done)
				}
			} else if d := cmp.Diff(refusal{503, "closing", "unknown"}, refused(t, a)); d != "" {
				t.Error(d)
			}
		}
		if err := <-drained; !errors.Is(err, context.DeadlineExceeded) || time.Since(start) > 12*time.Second {
			t.Errorf("drained after %v: %v", time.Since(start), err)
		}
	})
}

// TestConnections guards against more connections than the limit, and idle ones that stay for ever.
func TestConnections(t *testing.T) {
	inBubble(t, steady, func(t *testing.T, r *rig) {
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
		if d := cmp.Diff(refusal{503, "overloaded", "none"}, refused(t, answer{a.StatusCode, a.Header, string(b)})); d != "" {
			t.Error(d)
		}
		time.Sleep(time.Minute)
		if a := r.send("GET", "/v1/models", ""); a.status != 200 {
			t.Error("idle connections were not closed", a)
		}
	}, guavafront.WithConnectionLimit(3))
}

// TestFiles guards against uploads that are cut to the limit of other bodies, or lack their client account.
func TestFiles(t *testing.T) {
	inBubble(t, steady, func(t *testing.T, r *rig) {
		a := r.send("POST", "/v1/files", strings.Repeat("x", 200_000))
		if a.status != 200 || a.body != "bank 200000 true" {
			t.Error(a)
		}
	}, guavafront.WithBodyLimit(64<<10, 1<<20))
}
