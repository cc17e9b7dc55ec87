package guavapoison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxBans is the maximum number of bans, each of about 300 bytes. Those that end first are evicted.
	maxBans = 500
	// maxTrials is the number of requests that may be sent to find out whether a ban is still needed: the platform allows 3
	// requests after the crashes that it takes to find the cause.
	maxTrials = 3
	// trialBackoff is the factor between the times for which a ban is in force after successive trials.
	trialBackoff = 4
	// soundBanTTL is the first time for which parts are banned that had answers before: when most servers fail, a part of
	// most requests is lost several times in a row, and a ban of it refuses most requests.
	soundBanTTL = 2 * time.Second
	// finalTTL is the time for which a ban is in force after the last trial, and each further one.
	finalTTL = 24 * time.Hour
	// repeatTrialDelay is the time until the next trial after one that did not run or whose outcome is unknown.
	repeatTrialDelay = 2 * time.Second
)

// Ban refuses the requests that have all of its traits, because they crash the servers that run them.
type Ban struct {
	Traits []uint64
	Until  time.Time
	// Trials is the number of requests that were sent after the ban had lapsed, to try whether it is still needed.
	Trials int
	// Confirmed is true if the servers of the lost runs are known to have terminated. Other bans are short.
	Confirmed bool
	// Sound is true if all traits are parts of requests that were answered before. Such bans are tried soon.
	Sound bool
	// Suspected is true if one more lost run is needed for the ban. Until then, nothing is refused.
	Suspected bool
	// Changed is the time of the last change. Of two states of a ban the one that was changed last holds, but for a suspicion or
	// its lifting, which do not replace a ban.
	Changed time.Time
	// Lifted bans refuse nothing: a request with their traits was answered.
	Lifted bool
}

// ID identifies the ban by its traits, in any order.
func (b Ban) ID() uint64 {
	if len(b.Traits) == 1 {
		return b.Traits[0]
	}
	data := make([]byte, 0, 8*len(b.Traits))
	for _, t := range slices.Sorted(slices.Values(b.Traits)) {
		data = binary.BigEndian.AppendUint64(data, t)
	}
	return xxhash.Sum64(data)
}

// ban is a Ban and what this VM knows of its cause.
type ban struct {
	Ban
	since  time.Time // begin of the first lost run that counts for it
	losses []*Loss   // those that count for it, until it is confirmed
}

// active reports whether the ban refuses requests.
func (b *ban) active(now time.Time) bool { return b.inForce() && b.Until.After(now) }

// inForce reports whether the ban was not lifted and is more than a suspicion. It may have lapsed.
func (b *ban) inForce() bool { return !b.Lifted && !b.Suspected }

// isReplacedBy reports whether another state of the ban holds.
func (b *ban) isReplacedBy(n Ban) bool {
	switch {
	case b.inForce() && n.Suspected:
		return false
	case b.Suspected && !n.Suspected && !n.Lifted:
		return true
	}
	return n.Changed.After(b.Changed)
}

// crashes returns the number of losses whose server is known to have terminated, and the time of the last one.
func (b *ban) crashes() (n int, last time.Time) {
	for _, l := range b.losses {
		if l.Crashed {
			n++
			last = l.At
		}
	}
	return n, last
}

// HasBans reports whether there are bans.
func (t *CrashTracker) HasBans() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.bans) > 0
}

// Check returns whether a request may run, and for how long it is refused otherwise.
func (t *CrashTracker) Check(now time.Time, content uint64, parts []uint64) (v Verdict, remaining time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v = Pass
	if len(t.bans) == 0 {
		return v, 0
	}
	for _, b := range t.matching(traitsOf(content, parts)) {
		switch {
		case !b.inForce():
		case b.active(now):
			v, remaining = Refuse, max(remaining, b.Until.Sub(now))
		case v == Pass:
			v = Try
		}
	}
	return v, remaining
}

// BeginTrial records that a request with a lapsed ban is sent. The ban is in force again, for longer than before, unless
// the request is answered.
func (t *CrashTracker) BeginTrial(now time.Time, content uint64, parts []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.matching(traitsOf(content, parts)) {
		if !b.inForce() || b.active(now) {
			continue
		}
		b.Trials++
		t.renew(now, b, b.ttl())
	}
}

// ttl returns the time for which the ban is in force after its last trial.
func (b *ban) ttl() time.Duration {
	if b.Trials >= maxTrials {
		return finalTTL
	}
	ttl := confirmWindow
	switch {
	case b.Sound:
		ttl = soundBanTTL
	case b.Confirmed:
		ttl = refusalTTL
	}
	for range b.Trials {
		ttl *= trialBackoff
	}
	return ttl
}

// RecordUndecided records that a run ended without showing whether its request crashes servers. If executed is false, the
// request was not executed, so that it was no trial.
func (t *CrashTracker) RecordUndecided(now time.Time, r Run, executed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.bans) == 0 {
		return
	}
	for _, b := range t.matching(r.traits()) {
		if !b.active(now) || b.Trials == 0 || r.Began.Before(b.Changed) {
			continue
		}
		if !executed {
			b.Trials--
		}
		if b.Trials < maxTrials {
			t.renew(now, b, repeatTrialDelay)
		}
	}
}

// TakeChanges returns the bans that this tracker has changed since the last call, for other VMs and the store.
func (t *CrashTracker) TakeChanges() []Ban {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.changes
	t.changes = nil
	return list
}

// Bans returns all bans, lapsed and lifted ones too.
func (t *CrashTracker) Bans() []Ban {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Ban, 0, len(t.bans))
	for _, b := range t.bans {
		list = append(list, b.Ban)
	}
	return list
}

// Active returns the number of bans that refuse requests.
func (t *CrashTracker) Active(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, b := range t.bans {
		if b.active(now) {
			n++
		}
	}
	return n
}

// Merge adopts bans of other VMs that are newer than those that this one knows, and returns them. It shortens those of parts
// that this VM knows to be sound and the other one did not, since it had been started lately.
func (t *CrashTracker) Merge(now time.Time, list []Ban) (adopted []Ban) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range list {
		if len(n.Traits) == 0 || len(n.Traits) > maxParts || slices.Contains(n.Traits, 0) {
			continue
		}
		if known := t.bans[n.ID()]; known != nil {
			if !known.isReplacedBy(n) {
				continue
			}
			known.Ban = n
		} else {
			t.insert(now, &ban{Ban: n, since: now})
		}
		adopted = append(adopted, n)
	}
	for _, n := range adopted {
		if b := t.bans[n.ID()]; b != nil && b.active(now) && !b.Sound && b.Trials == 0 && t.allSound(b.Traits) {
			b.Sound = true
			t.renew(now, b, min(b.Until.Sub(now), soundBanTTL))
		}
	}
	return adopted
}

// allSound reports whether all traits are parts of requests that were answered.
func (t *CrashTracker) allSound(traits []uint64) bool {
	return !slices.ContainsFunc(traits, func(trait uint64) bool { return !t.sound.contains(trait) })
}

// Lift lifts the ban with an ID, as an operator orders it.
func (t *CrashTracker) Lift(now time.Time, id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.bans[id]; b != nil && !b.Lifted {
		t.lift(now, b)
	}
}

// ban bans requests with all of the traits because of lost runs.
func (t *CrashTracker) ban(now time.Time, traits []uint64, losses []*Loss) {
	b := t.bans[Ban{Traits: traits}.ID()]
	if b == nil {
		b = &ban{Ban: Ban{Traits: slices.Clone(traits)}}
		t.insert(now, b)
	}
	if !b.inForce() {
		b.Trials, b.Confirmed, b.Lifted, b.Suspected = 0, false, false, false
	}
	b.since, b.losses, b.Sound = losses[0].Began, slices.Clone(losses), t.allSound(traits)
	t.renew(now, b, max(b.ttl(), b.Until.Sub(now)))
	t.confirm(now, b)
}

// markSuspected records that one more lost run of a request with all of the traits is enough for a ban.
func (t *CrashTracker) markSuspected(now time.Time, traits []uint64, losses []*Loss) {
	b := t.bans[Ban{Traits: traits}.ID()]
	switch {
	case b == nil:
		b = &ban{Ban: Ban{Traits: slices.Clone(traits)}}
		t.insert(now, b)
	case !b.Lifted:
		return
	}
	b.Trials, b.Confirmed, b.Lifted, b.Suspected = 0, false, false, true
	b.since, b.Sound = losses[0].Began, t.allSound(traits)
	t.renew(now, b, 0)
}

// confirmSuspicions bans what a loss shares with earlier ones that only a suspicion tells of.
func (t *CrashTracker) confirmSuspicions(now time.Time, l *Loss) {
	if !l.counts() {
		return
	}
	for _, b := range t.matching(l.Traits) { // those for which it does not overlap with a loss that is known here
		// The run that led to the suspicion had ended when that was recorded.
		if b.Lifted || !b.Suspected || !l.Began.After(b.Changed) || now.Sub(b.Changed) > suspectTTL {
			continue
		}
		if l.Item && slices.Contains(b.Traits, l.Content) {
			continue
		}
		t.ban(now, b.Traits, []*Loss{l})
	}
}

// confirmBans extends the bans for whose lost runs enough servers have terminated.
func (t *CrashTracker) confirmBans(now time.Time, server string) {
	for _, b := range t.bans {
		for _, l := range b.losses {
			if l.Server == server && now.Sub(l.At) <= confirmWindow {
				l.Crashed = true
				t.losses.change(l)
			}
		}
		t.confirm(now, b)
	}
}

func (t *CrashTracker) confirm(now time.Time, b *ban) {
	n, last := b.crashes()
	if b.Confirmed || !b.inForce() || n < crashLimit {
		return
	}
	b.Confirmed, b.losses = true, nil
	t.renew(now, b, max(last.Add(b.ttl()).Sub(now), b.Until.Sub(now)))
}

// isBanned reports whether requests with the traits are banned, or were until the ban lapsed.
func (t *CrashTracker) isBanned(traits []uint64) bool {
	return slices.ContainsFunc(t.matching(traits), (*ban).inForce)
}

// recordBannedAnswer lifts the bans of the request of a run that was answered, and narrows those of which it has some of
// the traits.
func (t *CrashTracker) recordBannedAnswer(now time.Time, r *Run) {
	traits := r.traits()
	for _, b := range t.bans {
		if b.Lifted || !r.Began.After(b.since) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(b.Traits), func(trait uint64) bool { return slices.Contains(traits, trait) })
		switch {
		case len(rest) == len(b.Traits):
		case len(rest) == 0:
			t.lift(now, b)
		default:
			narrow := t.bans[Ban{Traits: rest}.ID()]
			if narrow == nil {
				narrow = &ban{Ban: Ban{Traits: rest, Suspected: b.Suspected}, since: b.since, losses: b.losses}
				t.insert(now, narrow)
			}
			if narrow.Lifted {
				narrow.Suspected = b.Suspected
			}
			narrow.Suspected = narrow.Suspected && b.Suspected
			narrow.Lifted, narrow.Trials, narrow.Confirmed = false, max(narrow.Trials, b.Trials), narrow.Confirmed || b.Confirmed
			t.renew(now, narrow, max(narrow.Until.Sub(now), b.Until.Sub(now)))
			t.lift(now, b)
		}
	}
}

// lift and renew change a ban, so that other VMs adopt the change.
func (t *CrashTracker) lift(now time.Time, b *ban) {
	b.Lifted, b.losses = true, nil
	t.renew(now, b, 0)
}

func (t *CrashTracker) renew(now time.Time, b *ban, ttl time.Duration) {
	changed := now
	if !changed.After(b.Changed) {
		changed = b.Changed.Add(time.Millisecond) // the clock of another VM may be ahead
	}
	b.Until, b.Changed = now.Add(ttl), changed
	t.changes = append(t.changes, b.Ban)
}

// matching returns the bans whose traits are all among the given ones.
func (t *CrashTracker) matching(traits []uint64) []*ban {
	var list []*ban
	for _, trait := range traits {
		for _, b := range t.byTrait[trait] {
			if containsAll(traits, b.Traits) {
				list = append(list, b)
			}
		}
	}
	return list
}

// insert adds a ban. If there are maxBans, the one that ends first is lifted and evicted, so that its row in the store goes
// too.
func (t *CrashTracker) insert(now time.Time, b *ban) {
	if len(t.bans) >= maxBans {
		var first *ban
		for _, other := range t.bans {
			if first == nil || compareEnds(now, other, first) < 0 {
				first = other
			}
		}
		if !first.Lifted {
			t.lift(now, first)
		}
		t.removeBan(first)
	}
	t.bans[b.ID()] = b
	t.byTrait[b.Traits[0]] = append(t.byTrait[b.Traits[0]], b)
}

// compareEnds orders bans by the time at which they end. Lifted ones have ended.
func compareEnds(now time.Time, a, b *ban) int {
	if a.active(now) != b.active(now) {
		if b.active(now) {
			return -1
		}
		return 1
	}
	return cmp.Or(a.Until.Compare(b.Until), cmp.Compare(a.ID(), b.ID()))
}

func (t *CrashTracker) removeBan(b *ban) {
	delete(t.bans, b.ID())
	key := b.Traits[0]
	t.byTrait[key] = slices.DeleteFunc(t.byTrait[key], func(other *ban) bool { return other == b })
	if len(t.byTrait[key]) == 0 {
		delete(t.byTrait, key)
	}
}
