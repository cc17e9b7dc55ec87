package guavaview_test

import (
	"bytes"
	"testing"

	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavaview"
)

// FuzzPatch guards against a patch that does not restore the value that it was made of, and against a crash by a patch
// for another value.
func FuzzPatch(f *testing.F) {
	f.Add([]byte("0123456789abcdef0123456789abcdef"), []byte("0123456789abcdef!0123456789abcdef"), 3, 5)
	f.Add([]byte{}, []byte("new"), 0, 1)
	f.Add(bytes.Repeat([]byte("x"), 40), bytes.Repeat([]byte("x"), 50), -1, 1<<40)
	// The search for the longest match is at its slowest for a value that repeats the same bytes.
	f.Add(bytes.Repeat([]byte("x"), 48_000), bytes.Repeat([]byte("xxxxxxxxxxxxxxxxy"), 2_800), 0, 1)
	f.Fuzz(func(t *testing.T, base, value []byte, from, length int) {
		old := guavaplatform.Row{Key: "k", Value: base, Revision: 1}
		p := guavaview.NewPatch(old, guavaplatform.RowChange{Row: guavaplatform.Row{Key: "k", Value: value, Revision: 2}})
		if c, ok := p.Apply(old); !ok || !bytes.Equal(c.Value, value) {
			t.Errorf("patch from %q gives %q, %t, want %q", base, c.Value, ok, value)
		}
		p.Pieces = append(p.Pieces, guavaview.Piece{From: from, Length: length})
		if c, ok := p.Apply(old); ok && len(c.Value) > len(value)+len(base) {
			t.Errorf("a foreign piece (%d, %d) of %d bytes gives %d bytes", from, length, len(base), len(c.Value))
		}
	})
}
