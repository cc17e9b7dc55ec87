// Package guavalimit decides how much of its fleet-wide rate a client account may use on each VM.
package guavalimit

import (
	"context"
	"time"
)

// Limiter limits the request rate of client accounts.
type Limiter interface {
	// Take takes one token of a client account. If none is available before ctx ends, ok is false and wait is the time
	// after which the caller should retry.
	Take(ctx context.Context, account string) (ok bool, wait time.Duration)
}
