package guavafallback

import (
	"encoding/gob"
	"errors"

	"guavaridge/io/guavaplatform"
)

type operation string

const (
	opCommit operation = "commit"
	opRead   operation = "read"
	opScan   operation = "scan"
	opPut    operation = "put"
	opGet    operation = "get"
)

// request is a store call to be made by another VM.
type request struct {
	Number    uint64
	Operation operation
	Key       string
	After     string
	Limit     int
	Checks    []guavaplatform.Check
	Writes    []guavaplatform.Write
	Body      []byte
}

// reply is the result of a request.
type reply struct {
	Number   uint64
	Outcome  outcome
	Revision uint64
	Rows     []guavaplatform.Row
	Body     []byte
}

// outcome identifies an error of the store that its callers distinguish. It is empty for success.
type outcome string

const (
	success     outcome = ""
	absent      outcome = "absent"
	conflict    outcome = "conflict"
	unavailable outcome = "unavailable"
	unknown     outcome = "unknown"
)

var outcomeErrors = map[outcome]error{
	absent: guavaplatform.ErrAbsent, conflict: guavaplatform.ErrConflict,
	unavailable: guavaplatform.ErrUnavailable, unknown: guavaplatform.ErrUnknown,
}

func outcomeOf(err error) outcome {
	if err == nil {
		return success
	}
	for _, o := range [...]outcome{absent, conflict, unavailable} {
		if errors.Is(err, outcomeErrors[o]) {
			return o
		}
	}
	return unknown
}

func init() { //nolint:gochecknoinits // gob wants types of interface values registered before their first use
	gob.Register(request{})
	gob.Register(reply{})
}
