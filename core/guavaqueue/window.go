package guavaqueue

const (
	// step is the growth of a window for each request that found no congestion, relative to its size, and
	// leastStep its lower bound in requests.
	step      = 0.0005
	leastStep = 0.1
	// shrink is the decrease for a request that found congestion, in steps. Growth and decrease cancel out when
	// 1 of 20 requests finds congestion, as the target holds for 95 of 100.
	shrink = 19
	// startFactor speeds the growth up until the first congestion.
	startFactor = 8
	// MaxWindow bounds the requests of one model that a VM runs at a time.
	MaxWindow = 4096
)

// Window is the number of requests that a VM may run at a time. No VM knows the capacity that the others use;
// congestion at the backend servers tells it. The window moves with the first tokens instead of the ends of requests,
// because a stream lasts for several seconds.
type Window struct {
	size    float64
	least   float64
	start   float64
	running int
	started bool
	restart bool
}

// NewRestartingWindow returns a window that starts anew whenever it was empty, because what it learnt describes an
// overload that is over.
func NewRestartingWindow(size, least float64) *Window {
	w := NewWindow(size, least)
	w.restart = true
	return w
}

// NewWindow returns a window that starts at size and never falls below least.
func NewWindow(size, least float64) *Window {
	return &Window{size: max(size, least), start: max(size, least), least: least}
}

// Size returns the number of requests that may run.
func (w *Window) Size() int { return int(w.size) }

// Running returns the number of requests that run.
func (w *Window) Running() int { return w.running }

// TryAcquire takes a place, and returns false when the window is full.
func (w *Window) TryAcquire() bool {
	if w.restart && w.running == 0 {
		w.size, w.started = w.start, false
	}
	if w.running >= int(w.size) {
		return false
	}
	w.running++
	return true
}

// FirstToken records a first token. Congested is true when the request found a queue at its backend server.
func (w *Window) FirstToken(congested bool) {
	s := max(leastStep, w.size*step)
	switch {
	case congested:
		w.started = true
		w.size = max(w.least, w.size-shrink*s)
	case w.running >= int(w.size):
		// A window that is not in use does not grow.
		if !w.started {
			s *= startFactor
		}
		w.size = min(MaxWindow, w.size+s)
	}
}

// Release gives a place back.
func (w *Window) Release() { w.running-- }
