package guavajob

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalidTransition means that an event is not allowed in the current state.
var ErrInvalidTransition = errors.New("not allowed in this state")

// Counts are item counts.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	// Failed includes invalid lines and items whose outcome is unknown.
	Failed int `json:"failed"`
}

// Add returns the sum.
func (c Counts) Add(o Counts) Counts {
	return Counts{Total: c.Total + o.Total, Completed: c.Completed + o.Completed, Failed: c.Failed + o.Failed}
}

// InvalidLine describes a line of an input file that is not a valid item.
type InvalidLine struct {
	Line   int    `json:"line"`
	ID     string `json:"id,omitempty"`
	Code   string `json:"code"`
	Reason string `json:"reason"`
}

// Job is the table row of a job. It is immutable; the With methods return changed copies.
type Job struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	// FileName is the name of the input file, and ContentHash the SHA-256 of its content in hexadecimal.
	FileName    string `json:"name"`
	ContentHash string `json:"content"`
	// FileID is the identifier of the input file.
	FileID string `json:"file"`
	// Path is the request path for all items.
	Path string `json:"path"`
	// Window is the completion window as the caller specified it.
	Window string            `json:"window,omitempty"`
	Labels map[string]string `json:"labels,omitempty"`
	State  JobState          `json:"state"`
	// Created, Deadline and StateTimes are in milliseconds since 1970. StateTimes has the time at which the job
	// entered each state.
	Created    int64              `json:"created"`
	Deadline   int64              `json:"deadline"`
	StateTimes map[JobState]int64 `json:"changed,omitempty"`
	// Models are the models of the items. ChunkModels has one letter per chunk for its model: 'a' for the first.
	Models      []string `json:"models"`
	ChunkModels string   `json:"plan"`
	// Counts are complete only when the state is final.
	Counts Counts `json:"counts"`
	// InvalidLines are the first invalid lines; an object contains all of them. InvalidLineCount is their total number.
	InvalidLines     []InvalidLine `json:"bad,omitempty"`
	InvalidLineCount int           `json:"badcount,omitempty"`
	// Operation identifies the write of this row.
	Operation string `json:"operation"`
}

// MaxModels is the maximum number of models in one job, limited by the letters of Job.ChunkModels.
const MaxModels = 26

// Chunks returns the number of chunks.
func (j Job) Chunks() int { return len(j.ChunkModels) }

// Model returns the model of the items of chunk n; empty for plain services.
func (j Job) Model(n int) string { return j.Models[j.ChunkModels[n]-'a'] }

// DeadlineTime returns the deadline as a time.Time.
func (j Job) DeadlineTime() time.Time { return time.UnixMilli(j.Deadline) }

// WithEvent returns the job after an event, or an error that wraps ErrInvalidTransition.
func (j Job) WithEvent(e JobEvent, now time.Time, operation string) (Job, error) {
	next, ok := jobChart.Next(j.State, e)
	if !ok {
		return j, errors.Newf("job %s is %s, event %s: %w", j.ID, string(j.State), string(e), ErrInvalidTransition)
	}
	times := make(map[JobState]int64, len(j.StateTimes)+1)
	for s, t := range j.StateTimes {
		times[s] = t
	}
	times[next] = now.UnixMilli()
	j.State, j.StateTimes, j.Operation = next, times, operation
	return j, nil
}

// WithCounts returns the job with its final counts.
func (j Job) WithCounts(c Counts) Job {
	j.Counts = c
	return j
}

// ContentKey returns the deduplication key of a job: submissions of one client account with the same file name, content
// and path are the same job.
func ContentKey(account, name, content, path string) string {
	return digest("content", account, name, content, path)
}

// CallerKey returns the deduplication key of a job submitted with an idempotency key.
func CallerKey(account, key string) string { return digest("key", account, key) }

// ID returns the identifier of a job. It depends only on the content and on how it is split into chunks, so that two
// VMs that accept the same job concurrently write the same chunks to the same objects.
func ID(contentKey string, chunkItems, chunkBytes int, models string) string {
	return "batch_" + digest("job", contentKey, strconv.Itoa(chunkItems), strconv.Itoa(chunkBytes), models)[:32]
}

// digest hashes the parts with their lengths, so that different parts never have the same concatenation.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:%s,", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil))
}
