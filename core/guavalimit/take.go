package guavalimit

import (
	"strconv"
	"time"

	"guavaridge/core/guavamember"
)

// TokenRequest asks a pool for tokens of one account.
type TokenRequest struct {
	Account string
	// Sequence increases with each take of a taker. The pool ignores takes that arrive out of order.
	Sequence uint64
	// Held are the unexpired tokens that the taker has from this pool.
	Held float64
	// Need are the tokens that waiting requests can use at once; Want includes those expected soon.
	Need, Want int
	// Part is the most of a token that the taker can use if there is no whole one: it makes up one from several pools.
	Part float64
	// Returned are tokens from this pool that the taker gives back.
	Returned float64
}

// Grant is a pool's answer to a take.
type Grant struct {
	// Amount is a whole number of tokens, or a part of one.
	Amount float64
	// Wait is the time after which a next take makes sense.
	Wait time.Duration
	// Report asks the taker for a take without need once the tokens are spent, because unreported tokens hold
	// back the refill of a small bucket.
	Report bool
	// Left is what the pool could still grant, and Rate its refill in tokens per second.
	Left, Rate float64
}

// ProcessName returns the name under which loans and tokens of one process are kept apart from those of an earlier
// process on the same VM.
func ProcessName(id guavamember.Identity) string {
	return id.Name + "#" + strconv.FormatUint(id.Incarnation, 36)
}
