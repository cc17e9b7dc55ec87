package guavaconfig_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"guavaridge/core/guavaconfig"
)

// TestMain sets a fixed seed, so that runs are reproducible; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// history returns n changes and the snapshots after them. Each change sets the rates of the accounts and removes or
// adds some of them.
func history(t testing.TB, n int) ([]guavaconfig.Change, []*guavaconfig.Snapshot) {
	t.Helper()
	snapshots := []*guavaconfig.Snapshot{guavaconfig.NewSnapshot(0, guavaconfig.Declarations{})}
	changes := make([]guavaconfig.Change, 0, n)
	for v := 1; v <= n; v++ {
		before := snapshots[v-1].Declarations()
		after := guavaconfig.Declarations{}
		for i := range 3 {
			if v%7 != i {
				after.Accounts = append(after.Accounts, guavaconfig.ClientAccount{Name: fmt.Sprint("a", i), Rate: float64(v), Burst: 1, Weight: 1})
			}
		}
		e := guavaconfig.Entry{Version: uint64(v), Operation: fmt.Sprint("op", v), Edits: guavaconfig.NewDelta(before, after)}
		s, err := snapshots[v-1].Apply(e)
		if err != nil {
			t.Fatal(err)
		}
		changes, snapshots = append(changes, e.Change()), append(snapshots, s)
	}
	return changes, snapshots
}

// TestHolder guards against versions that go back or are skipped, and against notifications out of order, when changes
// and snapshots arrive repeatedly and in any order.
func TestHolder(t *testing.T) {
	changes, snapshots := history(t, 40)
	rapid.Check(t, func(t *rapid.T) {
		h := guavaconfig.NewHolder()
		model, notified := uint64(0), uint64(0)
		h.Subscribe(func(s *guavaconfig.Snapshot) {
			if s.Version() <= notified || h.Snapshot() != s {
				t.Fatalf("notified of version %d after %d, head %d", s.Version(), notified, h.Head())
			}
			notified = s.Version()
		})
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				from := rapid.IntRange(0, len(changes)-1).Draw(t, "from")
				to := rapid.IntRange(from+1, min(from+5, len(changes))).Draw(t, "to")
				err := h.Accept(changes[from:to])
				switch {
				case uint64(from) > model:
					if !errors.Is(err, guavaconfig.ErrGap) {
						t.Fatalf("changes after %d accepted at version %d: got %v, want ErrGap", from, model, err)
					}
				case err != nil:
					t.Fatal(err)
				default:
					model = max(model, uint64(to))
				}
			},
			"load": func(t *rapid.T) {
				v := rapid.IntRange(0, len(changes)).Draw(t, "version")
				s, err := guavaconfig.DecodeSnapshot(snapshots[v].Encode())
				if err != nil {
					t.Fatal(err)
				}
				if got, want := h.Load(s), uint64(v) > model; got != want {
					t.Fatalf("load of version %d at version %d: got %v", v, model, got)
				}
				model = max(model, uint64(v))
			},
			"": func(t *rapid.T) {
				if h.Head() != model || notified != model {
					t.Fatalf("head %d, notified %d, want %d", h.Head(), notified, model)
				}
				if diff := cmp.Diff(snapshots[model].Declarations(), h.Snapshot().Declarations()); diff != "" {
					t.Fatal(diff)
				}
				from := rapid.IntRange(0, int(model)).Draw(t, "after")
				list, ok := h.After(uint64(from), 4)
				if !ok {
					return
				}
				if diff := cmp.Diff(changes[from:min(from+4, int(model))], list, cmpopts.EquateEmpty()); diff != "" {
					t.Fatal(diff)
				}
			},
		})
	})
}

// TestHolderBounds guards against unbounded memory use by cached changes.
func TestHolderBounds(t *testing.T) {
	small := guavaconfig.NewHolder()
	for v := uint64(1); v <= 1100; v++ {
		if err := small.Accept([]guavaconfig.Change{guavaconfig.Entry{Version: v}.Change()}); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := small.After(99, 1); ok {
		t.Error("got more than 1,000 small changes held")
	}
	if list, ok := small.After(100, 1); !ok || list[0].Version != 101 {
		t.Errorf("got %v, %v; want the last 1,000 changes to be held", list, ok)
	}

	h := guavaconfig.NewHolder()
	reason := strings.Repeat("x", 64<<10)
	for v := uint64(1); v <= 100; v++ {
		if err := h.Accept([]guavaconfig.Change{guavaconfig.Entry{Version: v, Reason: reason}.Change()}); err != nil {
			t.Fatal(err)
		}
	}
	bytes := 0
	for v := uint64(0); v < 100; v++ {
		list, ok := h.After(v, 1)
		if ok {
			bytes += len(list[0].Data)
		}
	}
	if bytes == 0 || bytes > 4<<20 {
		t.Errorf("recent changes hold %d bytes, want 1 to %d", bytes, 4<<20)
	}
	if _, ok := h.After(0, 1); ok {
		t.Error("the oldest change is still held")
	}
}

// TestAcceptInvalid guards against applying a change that does not match the declarations or its version number.
func TestAcceptInvalid(t *testing.T) {
	removal := guavaconfig.Entry{Version: 1, Edits: guavaconfig.Delta{{Kind: guavaconfig.KindModel, Name: "m", Before: []byte(`{}`)}}}
	for name, c := range map[string]guavaconfig.Change{
		"removes a missing item":    removal.Change(),
		"other version in its data": {Version: 1, Data: []byte(`{"version":2}`)},
		"not JSON":                  {Version: 1, Data: []byte(`{`)},
	} {
		h := guavaconfig.NewHolder()
		if err := h.Accept([]guavaconfig.Change{c}); err == nil || h.Head() != 0 {
			t.Errorf("%s: got error %v and head %d, want an error and head 0", name, err, h.Head())
		}
	}
}

// TestDiff guards against diffs and redacted entries that contain the hash of a key.
func TestDiff(t *testing.T) {
	before := guavaconfig.Declarations{
		Accounts: []guavaconfig.ClientAccount{{Name: "a", Rate: 1, Burst: 1, Weight: 1}},
		Keys:     []guavaconfig.Key{{Name: "k1", Account: "a", Hash: "hash1"}, {Name: "k2", Account: "a", Hash: "hash2"}},
	}
	after := guavaconfig.Declarations{
		Accounts: []guavaconfig.ClientAccount{{Name: "a", Rate: 2, Burst: 1, Weight: 1, Routes: []string{"r"}}},
		Keys:     []guavaconfig.Key{{Name: "k1", Account: "a", Hash: "hash3"}},
		Models:   []guavaconfig.Model{{Name: "m", Version: "1"}},
	}
	want := `~ account a rate: 1 -> 2
~ account a routes: none -> ["r"]
~ key k1 rehashed: none -> true
- key k2 {"name":"k2","account":"a"}
+ model m {"name":"m","version":"1"}
`
	if diff := cmp.Diff(want, guavaconfig.Diff(before, after)); diff != "" {
		t.Error(diff)
	}
	e := guavaconfig.Entry{Version: 1, Edits: guavaconfig.NewDelta(before, after)}.Redacted()
	if text := string(e.Change().Data); strings.Contains(text, "hash1") || strings.Contains(text, "hash3") {
		t.Errorf("got a hash in the redacted entry: %s", text)
	}
}
