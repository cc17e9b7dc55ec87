package guavaplace

// Stats are counts of a scheduler.
type Stats struct {
	// Servers is the number of servers that take requests, Slots the number of their slots.
	Servers, Slots int
	// Online and Batch are running requests. Waiting and Late are online requests in the queue that can and cannot
	// start in time, Queued are batch items in the queue.
	Online, Batch, Waiting, Late, Queued int
	// Granted, Refused and Yields are the numbers of decisions of these kinds since the scheduler was created.
	Granted, Refused, Yields uint64
}

// Stats returns the current counts.
func (s *Scheduler) Stats() Stats {
	t := s.counts
	t.Waiting, t.Late, t.Queued = len(s.online), len(s.late), len(s.batch)
	for _, v := range s.servers {
		if !v.Leaving {
			t.Servers++
			t.Slots += v.slots()
		}
	}
	for _, r := range s.runs {
		if r.request.Class == Online {
			t.Online++
		} else {
			t.Batch++
		}
	}
	return t
}

// IsIdle reports whether nothing is running or waiting.
func (t Stats) IsIdle() bool { return t.Online+t.Batch+t.Waiting+t.Late+t.Queued == 0 }
