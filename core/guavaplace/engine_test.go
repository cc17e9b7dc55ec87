package guavaplace_test

import (
	"slices"
	"time"
)

const (
	// sequenceCost is the time that each further sequence adds to a step, as a share of a step with one sequence.
	sequenceCost = 0.04
	// prefillRate is the number of prompt tokens read per millisecond, and chunk the maximum number read in one step.
	prefillRate = 60.0
	chunk       = 256
)

// sequence is a request that an engine executes.
type sequence struct {
	number    uint64
	prompt    int // tokens
	output    int // tokens to generate
	generated int
	unread    int // tokens to read before the next one is generated
	fails     bool
}

// engine models a backend server. It admits requests in order of arrival while it has slots and memory, reads prompts
// in chunks between steps, generates a token of each sequence in a step, and preempts the newest sequence when memory
// runs out. Prefix caching is not modelled.
type engine struct {
	slots, memory int
	step          time.Duration // duration with one sequence
	slow          float64       // factor on step
	fails         float64       // share of runs that fail
	down          bool

	queue, runs []*sequence
	until       time.Duration // end of the current step
}

// endedRun is a run that an engine has completed or failed.
type endedRun struct {
	number    uint64
	failed    bool
	generated int
}

func (e *engine) add(s *sequence) {
	s.unread = s.prompt
	e.queue = append(e.queue, s)
}

// remove aborts a sequence and returns the number of tokens that it has generated.
func (e *engine) remove(number uint64) (generated int) {
	for _, list := range []*[]*sequence{&e.queue, &e.runs} {
		for i, s := range *list {
			if s.number == number {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				return s.generated
			}
		}
	}
	return 0
}

// orphan is the number given to sequences whose VM has failed.
const orphan = 0

// drop aborts all sequences with the given number.
func (e *engine) drop(number uint64) {
	matches := func(s *sequence) bool { return s.number == number }
	e.queue, e.runs = slices.DeleteFunc(e.queue, matches), slices.DeleteFunc(e.runs, matches)
}

func (e *engine) used() int {
	n := 0
	for _, s := range e.runs {
		n += s.prompt + s.generated
	}
	return n
}

// advance runs the steps that end by now. It returns the sequences that generated their first token, and those that
// ended.
func (e *engine) advance(now time.Duration) (first []uint64, ended []endedRun) {
	for e.until <= now {
		for len(e.queue) > 0 && len(e.runs) < e.slots && (len(e.runs) == 0 || e.used()+e.queue[0].prompt <= e.memory) {
			e.runs, e.queue = append(e.runs, e.queue[0]), e.queue[1:]
		}
		for len(e.runs) > 1 && e.used() > e.memory {
			newest := e.runs[len(e.runs)-1]
			newest.unread = newest.prompt + newest.generated
			e.runs = e.runs[:len(e.runs)-1]
			e.queue = append([]*sequence{newest}, e.queue...)
		}
		if len(e.runs) == 0 {
			e.until = now + time.Millisecond
			return first, ended
		}
		read := 0
		active := e.runs[:0]
		for _, s := range e.runs {
			if s.unread > 0 {
				n := min(s.unread, chunk-read)
				s.unread -= n
				read += n
			}
			if s.unread > 0 {
				active = append(active, s)
				continue
			}
			if s.generated++; s.generated == 1 {
				first = append(first, s.number)
			}
			if s.fails || s.generated >= s.output {
				ended = append(ended, endedRun{number: s.number, failed: s.fails, generated: s.generated})
				continue
			}
			active = append(active, s)
		}
		cost := float64(e.step)*(1+sequenceCost*float64(len(e.runs)-1)) + float64(read)/prefillRate*float64(time.Millisecond)
		e.runs = active
		e.until += time.Duration(cost * e.slow)
	}
	return first, ended
}
