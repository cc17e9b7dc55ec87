// Package guavaretry decides whether a failed attempt of a request may be retried, and limits the rate of retries.
package guavaretry

// Execution states whether a request was executed by a backend server.
type Execution string

// The values of Execution, as reported to callers.
const (
	// NotExecuted means that the request was certainly not executed.
	NotExecuted Execution = "none"
	// ExecutionUnknown means that the request may have been executed, completely or in part.
	ExecutionUnknown Execution = "unknown"
	// Executed means that the request was executed completely.
	Executed Execution = "done"
)
