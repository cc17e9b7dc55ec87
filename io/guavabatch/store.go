// Package guavabatch accepts batch jobs as files, runs their items on capacity that online traffic leaves free, and
// returns the results.
package guavabatch

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavajob"
	"guavaridge/io/guavaplatform"
)

const (
	// minBackoff and maxBackoff bound the backoff between attempts to reach the platform.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// pageRows is the number of rows read by one scan.
	pageRows = 100
)

// store reads and writes the rows and objects of batch jobs.
type store struct {
	table   guavaplatform.Table
	objects guavaplatform.Objects
}

func jobKey(id string) string              { return "job/" + id }
func chunkPrefix(job string) string        { return "chunk/" + job + "/" }
func chunkKey(job string, n int) string    { return fmt.Sprintf("chunk/%s/%06d", job, n) }
func itemsKey(job string, n int) string    { return fmt.Sprintf("chunk/%s/%06d/items", job, n) }
func invalidLinesKey(job string) string    { return "result/" + job + "/bad" }
func fileKey(id string) string             { return "file/" + id }
func cancelKey(job string) string          { return "cancel/" + job }
func identityKey(account, h string) string { return "jobkey/" + url.PathEscape(account) + "/" + h }

func resultKey(job string, n int, epoch uint64, kind string) string {
	return fmt.Sprintf("chunk/%s/%06d/%d/%s", job, n, epoch, kind)
}

func intentPrefix(job string, n int) string { return fmt.Sprintf("intents/%s/%06d/", job, n) }

func intentKey(job string, n, group int) string {
	return fmt.Sprintf("intents/%s/%06d/%03d", job, n, group)
}

// activeKey returns the key of the row of an unfinished job. The keys sort by deadline.
func activeKey(j guavajob.Job) string { return fmt.Sprintf("active/%014d/%s", j.Deadline, j.ID) }

// listKey returns the key of an entry in an account's list. The keys sort newest first. kind is "jobs" or "files".
func listKey(kind, account string, created int64, id string) string {
	const latest = 99999999999999 // milliseconds in 14 digits
	return fmt.Sprintf("list/%s/%s/%014d/%s", kind, url.PathEscape(account), latest-created, id)
}

func listPrefix(kind, account string) string {
	return "list/" + kind + "/" + url.PathEscape(account) + "/"
}

// newID returns an identifier with 128 random bits.
func newID(prefix string) string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return fmt.Sprintf("%s%x", prefix, b)
}

func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: all values are plain structs, maps and strings
	}
	return data
}

// read reads a row and decodes its JSON value.
func read[T any](ctx context.Context, t guavaplatform.Table, key string) (value T, revision uint64, err error) {
	row, err := t.Read(ctx, key)
	if err != nil {
		return value, 0, errors.Newf("read %s: %w", key, err)
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, 0, errors.Newf("decode %s: %w", key, err)
	}
	return value, row.Revision, nil
}

// commit writes rows. If its outcome is unknown, it reads the row witness, one of the rows written, until the outcome
// is known or ctx ends: the commit took effect if and only if that row has the given operation.
func (s store) commit(ctx context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write, witness, operation string) error {
	err := s.table.Commit(ctx, checks, writes)
	if !errors.Is(err, guavaplatform.ErrUnknown) {
		return err
	}
	for wait := minBackoff; ; wait = min(2*wait, maxBackoff) {
		row, _, err := read[struct {
			Operation string `json:"operation"`
		}](ctx, s.table, witness)
		switch {
		case err == nil && row.Operation == operation:
			return nil
		case err == nil, errors.Is(err, guavaplatform.ErrAbsent):
			// If the commit still arrives, it is subject to the same checks, so the caller may retry.
			return errors.Newf("commit %s had no effect: %w", witness, guavaplatform.ErrUnavailable)
		}
		if !sleep(ctx, wait) {
			return errors.Newf("read back %s: %w", witness, guavaplatform.ErrUnknown)
		}
	}
}

// retryUnavailable retries f with backoff while the platform is unavailable, until ctx ends.
func retryUnavailable(ctx context.Context, f func() error) error {
	for wait := minBackoff; ; wait = min(2*wait, maxBackoff) {
		err := f()
		if !unavailable(err) {
			return err
		}
		if !sleep(ctx, wait) {
			return err
		}
	}
}

func unavailable(err error) bool {
	return errors.Is(err, guavaplatform.ErrUnavailable) || errors.Is(err, guavaplatform.ErrUnknown) ||
		errors.Is(err, context.DeadlineExceeded)
}

// sleep waits for d and reports whether it elapsed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// put writes an object. It may be retried, as an object is written by one owner with the same content.
func (s store) put(ctx context.Context, key string, data []byte) error {
	err := s.objects.Put(ctx, key, bytes.NewReader(data))
	if err != nil {
		return errors.Newf("put %s: %w", key, err)
	}
	return nil
}

// get opens an object.
func (s store) get(ctx context.Context, key string) (io.ReadCloser, error) {
	r, err := s.objects.Get(ctx, key)
	if err != nil {
		return nil, errors.Newf("get %s: %w", key, err)
	}
	return r, nil
}

// job reads a job's row.
func (s store) job(ctx context.Context, id string) (guavajob.Job, uint64, error) {
	return read[guavajob.Job](ctx, s.table, jobKey(id))
}

// chunkRow is a chunk's row as read.
type chunkRow struct {
	n        int
	revision uint64
	chunk    guavajob.Chunk
}

// chunks calls f for the rows of a job's chunks in order, starting at number from, until f returns false.
func (s store) chunks(ctx context.Context, job string, from int, f func(chunkRow) bool) error {
	after := chunkPrefix(job)
	if from > 0 {
		after = chunkKey(job, from-1)
	}
	for {
		rows, err := s.table.Scan(ctx, chunkPrefix(job), after, pageRows)
		if err != nil {
			return errors.Newf("scan chunks of %s: %w", job, err)
		}
		for _, r := range rows {
			c := chunkRow{revision: r.Revision}
			if _, err := fmt.Sscanf(r.Key[len(chunkPrefix(job)):], "%d", &c.n); err != nil {
				return errors.Newf("chunk key %s: %w", r.Key, err)
			}
			if err := json.Unmarshal(r.Value, &c.chunk); err != nil {
				return errors.Newf("decode %s: %w", r.Key, err)
			}
			if !f(c) {
				return nil
			}
			after = r.Key
		}
		if len(rows) < pageRows {
			return nil
		}
	}
}

// active is the row of an unfinished job, read by every VM to find claimable chunks.
type active struct {
	Job       string            `json:"job"`
	Account   string            `json:"account"`
	Path      string            `json:"path"`
	Deadline  int64             `json:"deadline"`
	Items     int               `json:"items"`
	Models    []string          `json:"models"`
	Plan      string            `json:"plan"`
	State     guavajob.JobState `json:"state"`
	Operation string            `json:"operation"`
}

func newActive(j guavajob.Job, operation string) active {
	return active{
		Job: j.ID, Account: j.Account, Path: j.Path, Deadline: j.Deadline, Items: j.Counts.Total - j.InvalidLineCount,
		Models: j.Models, Plan: j.ChunkModels, State: j.State, Operation: operation,
	}
}
