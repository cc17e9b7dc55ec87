package guavapoison_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavapoison"
)

// epoch is the arbitrary start of time in tests of the tracker, which uses no clock.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// history applies steps to a tracker. A request is written as its content, or as its content and parts, "1:20,30".
type history struct {
	*testing.T
	tracker *guavapoison.CrashTracker
	now     time.Time
	runs    int
}

func newHistory(t *testing.T) *history {
	t.Helper()
	return &history{T: t, tracker: guavapoison.NewCrashTracker(), now: epoch}
}

// request parses a request.
func (h *history) request(text string) (content uint64, parts []uint64) {
	h.Helper()
	first, rest, _ := strings.Cut(text, ":")
	numbers := []string{first}
	if rest != "" {
		numbers = append(numbers, strings.Split(rest, ",")...)
	}
	for i, n := range numbers {
		v, err := strconv.ParseUint(n, 10, 64)
		if err != nil {
			h.Fatalf("request %q: %v", text, err)
		}
		if i == 0 && v > 0 {
			content = 1000 + v // no part has the same identifier
		}
		if i == 0 {
			continue
		}
		parts = append(parts, v)
	}
	return content, parts
}

// run returns a run of a request that began now.
func (h *history) run(text, server string) guavapoison.Run {
	h.Helper()
	h.runs++
	content, parts := h.request(text)
	return guavapoison.Run{ID: fmt.Sprint(h.runs), Server: server, Began: h.now, Content: content, Parts: parts}
}

// apply applies steps that are separated by semicolons:
//   - run REQUEST SERVER...: a run on each server, lost after 1 s
//   - silent REQUEST SERVER...: the same, with the connection open and no byte received
//   - crash REQUEST...: for each, a run that is lost after 1 s, and its server terminates
//   - quick REQUEST...: for each, a run that is lost after 10 ms, and whose server lives
//   - together REQUEST...: runs on one server, which terminates after 1 s
//   - item REQUEST...: as crash, for items of jobs
//   - done REQUEST...: runs that are answered within 1 s
//   - try REQUEST: a trial is sent and lost
//   - shed REQUEST: a trial is sent and not executed
//   - end SERVER: the server terminates
//   - wait SECONDS
func (h *history) apply(steps string) {
	h.Helper()
	for step := range strings.SplitSeq(steps, ";") {
		f := strings.Fields(step)
		if len(f) == 0 {
			continue
		}
		switch f[0] {
		case "run", "silent":
			for i, server := range f[2:] {
				r := h.run(f[1], server)
				if i == 0 {
					h.now = h.now.Add(time.Second)
				} else {
					r.Began = h.now.Add(-time.Second)
				}
				h.tracker.RecordLost(h.now, r, f[0] == "silent")
			}
		case "crash", "item":
			for _, q := range f[1:] {
				r := h.run(q, fmt.Sprintf("server-%d", h.runs))
				r.Item = f[0] == "item"
				h.now = h.now.Add(time.Second)
				h.tracker.RecordLost(h.now, r, false)
				h.tracker.ServerEnded(h.now, r.Server)
			}
		case "quick":
			for _, q := range f[1:] {
				r := h.run(q, fmt.Sprintf("server-%d", h.runs))
				h.now = h.now.Add(10 * time.Millisecond)
				h.tracker.RecordLost(h.now, r, false)
			}
		case "together":
			list := make([]guavapoison.Run, 0, len(f)-1)
			for _, q := range f[1:] {
				list = append(list, h.run(q, "shared"))
			}
			h.now = h.now.Add(time.Second)
			for _, r := range list {
				h.tracker.RecordLost(h.now, r, false)
			}
			h.tracker.ServerEnded(h.now, "shared")
		case "done":
			for _, q := range f[1:] {
				r := h.run(q, "sound")
				h.now = h.now.Add(time.Millisecond)
				h.tracker.RecordAnswered(h.now, r)
			}
		case "try", "shed":
			content, parts := h.request(f[1])
			if v, _ := h.tracker.Check(h.now, content, parts); v != guavapoison.Try {
				h.Errorf("%s: got verdict %s at %v, want try", step, v, h.now.Sub(epoch))
			}
			h.tracker.BeginTrial(h.now, content, parts)
			r := h.run(f[1], fmt.Sprintf("server-%d", h.runs))
			h.now = h.now.Add(time.Second)
			if f[0] == "shed" {
				h.tracker.RecordUndecided(h.now, r, false)
			} else {
				h.tracker.RecordLost(h.now, r, false)
				h.tracker.ServerEnded(h.now, r.Server)
			}
		case "end":
			h.tracker.ServerEnded(h.now, f[1])
		case "wait":
			seconds, err := strconv.Atoi(f[1])
			if err != nil {
				h.Fatalf("step %q: %v", step, err)
			}
			h.now = h.now.Add(time.Duration(seconds) * time.Second)
		default:
			h.Fatalf("unknown step %q", step)
		}
	}
}

// refused returns for how long a request is refused.
func (h *history) refused(text string) time.Duration {
	h.Helper()
	content, parts := h.request(text)
	_, remaining := h.tracker.Check(h.now, content, parts)
	return remaining
}

// TestCrashTracker guards against a request that crashes one server after another because each attempt is sent through
// another VM, and against refusing harmless requests that were in flight when servers or connections failed.
func TestCrashTracker(t *testing.T) {
	tests := []struct {
		name, steps string
		want        time.Duration // remaining refusal of request 1 after the steps
	}{
		{"unknown", "", 0},
		{"two crashes", "run 1 a; end a; run 1 b; end b", 0},
		{"three crashes", "run 1 a; end a; run 1 b; end b; run 1 c; end c", time.Hour},
		{"three crashes of one server", "run 1 a; end a; run 1 a; end a; run 1 a; end a", time.Hour},
		{"crashes known after the last", "run 1 a; run 1 b; run 1 c; end a; end b; end c", time.Hour},
		{"three lost connections", "run 1 a; run 1 b; run 1 c", 10 * time.Second},
		{"three lost connections, later", "run 1 a; run 1 b; run 1 c; wait 10", 0},
		{"servers that end later", "run 1 a; run 1 b; run 1 c; wait 11; end a; end b; end c", 0},
		{"silent servers that live", "silent 1 a; silent 1 b; silent 1 c", 0},
		{"silent servers that crashed", "silent 1 a; silent 1 b; silent 1 c; end a; end b; end c", time.Hour},
		{"servers that end together", "run 1 a b; end a; end b; run 1 c; end c", 0},
		{"answered in between", "run 1 a; end a; run 1 b; end b; done 1; run 1 c; end c", 0},
		{"another request", "run 2 a; end a; run 2 b; end b; run 2 c; end c", 0},
		{"request without name", "run 0 a; end a; run 0 b; end b; run 0 c; end c", 0},
		{"third crash long after", "run 1 a; end a; run 1 b; end b; wait 700; run 1 c; end c", 0},
		{"an hour later", "run 1 a; end a; run 1 b; end b; run 1 c; end c; wait 3600", 0},
		{"a batch item", "item 1 1 1 1", 0},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			h := newHistory(t)
			h.apply(x.steps)
			if got := h.refused("1"); got != x.want {
				t.Errorf("refused for %s, want %s", got, x.want)
			}
			if got := h.refused("0"); got != 0 {
				t.Errorf("a request without name is refused for %s, want 0", got)
			}
		})
	}
}

// TestCrashingPart guards against requests that share only one part of their prompts and crash server after server, and
// against refusing sound requests with other parts of the same prompts. Part 9 crashes servers.
func TestCrashingPart(t *testing.T) {
	tests := []struct {
		name, steps      string
		refused, allowed string // requests
	}{
		{"two crashes", "crash 1:9 2:9", "", "3:9"},
		{"three crashes", "crash 1:9 2:9 3:9", "4:9 5:8,9 6:9,7", "7:8 8:7"},
		{"behind a part with answers", "done 90:8; crash 1:8,9 2:8,9 3:8,9", "4:8,9 5:9", "6:8 7:8,7"},
		{"before a part with answers", "done 90:8; crash 1:9,8 2:9,8 3:9,8", "4:9,8 5:9", "6:8 7:7,8"},
		{"between parts with answers", "done 90:6,7; crash 1:6,9,7 2:6,9,7 3:6,9,7", "4:9 5:6,9,7", "6:6,7 7:7"},
		{"beside a part without answers", "crash 1:8,9 2:8,9 3:8,9", "4:8,9 5:9,8", "6:8 7:9"},
		{"beside a part that is answered later", "crash 1:8,9 2:8,9 3:8,9; done 90:8", "4:8,9 5:9", "6:8 7:8,7"},
		{"beside different parts", "crash 1:8,9 2:7,9 3:6,9", "4:9 5:5,9", "6:8 7:7 8:6"},
		{"with sound requests on the same servers", "done 90:8,7; together 1:8,9 50:8,7 51:8,4; together 2:8,9 52:8,3; together 3:8,9 53:8,7", "4:8,9", "5:8,7 6:8,4 7:8,3"},
		{"a part with answers, many servers fail", "done 90:8; crash 1:8 2:8 3:8 4:8", "", "6:8"},
		{"a part with answers, a server that resets", "done 90:8; quick 1:8 2:8 3:8 4:8 5:8 6:8 7:8 8:8", "", "9:8"},
		{"a part that had answers", "done 90:9; crash 1:9 2:9 3:9 4:9 5:9", "7:9", "8:8"},
		{"answers in between", "crash 1:8 2:8; done 90:8; crash 3:8 4:8; done 91:8; crash 5:8 6:8", "", "7:8"},
		{"one request only", "crash 1:9 1:9 1:9", "1:9", "2:9"},
		{"one request, then another", "crash 1:9 1:9 2:9", "3:9", "4:8"},
		{"servers that end together", "together 1:9 2:9 3:9 4:9; together 5:9 6:9 7:9", "", "8:9"},
		{"two parts at once", "crash 1:9 2:6 3:9 4:6 5:9 6:6", "7:9 8:6 9:6,9", "10:8"},
		{"two parts at once, behind a common one", "done 90:8; crash 1:8,9 2:8,6 3:8,9 4:8,6 5:8,9 6:8,6", "7:8,9 8:8,6", "9:8 10:8,7"},
		{"items", "item 1:9 2:9 3:9", "4:9", "5:8"},
		{"an item and online requests", "item 1:9; crash 2:9 3:9", "4:9", "5:8"},
		{"silent servers that live", "silent 1:9 a; silent 2:9 b; silent 3:9 c", "", "4:9"},
		{"silent servers that crashed", "silent 1:9 a; silent 2:9 b; silent 3:9 c; end a; end b; end c", "4:9", "5:8"},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			h := newHistory(t)
			h.apply(x.steps)
			for _, q := range strings.Fields(x.refused) {
				if h.refused(q) == 0 {
					t.Errorf("request %s is not refused", q)
				}
			}
			for _, q := range strings.Fields(x.allowed) {
				if got := h.refused(q); got > 0 {
					t.Errorf("request %s is refused for %v, want allowed", q, got)
				}
			}
		})
	}
}

// TestTrial guards against a ban that outlasts its cause, and against trials that crash more than three servers.
func TestTrial(t *testing.T) {
	const banned = "crash 1:9 2:9 3:9; wait 3600; "
	tests := []struct {
		name, steps string
		verdict     guavapoison.Verdict
		want        time.Duration // remaining refusal of 9:9
	}{
		{"lapsed", banned, guavapoison.Try, 0},
		{"during the trial", banned + "shed 9:9", guavapoison.Refuse, 2 * time.Second},
		{"answered", banned + "done 9:9", guavapoison.Pass, 0},
		{"lost", banned + "try 9:9", guavapoison.Refuse, 4*time.Hour - time.Second},
		{"lost twice", banned + "try 9:9; wait 14400; try 8:9", guavapoison.Refuse, 16*time.Hour - time.Second},
		{"lost three times", banned + "try 9:9; wait 14400; try 8:9; wait 57600; try 7:9; wait 36000", guavapoison.Refuse, 14*time.Hour - time.Second},
		{"not executed", banned + "shed 9:9; wait 2; shed 9:9; wait 2; shed 9:9; wait 2; shed 9:9; wait 2", guavapoison.Try, 0},
		{"a part that had answers", "done 90:9; crash 1:9 2:9 3:9 4:9 5:9; wait 2", guavapoison.Try, 0},
		{"a part that had answers, lost", "done 90:9; crash 1:9 2:9 3:9 4:9 5:9; wait 2; try 9:9", guavapoison.Refuse, 7 * time.Second},
		{"a part that had answers, answered", "done 90:9; crash 1:9 2:9 3:9 4:9 5:9; wait 2; done 9:9", guavapoison.Pass, 0},
		{"not confirmed", "run 1:9 a; run 2:9 b; run 3:9 c; wait 10", guavapoison.Try, 0},
		{"not confirmed, answered", "run 1:9 a; run 2:9 b; run 3:9 c; wait 10; done 9:9", guavapoison.Pass, 0},
		{"not confirmed, lost", "run 1:9 a; run 2:9 b; run 3:9 c; wait 10; try 9:9", guavapoison.Refuse, 39 * time.Second},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			h := newHistory(t)
			h.apply(x.steps)
			content, parts := h.request("9:9")
			v, got := h.tracker.Check(h.now, content, parts)
			if v != x.verdict || got != x.want {
				t.Errorf("got verdict %s and refusal for %v, want %s and %v", v, got, x.verdict, x.want)
			}
		})
	}
}

// TestOnlyOneTrial guards against several requests that are sent at once when a ban lapses.
func TestOnlyOneTrial(t *testing.T) {
	h := newHistory(t)
	h.apply("crash 1:9 2:9 3:9; wait 3600")
	h.tracker.BeginTrial(h.now, 4, []uint64{9})
	if v, remaining := h.tracker.Check(h.now, 5, []uint64{9}); v != guavapoison.Refuse || remaining == 0 {
		t.Errorf("second request: got verdict %s and %v, want refuse and more than 0", v, remaining)
	}
}

// TestMergeBans guards against VMs that do not know, or do not adopt, what another one has found, and against an old state
// that replaces a newer one.
func TestMergeBans(t *testing.T) {
	h, other := newHistory(t), newHistory(t)
	h.apply("crash 1:8,9 2:8,9 3:8,9")
	first := h.tracker.TakeChanges()
	if got := other.tracker.Merge(h.now, first); len(got) == 0 {
		t.Error("a new ban is not adopted")
	}
	if got := other.tracker.Merge(h.now, first); len(got) > 0 {
		t.Errorf("the same state is adopted again: %+v", got)
	}
	other.now = h.now
	if other.refused("4:8,9") == 0 || other.refused("5:8") > 0 {
		t.Error("the other VM does not refuse the request with both parts, or one with one of them")
	}
	h.apply("wait 1; done 90:8")
	other.tracker.Merge(h.now, h.tracker.TakeChanges())
	other.tracker.Merge(h.now, first)
	other.now = h.now
	if other.refused("6:9") == 0 || other.refused("7:8") > 0 {
		t.Error("the other VM does not refuse requests with the remaining part, or one without it")
	}
	sort := cmp.Transformer("byID", func(list []guavapoison.Ban) map[uint64]guavapoison.Ban {
		byID := map[uint64]guavapoison.Ban{}
		for _, b := range list {
			byID[b.ID()] = b
		}
		return byID
	})
	if diff := cmp.Diff(h.tracker.Bans(), other.tracker.Bans(), sort); diff != "" {
		t.Errorf("bans differ (-this +other):\n%s", diff)
	}
	if got := other.tracker.TakeChanges(); len(got) > 0 {
		t.Errorf("adopted bans count as own changes: %+v", got)
	}
	other.tracker.Lift(other.now, 9)
	if other.refused("8:9") > 0 {
		t.Error("a ban that an operator has lifted refuses a request")
	}
}

// TestBanOfKnownPart guards against a ban of an hour of a part that most requests have, from a VM that was started lately and
// has not seen it answered.
func TestBanOfKnownPart(t *testing.T) {
	started, known := newHistory(t), newHistory(t)
	known.apply("done 90:8")
	started.apply("crash 1:8 2:8 3:8")
	known.now = started.now
	known.tracker.Merge(known.now, started.tracker.TakeChanges())
	shortened := known.tracker.TakeChanges()
	if len(shortened) == 0 {
		t.Fatal("the VM that knows the part changes nothing")
	}
	if got := known.refused("4:8"); got > 2*time.Second {
		t.Errorf("the VM that knows the part refuses it for %v, want at most 2s", got)
	}
	started.tracker.Merge(started.now, shortened)
	if got := started.refused("4:8"); got > 2*time.Second {
		t.Errorf("the VM that found it refuses it for %v, want at most 2s", got)
	}
}

// TestMergeInvalidBans guards against rows and messages of other writers that refuse requests without the banned traits.
func TestMergeInvalidBans(t *testing.T) {
	tracker := guavapoison.NewCrashTracker()
	for _, traits := range [][]uint64{nil, {0}, {1, 0}, make([]uint64, 100)} {
		if got := tracker.Merge(epoch, []guavapoison.Ban{{Traits: traits, Until: epoch.Add(time.Hour), Changed: epoch}}); len(got) > 0 {
			t.Errorf("ban with traits %v is adopted", traits)
		}
	}
}

// TestCrashTrackerIsBounded guards against memory that grows with the number of lost runs or bans, and against lost runs
// of many requests that keep the tracker from finding the cause of further ones.
func TestCrashTrackerIsBounded(t *testing.T) {
	const maxSuspects, maxBans = 2000, 500
	h := newHistory(t)
	for n := range uint64(maxSuspects) {
		h.tracker.RecordLost(h.now, guavapoison.Run{ID: fmt.Sprint(n), Server: "a", Began: h.now, Content: 10000 + n}, false)
	}
	h.apply("crash 1:9 2:9 3:9")
	if n := h.tracker.Suspects(); n > maxSuspects {
		t.Errorf("%d suspects, want at most %d", n, maxSuspects)
	}
	if h.refused("4:9") == 0 {
		t.Error("a part is not banned beside many other lost runs")
	}
	for n := range uint64(maxBans + 1) {
		part := []uint64{20000 + n}
		for k := range uint64(3) {
			r := h.run("1", "b")
			r.Content, r.Parts = 30000+k, part
			h.now = h.now.Add(time.Second)
			h.tracker.RecordLost(h.now, r, false)
			h.tracker.ServerEnded(h.now, "b")
		}
	}
	if n := len(h.tracker.Bans()); n > maxBans {
		t.Errorf("%d bans, want at most %d", n, maxBans)
	}
	if v, _ := h.tracker.Check(h.now, 1, []uint64{20000 + maxBans}); v != guavapoison.Refuse {
		t.Errorf("the newest ban: got verdict %s, want refuse", v)
	}
}

// TestSilentThenLost guards against counting one run twice when its server is silent first and breaks off then.
func TestSilentThenLost(t *testing.T) {
	h := newHistory(t)
	for range 2 {
		r := h.run("1", "a")
		h.now = h.now.Add(time.Second)
		h.tracker.RecordLost(h.now, r, true)
		h.now = h.now.Add(time.Second)
		h.tracker.RecordLost(h.now, r, false)
	}
	if got := h.refused("1"); got != 0 {
		t.Errorf("refused for %v after two runs, want 0", got)
	}
	h.apply("run 1 b")
	if h.refused("1") == 0 {
		t.Error("not refused after three runs")
	}
}

// TestSum guards against different requests with the same identifier.
func TestSum(t *testing.T) {
	a, b := guavapoison.NewFingerprint("r", []byte("a")), guavapoison.NewFingerprint("r", []byte("b"))
	if a.Sum() == 0 || a.Sum() == b.Sum() || a.Sum() != guavapoison.NewFingerprint("r", []byte("a")).Sum() {
		t.Errorf("got sums %x and %x, want different and repeatable ones", a.Sum(), b.Sum())
	}
	if got := guavapoison.Fingerprint("").Sum(); got != 0 {
		t.Errorf("got sum %x of an empty fingerprint, want 0", got)
	}
}

// TestPartTraits guards against parts that are taken for others, and against requests with thousands of them.
func TestPartTraits(t *testing.T) {
	got := guavapoison.PartTraits([]string{"aa", "bb", "aa"})
	if len(got) != 3 || got[0] != got[2] || got[0] == got[1] || slices.Contains(got, 0) {
		t.Errorf("got %x, want the same identifier for equal parts only", got)
	}
	if n := len(guavapoison.PartTraits(make([]string, 1000))); n != 64 {
		t.Errorf("got %d identifiers of 1000 parts, want 64", n)
	}
}
