package guavastandin_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/io/guavaback"
	"guavaridge/io/guavanetwork"
	"guavaridge/io/guavastandin"
)

// rig is a client and an engine connected by an in-memory network.
type rig struct {
	*testing.T
	guavaback.Client
	engine *guavastandin.Engine
}

func inBubble(t *testing.T, c guavastandin.EngineConfig, test func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := guavanetwork.New().Site("here")
		r := &rig{T: t, Client: guavaback.New(guavaback.WithDial(n.Dial)), engine: guavastandin.NewEngine(c)}
		serveOn(t, n, "engine", r.engine.Serve)
		test(r)
		r.Close()
		r.engine.Close()
		time.Sleep(time.Minute) // wait for the worker pools of the servers to end
	})
}

func serveOn(t *testing.T, n *guavanetwork.Site, address string, serve func(net.Listener) error) {
	t.Helper()
	ln, err := n.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if err := serve(ln); err != nil {
			t.Errorf("serve %s: %v", address, err)
		}
	}()
	synctest.Wait()
}

func body(prompt string, tokens int) []byte {
	data, _ := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens})
	return data
}

// complete sends a buffered completion request and returns the text and the time to the response.
func (r *rig) complete(id, prompt string, tokens int) (string, time.Duration) {
	r.Helper()
	start := time.Now()
	response, err := r.Do(r.Context(), guavaback.Attempt{
		ID: id, Address: "engine", Method: "POST", Path: "/v1/completions", Body: body(prompt, tokens),
	}, nil)
	if err != nil {
		r.Error(err)
		return "", 0
	}
	var v struct{ Choices []struct{ Text string } }
	if err := json.Unmarshal(response.Body, &v); err != nil || len(v.Choices) != 1 {
		r.Errorf("response: got status %d, body %s, want one choice", response.Status, response.Body)
		return "", 0
	}
	return v.Choices[0].Text, time.Since(start)
}

// TestBatching guards against a simulated engine that is faster than a real one: steps must take longer with a larger
// batch, and the slots and the KV cache must limit the batch.
func TestBatching(t *testing.T) {
	const step, each = 100 * time.Millisecond, 10 * time.Millisecond
	for _, c := range []struct {
		name     string
		slots    int
		kv       int
		requests int
		want     time.Duration // time to the last response
	}{
		{"one", 4, 0, 1, 10 * (step + each)},
		{"full batch", 4, 0, 4, 10 * (step + 4*each)},
		{"one waits for a slot", 4, 0, 5, 10*(step+4*each) + 10*(step+each)},
		{"one waits for memory", 4, 25, 3, 10*(step+2*each) + 10*(step+each)},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, guavastandin.EngineConfig{Slots: c.slots, KV: c.kv, Step: step, StepEach: each}, func(r *rig) {
				var mu sync.Mutex
				var last time.Duration
				var all sync.WaitGroup
				r.engine.Inject(guavastandin.Fault{Kind: "hang"}) //nolint:errcheck // a known kind
				for i := range c.requests {
					all.Go(func() {
						start := time.Now()
						p := fmt.Sprint(i)
						if text, _ := r.complete("r"+p, p, 10); text != guavastandin.Text("m", p, 10) {
							r.Errorf("got text %q, want that of guavastandin.Text", text)
						}
						mu.Lock()
						defer mu.Unlock()
						last = max(last, time.Since(start))
					})
				}
				synctest.Wait()
				r.engine.Inject(guavastandin.Fault{Kind: "clear"}) //nolint:errcheck // a known kind
				all.Wait()
				// Requests that arrive during the first step join the batch at the next, so the time may be off by one step.
				if last > c.want+step || last < c.want-step {
					r.Errorf("time to the last response: got %v, want %v give or take one step", last, c.want)
				}
			})
		})
	}
}

// TestPrefixCache guards against prefill of prompts that are cached or were imported, and against a cache that survives
// a crash.
func TestPrefixCache(t *testing.T) {
	inBubble(t, guavastandin.EngineConfig{Prefill: time.Millisecond}, func(r *rig) {
		prompt := strings.Repeat("x", 4*guavaback.PrefixBlockBytes)
		timeToResponse := func(prompt string) time.Duration {
			_, d := r.complete("a", prompt, 1)
			return d
		}
		first := timeToResponse(prompt)
		if repeated := timeToResponse(prompt); first != 257*time.Millisecond || repeated > 2*time.Millisecond {
			r.Errorf("time to the response: got %v and, when sent again, %v; want 257ms and at most 2ms", first, repeated)
		}
		if half := timeToResponse(prompt[:512] + strings.Repeat("y", 512)); half < 100*time.Millisecond || half > 150*time.Millisecond {
			r.Errorf("half of the prompt cached: got %v, want 100ms to 150ms", half)
		}
		r.engine.Crash()
		r.engine.Restart()
		synctest.Wait()
		if d := timeToResponse(prompt); d != first {
			r.Errorf("after a crash: got %v, want the time of the first request", d)
		}
		put := guavaback.Attempt{
			ID: "a", Address: "engine", Method: "PUT", Path: "/kv/a",
			Body: []byte(`{"content":"` + strings.Repeat("z", 1000) + `","tokens":250}`),
		}
		if _, err := r.Do(r.Context(), put, nil); err != nil {
			r.Error(err)
		}
		if d := timeToResponse(strings.Repeat("z", 1000)); d != 0 {
			r.Errorf("imported: got %v, want 0s", d)
		}
	})
}

// TestFaults guards against faults without the effect that the tests of other packages rely on: whether a request
// succeeds, after which time, and whether the engine crashes.
func TestFaults(t *testing.T) {
	c := guavastandin.EngineConfig{Step: time.Second}
	for _, f := range []struct {
		name  string
		fault guavastandin.Fault
		ok    bool
		want  time.Duration // time to the response or error
	}{
		{"none", guavastandin.Fault{Kind: "clear"}, true, 3 * time.Second},
		{"slow", guavastandin.Fault{Kind: "slow", Factor: 5}, true, 15 * time.Second},
		{"late", guavastandin.Fault{Kind: "late", Millis: 7000}, true, 10 * time.Second},
		{"hang", guavastandin.Fault{Kind: "hang", Millis: 20_000}, true, 23 * time.Second},
		{"hang for ever", guavastandin.Fault{Kind: "hang"}, false, time.Minute},
		{"crash on mark", guavastandin.Fault{Kind: "mark", CrashMarker: "hello"}, false, time.Second},
		{"other mark", guavastandin.Fault{Kind: "mark", CrashMarker: "other"}, true, 3 * time.Second},
		{"crossed", guavastandin.Fault{Kind: "cross"}, false, 3 * time.Second},
	} {
		t.Run(f.name, func(t *testing.T) {
			inBubble(t, c, func(r *rig) {
				data, err := json.Marshal(f.fault)
				if err != nil {
					r.Fatal(err)
				}
				a := guavaback.Attempt{Address: "engine", Method: "POST", Path: "/fault", Body: data}
				if response, err := r.Do(r.Context(), a, nil); err != nil || response.Status != 200 {
					r.Fatal(response, err)
				}
				ctx, stop := context.WithTimeout(r.Context(), time.Minute)
				defer stop()
				start := time.Now()
				_, err = r.Do(ctx, guavaback.Attempt{
					ID: "a", Address: "engine", Method: "POST", Path: "/v1/completions", Body: body("hello", 3),
				}, nil)
				if got := time.Since(start); (err == nil) != f.ok || got != f.want {
					r.Errorf("got a result after %v with error %v", got, err)
				}
				crashed := f.fault.Kind == "mark" && !f.ok
				if (r.engine.Crashes() == 1) != crashed {
					r.Errorf("got %d crashes", r.engine.Crashes())
				}
				if _, err := r.Load(ctx, "engine"); crashed != errors.Is(err, guavanetwork.ErrRefused) && ctx.Err() == nil {
					r.Errorf("load after the fault: got error %v", err)
				}
			})
		})
	}
}

// TestServiceCounts guards against wrong counts of started and executed bookings whose response is lost.
func TestServiceCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := guavanetwork.New().Site("here")
		client := guavaback.New(guavaback.WithDial(n.Dial))
		s := guavastandin.NewService(guavastandin.ServiceConfig{ServiceTime: time.Second})
		serveOn(t, n, "service", s.Serve)
		book := func(id string, timeout time.Duration) error {
			ctx, stop := context.WithTimeout(t.Context(), timeout)
			defer stop()
			_, err := client.Do(ctx, guavaback.Attempt{
				ID: id, Address: "service", Method: "POST", Path: "/bookings?booking=" + id, Body: []byte("x"),
			}, nil)
			return err
		}
		if err := book("whole", time.Minute); err != nil {
			t.Error(err)
		}
		if err := book("lost", 500*time.Millisecond); err == nil {
			t.Error("the answer came")
		}
		time.Sleep(time.Second)
		time.AfterFunc(500*time.Millisecond, s.Crash)
		if err := book("crashed", time.Minute); err == nil {
			t.Error("the answer came")
		}
		time.Sleep(time.Second)
		got := map[string][2]int{}
		for _, id := range []string{"whole", "lost", "crashed"} {
			got[id] = [2]int{s.Starts(id), s.Ends(id)}
		}
		want := map[string][2]int{"whole": {1, 1}, "lost": {1, 1}, "crashed": {1, 0}}
		if d := cmp.Diff(want, got); d != "" {
			t.Error(d)
		}
		client.Close()
		s.Close()
		time.Sleep(time.Minute)
	})
}

// events collects the text of a streamed response.
type events struct{ text strings.Builder }

func (*events) Head(int, map[string]string) error { return nil }

func (e *events) Event(data []byte) error {
	var v struct{ Choices []struct{ Text string } }
	if err := json.Unmarshal(data, &v); err != nil {
		return fmt.Errorf("event %s: %w", data, err)
	}
	for _, c := range v.Choices {
		e.text.WriteString(c.Text)
	}
	return nil
}

// TestResumeAtEnd guards against an engine that generates one token too many when a stream that was truncated after its
// last token is resumed.
func TestResumeAtEnd(t *testing.T) {
	inBubble(t, guavastandin.EngineConfig{Slots: 1}, func(r *rig) {
		for _, received := range []int{9, 10} {
			sink := &events{}
			body := []byte(`{"model":"m","prompt":"p","max_tokens":10,"stream":true}`)
			_, err := r.Do(r.Context(), guavaback.Attempt{
				ID: fmt.Sprint("r", received), Address: "engine", Method: "POST", Path: "/v1/completions", Body: body, Stream: true,
				Text: guavastandin.Text("m", "p", received), Tokens: received,
			}, sink)
			if err != nil {
				r.Error(err)
			}
			complete := guavastandin.Text("m", "p", 10)
			if got, want := sink.text.String(), strings.TrimPrefix(complete, guavastandin.Text("m", "p", received)); got != want {
				r.Errorf("resumed after %d of 10 tokens: got %q, want %q", received, got, want)
			}
		}
	})
}
