package guavafront_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"guavaridge/io/guavastandin"
)

// TestCompletion guards against responses that differ from the engine's: a lost or repeated token, a missing end of
// stream, or the identifier of an attempt instead of the request's.
func TestCompletion(t *testing.T) {
	inBubble(t, defaultEngine, func(t *testing.T, r *rig) {
		want := guavastandin.Text("proof", prompt, 5)
		a := r.send("POST", "/v1/chat/completions", chatRequest, "X-Request-Id", "abc")
		var v struct {
			ID      string
			Choices []struct{ Message struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(a.body), &v); err != nil {
			t.Fatal(err)
		}
		got := []string{v.ID, a.header.Get("X-Request-Id"), v.Choices[0].Message.Content}
		if d := cmp.Diff([]string{"abc", "abc", want}, got); d != "" {
			t.Error("buffered response", d)
		}
		text, code, done := parseStream(t, r.send("POST", "/v1/chat/completions", streamRequest(5)).body)
		if text != want || code != "" || !done {
			t.Errorf("stream: got %q, error %q, done %v, want the engine's text, no error, done", text, code, done)
		}
	})
}
