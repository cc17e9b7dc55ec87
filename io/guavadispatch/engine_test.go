package guavadispatch_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
	"guavaridge/io/guavanetwork"
	"guavaridge/io/guavastandin"
)

// onEngines runs a test with 4 stand-in engines behind the real client on an in-memory network.
func onEngines(t *testing.T, test func(t *testing.T, vm *guavadispatch.Pipeline, engines []*guavastandin.Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f, n := newFleet(4), guavanetwork.New().Site("here")
		client := guavaback.New(guavaback.WithDial(n.Dial))
		engines := make([]*guavastandin.Engine, 4)
		for i := range engines {
			e := guavastandin.NewEngine(guavastandin.EngineConfig{Step: 30 * time.Millisecond, StepEach: time.Millisecond})
			ln, err := n.Listen(fmt.Sprint("e", i))
			if err != nil {
				t.Fatal(err)
			}
			go e.Serve(ln) //nolint:errcheck // ends with Close
			engines[i] = e
		}
		test(t, f.vmWith(client, f.table), engines)
		client.Close()
		for _, e := range engines {
			e.Close()
		}
		time.Sleep(time.Minute) // the servers' worker pools end late
	})
}

func prompt(text string, tokens int) guavadispatch.Request {
	body, _ := json.Marshal(map[string]any{"model": "m", "prompt": text, "max_tokens": tokens, "stream": true})
	return guavadispatch.Request{
		Account: "a", Route: guavaconfig.Route{Name: "text", Path: "/v1/completions", Idempotent: true},
		Model: "m", Prompt: text, Method: "POST", Path: "/v1/completions", Body: body, Stream: true,
	}
}

// textSink is a Sink that collects the text of a completion and counts its tokens.
type textSink struct {
	text   strings.Builder
	tokens int
}

func (*textSink) Head(int, map[string]string) error { return nil }

func (w *textSink) Event(data []byte) error {
	var e struct{ Choices []struct{ Text string } }
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	for _, c := range e.Choices {
		w.text.WriteString(c.Text)
		if c.Text != "" {
			w.tokens++
		}
	}
	return nil
}

// TestEngineFaults guards against lost or duplicated tokens and tokens of other requests when engines fail during 40
// streams. It compares the text that each caller receives with that of an uninterrupted run.
func TestEngineFaults(t *testing.T) {
	for _, tt := range []struct {
		name          string
		faults        []guavastandin.Fault // of engine 0, one every 300 ms
		minRecoveries uint64               // resumes and retries
	}{
		{"none", nil, 0},
		{"permanent crash", []guavastandin.Fault{{Kind: "crash"}}, 1},
		{"crashes and restarts", []guavastandin.Fault{{Kind: "crash", Millis: 100}, {Kind: "crash", Millis: 100}, {Kind: "crash", Millis: 100}}, 1},
		{"mixed-up responses", []guavastandin.Fault{{Kind: "cross"}}, 0},
		{"very slow", []guavastandin.Fault{{Kind: "slow", Factor: 1000}}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			onEngines(t, func(t *testing.T, vm *guavadispatch.Pipeline, engines []*guavastandin.Engine) {
				var all sync.WaitGroup
				for i := range 40 {
					all.Go(func() {
						time.Sleep(time.Duration(i) * 20 * time.Millisecond)
						p, w := fmt.Sprint("square ", i), &textSink{}
						if _, err := vm.Run(t.Context(), prompt(p, 30), w); err != nil {
							t.Errorf("%s: %v", p, err)
						}
						if diff := cmp.Diff(guavastandin.Text("m", p, 30), w.text.String()); diff != "" || w.tokens != 30 {
							t.Errorf("%s: %d tokens (-want +got):\n%s", p, w.tokens, diff)
						}
					})
				}
				for _, f := range tt.faults {
					time.Sleep(300 * time.Millisecond)
					if err := engines[0].Inject(f); err != nil {
						t.Error(err)
					}
				}
				all.Wait()
				if s := vm.Stats(); s.Resumes+s.Retries < tt.minRecoveries {
					t.Errorf("got %d resumes and %d retries: the fault affected no request", s.Resumes, s.Retries)
				}
			})
		})
	}
}

// TestEnginePoison guards against a prompt that crashes one engine after another, with crashes counted by the engines.
func TestEnginePoison(t *testing.T) {
	onEngines(t, func(t *testing.T, vm *guavadispatch.Pipeline, engines []*guavastandin.Engine) {
		for _, e := range engines {
			if err := e.Inject(guavastandin.Fault{Kind: "mark", CrashMarker: "poison"}); err != nil {
				t.Fatal(err)
			}
		}
		want := failure{"poison_request", guavaretry.ExecutionUnknown}
		for range 5 {
			_, err := vm.Run(t.Context(), prompt("poison", 30), &textSink{})
			if diff := cmp.Diff(want, outcome(t, err)); diff != "" {
				t.Error("outcome (-want +got):\n" + diff)
			}
			want.Ran = guavaretry.NotExecuted
		}
		crashes := 0
		for _, e := range engines {
			crashes += e.Crashes()
		}
		if crashes != 2 {
			t.Errorf("got %d engine crashes, want 2", crashes)
		}
		if _, err := vm.Run(t.Context(), prompt("square", 30), &textSink{}); err != nil {
			t.Errorf("harmless request after it: %v", err)
		}
	})
}
