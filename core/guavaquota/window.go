package guavaquota

import "time"

// DefaultWindow is the time over which the requests of an account are counted, unless Tolerance sets another one.
const DefaultWindow = 5 * time.Second

// windowSlots is the number of slots in which a window is counted.
const windowSlots = 25

// windowCounter counts tokens over the time of a window. Its zero value is empty. A token is counted for up to a slot longer than
// the window.
type windowCounter struct {
	slots   [windowSlots + 1]int
	current int64 // number of the newest slot since the Unix epoch
}

// add counts n tokens.
func (c *windowCounter) add(now time.Time, window time.Duration, n int) {
	c.advance(now, window)
	c.slots[c.current%int64(len(c.slots))] += n
}

// sum returns the number of tokens of the last window.
func (c *windowCounter) sum(now time.Time, window time.Duration) (n int) {
	c.advance(now, window)
	for _, s := range c.slots {
		n += s
	}
	return n
}

// advance clears the slots that have left the window.
func (c *windowCounter) advance(now time.Time, window time.Duration) {
	slot := now.UnixNano() / int64(window/windowSlots)
	if slot-c.current > int64(len(c.slots)) {
		c.slots, c.current = [len(c.slots)]int{}, slot
	}
	for c.current < slot {
		c.current++
		c.slots[c.current%int64(len(c.slots))] = 0
	}
}

// report is what a VM has got of an account in the last window, from all owners.
type report struct {
	tokens int
	at     time.Time
	// fresh says that the VM has started within the window, so that it does not know what it got before.
	fresh bool
}

// Total is what an owner has said of an account: the number of tokens that all VMs together had got in the last window.
type Total struct {
	// Owner identifies the process of the owner.
	Owner  string
	Tokens int
	At     time.Time
}

// left returns how many of the tokens are still in the window, if they were granted evenly.
func (t Total) left(now time.Time, window time.Duration) int {
	return int(float64(t.Tokens) * max(1-now.Sub(t.At).Seconds()/window.Seconds(), 0))
}

// reports are the newest reports of the VMs that request tokens of an account. Their sum does not depend on which owners have
// granted the tokens, so it outlives changes of the owner.
type reports map[string]report

// sum returns the number of tokens that the VMs have got in the last window, and drops the reports that say nothing about it. Fresh
// VMs are taken to have got as many as the others on average.
func (r reports) sum(now time.Time, window time.Duration) int {
	known, n, fresh, mean := 0, 0, 0, 0
	for vm, p := range r {
		switch {
		case now.Sub(p.at) > window:
			delete(r, vm)
		case !p.fresh:
			known++
			n += p.tokens
		}
	}
	if known > 0 {
		mean = n / known
	}
	for _, p := range r {
		if p.fresh {
			fresh += max(p.tokens, mean)
		}
	}
	return n + fresh
}
