package guavaevent_test

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaevent"
)

// FuzzSplit guards against events that depend on how the bytes of a stream are cut into reads, against bytes that are
// lost or added, and against input that never ends an event but is not counted as pending.
func FuzzSplit(f *testing.F) {
	for _, s := range []string{
		"id: 0\ndata: a\n\nid: 1\ndata: b\n\n", "id: 0\r\ndata: a\r\n\r\nid: 1", "data: a\ndata: b\n\n\n\n", "\n\n\n", "id: -1\n\n",
		"id: 99999999999999999999\n\n", "data\n\n", "id: 0\ndata: \x00\xff\n\r\n\n",
	} {
		f.Add([]byte(s), 1)
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		read := func(size int) (raw []string, ids []int, rest string) {
			var s guavaevent.Splitter
			for left := stream; len(left) > 0; {
				n := min(size, len(left))
				s.Write(left[:n])
				left = left[n:]
				for {
					e, ok := s.Next()
					if !ok {
						break
					}
					raw, ids = append(raw, string(e.Raw)), append(ids, e.ID)
				}
			}
			if s.Pending() != len(s.Rest()) {
				t.Errorf("%d bytes pending, the rest has %d", s.Pending(), len(s.Rest()))
			}
			return raw, ids, string(s.Rest())
		}
		raw, ids, rest := read(max(len(stream), 1))
		var all bytes.Buffer
		for _, e := range raw {
			all.WriteString(e)
		}
		all.WriteString(rest)
		if !bytes.Equal(all.Bytes(), stream) {
			t.Errorf("events and rest are %q, want the stream %q", all.Bytes(), stream)
		}
		cut, cutIDs, cutRest := read(1 + max(size, -size)%7)
		if diff := cmp.Diff([]any{raw, ids, rest}, []any{cut, cutIDs, cutRest}); diff != "" {
			t.Errorf("events of %q differ by the size of reads (-whole +cut):\n%s", stream, diff)
		}
	})
}
