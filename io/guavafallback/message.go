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

// request asks another VM to make a call to the store.
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

// reply is the outcome of the call.
type reply struct {
	Number   uint64
	Outcome  outcome
	Revision uint64
	Rows     []guavaplatform.Row
	Body     []byte
}

// outcome names the errors that callers of the store tell apart.
type outcome string

const (
	fine        outcome = ""
	absent      outcome = "absent"
	conflict    outcome = "conflict"
	unavailable outcome = "unavailable"
	unknown     outcome = "unknown"
)

var outcomes = map[outcome]error{
	absent: guavaplatform.ErrAbsent, conflict: guavaplatform.ErrConflict,
	unavailable: guavaplatform.ErrUnavailable, unknown: guavaplatform.ErrUnknown,
}

func outcomeOf(err error) outcome {
	if err == nil {
		return fine
	}
	for _, o := range [...]outcome{absent, conflict, unavailable} {
		if errors.Is(err, outcomes[o]) {
			return o
		}
	}
	return unknown
}

func init() { //nolint:gochecknoinits // gob wants types of interface values registered before their first use
	gob.Register(request{})
	gob.Register(reply{})
}
