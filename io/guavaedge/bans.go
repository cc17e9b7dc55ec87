package guavaedge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavapoison"
	"guavaridge/io/guavaplatform"
)

const (
	// tableBans is the table with the bans of requests that crash servers.
	tableBans = "bans"
	// saveBackoff is the wait before a failed write of bans is retried.
	saveBackoff = 300 * time.Millisecond
	// maxUnsavedBans bounds the bans that wait to be written. While the store is unavailable, other VMs know them.
	maxUnsavedBans = 500
)

// banRecord is the row of a ban in tableBans. Its key is the ID of the ban, in hexadecimal digits.
type banRecord struct {
	Traits    []uint64 `json:"traits"`
	Until     int64    `json:"until"` // Unix time in milliseconds, as Changed
	Changed   int64    `json:"changed"`
	Trials    int      `json:"trials"`
	Confirmed bool     `json:"confirmed"`
	Sound     bool     `json:"sound"`
	Suspected bool     `json:"suspected,omitempty"`
}

// decodeBan decodes a row of tableBans. Its errors do not contain the row's bytes, which may be those of another writer.
func decodeBan(name string, data []byte) (guavapoison.Ban, error) {
	var r banRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return guavapoison.Ban{}, errors.New("decode ban: no JSON value, or a field of another type")
	}
	b := guavapoison.Ban{
		Traits: r.Traits, Until: time.UnixMilli(r.Until), Changed: time.UnixMilli(r.Changed), Trials: r.Trials,
		Confirmed: r.Confirmed, Sound: r.Sound, Suspected: r.Suspected,
	}
	if len(b.Traits) == 0 || name != banName(b.ID()) || r.Trials < 0 {
		return guavapoison.Ban{}, errors.New("the traits are missing or do not match the key, or the trials are negative")
	}
	return b, nil
}

func banName(id uint64) string { return strconv.FormatUint(id, 16) }

// banTable keeps bans in the store, so that they outlast all VMs.
type banTable struct {
	store  guavaplatform.Table
	merge  func(list []guavapoison.Ban)
	lift   func(id uint64)
	logger hclog.Logger
	wake   chan struct{}

	mu      sync.Mutex
	unsaved map[uint64]guavapoison.Ban
}

func newBanTable(
	store guavaplatform.Table, merge func(list []guavapoison.Ban), lift func(id uint64), l hclog.Logger,
) *banTable {
	return &banTable{
		store: store, merge: merge, lift: lift, logger: l, wake: make(chan struct{}, 1), unsaved: map[uint64]guavapoison.Ban{},
	}
}

// apply implements guavaview.Apply for tableBans. A row that is removed lifts the ban; one that is missing in a complete
// list may not have been written yet.
func (t *banTable) apply(changes []guavaplatform.RowChange, _ bool) {
	var list []guavapoison.Ban
	for _, c := range changes {
		name := rowName(c.Key)
		if c.Removed {
			if id, err := strconv.ParseUint(name, 16, 64); err == nil {
				t.lift(id)
			}
			continue
		}
		b, err := decodeBan(name, c.Value)
		if err != nil {
			t.logger.Warn("invalid ban ignored", "row", c.Key, "revision", c.Revision, "error", err)
			continue
		}
		list = append(list, b)
	}
	t.merge(list)
}

// save makes run write bans.
func (t *banTable) save(list []guavapoison.Ban) {
	t.mu.Lock()
	for _, b := range list {
		if _, waiting := t.unsaved[b.ID()]; waiting || len(t.unsaved) < maxUnsavedBans {
			t.unsaved[b.ID()] = b
		}
	}
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default: // run is about to write
	}
}

// run writes bans, with retries, until ctx ends.
func (t *banTable) run(ctx context.Context) {
	for {
		select {
		case <-t.wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			err := t.write(ctx)
			if err == nil {
				break
			}
			t.logger.Warn("write of bans failed, retrying", "error", err)
			select {
			case <-time.After(saveBackoff):
			case <-ctx.Done():
			}
		}
	}
}

// write writes the bans that wait, up to the maximum of a commit at a time.
func (t *banTable) write(ctx context.Context) error {
	for {
		var writes []guavaplatform.Write
		var taken []guavapoison.Ban
		t.mu.Lock()
		for id, b := range t.unsaved {
			if len(writes) == guavaplatform.MaxWrites {
				break
			}
			w := guavaplatform.Write{Key: fmt.Sprintf("%s//%s", tableBans, banName(id)), Delete: b.Lifted}
			if !b.Lifted {
				data, err := json.Marshal(banRecord{
					Traits: b.Traits, Until: b.Until.UnixMilli(), Changed: b.Changed.UnixMilli(), Trials: b.Trials,
					Confirmed: b.Confirmed, Sound: b.Sound, Suspected: b.Suspected,
				})
				if err != nil {
					t.mu.Unlock()
					return fmt.Errorf("encode ban: %w", err)
				}
				w.Value = data
			}
			writes, taken = append(writes, w), append(taken, b)
		}
		t.mu.Unlock()
		if len(writes) == 0 {
			return nil
		}
		if err := t.store.Commit(ctx, nil, writes); err != nil {
			return fmt.Errorf("write bans: %w", err)
		}
		t.mu.Lock()
		for _, b := range taken {
			if t.unsaved[b.ID()].Changed.Equal(b.Changed) {
				delete(t.unsaved, b.ID())
			}
		}
		t.mu.Unlock()
	}
}
