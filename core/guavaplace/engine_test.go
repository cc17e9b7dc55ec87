package guavaplace_test

import (
	"slices"
	"time"
)

const (
	// sequenceCost is the part of a bare step that each further sequence adds to it.
	sequenceCost = 0.04
	// prefillRate is the number of prompt tokens that are read in a millisecond, and chunk the most that one step reads.
	prefillRate = 60.0
	chunk       = 256
)

// sequence is a request on an engine.
type sequence struct {
	number uint64
	prompt int // tokens
	output int // tokens to make
	made   int
	unread int // tokens to read before the next one is made
	fails  bool
}

// engine models a backend server. It admits requests in order of arrival while it has places and memory, reads prompts in
// chunks between steps, makes a token of each sequence in a step, and preempts the newest sequence when memory runs out.
// Prompt parts that requests share are not modelled.
type engine struct {
	places, memory int
	step           time.Duration // with one sequence
	slow           float64       // factor on step
	fails          float64       // share of runs that fail
	down           bool

	queue, runs []*sequence
	until       time.Duration // end of the step under way
}

// ended is a run that an engine has ended.
type ended struct {
	number uint64
	failed bool
	made   int
}

func (e *engine) add(s *sequence) {
	s.unread = s.prompt
	e.queue = append(e.queue, s)
}

// remove ends a sequence from outside.
func (e *engine) remove(number uint64) (made int) {
	for _, list := range []*[]*sequence{&e.queue, &e.runs} {
		for i, s := range *list {
			if s.number == number {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				return s.made
			}
		}
	}
	return 0
}

// orphan is the number of sequences whose VM is gone.
const orphan = 0

// drop ends all sequences with a number.
func (e *engine) drop(number uint64) {
	is := func(s *sequence) bool { return s.number == number }
	e.queue, e.runs = slices.DeleteFunc(e.queue, is), slices.DeleteFunc(e.runs, is)
}

func (e *engine) used() int {
	n := 0
	for _, s := range e.runs {
		n += s.prompt + s.made
	}
	return n
}

// advance runs the steps that end by now. It returns the sequences that made their first token, and those that ended.
func (e *engine) advance(now time.Duration) (first []uint64, over []ended) {
	for e.until <= now {
		for len(e.queue) > 0 && len(e.runs) < e.places && (len(e.runs) == 0 || e.used()+e.queue[0].prompt <= e.memory) {
			e.runs, e.queue = append(e.runs, e.queue[0]), e.queue[1:]
		}
		for len(e.runs) > 1 && e.used() > e.memory {
			newest := e.runs[len(e.runs)-1]
			newest.unread = newest.prompt + newest.made
			e.runs = e.runs[:len(e.runs)-1]
			e.queue = append([]*sequence{newest}, e.queue...)
		}
		if len(e.runs) == 0 {
			e.until = now + time.Millisecond
			return first, over
		}
		read := 0
		kept := e.runs[:0]
		for _, s := range e.runs {
			if s.unread > 0 {
				n := min(s.unread, chunk-read)
				s.unread -= n
				read += n
			}
			if s.unread > 0 {
				kept = append(kept, s)
				continue
			}
			if s.made++; s.made == 1 {
				first = append(first, s.number)
			}
			if s.fails || s.made >= s.output {
				over = append(over, ended{number: s.number, failed: s.fails, made: s.made})
				continue
			}
			kept = append(kept, s)
		}
		cost := float64(e.step)*(1+sequenceCost*float64(len(e.runs)-1)) + float64(read)/prefillRate*float64(time.Millisecond)
		e.runs = kept
		e.until += time.Duration(cost * e.slow)
	}
	return first, over
}
