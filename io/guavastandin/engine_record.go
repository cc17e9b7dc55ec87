package guavastandin

import "sync"

// maxRecorded is the maximum number of requests that a record stores, which bounds its memory under heavy load.
const maxRecorded = 100_000

// Received is a request as received by an Engine or a Service.
type Received struct {
	ID     string
	Method string
	Path   string
	Header map[string][]string
	Body   []byte
}

// record stores the received requests. It counts work by prompt or booking, and cancellations by attempt identifier.
type record struct {
	mu       sync.Mutex
	disabled bool
	received []Received
	arrivals map[string]int
	starts   map[string]int
	ends     map[string]int
	cancels  map[string]int
}

func newRecord(off bool) *record {
	return &record{disabled: off, arrivals: map[string]int{}, starts: map[string]int{}, ends: map[string]int{}, cancels: map[string]int{}}
}

func (r *record) add(q Received) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.received) < maxRecorded {
		r.received = append(r.received, q)
	}
}

func (r *record) increment(m map[string]int, name string) {
	if r.disabled {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m[name]++
}

// Received returns the first maxRecorded requests received, in order.
func (r *record) Received() []Received {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Received(nil), r.received...)
}

// Arrivals returns how many requests with this prompt arrived, including those received during a hang.
func (r *record) Arrivals(prompt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals[prompt]
}

// Starts returns how often execution of the work with this prompt or booking started.
func (r *record) Starts(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[name]
}

// Ends returns how often the work with this prompt or booking was executed to its end.
func (r *record) Ends(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends[name]
}

// Cancels returns how often the attempt with this identifier was cancelled while waiting or running.
func (r *record) Cancels(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancels[id]
}
