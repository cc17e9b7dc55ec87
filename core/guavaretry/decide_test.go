package guavaretry_test

import (
	"testing"
	"time"

	"guavaridge/core/guavaretry"
)

// TestDecide guards against second runs of what may have run, attempts that cannot end in time, endless attempts,
// and a spent budget that is ignored.
func TestDecide(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name  string
		f     guavaretry.Failure
		spent bool
		want  guavaretry.Verdict
	}{
		{"not run", guavaretry.Failure{Ran: guavaretry.NotExecuted, Attempts: 1, Left: s}, false, guavaretry.Retry},
		{"may have run", guavaretry.Failure{Ran: guavaretry.ExecutionUnknown, Attempts: 1, Left: s}, false, guavaretry.StopExecuted},
		{"may have run, idempotent", guavaretry.Failure{Ran: guavaretry.ExecutionUnknown, Idempotent: true, Attempts: 1, Left: s}, false, guavaretry.Retry},
		{"ran, idempotent", guavaretry.Failure{Ran: guavaretry.Executed, Idempotent: true, Attempts: 1, Left: s}, false, guavaretry.StopExecuted},
		{"broken stream", guavaretry.Failure{Ran: guavaretry.ExecutionUnknown, Tokens: 3, Resumable: true, Attempts: 1, Left: s}, false, guavaretry.Resume},
		{"broken stream, budget spent", guavaretry.Failure{Ran: guavaretry.ExecutionUnknown, Tokens: 3, Resumable: true, Attempts: 1, Left: s}, true, guavaretry.Resume},
		{"broken stream that cannot resume", guavaretry.Failure{Ran: guavaretry.ExecutionUnknown, Idempotent: true, Tokens: 3, Attempts: 1, Left: s}, false, guavaretry.StopExecuted},
		{"budget spent", guavaretry.Failure{Ran: guavaretry.NotExecuted, Attempts: 1, Left: s}, true, guavaretry.StopBudget},
		{"too late", guavaretry.Failure{Ran: guavaretry.NotExecuted, Attempts: 1, Left: s, Expected: 2 * s}, false, guavaretry.StopDeadline},
		{"too late to resume", guavaretry.Failure{Tokens: 3, Resumable: true, Attempts: 1}, false, guavaretry.StopDeadline},
		{"last attempt", guavaretry.Failure{Ran: guavaretry.NotExecuted, Attempts: guavaretry.MaxAttempts, Left: s}, false, guavaretry.StopAttempts},
	}
	for _, tt := range tests {
		reserve := 1.0
		if tt.spent {
			reserve = 0
		}
		if got := guavaretry.Decide(tt.f, guavaretry.NewBudget(0.1, reserve)); got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}

// TestBudget guards against retries above a tenth of the traffic, also after a quiet time, and against a budget that
// gives less than it owes.
func TestBudget(t *testing.T) {
	b := guavaretry.NewBudget(0.1, 5)
	granted := 0
	for range 1000 {
		b.Deposit()
		for range 3 {
			if b.Withdraw() {
				granted++
			}
		}
	}
	if granted != 104 {
		t.Errorf("granted %d retries for 1000 requests, want a tenth + 5 − 1", granted)
	}
	for range 1000 {
		b.Deposit()
	}
	for granted = 0; b.Withdraw(); granted++ {
	}
	if granted != 5 {
		t.Errorf("a quiet time saved up %d retries, want 5", granted)
	}
}
