package guavaedge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavaridge/core/guavaquota"
	"guavaridge/io/guavaplatform"
)

const (
	// unchangedTime is how long the row of a missing VM must not have changed before the VM is marked as lost.
	unchangedTime = 10 * time.Second
	// retireInterval is the interval of checks for lost VMs, and retireLimit the number of rows that are written at a time.
	retireInterval = time.Second
	retireLimit    = 20
	// deleteLostAfter is how long after its loss the row of a VM is deleted. VMs that read the table for the first time after the end
	// of the lease need not know of it.
	deleteLostAfter = 2 * guavaquota.Lease
)

// retireVMs marks VMs that are missing as lost, and deletes their rows later, until ctx ends. It updates the other parts when lost
// VMs leave the list. The row is the only state: a VM that is marked by mistake announces itself again.
func (e *Edge) retireVMs(ctx context.Context) {
	listed := 0
	for range every(ctx, retireInterval) {
		if n := e.registry.countListed(); n != listed {
			listed = n
			e.update()
		}
		missing, ok := e.client.Missing(time.Now())
		if !ok || e.vms.Outage(time.Now()) > 0 {
			continue
		}
		if err := e.registry.retire(ctx, missing); err != nil {
			e.logger.Info("lost VMs not recorded", "error", err)
		}
	}
}

// countListed returns the number of VMs in the list.
func (r *registry) countListed() int {
	_, m := r.list()
	return len(m.Members)
}

// retire marks those of the missing VMs as lost that have not written their rows lately, and deletes the rows of VMs that were lost
// long ago.
func (r *registry) retire(ctx context.Context, missing []string) error {
	now := time.Now()
	var lost, gone []string
	entries := map[string]vmEntry{}
	r.mu.Lock()
	for _, name := range missing {
		if e, ok := r.vms[name]; ok && e.record.Lost == 0 && now.Sub(e.seen) >= unchangedTime {
			lost = append(lost, name)
			entries[name] = e
		}
	}
	for name, e := range r.vms {
		if e.record.Lost != 0 && now.Sub(e.seen) >= deleteLostAfter {
			gone = append(gone, name)
			entries[name] = e
		}
	}
	r.mu.Unlock()
	for _, name := range lost[:min(len(lost), retireLimit)] {
		record := entries[name].record
		record.Lost = time.Now().UnixMilli()
		switch _, err := r.writeVM(ctx, name, entries[name].revision, record); {
		case errors.Is(err, guavaplatform.ErrConflict): // it has announced itself, or another VM was first
		case err != nil:
			return err
		default:
			r.logger.Warn("VM lost", "peer", name, "domain", record.Domain, "unchanged", now.Sub(entries[name].seen).Milliseconds())
		}
	}
	for _, name := range gone[:min(len(gone), retireLimit)] {
		check := guavaplatform.Check{Key: vmKey(name), Revision: entries[name].revision}
		err := r.platform.Store.Commit(ctx, []guavaplatform.Check{check}, []guavaplatform.Write{{Key: check.Key, Delete: true}})
		if err != nil && !errors.Is(err, guavaplatform.ErrConflict) {
			return fmt.Errorf("delete the row of lost VM %s: %w", name, err)
		}
	}
	return nil
}
