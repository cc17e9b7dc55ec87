package guavastandin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/io/guavaplatform"
)

// PlatformView is the platform as one VM sees it.
type PlatformView struct {
	p      *Platform
	domain string
	vm     string
}

// Read implements guavaplatform.Table.
func (v *PlatformView) Read(ctx context.Context, key string) (row guavaplatform.Row, err error) {
	found := false
	err = v.call(ctx, &v.p.reads, 1, func(c *Counts) {
		c.Reads++
	}, func() error {
		row, found = v.p.rows[key]
		row.Value = bytes.Clone(row.Value)
		return nil
	})
	if err != nil {
		return guavaplatform.Row{}, fmt.Errorf("read %s: %w", key, err)
	}
	if !found {
		return guavaplatform.Row{}, fmt.Errorf("read %s: %w", key, guavaplatform.ErrAbsent)
	}
	return row, nil
}

// Scan implements guavaplatform.Table.
func (v *PlatformView) Scan(ctx context.Context, prefix, after string, limit int) (rows []guavaplatform.Row, err error) {
	pages := int64(max(1, (limit+ScanPage-1)/ScanPage))
	err = v.call(ctx, &v.p.reads, float64(pages), nil, func() error {
		start := max(prefix, after)
		i, same := slices.BinarySearch(v.p.keys, start)
		if same && start == after {
			i++
		}
		for ; i < len(v.p.keys) && len(rows) < limit && strings.HasPrefix(v.p.keys[i], prefix); i++ {
			row := v.p.rows[v.p.keys[i]]
			row.Value = bytes.Clone(row.Value)
			rows = append(rows, row)
		}
		v.p.count(v.vm, func(c *Counts) { c.Reads += int64(max(1, (len(rows)+ScanPage-1)/ScanPage)) })
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("scan %s: %w", prefix, err)
	}
	return rows, nil
}

// Commit implements guavaplatform.Table.
func (v *PlatformView) Commit(ctx context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write) error {
	if len(writes) > guavaplatform.MaxWrites {
		return errors.Newf("commit of %d writes: at most %d are allowed", len(writes), guavaplatform.MaxWrites)
	}
	effect, lost := false, false
	err := v.call(ctx, &v.p.writes, float64(max(1, len(writes))), nil, func() error {
		for _, c := range checks {
			if v.p.rows[c.Key].Revision != c.Revision {
				v.p.count(v.vm, func(n *Counts) { n.Conflicts++ })
				return fmt.Errorf("row %s has revision %d, not %d: %w",
					c.Key, v.p.rows[c.Key].Revision, c.Revision, guavaplatform.ErrConflict)
			}
		}
		if v.p.faults.loseCommits > 0 {
			v.p.faults.loseCommits--
			lost = true
			return nil
		}
		v.p.apply(writes)
		effect, lost = true, v.p.faults.loses(&v.p.faults.loseAnswers)
		v.p.count(v.vm, func(n *Counts) {
			n.Commits++
			n.Writes += int64(len(writes))
			if lost {
				n.ResponsesLost++
			}
		})
		return nil
	})
	switch {
	case lost, effect && err != nil:
		return fmt.Errorf("commit: answer lost: %w", guavaplatform.ErrUnknown)
	case err != nil:
		return fmt.Errorf("commit: %w", err)
	}
	return nil
}

// apply writes rows. The caller holds p.mu.
func (p *Platform) apply(writes []guavaplatform.Write) {
	for _, w := range writes {
		i, found := slices.BinarySearch(p.keys, w.Key)
		if w.Delete {
			if found {
				p.keys = slices.Delete(p.keys, i, i+1)
				delete(p.rows, w.Key)
			}
			continue
		}
		if !found {
			p.keys = slices.Insert(p.keys, i, w.Key)
		}
		p.revision++
		p.rows[w.Key] = guavaplatform.Row{Key: w.Key, Value: bytes.Clone(w.Value), Revision: p.revision}
	}
}

// Put implements guavaplatform.Objects.
func (v *PlatformView) Put(ctx context.Context, key string, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return fmt.Errorf("put %s: %w", key, err)
	}
	effect, lost := false, false
	err = v.call(ctx, &v.p.writes, 1, nil, func() error {
		v.p.objects[key] = data
		effect, lost = true, v.p.faults.loses(&v.p.faults.losePuts)
		v.p.count(v.vm, func(n *Counts) {
			n.ObjectWrites++
			n.ObjectBytes += int64(len(data))
			if lost {
				n.ResponsesLost++
			}
		})
		return nil
	})
	switch {
	case lost, effect && err != nil:
		return fmt.Errorf("put %s: answer lost: %w", key, guavaplatform.ErrUnknown)
	case err != nil:
		return fmt.Errorf("put %s: %w", key, err)
	}
	return nil
}

// Get implements guavaplatform.Objects.
func (v *PlatformView) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	var data []byte
	found := false
	err := v.call(ctx, &v.p.reads, 1, func(c *Counts) { c.ObjectReads++ }, func() error {
		data, found = v.p.objects[key]
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", key, err)
	}
	if !found {
		return nil, fmt.Errorf("get %s: %w", key, guavaplatform.ErrAbsent)
	}
	return io.NopCloser(bytes.NewReader(data)), nil
}

// List implements guavaplatform.Objects.
func (v *PlatformView) List(ctx context.Context, prefix, after string, limit int) (keys []string, err error) {
	err = v.call(ctx, &v.p.reads, 1, func(c *Counts) { c.ObjectReads++ }, func() error {
		for k := range v.p.objects {
			if strings.HasPrefix(k, prefix) && k > after {
				keys = append(keys, k)
			}
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	slices.Sort(keys)
	return keys[:min(limit, len(keys))], nil
}

// Delete implements guavaplatform.Objects.
func (v *PlatformView) Delete(ctx context.Context, key string) error {
	effect := false
	err := v.call(ctx, &v.p.writes, 1, func(c *Counts) { c.ObjectWrites++ }, func() error {
		delete(v.p.objects, key)
		effect = true
		return nil
	})
	switch {
	case effect && err != nil:
		return fmt.Errorf("delete %s: answer lost: %w", key, guavaplatform.ErrUnknown)
	case err != nil:
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// Machines implements guavaplatform.Machines.
func (v *PlatformView) Machines(ctx context.Context) (list []guavaplatform.Machine, err error) {
	err = v.call(ctx, nil, 0, func(c *Counts) { c.Lists++ }, func() error {
		list = v.p.machines.visible()
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	return list, nil
}

// Fetch implements guavaplatform.Weights.
func (v *PlatformView) Fetch(ctx context.Context, name string) (int64, error) {
	var size int64
	var wait time.Duration
	err := v.call(ctx, nil, 0, func(c *Counts) { c.Fetches++ }, func() error {
		size, wait = v.p.weights.reserve(name)
		return nil
	})
	if err == nil {
		err = sleep(ctx, wait)
	}
	if err != nil {
		return 0, fmt.Errorf("fetch %s: %w", name, err)
	}
	return size, nil
}

// call runs effect under the lock, after the faults, the limit and half of the delay, and before the other half. An
// error after the effect means that the answer did not reach the VM.
func (v *PlatformView) call(ctx context.Context, line *pacer, n float64, count func(*Counts), effect func() error) error {
	v.p.mu.Lock()
	err := v.p.faults.check(v.domain, v.vm)
	half := v.p.faults.delay / 2
	wait := time.Duration(0)
	if err == nil && line != nil {
		turn, ok := line.reserve(n, maxQueue)
		if !ok {
			err = fmt.Errorf("over the limit: %w", guavaplatform.ErrUnavailable)
		}
		wait = turn
	}
	if err != nil {
		v.p.count(v.vm, func(c *Counts) { c.Refused++ })
	}
	v.p.mu.Unlock()
	if err != nil {
		return err
	}
	if err := sleep(ctx, wait+half); err != nil {
		return err
	}

	v.p.mu.Lock()
	err = v.p.faults.check(v.domain, v.vm)
	if err == nil {
		if count != nil {
			v.p.count(v.vm, count)
		}
		err = effect()
	}
	v.p.mu.Unlock()
	if err != nil || half == 0 {
		return err
	}
	if err := sleep(ctx, half); err != nil {
		return err
	}
	v.p.mu.Lock()
	defer v.p.mu.Unlock()
	return v.p.faults.check(v.domain, v.vm)
}

// sleep waits for d, and returns ErrUnavailable when ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%w: %w", guavaplatform.ErrUnavailable, err)
		}
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", guavaplatform.ErrUnavailable, ctx.Err())
	}
}
