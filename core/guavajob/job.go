package guavajob

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalidTransition means that an event is not allowed in the present state.
var ErrInvalidTransition = errors.New("not allowed in this state")

// Counts are numbers of items.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	// Failed includes bad lines and items that ended as unknown.
	Failed int `json:"failed"`
}

// Add returns the sum.
func (c Counts) Add(o Counts) Counts {
	return Counts{Total: c.Total + o.Total, Completed: c.Completed + o.Completed, Failed: c.Failed + o.Failed}
}

// InvalidLine is a line of an input file that is not an item.
type InvalidLine struct {
	Line   int    `json:"line"`
	ID     string `json:"id,omitempty"`
	Code   string `json:"code"`
	Reason string `json:"reason"`
}

// Job is the row of a job. It is immutable; With methods return changed copies.
type Job struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	// FileName is the name of the input file, and Content the SHA-256 of its content in hexadecimal.
	FileName    string `json:"name"`
	ContentHash string `json:"content"`
	// FileID is the identifier of the input file.
	FileID string `json:"file"`
	// Path is the path to which every item is sent.
	Path string `json:"path"`
	// Window is the completion window as the caller wrote it.
	Window string            `json:"window,omitempty"`
	Labels map[string]string `json:"labels,omitempty"`
	State  JobState          `json:"state"`
	// Created, Deadline and Changed are milliseconds since 1970; Changed is the time of each state.
	Created    int64              `json:"created"`
	Deadline   int64              `json:"deadline"`
	StateTimes map[JobState]int64 `json:"changed,omitempty"`
	// Models are the models of the items, and Plan has one letter per chunk: 'a' for the first model.
	Models      []string `json:"models"`
	ChunkModels string   `json:"plan"`
	// Counts are complete only in a final state.
	Counts Counts `json:"counts"`
	// InvalidLines holds the first bad lines; all of them are in an object.
	InvalidLines     []InvalidLine `json:"bad,omitempty"`
	InvalidLineCount int           `json:"badcount,omitempty"`
	// Operation identifies the write of this row.
	Operation string `json:"operation"`
}

// MaxModels is the largest number of models in one job, which follows from the letters of Plan.
const MaxModels = 26

// Chunks returns the number of chunks.
func (j Job) Chunks() int { return len(j.ChunkModels) }

// Model returns the model of the items of chunk n, empty for plain services.
func (j Job) Model(n int) string { return j.Models[j.ChunkModels[n]-'a'] }

// DeadlineTime returns the deadline.
func (j Job) DeadlineTime() time.Time { return time.UnixMilli(j.Deadline) }

// WithEvent returns the job after an event, or an error that wraps ErrState.
func (j Job) WithEvent(e JobEvent, now time.Time, operation string) (Job, error) {
	next, ok := jobChart.Next(j.State, e)
	if !ok {
		return j, errors.Newf("job %s is %s, event %s: %w", j.ID, string(j.State), string(e), ErrInvalidTransition)
	}
	changed := make(map[JobState]int64, len(j.StateTimes)+1)
	for s, t := range j.StateTimes {
		changed[s] = t
	}
	changed[next] = now.UnixMilli()
	j.State, j.StateTimes, j.Operation = next, changed, operation
	return j, nil
}

// WithCounts returns the job with its final counts.
func (j Job) WithCounts(c Counts) Job {
	j.Counts = c
	return j
}

// ContentKey identifies a job by what it contains: the same content under the same name, sent to the same path by the
// same client account, is the same job.
func ContentKey(account, name, content, path string) string {
	return digest("content", account, name, content, path)
}

// CallerKey identifies a job by the caller's idempotency key.
func CallerKey(account, key string) string { return digest("key", account, key) }

// ID returns the identifier of a job. It depends only on the content and the way it is split, so that two VMs that
// accept the same job at once write the same chunks to the same objects.
func ID(contentKey string, chunkItems, chunkBytes int, models string) string {
	return "batch_" + digest("job", contentKey, strconv.Itoa(chunkItems), strconv.Itoa(chunkBytes), models)[:32]
}

// digest hashes the parts with their lengths, so that parts cannot run into each other.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:%s,", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil))
}
