package guavaedge

import (
	"context"
	"iter"
	"time"
)

// every yields after each pause until ctx ends.
func every(ctx context.Context, pause time.Duration) iter.Seq[struct{}] {
	return func(yield func(struct{}) bool) {
		tick := time.NewTicker(pause)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
			if !yield(struct{}{}) {
				return
			}
		}
	}
}
