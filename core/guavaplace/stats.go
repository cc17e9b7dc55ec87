package guavaplace

// Stats describes a scheduler.
type Stats struct {
	// Servers that take requests, and places on them.
	Servers, Slots int
	// Online and Batch are running; Waiting, Late and Queued are online requests that can be on time, those that cannot, and
	// batch items without a place.
	Online, Batch, Waiting, Late, Queued int
	// Granted, Refused, Late and Yields count decisions since the start.
	Granted, Refused, Yields uint64
}

// Stats returns the state of the scheduler.
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

// IsIdle reports whether nothing runs or waits.
func (t Stats) IsIdle() bool { return t.Online+t.Batch+t.Waiting+t.Late+t.Queued == 0 }
