package guavaretry

import "time"

// MaxAttempts is the maximum number of attempts of one online request, including the first.
const MaxAttempts = 4

// Verdict is the decision on whether and how a request continues after a failed attempt.
type Verdict string

// The verdicts of Decide.
const (
	// Retry allows the same request to be sent again, and counts against the retry budget.
	Retry Verdict = "repeat"
	// Resume allows an interrupted stream to be continued after the tokens that the caller has already received.
	Resume Verdict = "resume"
	// StopExecuted forbids a retry because the request was or may have been executed.
	StopExecuted Verdict = "ran"
	// StopAttempts means that MaxAttempts attempts have been made.
	StopAttempts Verdict = "attempts"
	// StopDeadline means that another attempt is not expected to end before the deadline.
	StopDeadline Verdict = "deadline"
	// StopBudget means that the VM's retry budget is exhausted.
	StopBudget Verdict = "budget"
)

// Failure describes a failed attempt and the conditions for another one.
type Failure struct {
	// Ran states whether any attempt so far was executed.
	Ran Execution
	// Idempotent is true when the request may be executed more than once.
	Idempotent bool
	// Resumable is true when the stream can be continued on another server.
	Resumable bool
	// Tokens is the number of stream tokens that the caller has already received.
	Tokens int
	// Attempts is the number of attempts made so far.
	Attempts int
	// Left is the time remaining until the deadline, and Expected the predicted duration of another attempt.
	Left, Expected time.Duration
}

// Decide returns whether another attempt may follow a failed one. It withdraws from the budget only for Retry.
//
// Resuming a stream does not count against the budget. Its remaining work was admitted before the server failed and is
// no longer done there, so resuming adds only the prefill. Otherwise the crash of a server with many streams would
// exhaust the budget, and the callers of the remaining streams would lose theirs.
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
