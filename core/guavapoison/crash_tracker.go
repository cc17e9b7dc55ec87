package guavapoison

import (
	"slices"
	"sync"
	"time"
)

const (
	// crashLimit is the number of consecutive lost runs after which what they share is banned. The platform allows 3 for
	// equal requests and 5 for a prompt part, with 3 s to apply it.
	crashLimit = 3
	// soundCrashLimit is the limit for a part of requests that were answered before: when many servers fail, requests with
	// a common part lose several runs in a row.
	soundCrashLimit = 5
	// soundCrashSpan is the minimum time between the first and the last lost run for such a part. A server that resets
	// connections loses several runs within milliseconds, before another one can have answered.
	soundCrashSpan = time.Second
	// maxLosses is the maximum number of lost runs stored for one trait.
	maxLosses = 8
	// confirmWindow is the time after a lost run within which the termination of its server confirms a crash. Within some
	// seconds, a crashed server has restarted, or is missing from the server list after 3 reports.
	confirmWindow = 10 * time.Second
	// maxSuspects is the maximum number of traits with lost runs, each of up to 1 KB. Those with the fewest are evicted.
	maxSuspects = 2000
	// maxSoundParts is the number of parts remembered as sound, of about 50 bytes each.
	maxSoundParts = 8192
)

// Run identifies a run and what its request shares with others.
type Run struct {
	// ID is unique among the runs of a server.
	ID     string
	Server string
	Began  time.Time
	// Content identifies the request, 0 if unknown. Parts identify the parts of its prompt that it shares with others.
	Content uint64
	Parts   []uint64
	// Item is true for batch items. They are not banned by their content, since their job limits their runs.
	Item bool
}

// traits returns what other requests may share: the content, and the parts of the prompt.
func (r *Run) traits() []uint64 { return traitsOf(r.Content, r.Parts) }

// traitsOf returns the traits of a request, which are never 0.
func traitsOf(content uint64, parts []uint64) []uint64 {
	traits := make([]uint64, 0, 1+len(parts))
	for _, t := range append([]uint64{content}, parts...) {
		if t != 0 && !slices.Contains(traits, t) {
			traits = append(traits, t)
		}
	}
	return traits
}

// suspect holds the lost runs of requests with a trait since the last one that was answered: not overlapping, the oldest
// first. Of overlapping runs only one counts: when servers fail together, harmless requests may be in flight at several
// of them. The others that VMs have told of are kept, since those VMs may not know what they overlap with.
type suspect struct {
	losses      []*Loss
	overlapping []*Loss
}

// crashes returns the number of losses that count.
func (s *suspect) crashes() int {
	n := 0
	for _, l := range s.losses {
		if l.counts() {
			n++
		}
	}
	return n
}

// requests returns the number of different requests among the losses.
func (s *suspect) requests() int {
	contents := map[uint64]bool{}
	for _, l := range s.losses {
		contents[l.Content] = true
	}
	return len(contents)
}

// CrashTracker finds what requests share that crash the servers which run them: the whole request, when it is repeated, or
// parts of the prompt of requests that are otherwise different. It bans what it finds. A lost run counts from the moment at
// which its connection breaks, and for longer once its server is known to have terminated. An answer to a request with a
// part shows that the part crashes no server.
//
// When several parts fit the lost runs equally, the ban covers requests with all of them, so that sound requests with some
// of them are served; their answers narrow the ban.
//
// Decisions depend only on the calls and the times passed to them. A CrashTracker may be used concurrently.
type CrashTracker struct {
	mu       sync.Mutex
	suspects map[uint64]*suspect
	sound    generations
	bans     map[uint64]*ban   // by Ban.ID
	byTrait  map[uint64][]*ban // by the first trait
	changes  []Ban             // since the last call of TakeChanges
	losses   lossRegister
}

// NewCrashTracker returns a tracker without suspects.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{
		suspects: map[uint64]*suspect{}, bans: map[uint64]*ban{}, byTrait: map[uint64][]*ban{}, losses: newLossRegister(),
	}
}

// RecordLost records that a run ended before its server had got beyond the begin of an answer: its connection was closed,
// or, if silent is true, stayed open without a byte received.
func (t *CrashTracker) RecordLost(now time.Time, r Run, silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	traits := r.traits()
	if len(t.bans) > 0 && t.isBanned(traits) {
		return // it began before the ban was known here, or is a trial that failed
	}
	l := t.losses.find(r.ID, r.Server)
	if l == nil {
		l = &Loss{Run: r, At: now, Silent: silent}
		t.losses.add(now, l)
		for _, trait := range traits {
			if t.suspect(now, trait).add(l) {
				l.Traits = append(l.Traits, trait)
			}
		}
	} else {
		l.Silent, l.Recorder = l.Silent && silent, ""
	}
	t.losses.change(l)
	t.judge(now, l)
}

// add adds a loss unless it overlaps with an earlier one, and reports whether it did.
func (s *suspect) add(l *Loss) bool {
	if n := len(s.losses); n > 0 && l.At.Sub(s.losses[n-1].At) > suspectTTL {
		s.losses = nil
	}
	if n := len(s.losses); n > 0 && l.Began.Before(s.losses[n-1].At) {
		return false
	}
	s.append(l)
	return true
}

func (s *suspect) append(l *Loss) {
	if len(s.losses) == maxLosses {
		s.losses = slices.Delete(s.losses, 0, 1)
	}
	s.losses = append(s.losses, l)
}

// judge bans what a loss shares with others, if enough runs were lost. With one less, it records a suspicion, with which
// the next loss is enough for VMs that know of no earlier one.
func (t *CrashTracker) judge(now time.Time, l *Loss) {
	if s := t.suspects[l.Content]; s != nil && !l.Item {
		switch n := s.crashes(); {
		case n >= crashLimit:
			t.ban(now, []uint64{l.Content}, s.losses)
		case n == crashLimit-1:
			t.markSuspected(now, []uint64{l.Content}, s.losses)
		}
	}
	if parts := t.culprits(l, 0); len(parts) > 0 {
		t.ban(now, parts, t.suspects[parts[0]].losses)
		for _, p := range parts {
			t.clear(p, func(*Loss) bool { return true })
		}
		t.discard(parts)
	} else if parts := t.culprits(l, 1); len(parts) > 0 {
		t.markSuspected(now, parts, t.suspects[parts[0]].losses)
	}
	t.confirmSuspicions(now, l)
}

// culprits returns the parts of a loss that explain it best and have reached their limits, or lack the given number of
// losses to them; none if there are no such parts. Parts that had no answer come first, then those with the most crashes. A
// part of one request only, which is repeated, is no better explanation than the request.
func (t *CrashTracker) culprits(l *Loss, lacking int) []uint64 {
	parts := make([]uint64, 0, len(l.Parts))
	best, bestSound := 0, false
	for _, p := range l.Parts {
		s := t.suspects[p]
		if s == nil || s.requests() < 2 {
			continue
		}
		n, sound := s.crashes(), t.sound.contains(p)
		if !s.reached(sound, lacking) || t.hasRival(s, l) {
			continue
		}
		switch {
		case len(parts) == 0, bestSound && !sound, sound == bestSound && n > best:
			parts, best, bestSound = append(parts[:0], p), n, sound
		case sound == bestSound && n == best && !slices.Contains(parts, p):
			parts = append(parts, p)
		}
	}
	return parts
}

// hasRival reports whether a part that the last lost run of a part does not have explains all others. A crash loses several
// runs, and the run that caused it need not be the first one that is reported.
func (t *CrashTracker) hasRival(s *suspect, last *Loss) bool {
	others := slices.DeleteFunc(slices.Clone(s.losses), func(l *Loss) bool { return l == last })
	for trait, rival := range t.suspects {
		isPart := !slices.ContainsFunc(rival.losses, func(l *Loss) bool { return l.Content == trait })
		if isPart && !slices.Contains(last.Parts, trait) && rival.explains(others) {
			return true
		}
	}
	return false
}

// explains reports whether a run with the trait was lost in the same crash as each of the losses.
func (s *suspect) explains(losses []*Loss) bool {
	return !slices.ContainsFunc(losses, func(l *Loss) bool {
		return !slices.ContainsFunc(s.losses, func(own *Loss) bool {
			return own == l || (own.Server == l.Server && own.Began.Before(l.At) && l.Began.Before(own.At))
		})
	})
}

// reached reports whether a part with the losses, and with the number that it lacks, is banned. sound parts had answers before.
func (s *suspect) reached(sound bool, lacking int) bool {
	n := s.crashes() + lacking
	if !sound {
		return n >= crashLimit
	}
	return n >= soundCrashLimit && s.losses[len(s.losses)-1].At.Sub(s.losses[0].Began) >= soundCrashSpan
}

// discard removes the losses that a ban explains from the other traits.
func (t *CrashTracker) discard(parts []uint64) {
	for trait := range t.suspects {
		t.clear(trait, func(l *Loss) bool { return containsAll(l.Parts, parts) })
	}
}

// clear removes the losses that match from a trait.
func (t *CrashTracker) clear(trait uint64, match func(l *Loss) bool) {
	t.remove(trait, func(l *Loss) bool {
		if !match(l) {
			return false
		}
		l.removeTrait(trait)
		t.losses.change(l)
		return true
	})
}

// remove removes the losses that match from the suspect of a trait.
func (t *CrashTracker) remove(trait uint64, match func(l *Loss) bool) {
	s := t.suspects[trait]
	if s == nil {
		return
	}
	s.losses = slices.DeleteFunc(s.losses, match)
	overlapping := slices.DeleteFunc(s.overlapping, match)
	s.overlapping = nil
	for _, l := range overlapping {
		s.merge(l)
	}
	if len(s.losses) == 0 {
		delete(t.suspects, trait)
	}
}

func containsAll(list, wanted []uint64) bool {
	return !slices.ContainsFunc(wanted, func(w uint64) bool { return !slices.Contains(list, w) })
}

// RecordSound records that the parts belong to a request that was answered. A VM does so for its own requests, so that it
// knows the parts when it becomes the one that decides.
func (t *CrashTracker) RecordSound(parts []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		t.sound.add(p)
	}
}

// RecordAnswered records that the server of a run has got beyond the begin of its answer. Requests with the same traits
// that were lost before the run began had another cause.
func (t *CrashTracker) RecordAnswered(now time.Time, r Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range r.Parts {
		t.sound.add(p)
	}
	if len(t.bans) > 0 {
		t.recordBannedAnswer(now, &r)
	}
	if len(t.suspects) == 0 {
		return
	}
	for _, trait := range r.traits() {
		t.clear(trait, func(l *Loss) bool { return !l.Began.After(r.Began) })
	}
}

// IsSuspect reports whether runs of requests with one of the parts were lost, so that an answer to one is of interest.
func (t *CrashTracker) IsSuspect(parts []uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return (len(t.suspects) > 0 || len(t.bans) > 0) && slices.ContainsFunc(parts, func(p uint64) bool {
		return t.suspects[p] != nil || slices.ContainsFunc(t.byTrait[p], func(b *ban) bool { return !b.Lifted })
	})
}

// ServerEnded records that a server has terminated unexpectedly or has restarted.
func (t *CrashTracker) ServerEnded(now time.Time, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var confirmed []*Loss
	for _, s := range t.suspects {
		for _, l := range s.losses {
			if l.Server == server && !l.Crashed && now.Sub(l.At) <= confirmWindow {
				l.Crashed = true
				t.losses.change(l)
				confirmed = append(confirmed, l)
			}
		}
	}
	t.confirmBans(now, server)
	for _, l := range confirmed {
		t.judge(now, l)
	}
}

// Suspects returns the number of traits with lost runs.
func (t *CrashTracker) Suspects() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects)
}

// suspect returns the entry of a trait, which it creates if there is none. If there are maxSuspects, one of those with the
// fewest losses is evicted: single losses are common, and must not keep the tracker from counting further ones.
func (t *CrashTracker) suspect(now time.Time, trait uint64) *suspect {
	if s := t.suspects[trait]; s != nil {
		return s
	}
	if len(t.suspects) >= maxSuspects {
		t.evict(now)
	}
	s := &suspect{}
	t.suspects[trait] = s
	return s
}

// evict removes the expired suspects, or, if there are none, the one with the fewest losses, of several the oldest.
func (t *CrashTracker) evict(now time.Time) {
	var worst uint64
	var least *suspect
	for trait, s := range t.suspects {
		n := len(s.losses)
		if n == 0 || now.Sub(s.losses[n-1].At) > suspectTTL {
			delete(t.suspects, trait)
			continue
		}
		if least == nil || n < len(least.losses) ||
			(n == len(least.losses) && s.losses[n-1].At.Before(least.losses[n-1].At)) {
			worst, least = trait, s
		}
	}
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, worst)
	}
}

// generations is a set of parts that keeps the maxSoundParts/2 that were added last, and up to as many older ones.
type generations struct{ current, previous map[uint64]struct{} }

func (g *generations) add(p uint64) {
	if _, ok := g.current[p]; ok {
		return
	}
	if g.current == nil || len(g.current) >= maxSoundParts/2 {
		g.previous, g.current = g.current, map[uint64]struct{}{}
	}
	g.current[p] = struct{}{}
}

func (g *generations) contains(p uint64) bool {
	_, current := g.current[p]
	_, previous := g.previous[p]
	return current || previous
}
