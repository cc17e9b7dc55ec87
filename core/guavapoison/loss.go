package guavapoison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxLossRecords is the maximum number of lost runs known to a tracker, each of about 300 bytes. When there are more, the
	// oldest quarter is dropped.
	maxLossRecords = 2000
	// maxSharedLosses is the maximum number of lost runs that Losses returns.
	maxSharedLosses = 256
)

// Loss is a run that ended without a response. VMs tell each other of losses, so that those that were recorded by one count
// at the one that decides next. What VMs know of a loss converges: Traits only shrinks, Silent only becomes false and Crashed
// only true.
type Loss struct {
	Run
	// At is the time of the end.
	At time.Time
	// Silent is true while the connection is known to have stayed open without a byte received.
	Silent bool
	// Crashed is true if the server is known to have terminated.
	Crashed bool
	// Traits are those of the run's traits for which the loss still counts: no request with the trait was answered since, and
	// no ban explains the loss.
	Traits []uint64
	// Recorder is the VM that recorded the loss, "" for the tracker's own.
	Recorder string
}

// counts reports whether the loss counts as a crash. A silent server may be sound.
func (l *Loss) counts() bool { return l.Crashed || !l.Silent }

func (l *Loss) removeTrait(trait uint64) {
	l.Traits = slices.DeleteFunc(l.Traits, func(t uint64) bool { return t == trait })
}

// isValid reports whether a loss of another VM can be merged.
func (l *Loss) isValid() bool {
	return l.ID != "" && !l.At.Before(l.Began) && len(l.Traits) <= 1+maxParts && len(l.Parts) <= maxParts && !slices.Contains(l.Traits, 0)
}

// clone returns a copy that can be passed to another VM.
func (l *Loss) clone() Loss {
	c := *l
	c.Traits, c.Parts = slices.Clone(l.Traits), slices.Clone(l.Parts)
	return c
}

// lossKey identifies a loss.
type lossKey struct{ run, server string }

// lossRegister holds the losses that a tracker knows, those that no longer count too: another VM may not know that yet.
type lossRegister struct {
	byKey   map[lossKey]*Loss
	changed map[lossKey]*Loss // since the last call of TakeLosses
}

func newLossRegister() lossRegister {
	return lossRegister{byKey: map[lossKey]*Loss{}, changed: map[lossKey]*Loss{}}
}

func (g *lossRegister) find(run, server string) *Loss { return g.byKey[lossKey{run, server}] }

// add adds a loss that find does not return.
func (g *lossRegister) add(now time.Time, l *Loss) {
	if len(g.byKey) >= maxLossRecords {
		maps.DeleteFunc(g.byKey, func(_ lossKey, known *Loss) bool { return now.Sub(known.At) > suspectTTL })
	}
	if len(g.byKey) >= maxLossRecords {
		for _, old := range slices.SortedFunc(maps.Values(g.byKey), compareLosses)[:maxLossRecords/4] {
			delete(g.byKey, lossKey{old.ID, old.Server})
		}
	}
	g.byKey[lossKey{l.ID, l.Server}] = l
}

// change records that other VMs have to be told of a loss.
func (g *lossRegister) change(l *Loss) {
	key := lossKey{l.ID, l.Server}
	if g.byKey[key] == l { // else it is too old to be of interest
		g.changed[key] = l
	}
}

// compareLosses orders losses by their times.
func compareLosses(a, b *Loss) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Server, b.Server))
}

// TakeLosses returns the losses that this tracker has recorded or changed since the last call, for other VMs.
func (t *CrashTracker) TakeLosses() []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.losses.changed) == 0 {
		return nil
	}
	list := make([]Loss, 0, len(t.losses.changed))
	for _, l := range slices.SortedFunc(maps.Values(t.losses.changed), compareLosses) {
		list = append(list, l.clone())
	}
	clear(t.losses.changed)
	return list
}

// Losses returns the last losses that still count, at most maxSharedLosses, the oldest first.
func (t *CrashTracker) Losses(now time.Time) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*Loss
	for _, l := range t.losses.byKey {
		if len(l.Traits) > 0 && now.Sub(l.At) <= suspectTTL {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, compareLosses)
	losses := make([]Loss, 0, min(len(list), maxSharedLosses))
	for _, l := range list[max(len(list)-maxSharedLosses, 0):] {
		losses = append(losses, l.clone())
	}
	return losses
}

// MergeLosses adopts what another VM knows of losses. It bans what they share with those that this tracker has recorded
// itself, if there are enough, and leaves the rest to the VMs that recorded them. It returns what this VM knows better.
func (t *CrashTracker) MergeLosses(now time.Time, from string, list []Loss) (newer []Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range list {
		if !n.isValid() || now.Sub(n.At) > suspectTTL {
			continue
		}
		if l := t.losses.find(n.ID, n.Server); l == nil {
			if n.Recorder == "" {
				n.Recorder = from
			}
			if own := t.adopt(now, n); own != nil {
				t.judge(now, own)
			}
		} else if t.update(l, n) {
			newer = append(newer, l.clone())
		}
	}
	return newer
}

// adopt adds a loss that another VM has told this one of, and returns the last one that this VM has recorded of those that
// share a trait with it, nil if there is none.
func (t *CrashTracker) adopt(now time.Time, n Loss) (own *Loss) {
	l := &n
	l.Traits = slices.Clone(n.Traits)
	t.losses.add(now, l)
	for _, trait := range l.Traits {
		s := t.suspect(now, trait)
		s.merge(l)
		for _, other := range s.losses {
			if other.Recorder == "" && (own == nil || own.At.Before(other.At)) {
				own = other
			}
		}
	}
	return own
}

// update changes a known loss to what another VM knows of it, and reports whether this VM knows more.
func (t *CrashTracker) update(l *Loss, n Loss) (newer bool) {
	newer = slices.ContainsFunc(n.Traits, func(trait uint64) bool { return !slices.Contains(l.Traits, trait) })
	for _, trait := range slices.Clone(l.Traits) {
		if slices.Contains(n.Traits, trait) {
			continue
		}
		l.removeTrait(trait)
		t.remove(trait, func(other *Loss) bool { return other == l })
	}
	newer = newer || (l.Crashed && !n.Crashed) || (!l.Silent && n.Silent)
	l.Crashed, l.Silent = l.Crashed || n.Crashed, l.Silent && n.Silent
	return newer
}

// merge adds a loss that another VM recorded. Those that the same VM recorded don't overlap, whatever delay their messages had.
func (s *suspect) merge(l *Loss) {
	for _, other := range s.losses {
		if other.Recorder == l.Recorder || !other.Began.Before(l.At) || !l.Began.Before(other.At) {
			continue
		}
		if len(s.overlapping) < maxLosses {
			s.overlapping = append(s.overlapping, l)
		}
		return
	}
	s.append(l)
	slices.SortStableFunc(s.losses, compareLosses)
}
