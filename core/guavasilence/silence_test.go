package guavasilence_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavasilence"
	"guavaridge/core/guavatraffic"
)

// TestLimitsOf guards against responses of sound servers that are given up during a silence of a second or so, and
// against requests that are sent to more servers than their route allows.
func TestLimitsOf(t *testing.T) {
	const ms = time.Millisecond
	stream := guavatraffic.Route{
		Kind: guavatraffic.Stream, Resumable: true, Attempts: 2, Target: 300 * ms, GapTarget: 400 * ms,
	}
	once := stream
	once.Resumable = false
	idempotent := guavatraffic.Route{Kind: guavatraffic.Idempotent, Attempts: 3, Target: 100 * ms}
	slow := stream
	slow.Target, slow.GapTarget = 2*time.Second, 3*time.Second
	cases := []struct {
		name     string
		route    guavatraffic.Route
		phase    guavasilence.Phase
		attempts int
		want     guavasilence.Limits
	}{
		{"headers, another attempt left", idempotent, guavasilence.Headers, 2, guavasilence.Limits{Replace: 300 * ms}},
		{"headers, last attempt", idempotent, guavasilence.Headers, 3, guavasilence.Limits{Fail: 2000 * ms}},
		{"headers of a stream", stream, guavasilence.Headers, 1, guavasilence.Limits{Replace: 600 * ms}},
		{"headers of the rest", stream, guavasilence.ResumedHeaders, 1, guavasilence.Limits{Replace: 600 * ms}},
		{"headers of the rest, last attempt", stream, guavasilence.ResumedHeaders, 2, guavasilence.Limits{}},
		{"first event", stream, guavasilence.FirstEvent, 1, guavasilence.Limits{Replace: 800 * ms}},
		{"first event, last attempt", stream, guavasilence.FirstEvent, 2, guavasilence.Limits{Fail: 2000 * ms}},
		{"next event", stream, guavasilence.NextEvent, 1, guavasilence.Limits{Replace: 1500 * ms}},
		{"next event, last attempt", stream, guavasilence.NextEvent, 2, guavasilence.Limits{}},
		{"next event of a slow route", slow, guavasilence.NextEvent, 1, guavasilence.Limits{Replace: 6 * time.Second}},
		{"headers of a slow route, last attempt", slow, guavasilence.Headers, 2, guavasilence.Limits{Fail: 4 * time.Second}},
		{"headers, at most once", once, guavasilence.Headers, 1, guavasilence.Limits{}},
		{"next event, at most once", once, guavasilence.NextEvent, 1, guavasilence.Limits{}},
	}
	for _, c := range cases {
		if diff := cmp.Diff(c.want, guavasilence.LimitsOf(c.route, c.phase, c.attempts)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}
