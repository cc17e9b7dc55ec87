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

// rig is a client and an engine on an in-memory network.
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
		time.Sleep(time.Minute) // the servers' worker pools end late
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

// complete runs a plain completion and returns its text and how long it took.
func (r *rig) complete(id, prompt string, tokens int) (string, time.Duration) {
	r.Helper()
	start := time.Now()
	a, err := r.Do(r.Context(), guavaback.Attempt{
		ID: id, Address: "engine", Method: "POST", Path: "/v1/completions", Body: body(prompt, tokens),
	}, nil)
	if err != nil {
		r.Error(err)
		return "", 0
	}
	var v struct{ Choices []struct{ Text string } }
	if err := json.Unmarshal(a.Body, &v); err != nil || len(v.Choices) != 1 {
		r.Errorf("status %d: %s", a.Status, a.Body)
		return "", 0
	}
	return v.Choices[0].Text, time.Since(start)
}

// TestBatching guards against a stand-in that is faster than an engine: its steps must grow with the batch, and
// slots and KV memory must bound the batch.
func TestBatching(t *testing.T) {
	const step, each = 100 * time.Millisecond, 10 * time.Millisecond
	for _, c := range []struct {
		name     string
		slots    int
		kv       int
		requests int
		want     time.Duration // of the last of them
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
							r.Errorf("got %q", text)
						}
						mu.Lock()
						defer mu.Unlock()
						last = max(last, time.Since(start))
					})
				}
				synctest.Wait()
				r.engine.Inject(guavastandin.Fault{Kind: "clear"}) //nolint:errcheck // a known kind
				all.Wait()
				// Requests that arrive while the first step runs join at the next, so one step may hold fewer.
				if last > c.want+step || last < c.want-step {
					r.Errorf("took %v, want about %v", last, c.want)
				}
			})
		})
	}
}

// TestPrefixCache guards against prompts that are computed again although they are cached or were imported, and
// against a cache that survives a crash.
func TestPrefixCache(t *testing.T) {
	inBubble(t, guavastandin.EngineConfig{Prefill: time.Millisecond}, func(r *rig) {
		prompt := strings.Repeat("x", 4*guavaback.PrefixBlock)
		took := func(prompt string) time.Duration {
			_, d := r.complete("a", prompt, 1)
			return d
		}
		first := took(prompt)
		if again := took(prompt); first != 257*time.Millisecond || again > 2*time.Millisecond {
			r.Errorf("first %v, again %v", first, again)
		}
		if half := took(prompt[:512] + strings.Repeat("y", 512)); half < 100*time.Millisecond || half > 150*time.Millisecond {
			r.Errorf("half cached: %v", half)
		}
		r.engine.Crash()
		r.engine.Restart()
		synctest.Wait()
		if d := took(prompt); d != first {
			r.Errorf("after a crash: %v", d)
		}
		put := guavaback.Attempt{
			ID: "a", Address: "engine", Method: "PUT", Path: "/kv/a",
			Body: []byte(`{"content":"` + strings.Repeat("z", 1000) + `","tokens":250}`),
		}
		if _, err := r.Do(r.Context(), put, nil); err != nil {
			r.Error(err)
		}
		if d := took(strings.Repeat("z", 1000)); d != 0 {
			r.Errorf("imported: %v", d)
		}
	})
}

// TestFaults guards against faults that do not do what tests of other packages rely on.
func TestFaults(t *testing.T) {
	c := guavastandin.EngineConfig{Step: time.Second}
	for _, f := range []struct {
		name  string
		fault guavastandin.Fault
		ends  bool
		took  time.Duration
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
				if answer, err := r.Do(r.Context(), a, nil); err != nil || answer.Status != 200 {
					r.Fatal(answer, err)
				}
				ctx, stop := context.WithTimeout(r.Context(), time.Minute)
				defer stop()
				start := time.Now()
				_, err = r.Do(ctx, guavaback.Attempt{
					ID: "a", Address: "engine", Method: "POST", Path: "/v1/completions", Body: body("hello", 3),
				}, nil)
				if took := time.Since(start); (err == nil) != f.ends || took != f.took {
					r.Errorf("took %v, %v", took, err)
				}
				crashed := f.fault.Kind == "mark" && !f.ends
				if (r.engine.Crashes() == 1) != crashed {
					r.Errorf("%d crashes", r.engine.Crashes())
				}
				if _, err := r.Load(ctx, "engine"); crashed != errors.Is(err, guavanetwork.ErrRefused) && ctx.Err() == nil {
					r.Errorf("load after the fault: %v", err)
				}
			})
		})
	}
}

// TestServiceCounts guards against bookings whose runs are miscounted when their answers are lost.
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

// events collects the text of a stream.
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

// TestResumeAtEnd guards against an engine that makes one token too many when a stream that broke off after its last token
// is resumed.
func TestResumeAtEnd(t *testing.T) {
	inBubble(t, guavastandin.EngineConfig{Slots: 1}, func(r *rig) {
		for _, had := range []int{9, 10} {
			sink := &events{}
			body := []byte(`{"model":"m","prompt":"p","max_tokens":10,"stream":true}`)
			_, err := r.Do(r.Context(), guavaback.Attempt{
				ID: fmt.Sprint("r", had), Address: "engine", Method: "POST", Path: "/v1/completions", Body: body, Stream: true,
				Text: guavastandin.Text("m", "p", had), Tokens: had,
			}, sink)
			if err != nil {
				r.Error(err)
			}
			whole := guavastandin.Text("m", "p", 10)
			if got, want := sink.text.String(), strings.TrimPrefix(whole, guavastandin.Text("m", "p", had)); got != want {
				r.Errorf("resumed after %d of 10 tokens: got %q, want %q", had, got, want)
			}
		}
	})
}
