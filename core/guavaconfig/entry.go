package guavaconfig

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// SnapshotInterval is the number of versions between two snapshots in the object store.
const SnapshotInterval = 100

// Entry is one accepted configuration version: the edits, who made them, when and why. It is also the audit log entry.
type Entry struct {
	Version uint64 `json:"version"`
	// Operation identifies the operator's request, so that after a lost response the outcome can be looked up.
	Operation string    `json:"operation"`
	Operator  string    `json:"operator"`
	Time      time.Time `json:"time"`
	Reason    string    `json:"reason"`
	Edits     Delta     `json:"edits"`
}

// Change returns the entry as it is stored.
func (e Entry) Change() Change { return Change{Version: e.Version, Data: encode(e)} }

// Redacted returns the entry without the hashes of keys.
func (e Entry) Redacted() Entry {
	e.Edits = e.Edits.Redacted()
	return e
}

// Entry decodes the change. Unknown fields are ignored, because newer program versions may add some during a rolling
// upgrade.
func (c Change) Entry() (Entry, error) {
	var e Entry
	if err := json.Unmarshal(c.Data, &e); err != nil {
		return Entry{}, errors.Newf("change %d: %w", c.Version, err)
	}
	if e.Version != c.Version {
		return Entry{}, errors.Newf("change %d: data contain version %d", c.Version, e.Version)
	}
	return e, nil
}

// Apply returns the snapshot that results from applying the entry to s. The entry must have the next version; otherwise
// the error wraps ErrGap.
func (s *Snapshot) Apply(e Entry) (*Snapshot, error) {
	if e.Version != s.version+1 {
		return nil, errors.Newf("apply version %d after version %d: %w", e.Version, s.version, ErrGap)
	}
	d, err := e.Edits.Apply(s.declared)
	if err != nil {
		return nil, errors.Newf("version %d: %w", e.Version, err)
	}
	return NewSnapshot(e.Version, d), nil
}

// encodedSnapshot is the JSON form of a snapshot in the object store and between VMs.
type encodedSnapshot struct {
	Version  uint64       `json:"version"`
	Declared Declarations `json:"declared"`
}

// Encode returns the snapshot as JSON for the object store or another VM.
func (s *Snapshot) Encode() []byte { return encode(encodedSnapshot{s.version, s.declared}) }

// DecodeSnapshot decodes the output of Snapshot.Encode.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	var c encodedSnapshot
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Newf("decode snapshot: %w", err)
	}
	return NewSnapshot(c.Version, c.Declared), nil
}
