package guavaload

import (
	"context"
	"sync"
	"time"
)

// Run makes each call of the plan at its scheduled time and waits for all responses. It starts no more calls once ctx
// ends.
func Run(ctx context.Context, p Plan) Report {
	c := newCaller(p)
	defer c.client.CloseIdleConnections()
	var (
		wg sync.WaitGroup
		mu sync.Mutex
	)
	r := newRecorder(p)
	start := time.Now()
	for _, a := range schedule(p) {
		scheduled := start.Add(a.offset)
		if !waitUntil(ctx, scheduled) {
			break
		}
		wg.Go(func() {
			o := c.call(a, scheduled)
			mu.Lock()
			defer mu.Unlock()
			r.add(o)
		})
	}
	wg.Wait()
	return r.report(time.Since(start))
}

func waitUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
