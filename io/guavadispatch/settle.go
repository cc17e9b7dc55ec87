package guavadispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavaplatform"
)

// settle records the result of a claimed call. If the call was certainly not executed, its claim is removed, so that
// the key can be used again.
func (t *intentLog) settle(c *call, response guavaback.Response, err error) {
	key := intentKey(c)
	claim, ok := t.unsettledClaim(key)
	if !ok {
		return
	}
	if err != nil && c.execution == guavaretry.NotExecuted {
		t.retryInBackground(key, func(ctx context.Context) error { return t.removeClaim(ctx, key, claim.Operation) })
		return
	}
	in := claim
	in.State = intentUnknown
	if err == nil {
		in.State, in.Status, in.Header, in.Body = intentDone, response.Status, response.Header, response.Body
		if c.output.started() {
			in.Body = c.output.recordedEvents()
		}
		if in.BodyOmitted = len(in.Body) > maxRecordedBytes || c.output.started() && in.Body == nil; in.BodyOmitted {
			in.Body = nil
		}
	}
	t.setUnsettled(key, &in)
	t.retryInBackground(key, func(ctx context.Context) error { return t.recordResult(ctx, key, in) })
}

// retryInBackground retries operation until it succeeds or the record timeout expires, and then drops the local claim.
// It counts as running work meanwhile, so that a drain waits for it.
func (t *intentLog) retryInBackground(key string, operation func(context.Context) error) {
	t.running.add(1)
	ctx, cancel := context.WithTimeout(context.Background(), t.recordTimeout)
	go func() {
		defer t.running.add(-1)
		defer cancel()
		defer t.setUnsettled(key, nil)
		backoff := initialBackoff
		for {
			err := operation(ctx)
			if err == nil {
				return
			}
			if sleep(ctx, backoff) != nil {
				t.log.Error("updating the intent of a non-idempotent call failed", "row", key, "error", err)
				return
			}
			backoff = min(2*backoff, maxBackoff)
		}
	}()
}

// recordResult writes the result into the row that this call has claimed.
func (t *intentLog) recordResult(ctx context.Context, key string, in intent) error {
	row, revision, ok, err := t.readRow(ctx, key)
	if err != nil {
		return err
	}
	// An earlier commit whose response was lost may already have written the result.
	if !ok || row.Operation != in.Operation || row.State != intentSent {
		return nil
	}
	value, err := json.Marshal(in)
	if err != nil {
		return errors.Newf("encode result: %w", err)
	}
	return t.table.Commit(ctx, []guavaplatform.Check{{Key: key, Revision: revision}}, []guavaplatform.Write{{Key: key, Value: value}})
}

// removeClaim deletes the row with this operation identifier, whose call was not sent or not executed.
func (t *intentLog) removeClaim(ctx context.Context, key, operation string) error {
	row, revision, ok, err := t.readRow(ctx, key)
	if err != nil {
		return err
	}
	if !ok || row.Operation != operation {
		return nil
	}
	return t.table.Commit(ctx, []guavaplatform.Check{{Key: key, Revision: revision}}, []guavaplatform.Write{{Key: key, Delete: true}})
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
