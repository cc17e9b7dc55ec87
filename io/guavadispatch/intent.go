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
	// claimTime bounds the commit of an intent; the request holds a place in the window meanwhile.
	claimTime = 3 * time.Second
	// settlePause is the first pause between tries to write or read back; it doubles up to settleMax.
	settlePause = 50 * time.Millisecond
	settleMax   = 5 * time.Second
	// findTries and findPause: a resend that finds a call still running looks again, as the first
	// result may be about to be recorded.
	findTries = 3
	findPause = 250 * time.Millisecond
	// maxRecorded is the largest body that is recorded with a result, in bytes.
	maxRecorded = 256 << 10
)

// intent is the row of a non-idempotent call.
type intent struct {
	// Operation identifies the run that wrote the row.
	Operation string `json:"operation"`
	// Print is the fingerprint of the request: the same key with another request is an error of the caller.
	Print string `json:"print"`
	// At is the Unix time of the claim in milliseconds.
	At int64 `json:"at"`
	// State is "sent" from before sending, and "done" or "unknown" at the end.
	State  string            `json:"state"`
	Status int               `json:"status,omitempty"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// Cut is true when the body was too large to record.
	Cut bool `json:"cut,omitempty"`
}

const (
	intentSent    = "sent"
	intentDone    = "done"
	intentUnknown = "unknown"
)

// intents records non-idempotent calls in the table.
type intents struct {
	table      guavaplatform.Table
	log        hclog.Logger
	recordTime time.Duration
	running    *tracker
	mu         sync.Mutex
	// held are this VM's claims that are not yet settled in the table.
	held map[string]*intent
}

func newIntents(table guavaplatform.Table, log hclog.Logger, recordTime time.Duration, running *tracker) *intents {
	return &intents{table: table, log: log, recordTime: recordTime, running: running, held: map[string]*intent{}}
}

func intentKey(c *call) string {
	sum := sha256.Sum256([]byte(c.IdempotencyKey))
	account := c.Account
	if account == "" {
		account = "-"
	}
	return "intent/" + account + "/" + hex.EncodeToString(sum[:16])
}

func (t *intents) get(key string) (intent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if in := t.held[key]; in != nil {
		return *in, true
	}
	return intent{}, false
}

func (t *intents) put(key string, in *intent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if in == nil {
		delete(t.held, key)
		return
	}
	t.held[key] = in
}

// find looks for an earlier run. It returns its result, or an error when the result is not known; found is false
// when the call has not run.
func (t *intents) find(ctx context.Context, c *call) (answer guavaback.Response, found bool, err error) {
	key := intentKey(c)
	for try := 1; ; try++ {
		in, ok := t.get(key)
		if !ok {
			if in, ok, err = t.read(ctx, key); err != nil {
				return answer, false, c.fail(503, "intent_unavailable", time.Second, errors.Newf("read intent: %w", err))
			}
		}
		switch {
		case !ok:
			return answer, false, nil
		case in.Print != string(c.print):
			return answer, true, c.fail(422, "idempotency_mismatch", 0, errors.New("the Idempotency-Key was used for another request"))
		case in.State == intentDone:
			return t.replay(c, in)
		case in.State == intentUnknown || try == findTries:
			return answer, true, t.unknown(c)
		}
		select {
		case <-ctx.Done():
			return answer, true, t.unknown(c)
		case <-time.After(findPause):
		}
	}
}

func (t *intents) unknown(c *call) *Error {
	c.ran = guavaretry.ExecutionUnknown
	return c.fail(409, "outcome_unknown", time.Second, errors.New("an earlier request with this Idempotency-Key has no known result"))
}

// replay returns the recorded result.
func (t *intents) replay(c *call, in intent) (guavaback.Response, bool, error) {
	if in.Cut {
		c.ran = guavaretry.Executed
		return guavaback.Response{}, true, c.fail(409, "result_too_large", 0, errors.New("the request ran, and its result was too large to keep"))
	}
	answer := guavaback.Response{Status: in.Status, Header: in.Header, Body: in.Body}
	if !c.Stream || in.Status >= 400 {
		return answer, true, nil
	}
	var events [][]byte
	if err := json.Unmarshal(in.Body, &events); err != nil {
		return guavaback.Response{}, true, c.fail(500, "internal", 0, errors.Newf("parse recorded events: %w", err))
	}
	g := c.out.attempt(false, func(time.Duration) {})
	if err := g.Head(in.Status, in.Header); err != nil {
		return guavaback.Response{}, true, c.fail(499, "caller_gone", 0, err)
	}
	for _, e := range events {
		if err := g.Event(e); err != nil {
			return guavaback.Response{}, true, c.fail(499, "caller_gone", 0, err)
		}
	}
	answer.Body, answer.Tokens = nil, c.out.count()
	return answer, true, nil
}

// read returns the row of a key, and false when it is absent.
func (t *intents) read(ctx context.Context, key string) (intent, bool, error) {
	in, _, ok, err := t.readRow(ctx, key)
	return in, ok, err
}

func (t *intents) readRow(ctx context.Context, key string) (in intent, revision uint64, ok bool, err error) {
	short, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	row, err := t.table.Read(short, key)
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

// claim commits the intent before the call is sent. Found is true when another run came first.
func (t *intents) claim(ctx context.Context, c *call) (answer guavaback.Response, found bool, err error) {
	key := intentKey(c)
	in := &intent{Operation: randomID(16), Print: string(c.print), At: time.Now().UnixMilli(), State: intentSent}
	t.mu.Lock()
	if t.held[key] != nil {
		t.mu.Unlock()
		return t.find(ctx, c)
	}
	t.held[key] = in
	t.mu.Unlock()
	short, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	unsure, err := t.commitClaim(short, key, in)
	switch {
	case err == nil:
		return answer, false, nil
	case errors.Is(err, guavaplatform.ErrConflict):
		t.put(key, nil)
		return t.find(ctx, c)
	case unsure:
		// The row may have been written, or may still be: without its removal a resend would find a call
		// that seems to run.
		t.background(key, func(ctx context.Context) error { return t.remove(ctx, key, in.Operation) })
	default:
		t.put(key, nil)
	}
	return answer, true, c.fail(503, "intent_unavailable", time.Second, errors.Newf("commit intent: %w", err))
}

// commitClaim writes the row if it is absent. After an unknown outcome it reads back and tries again; the
// operation identifier tells its own row from that of another run. Unsure is true when an error leaves open
// whether the row was written.
func (t *intents) commitClaim(ctx context.Context, key string, in *intent) (unsure bool, err error) {
	value, err := json.Marshal(in)
	if err != nil {
		return false, errors.Newf("encode intent: %w", err)
	}
	pause := settlePause
	for {
		err = t.table.Commit(ctx, []guavaplatform.Check{{Key: key}}, []guavaplatform.Write{{Key: key, Value: value}})
		switch {
		case err == nil:
			return false, nil
		case errors.Is(err, guavaplatform.ErrUnavailable) && !unsure:
			return false, err
		case errors.Is(err, guavaplatform.ErrConflict) && !unsure:
			return false, err
		case !errors.Is(err, guavaplatform.ErrConflict) && !errors.Is(err, guavaplatform.ErrUnavailable):
			// ErrUnknown, or an error of the context while the commit was under way.
			unsure = true
		}
		row, ok, readErr := t.read(ctx, key)
		if readErr == nil && ok {
			if row.Operation == in.Operation {
				return false, nil
			}
			return false, errors.Newf("%s was claimed: %w", key, guavaplatform.ErrConflict)
		}
		if waitErr := sleep(ctx, pause); waitErr != nil {
			return unsure, errors.Newf("commit not confirmed: %w", err)
		}
		pause = min(2*pause, settleMax)
	}
}
