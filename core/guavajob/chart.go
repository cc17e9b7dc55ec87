// Package guavajob implements the rules for batch jobs: the state machines of jobs, chunks and items, the leases of
// chunks, and the scheduling of jobs.
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

// Final reports whether the state is terminal.
func (s JobState) Final() bool { return jobChart.Final(s) }

// JobEvent is an event that changes the state of a job.
type JobEvent string

// Events of a job.
const (
	JobFinish JobEvent = "finish" // all chunks are in a final state
	JobCancel JobEvent = "cancel" // the caller or an operator cancels the job
	JobExpire JobEvent = "expire" // the deadline has passed
	JobSettle JobEvent = "settle" // the last claimed chunk of a cancelled or expired job was released or ended
)

// ChunkState is a state of a chunk.
type ChunkState string

// States of a chunk. A chunk without a row in the table is open.
const (
	ChunkOpen    ChunkState = "open"
	ChunkClaimed ChunkState = "claimed"
	ChunkDone    ChunkState = "done"
	// ChunkAborted is a chunk that ended before all of its items were executed: its job was cancelled or expired.
	ChunkAborted ChunkState = "aborted"
)

// Final reports whether the state is terminal.
func (s ChunkState) Final() bool { return chunkChart.Final(s) }

// ChunkEvent is an event that changes the state of a chunk.
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
	// ItemSuspect was in flight when its backend server crashed. It is retried without other batch items on the server
	// (ItemRunningAlone).
	ItemSuspect      ItemState = "suspect"
	ItemRunningAlone ItemState = "alone"
	ItemDone         ItemState = "done"
	ItemFailed       ItemState = "failed"
	ItemUnknown      ItemState = "unknown"
	ItemCancelled    ItemState = "cancelled"
	ItemExpired      ItemState = "expired"
)

// Final reports whether the state is terminal.
func (s ItemState) Final() bool { return itemChart.Final(s) }

// ItemEvent is an event that changes the state of an item.
type ItemEvent string

// Events of an item.
const (
	ItemSend        ItemEvent = "send"
	ItemRespond     ItemEvent = "answer"
	ItemFail        ItemEvent = "fail"    // the attempt failed and can be retried
	ItemYield       ItemEvent = "yield"   // the stream was cancelled to free capacity for online traffic
	ItemCrash       ItemEvent = "crash"   // the backend server crashed while it executed the item
	ItemExhaust     ItemEvent = "exhaust" // no attempts remain
	ItemCancel      ItemEvent = "cancel"
	ItemExpire      ItemEvent = "expire"
	ItemMarkUnknown ItemEvent = "lose" // it may have been executed and must not be retried
)
