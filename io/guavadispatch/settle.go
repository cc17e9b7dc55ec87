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

// settle records the result of a call that was claimed. A call that certainly did not run gives its key back.
func (t *intents) settle(c *call, answer guavaback.Response, err error) {
	key := intentKey(c)
	held, ok := t.get(key)
	if !ok {
		return
	}
	if err != nil && c.ran == guavaretry.NotExecuted {
		t.background(key, func(ctx context.Context) error { return t.remove(ctx, key, held.Operation) })
		return
	}
	in := held
	in.State = intentUnknown
	if err == nil {
		in.State, in.Status, in.Header, in.Body = intentDone, answer.Status, answer.Header, answer.Body
		if c.out.started() {
			in.Body = c.out.recorded()
		}
		if in.Cut = len(in.Body) > maxRecorded || c.out.started() && in.Body == nil; in.Cut {
			in.Body = nil
		}
	}
	t.put(key, &in)
	t.background(key, func(ctx context.Context) error { return t.record(ctx, key, in) })
}

// background tries work until it succeeds or the record time is over, and then forgets the claim. The pipeline
// counts as running meanwhile, so that a drain waits for it.
func (t *intents) background(key string, work func(context.Context) error) {
	t.running.add(1)
	ctx, cancel := context.WithTimeout(context.Background(), t.recordTime)
	go func() {
		defer t.running.add(-1)
		defer cancel()
		defer t.put(key, nil)
		pause := settlePause
		for {
			err := work(ctx)
			if err == nil {
				return
			}
			if sleep(ctx, pause) != nil {
				t.log.Error("result of a non-idempotent call was not recorded", "row", key, "error", err)
				return
			}
			pause = min(2*pause, settleMax)
		}
	}()
}

// record writes the result into the row that this run claimed.
func (t *intents) record(ctx context.Context, key string, in intent) error {
	row, revision, ok, err := t.readRow(ctx, key)
	if err != nil {
		return err
	}
	// After a lost answer the row may already hold the result.
	if !ok || row.Operation != in.Operation || row.State != intentSent {
		return nil
	}
	value, err := json.Marshal(in)
	if err != nil {
		return errors.Newf("encode result: %w", err)
	}
	return t.table.Commit(ctx, []guavaplatform.Check{{Key: key, Revision: revision}}, []guavaplatform.Write{{Key: key, Value: value}})
}

// remove deletes the row that this run claimed and did not use.
func (t *intents) remove(ctx context.Context, key, operation string) error {
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
