package guavaback_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/io/guavaback"
	"guavaridge/io/guavastandin"
)

// text joins the tokens of events.
func text(t *testing.T, events []string) string {
	t.Helper()
	var b strings.Builder
	for _, e := range events {
		var v struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(e), &v); err != nil {
			t.Fatal(err)
		}
		for _, c := range v.Choices {
			b.WriteString(c.Delta.Content)
		}
	}
	return b.String()
}

// TestResume guards against tokens lost or doubled when a stream goes on at another engine after a crash, at
// every point of the answer.
func TestResume(t *testing.T) {
	c := guavastandin.EngineConfig{Step: 10 * time.Millisecond}
	want := guavastandin.Text("m", "user: hello\n", 20)
	for tokens := range 20 {
		inBubble(t, func(r *rig) {
			first := r.engine("first", c)
			r.engine("second", c)
			time.AfterFunc(time.Duration(tokens)*c.Step+c.Step/2, first.Crash)
			var got collector
			_, err := r.do(attempt("first", true), &got)
			o := failed(r.T, err)
			if o.Tokens != tokens || !o.Crash {
				r.Fatalf("crash after %d tokens: got %+v", tokens, o)
			}
			a := attempt("second", true)
			a.Text, a.Tokens = o.Text, o.Tokens
			answer, err := r.do(a, &got)
			if err != nil || answer.Tokens != 20 || text(r.T, got.events) != want {
				r.Errorf("crash after %d tokens: %v, %d tokens, %q", tokens, err, answer.Tokens, text(r.T, got.events))
			}
		})
	}
}

// TestEngineCancel guards against a cancelled stream that keeps its slot.
func TestEngineCancel(t *testing.T) {
	inBubble(t, func(r *rig) {
		e := r.engine("first", guavastandin.EngineConfig{Step: time.Second, Slots: 1})
		done := make(chan error)
		go func() {
			_, err := r.do(attempt("first", true), &collector{})
			done <- err
		}()
		time.Sleep(1500 * time.Millisecond)
		if err := r.Cancel(r.Context(), "first", "a1"); err != nil {
			r.Error(err)
		}
		if o := failed(r.T, <-done); o.Ran != "unknown" || o.Tokens != 1 {
			r.Errorf("got %+v", o)
		}
		if running, waiting := e.Running(); running+waiting != 0 || e.Cancels("a1") != 1 {
			r.Errorf("%d running, %d waiting, %d cancels", running, waiting, e.Cancels("a1"))
		}
	})
}

// TestCancelIsRepeated guards against an attempt that runs on because its cancel was lost in an engine that hung, or
// arrived before its request.
func TestCancelIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  string // what the engine sends before the attempt is cancelled
		cancels []int
		want    int
	}{
		{"known at once", "", []int{200}, 1},
		{"unknown at first", "", []int{404, 404, 200}, 3},
		{"never known", "", []int{404, 404, 404, 404}, 3},
		{"no answer at first", "", []int{0, 0, 500, 200}, 4},
		{"ended after its first event", streamHead + chunk(event("a1", "x")), []int{404, 404}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				s := r.script(func(_ int, n net.Conn, _ *http.Request) bool {
					fmt.Fprint(n, c.answer)
					time.Sleep(5 * time.Second)
					return false
				}, c.cancels...)
				ctx, stop := context.WithTimeout(r.Context(), time.Second)
				defer stop()
				if _, err := r.Do(ctx, attempt("server", true), &collector{}); err == nil {
					r.Error("the attempt succeeded")
				}
				time.Sleep(10 * time.Second)
				got := 0
				for _, p := range s.seen() {
					if p == "/cancel" {
						got++
					}
				}
				if got != c.want {
					r.Errorf("%d cancels, want %d", got, c.want)
				}
			})
		})
	}
}

// TestReports guards against misread load, events and orders.
func TestReports(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.engine("first", guavastandin.EngineConfig{
			Models: []string{"m"}, Role: "prefill", Slots: 4, KV: 1000, Step: time.Second,
			ReportEvery: 10 * time.Second, EventLag: 5 * time.Second, DropEventEvery: 2, RejectStaleEpochs: true,
		})
		r.engine("second", guavastandin.EngineConfig{LoadTime: time.Minute})
		load := func() guavaback.Load {
			l, err := r.Load(r.Context(), "first")
			if err != nil {
				r.Error(err)
			}
			return l
		}
		want := guavaback.Load{Slots: 4, Models: []string{"m"}, Role: "prefill"}
		if d := cmp.Diff(want, load()); d != "" {
			r.Error(d)
		}
		a := attempt("first", false)
		a.Body = []byte(`{"model":"m","max_tokens":10,"messages":[{"role":"user","content":"` + strings.Repeat("x", 1100) + `"}]}`)
		done := make(chan guavaback.Answer)
		go func() {
			answer, err := r.do(a, nil)
			if err != nil {
				r.Error(err)
			}
			done <- answer
		}()
		time.Sleep(3 * time.Second)
		want.Age = 3000
		if d := cmp.Diff(want, load()); d != "" {
			r.Error("before the refresh", d)
		}
		events, err := r.Events(r.Context(), "first", 0)
		if err != nil || len(events) != 0 {
			r.Errorf("events before their lag: %v, %v", events, err)
		}
		time.Sleep(7500 * time.Millisecond)
		if answer := <-done; answer.Status != 200 || answer.Load.Slots != 4 || answer.Load.Running != 0 {
			r.Errorf("load with the answer: %+v", answer.Load)
		}
		prefixes := guavaback.Prefixes("m", "user: "+strings.Repeat("x", 1100), 10)
		events, err = r.Events(r.Context(), "first", 1)
		if d := cmp.Diff([]guavaback.CacheEvent{{Seq: 3, Op: "add", Prefix: prefixes[2]}}, events); err != nil || d != "" {
			r.Error(err, d)
		}
		for _, c := range []struct {
			address string
			order   guavaback.Order
			want    error
		}{
			{"first", guavaback.Order{Epoch: 2, Kind: "model", Want: "m,n"}, nil},
			{"first", guavaback.Order{Epoch: 1, Kind: "role", Want: "decode"}, guavaback.ErrFenced},
			{"first", guavaback.Order{Epoch: 2, Kind: "adapter", Want: "m:a"}, nil},
			{"second", guavaback.Order{Epoch: 2, Kind: "model", Want: "x"}, nil},
			{"second", guavaback.Order{Epoch: 1, Kind: "model", Want: "y"}, nil},
		} {
			if err := r.Order(r.Context(), c.address, c.order); !errors.Is(err, c.want) {
				r.Errorf("%+v: got %v", c.order, err)
			}
		}
		if err := r.Order(r.Context(), "first", guavaback.Order{Epoch: 9, Kind: "x"}); err == nil {
			r.Error("an unknown kind of order was accepted")
		}
		time.Sleep(10 * time.Second)
		want = guavaback.Load{Slots: 4, Models: []string{"m", "n"}, Adapters: []string{"m:a"}, Role: "prefill"}
		if d := cmp.Diff(want, load()); d != "" {
			r.Error("after orders", d)
		}
	})
}
