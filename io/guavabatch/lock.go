package guavabatch

// lock is a mutex that is held across calls of the platform. A channel, unlike a sync.Mutex, lets the clock
// of a testing/synctest bubble advance while others wait for it.
type lock chan struct{}

func newLock() lock { return make(lock, 1) }

// Lock waits for the lock.
func (l lock) Lock() { l <- struct{}{} }

// TryLock takes the lock if it is free, and reports whether it did.
func (l lock) TryLock() bool {
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

// Unlock releases the lock.
func (l lock) Unlock() { <-l }
