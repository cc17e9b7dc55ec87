package guavaedge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"guavaridge/core/guavaquota"
	"guavaridge/io/guavaplatform"
)

const (
	// registerBackoff is the wait before a failed announcement, or its failed removal, is retried.
	registerBackoff = 200 * time.Millisecond
	// registerInterval is the minimum time between two announcements. It bounds the writes of two processes that have
	// been given the same name.
	registerInterval = time.Second
	// unregisterTimeout bounds the removal of the announcement with its retries.
	unregisterTimeout = time.Second
	// listingDelay is the time after an announcement from which a listing of the table contains it.
	listingDelay = 5 * time.Second
)

// register announces this VM in tableVMs, with retries, and again whenever its row is lost or it has joined, until ctx ends or
// the VM leaves.
func (r *registry) register(ctx context.Context) {
	for {
		wait, announced := registerBackoff, false
		switch leaving, err := r.announce(ctx); {
		case err != nil:
			r.logger.Warn("VM announcement failed, retrying", "error", err)
		case leaving:
			return
		default:
			wait, announced = registerInterval, true
			r.onChange() // the standing of this VM may have changed
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		if !announced {
			continue
		}
		joined := time.NewTimer(guavaquota.JoinTime)
		select {
		case <-r.lost:
		case <-joined.C:
		case <-ctx.Done():
		}
		joined.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// announce writes this VM's row unless it is up to date or the VM is leaving.
func (r *registry) announce(ctx context.Context) (leaving bool, err error) {
	r.writing <- struct{}{}
	defer func() { <-r.writing }()
	r.mu.Lock()
	leaving, standing := r.leaving, r.standing
	r.mu.Unlock()
	if leaving || standing == guavaquota.Established {
		return leaving, nil
	}
	record := r.record()
	row, err := r.platform.Store.Read(ctx, r.key())
	switch {
	case errors.Is(err, guavaplatform.ErrAbsent):
		row.Revision, record.Joining = 0, true
	case err != nil:
		return false, fmt.Errorf("read the row of this VM: %w", err)
	default:
		record.Joining = r.isJoining(row)
	}
	revision := row.Revision
	if current, err := decodeVM(r.self.Name, row.Value); err != nil || current != record {
		if revision, err = r.writeVM(ctx, r.self.Name, row.Revision, record); err != nil {
			return false, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announced, r.announceAt, r.standing = revision, time.Now(), record.standing()
	if record.Joining && guavaquota.Elapsed(r.heldAt, time.Now()) >= guavaquota.MaxListAge {
		r.joinedAt = r.announceAt
	}
	r.heldAt = r.announceAt
	r.logger.Info("VM announced", "address", r.self.Address, "joining", record.Joining)
	return false, nil
}

// record returns the row of this VM.
func (r *registry) record() vmRecord {
	return vmRecord{
		Domain: r.self.Domain, Region: r.self.Region, Address: r.self.Address, Incarnation: r.self.Incarnation, Cores: r.self.Cores,
	}
}

// isOwnJoining reports whether some VMs may not know of this one.
func (r *registry) isOwnJoining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.standing != guavaquota.Established
}

// writeVM writes the row of a VM whose row has a revision, 0 if there is none.
func (r *registry) writeVM(ctx context.Context, name string, revision uint64, v vmRecord) (uint64, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return 0, fmt.Errorf("encode the row of VM %s: %w", name, err)
	}
	key := vmKey(name)
	revision, err = r.platform.Store.CommitAt(ctx,
		[]guavaplatform.Check{{Key: key, Revision: revision}}, []guavaplatform.Write{{Key: key, Value: data}})
	if err != nil {
		return 0, fmt.Errorf("write the row of VM %s: %w", name, err)
	}
	return revision, nil
}

// isJoining reports whether some VMs may not know of this one, whose row is given. A VM that was lost has to join again if others may
// have left it out of their lists meanwhile.
func (r *registry) isJoining(row guavaplatform.Row) bool {
	v, err := decodeVM(r.self.Name, row.Value)
	if err != nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	own := v.Incarnation == r.self.Incarnation
	switch {
	case v.Lost == 0:
	case own && guavaquota.Elapsed(r.heldAt, time.Now()) >= guavaquota.MaxListAge, !own && !v.isRemembered(time.Now()):
		return true
	}
	if !v.Joining || !own {
		return v.Joining
	}
	return r.settled < row.Revision && time.Since(r.joinedAt) < guavaquota.JoinTime
}

// recordConfirmed records when the store has confirmed the list of VMs, and that this VM was not marked as lost then, unless it is known
// to be by now.
func (r *registry) recordConfirmed(confirmed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = confirmed
	if r.announced > 0 && r.standing != guavaquota.Lost && confirmed.After(r.heldAt) {
		r.heldAt = confirmed
	}
}

// settle records that all VMs know the rows with a revision of at most the given one.
func (r *registry) settle(listed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.settled = max(r.settled, listed); r.standing == guavaquota.Joining && r.announced > 0 && r.settled >= r.announced {
		r.rewrite()
	}
}

// unregister says in this VM's row that it has left. The row stays for a time: a VM that starts again is known to all others.
func (r *registry) unregister() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.writing <- struct{}{}
	defer func() { <-r.writing }()
	ctx, stop := context.WithTimeout(context.Background(), unregisterTimeout)
	defer stop()
	record := r.record()
	record.Joining, record.Lost, record.Left = r.isOwnJoining(), time.Now().UnixMilli(), true
	data, err := json.Marshal(record)
	if err != nil {
		r.logger.Error("removal of VM announcement failed", "error", err)
		return
	}
	for ctx.Err() == nil {
		err := r.platform.Store.Commit(ctx, nil, []guavaplatform.Write{{Key: r.key(), Value: data}})
		if err == nil {
			return
		}
		r.logger.Warn("removal of VM announcement failed, retrying", "error", err)
		select {
		case <-time.After(registerBackoff):
		case <-ctx.Done():
		}
	}
}

func (r *registry) key() string { return vmKey(r.self.Name) }

func vmKey(name string) string { return fmt.Sprintf("%s//%s", tableVMs, name) }
