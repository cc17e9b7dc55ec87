package guavadispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavaplatform"
)

const (
	// claimTimeout limits a read or commit of an intent. During the commit the request occupies its admission.
	claimTimeout = 3 * time.Second
	// initialBackoff is the first wait between attempts to write or read back; it doubles up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// A retried call that finds the first one still running reads the intent lookupAttempts times, lookupInterval
	// apart, because the first result may be about to be recorded.
	lookupAttempts = 3
	lookupInterval = 250 * time.Millisecond
	// maxRecordedBytes is the size of the largest body that is recorded with a result.
	maxRecordedBytes = 256 << 10
)

// intent is the stored record of a non-idempotent call, written before the call is sent.
type intent struct {
	// Operation identifies the execution of the call that wrote the row.
	Operation string `json:"operation"`
	// Fingerprint is that of the request. It detects a caller that reuses the key for a different request.
	Fingerprint string `json:"print"`
	// ClaimedAt is the Unix time of the claim in milliseconds.
	ClaimedAt int64 `json:"at"`
	// State is "sent" from the claim on, and "done" or "unknown" once the call has ended.
	State  string            `json:"state"`
	Status int               `json:"status,omitempty"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// BodyOmitted is true when the result was too large to record.
	BodyOmitted bool `json:"cut,omitempty"`
}

const (
	intentSent    = "sent"
	intentDone    = "done"
	intentUnknown = "unknown"
)

// intentLog records non-idempotent calls in the platform's table.
type intentLog struct {
	table         guavaplatform.Table
	log           hclog.Logger
	recordTimeout time.Duration
	running       *workCounter
	mu            sync.Mutex
	// unsettled holds this VM's claims, by row key, until the table has their result.
	unsettled map[string]*intent
}

func newIntentLog(table guavaplatform.Table, log hclog.Logger, recordTimeout time.Duration, running *workCounter) *intentLog {
	return &intentLog{table: table, log: log, recordTimeout: recordTimeout, running: running, unsettled: map[string]*intent{}}
}

func intentKey(c *call) string {
	sum := sha256.Sum256([]byte(c.IdempotencyKey))
	account := c.Account
	if account == "" {
		account = "-"
	}
	return "intent/" + account + "/" + hex.EncodeToString(sum[:16])
}

func (t *intentLog) unsettledClaim(key string) (intent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if in := t.unsettled[key]; in != nil {
		return *in, true
	}
	return intent{}, false
}

func (t *intentLog) setUnsettled(key string, in *intent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if in == nil {
		delete(t.unsettled, key)
		return
	}
	t.unsettled[key] = in
}

// lookup looks for an earlier call with the same key. It returns the recorded result, or an error when the outcome is
// unknown; found is false when there was no earlier call.
func (t *intentLog) lookup(ctx context.Context, c *call) (response guavaback.Response, found bool, err error) {
	key := intentKey(c)
	for attempt := 1; ; attempt++ {
		in, ok := t.unsettledClaim(key)
		if !ok {
			if in, ok, err = t.readIntent(ctx, key); err != nil {
				return response, false, c.newError(503, "intent_unavailable", time.Second, errors.Newf("read intent: %w", err))
			}
		}
		switch {
		case !ok:
			return response, false, nil
		case in.Fingerprint != string(c.fingerprint):
			return response, true, c.newError(422, "idempotency_mismatch", 0, errors.New("the Idempotency-Key was used for another request"))
		case in.State == intentDone:
			return t.replay(c, in)
		case in.State == intentUnknown || attempt == lookupAttempts:
			return response, true, t.outcomeUnknown(c)
		}
		select {
		case <-ctx.Done():
			return response, true, t.outcomeUnknown(c)
		case <-time.After(lookupInterval):
		}
	}
}

func (t *intentLog) outcomeUnknown(c *call) *Error {
	c.execution = guavaretry.ExecutionUnknown
	return c.newError(409, "outcome_unknown", time.Second, errors.New("an earlier request with this Idempotency-Key has no known result"))
}

// replay returns the recorded result, and sends the recorded events to the caller if it is a stream.
func (t *intentLog) replay(c *call, in intent) (guavaback.Response, bool, error) {
	if in.BodyOmitted {
		c.execution = guavaretry.Executed
		return guavaback.Response{}, true, c.newError(409, "result_too_large", 0, errors.New("the request ran, and its result was too large to keep"))
	}
	response := guavaback.Response{Status: in.Status, Header: in.Header, Body: in.Body}
	if !c.Stream || in.Status >= 400 {
		return response, true, nil
	}
	var events [][]byte
	if err := json.Unmarshal(in.Body, &events); err != nil {
		return guavaback.Response{}, true, c.newError(500, "internal", 0, errors.Newf("parse recorded events: %w", err))
	}
	sink := c.output.newAttemptSink(false, func(time.Duration) {})
	if err := sink.Head(in.Status, in.Header); err != nil {
		return guavaback.Response{}, true, c.newError(499, "caller_gone", 0, err)
	}
	for _, e := range events {
		if err := sink.Event(e); err != nil {
			return guavaback.Response{}, true, c.newError(499, "caller_gone", 0, err)
		}
	}
	response.Body, response.Tokens = nil, c.output.tokenCount()
	return response, true, nil
}

// readIntent returns the intent of a key, and false when there is none.
func (t *intentLog) readIntent(ctx context.Context, key string) (intent, bool, error) {
	in, _, ok, err := t.readRow(ctx, key)
	return in, ok, err
}

func (t *intentLog) readRow(ctx context.Context, key string) (in intent, revision uint64, ok bool, err error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row, err := t.table.Read(timeoutCtx, key)
	if errors.Is(err, guavaplatform.ErrAbsent) {
		return in, 0, false, nil
	}
	if err != nil {
		return in, 0, false, errors.Newf("read %s: %w", key, err)
	}
	if err := json.Unmarshal(row.Value, &in); err != nil {
		return in, 0, false, errors.Newf("parse %s: %w", key, err)
	}
	return in, row.Revision, true, nil
}

// claim commits the intent before the call is sent. found is true when another call with this key has claimed it first
// or the claim has failed.
func (t *intentLog) claim(ctx context.Context, c *call) (response guavaback.Response, found bool, err error) {
	key := intentKey(c)
	in := &intent{Operation: randomID(16), Fingerprint: string(c.fingerprint), ClaimedAt: time.Now().UnixMilli(), State: intentSent}
	t.mu.Lock()
	if t.unsettled[key] != nil {
		t.mu.Unlock()
		return t.lookup(ctx, c)
	}
	t.unsettled[key] = in
	t.mu.Unlock()
	timeoutCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	unknown, err := t.commitClaim(timeoutCtx, key, in)
	switch {
	case err == nil:
		return response, false, nil
	case errors.Is(err, guavaplatform.ErrConflict):
		t.setUnsettled(key, nil)
		return t.lookup(ctx, c)
	case unknown:
		// The row may have been written, or may be written later. It is removed, because a retry would take it for a
		// running call.
		t.retryInBackground(key, func(ctx context.Context) error { return t.removeClaim(ctx, key, in.Operation) })
	default:
		t.setUnsettled(key, nil)
	}
	return response, true, c.newError(503, "intent_unavailable", time.Second, errors.Newf("commit intent: %w", err))
}

// commitClaim writes the row if it is absent. After an unknown outcome it reads the row back and retries; the operation
// identifier distinguishes its own row from that of another call. unknown is true when an error leaves open whether the
// row was written.
func (t *intentLog) commitClaim(ctx context.Context, key string, in *intent) (unknown bool, err error) {
	value, err := json.Marshal(in)
	if err != nil {
		return false, errors.Newf("encode intent: %w", err)
	}
	backoff := initialBackoff
	for {
		err = t.table.Commit(ctx, []guavaplatform.Check{{Key: key}}, []guavaplatform.Write{{Key: key, Value: value}})
		switch {
		case err == nil:
			return false, nil
		case errors.Is(err, guavaplatform.ErrUnavailable) && !unknown:
			return false, err
		case errors.Is(err, guavaplatform.ErrConflict) && !unknown:
			return false, err
		case !errors.Is(err, guavaplatform.ErrConflict) && !errors.Is(err, guavaplatform.ErrUnavailable):
			// ErrUnknown, or the context ended during the commit.
			unknown = true
		}
		row, ok, readErr := t.readIntent(ctx, key)
		if readErr == nil && ok {
			if row.Operation == in.Operation {
				return false, nil
			}
			return false, errors.Newf("%s claimed by another call: %w", key, guavaplatform.ErrConflict)
		}
		if waitErr := sleep(ctx, backoff); waitErr != nil {
			return unknown, errors.Newf("commit not confirmed: %w", err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
