package guavalimit

import (
	"strconv"
	"time"

	"guavaridge/core/guavamember"
)

// TokenRequest requests tokens of one account from a pool. It can also report spent tokens or return unused ones.
type TokenRequest struct {
	Account string
	// Sequence increases with each request of a requester. The pool ignores requests that arrive out of order.
	Sequence uint64
	// Held is the number of unexpired tokens that the requester has from this pool.
	Held float64
	// Need is the number of tokens that waiting client requests can use at once. Want adds those expected soon.
	Need, Want int
	// Part is the largest fraction of a token that the requester can use if no whole token is available. It combines
	// fractions from several pools into one token.
	Part float64
	// Returned is the number of tokens from this pool that the requester returns unused.
	Returned float64
}

// Grant is a pool's response to a TokenRequest.
type Grant struct {
	// Amount is a whole number of tokens, or a fraction of one.
	Amount float64
	// Wait is the time after which the next request makes sense.
	Wait time.Duration
	// Report tells the requester to send a request without need once the tokens are spent, because unreported tokens
	// block the refill of a small bucket.
	Report bool
	// Left is the number of tokens that the pool can still grant, and Rate its refill in tokens/s.
	Left, Rate float64
}

// ProcessName returns a name for a process that differs from those of earlier processes on the same VM. Loans and
// tokens are tracked by it.
func ProcessName(id guavamember.Identity) string {
	return id.Name + "#" + strconv.FormatUint(id.Incarnation, 36)
}
