// Package guavaretry decides whether an attempt may be repeated.
package guavaretry

// Execution says whether a request ran on a backend server.
type Execution string

// The values of Ran, as reported to callers.
const (
	// NotExecuted means that the request certainly did not run.
	NotExecuted Execution = "none"
	// ExecutionUnknown means that the request may have run.
	ExecutionUnknown Execution = "unknown"
	// Executed means that the request ran to its end.
	Executed Execution = "done"
)
