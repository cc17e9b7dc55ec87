package guavacalls_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/io/guavacalls"
	"guavaridge/io/guavaplatform"
)

// failing is a store whose reads return err after 30 ms.
type failing struct {
	guavacalls.Store
	err error
}

// Read implements guavaplatform.Table.
func (f failing) Read(context.Context, string) (guavaplatform.Row, error) {
	time.Sleep(30 * time.Millisecond)
	return guavaplatform.Row{}, f.err
}

// TestCallsAreRecorded guards against calls that are missing from the metrics, and against an unbounded number of
// results.
func TestCallsAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []string
		for _, err := range []error{
			nil,
			fmt.Errorf("read a: %w", guavaplatform.ErrUnavailable),
			fmt.Errorf("read b: %w", guavaplatform.ErrAbsent),
			context.DeadlineExceeded,
			fmt.Errorf("row 17 is corrupt"),
		} {
			s := guavacalls.New(failing{err: err}, func(kind, result string, duration time.Duration) {
				got = append(got, fmt.Sprint(kind, " ", result, " ", duration))
			})
			if _, returned := s.Read(t.Context(), "k"); returned != err { //nolint:errorlint // the same error
				t.Errorf("got error %v, want %v", returned, err)
			}
		}
		want := []string{"read ok 30ms", "read unavailable 30ms", "read absent 30ms", "read timeout 30ms", "read error 30ms"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("records (-want +got):\n%s", diff)
		}
	})
}
