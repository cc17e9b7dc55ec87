// Package guavajob decides about batch jobs: the states of jobs, chunks and items, the lease of a chunk, and which
// job gets the next free capacity.
package guavajob

import (
	_ "embed" // the charts are JSON files

	"guavaridge/core/guavachart"
)

//go:embed job.json
var jobJSON []byte

//go:embed chunk.json
var chunkJSON []byte

//go:embed item.json
var itemJSON []byte

var (
	jobChart   = guavachart.MustNew[JobState, JobEvent](jobJSON)
	chunkChart = guavachart.MustNew[ChunkState, ChunkEvent](chunkJSON)
	itemChart  = guavachart.MustNew[ItemState, ItemEvent](itemJSON)
)

// JobState is a state of a job.
type JobState string

// States of a job.
const (
	JobRunning    JobState = "running"
	JobCancelling JobState = "cancelling"
	JobExpiring   JobState = "expiring"
	JobCompleted  JobState = "completed"
	JobCancelled  JobState = "cancelled"
	JobExpired    JobState = "expired"
)

// Final reports whether the state never changes again.
func (s JobState) Final() bool { return jobChart.Final(s) }

// JobEvent moves a job to another state.
type JobEvent string

// Events of a job.
const (
	JobFinish JobEvent = "finish" // every chunk is final
	JobCancel JobEvent = "cancel" // the caller or an operator cancels
	JobExpire JobEvent = "expire" // the deadline has passed
	JobSettle JobEvent = "settle" // no chunk of a cancelled or expired job is claimed any more
)

// ChunkState is a state of a chunk.
type ChunkState string

// States of a chunk. A chunk without a row is open.
const (
	ChunkOpen    ChunkState = "open"
	ChunkClaimed ChunkState = "claimed"
	ChunkDone    ChunkState = "done"
	// ChunkAborted ended before all of its items had run, because its job was cancelled or expired.
	ChunkAborted ChunkState = "aborted"
)

// Final reports whether the state never changes again.
func (s ChunkState) Final() bool { return chunkChart.Final(s) }

// ChunkEvent moves a chunk to another state.
type ChunkEvent string

// Events of a chunk.
const (
	ChunkClaim   ChunkEvent = "claim"
	ChunkRenew   ChunkEvent = "renew"
	ChunkRelease ChunkEvent = "release"
	ChunkSubmit  ChunkEvent = "submit"
	ChunkAbort   ChunkEvent = "abort"
)

// ItemState is a state of an item inside a claimed chunk.
type ItemState string

// States of an item.
const (
	ItemPending ItemState = "pending"
	ItemRunning ItemState = "running"
	// ItemSuspect was in flight when its backend server crashed and runs alone from then on.
	ItemSuspect      ItemState = "suspect"
	ItemRunningAlone ItemState = "alone"
	ItemDone         ItemState = "done"
	ItemFailed       ItemState = "failed"
	ItemUnknown      ItemState = "unknown"
	ItemCancelled    ItemState = "cancelled"
	ItemExpired      ItemState = "expired"
)

// Final reports whether the state never changes again.
func (s ItemState) Final() bool { return itemChart.Final(s) }

// ItemEvent moves an item to another state.
type ItemEvent string

// Events of an item.
const (
	ItemSend        ItemEvent = "send"
	ItemRespond     ItemEvent = "answer"
	ItemFail        ItemEvent = "fail"    // the attempt failed and may be repeated
	ItemYield       ItemEvent = "yield"   // the stream was cancelled for online traffic
	ItemCrash       ItemEvent = "crash"   // the backend server died while it worked on the item
	ItemExhaust     ItemEvent = "exhaust" // no attempt is left
	ItemCancel      ItemEvent = "cancel"
	ItemExpire      ItemEvent = "expire"
	ItemMarkUnknown ItemEvent = "lose" // it may have run and must not run again
)
