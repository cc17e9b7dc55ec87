package guavapoison_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"guavaridge/core/guavapoison"
)

// TestTally guards against requests that crash server after server because each try comes at another VM, and against
// innocent requests that are refused because servers ended or connections broke around them. A step is a verb with its
// arguments: run REQUEST SERVER breaks off after a second, silent does so without a byte, both at two servers at once if two
// are named, done REQUEST is answered, end SERVER tells that a server has ended, wait takes seconds.
func TestTally(t *testing.T) {
	tests := []struct {
		name, steps string
		want        time.Duration // for which request 1 is refused after the steps
	}{
		{"unknown", "", 0},
		{"two crashes", "run 1 a, end a, run 1 b, end b", 0},
		{"three crashes", "run 1 a, end a, run 1 b, end b, run 1 c, end c", time.Hour},
		{"three crashes of one server", "run 1 a, end a, run 1 a, end a, run 1 a, end a", time.Hour},
		{"crashes known after the last", "run 1 a, run 1 b, run 1 c, end a, end b, end c", time.Hour},
		{"three lost connections", "run 1 a, run 1 b, run 1 c", 10 * time.Second},
		{"three lost connections, later", "run 1 a, run 1 b, run 1 c, wait 10", 0},
		{"servers that end later", "run 1 a, run 1 b, run 1 c, wait 11, end a, end b, end c", 0},
		{"silent servers that live", "silent 1 a, silent 1 b, silent 1 c", 0},
		{"silent servers that crashed", "silent 1 a, silent 1 b, silent 1 c, end a, end b, end c", time.Hour},
		{"servers that end together", "run 1 a b, end a, end b, run 1 c, end c", 0},
		{"answered in between", "run 1 a, end a, run 1 b, end b, done 1, run 1 c, end c", 0},
		{"another request", "run 2 a, end a, run 2 b, end b, run 2 c, end c", 0},
		{"request without name", "run 0 a, end a, run 0 b, end b, run 0 c, end c", 0},
		{"third crash long after", "run 1 a, end a, run 1 b, end b, wait 700, run 1 c, end c", 0},
		{"an hour later", "run 1 a, end a, run 1 b, end b, run 1 c, end c, wait 3600", 0},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			tally := guavapoison.NewCrashCounter()
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			for step := range strings.SplitSeq(x.steps, ", ") {
				if step == "" {
					continue
				}
				now = play(t, tally, now, strings.Fields(step))
			}
			got, crashes := tally.RefusedFor(now, 1)
			if got != x.want || (got > 0 && crashes != (got == time.Hour)) {
				t.Errorf("refused for %s, crashes servers %t, want %s", got, crashes, x.want)
			}
			if got, _ := tally.RefusedFor(now, 0); got != 0 {
				t.Errorf("a request without name is refused for %s", got)
			}
		})
	}
}

// play applies a step and returns the time after it.
func play(t *testing.T, tally *guavapoison.CrashCounter, now time.Time, step []string) time.Time {
	t.Helper()
	var n uint64
	if step[0] != "end" {
		if _, err := fmt.Sscan(step[1], &n); err != nil {
			t.Fatalf("step %q: %v", step, err)
		}
	}
	switch step[0] {
	case "run", "silent":
		began := now
		now = now.Add(time.Second)
		for _, server := range step[2:] {
			tally.RecordBroken(now, n, server, began, step[0] == "silent")
		}
	case "done":
		tally.RecordAnswered(n)
	case "end":
		tally.ServerEnded(now, step[1])
	case "wait":
		now = now.Add(time.Duration(n) * time.Second) //nolint:gosec // small
	default:
		t.Fatalf("unknown step %q", step)
	}
	return now
}

// TestTallyIsBounded guards against memory that grows with the number of requests that broke off.
func TestTallyIsBounded(t *testing.T) {
	const limit = 2000
	tally := guavapoison.NewCrashCounter()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	crash := func(n uint64) {
		for range 3 {
			began := now
			now = now.Add(time.Millisecond)
			tally.RecordBroken(now, n, "a", began, false)
			tally.ServerEnded(now, "a")
		}
	}
	for n := range uint64(limit) {
		tally.RecordBroken(now, n+1, "a", now, false)
	}
	crash(limit + 1)
	if left, _ := tally.RefusedFor(now, limit+1); left > 0 {
		t.Errorf("more than %d requests are counted", limit)
	}
	now = now.Add(time.Hour) // all have lapsed
	crash(limit + 1)
	if left, _ := tally.RefusedFor(now, limit+1); left == 0 {
		t.Error("lapsed suspects are kept in place of new ones")
	}
}

// TestSum guards against different requests under one name.
func TestSum(t *testing.T) {
	a, b := guavapoison.NewFingerprint("r", []byte("a")), guavapoison.NewFingerprint("r", []byte("b"))
	if a.Sum() == 0 || a.Sum() == b.Sum() || a.Sum() != guavapoison.NewFingerprint("r", []byte("a")).Sum() {
		t.Errorf("sums %x and %x", a.Sum(), b.Sum())
	}
	if got := guavapoison.Fingerprint("").Sum(); got != 0 {
		t.Errorf("no fingerprint has sum %x", got)
	}
}
