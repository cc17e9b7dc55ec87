package guavaretry

import "time"

// MaxAttempts is the largest number of attempts of one online request.
const MaxAttempts = 4

// Verdict says what may follow a failed attempt.
type Verdict string

// The verdicts of Decide.
const (
	// Retry allows the same request to be sent again. It draws on the budget.
	Retry Verdict = "repeat"
	// Resume allows a broken stream to continue behind the tokens that the caller already has.
	Resume Verdict = "resume"
	// StopExecuted forbids a second run of a request that may have run.
	StopExecuted Verdict = "ran"
	// StopAttempts means that the request has used all of its attempts.
	StopAttempts Verdict = "attempts"
	// StopDeadline means that another attempt cannot end in time.
	StopDeadline Verdict = "deadline"
	// StopBudget means that the VM's retry budget is spent.
	StopBudget Verdict = "budget"
)

// Failure describes a failed attempt and what is left for another one.
type Failure struct {
	Ran Execution
	// Idempotent requests may run again.
	Idempotent bool
	// Resumable streams can continue on another server.
	Resumable bool
	// Tokens is the number of stream tokens that the caller already has.
	Tokens int
	// Attempts is the number of attempts made.
	Attempts int
	// Left is the time to the deadline, and Expected the predicted time of another attempt.
	Left, Expected time.Duration
}

// Decide returns whether another attempt may follow. It withdraws from the budget only for Repeat.
//
// A resumed stream is exempt from the budget: the rest of its work was admitted before its server died and left that
// server with it, so resuming adds only the prefill. A crash of a server with many streams would otherwise spend the
// budget and cut off the remaining callers.
func Decide(f Failure, b *Budget) Verdict {
	switch {
	case f.Attempts >= MaxAttempts:
		return StopAttempts
	case f.Left <= 0 || f.Expected > f.Left:
		return StopDeadline
	case f.Tokens > 0 && f.Resumable:
		return Resume
	case f.Tokens > 0, f.Ran == Executed, f.Ran == ExecutionUnknown && !f.Idempotent:
		return StopExecuted
	case !b.Withdraw():
		return StopBudget
	}
	return Retry
}
