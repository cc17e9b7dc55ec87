package guavaedge

import (
	"context"
	"iter"
	"time"
)

// every yields at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration) iter.Seq[struct{}] {
	return func(yield func(struct{}) bool) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			if !yield(struct{}{}) {
				return
			}
		}
	}
}
