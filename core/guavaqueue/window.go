package guavaqueue

const (
	// growthFactor is the growth of the window size, relative to it, for each request that finds no congestion.
	// minGrowth is the minimum growth in requests.
	growthFactor = 0.0005
	minGrowth    = 0.1
	// decreaseFactor is the decrease for a request that finds congestion, as a multiple of the growth. Growth and
	// decrease cancel out when 1 of 20 requests finds congestion: the latency target applies to 95 of 100 requests.
	decreaseFactor = 19
	// slowStartFactor multiplies the growth until the first congestion.
	slowStartFactor = 8
	// MaxWindow is the maximum number of concurrent requests to one model on a VM.
	MaxWindow = 4096
)

// Window is an adaptive limit on the number of concurrent requests of a VM. A VM does not know how much of the backend
// servers' capacity other VMs use, so it infers the limit from congestion at the servers. The limit is adjusted at the
// first token instead of the end of a request, because a stream lasts for several seconds.
type Window struct {
	size          float64
	minSize       float64
	initialSize   float64
	running       int
	slowStartDone bool
	resetWhenIdle bool
}

// NewRestartingWindow returns a window that is reset to its initial size when a request begins while none is running:
// the size reached before reflects an overload that has ended.
func NewRestartingWindow(size, minSize float64) *Window {
	w := NewWindow(size, minSize)
	w.resetWhenIdle = true
	return w
}

// NewWindow returns a window with the given initial and minimum size.
func NewWindow(size, minSize float64) *Window {
	return &Window{size: max(size, minSize), initialSize: max(size, minSize), minSize: minSize}
}

// Size returns the current limit of concurrent requests.
func (w *Window) Size() int { return int(w.size) }

// Running returns the number of requests in flight.
func (w *Window) Running() int { return w.running }

// TryAcquire counts a request as in flight, or returns false when the limit is reached.
func (w *Window) TryAcquire() bool {
	if w.resetWhenIdle && w.running == 0 {
		w.size, w.slowStartDone = w.initialSize, false
	}
	if w.running >= int(w.size) {
		return false
	}
	w.running++
	return true
}

// FirstToken adjusts the limit at the first token of a request. Congested is true when the request was queued at its
// backend server.
func (w *Window) FirstToken(congested bool) {
	growth := max(minGrowth, w.size*growthFactor)
	switch {
	case congested:
		w.slowStartDone = true
		w.size = max(w.minSize, w.size-decreaseFactor*growth)
	case w.running >= int(w.size):
		// The limit only grows while it is reached.
		if !w.slowStartDone {
			growth *= slowStartFactor
		}
		w.size = min(MaxWindow, w.size+growth)
	}
}

// Release records that a request has ended.
func (w *Window) Release() { w.running-- }
