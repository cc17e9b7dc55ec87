package guavapoison

import "time"

const (
	// maxCrashes is the maximum number of crashes stored for one fingerprint.
	maxCrashes = 8
	// suspectTTL and refusalTTL are the times after the last crash for which a fingerprint is suspect or refused.
	suspectTTL = 10 * time.Minute
	refusalTTL = time.Hour
)

// entry is the state of a fingerprint that was in flight when a server crashed.
type entry struct {
	refused   bool
	crashes   []crash
	clearedAt time.Time // crashes up to this time are ignored
	changedAt time.Time // when the entry last changed
}

// crash is an attempt that failed because its server crashed.
type crash struct {
	server    string
	began, at time.Time
}

// addCrash records a crash unless it is known. The fingerprint is refused once an attempt that began after one crash
// has crashed as well. Concurrent attempts do not count separately: when servers fail together, for example with their
// rack, harmless requests may be in flight at several of them.
func (e *entry) addCrash(c crash, now time.Time) {
	if e.refused || !c.at.After(e.clearedAt) {
		return
	}
	for _, other := range e.crashes {
		if other.server == c.server && other.at.Sub(c.at).Abs() < time.Microsecond {
			return
		}
		if !c.began.Before(other.at) || !other.began.Before(c.at) {
			e.refused = true
		}
	}
	if e.refused || len(e.crashes) < maxCrashes {
		e.crashes = append(e.crashes, c)
		e.changedAt = now
	}
}

func (e *entry) expired(now time.Time) bool {
	ttl := suspectTTL
	if e.refused {
		ttl = refusalTTL
	}
	return now.Sub(e.changedAt) > ttl
}
