// Package guavachart interprets state machines that are defined in JSON files.
package guavachart

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Chart is an immutable table of transitions between states of type S on events of type E.
type Chart[S, E ~string] struct {
	start       S
	transitions map[S]map[E]S
}

// New parses a chart from JSON of the shape {"start": S, "states": {S: {E: S}}}. It returns an error when the start
// state or the target of a transition is not defined.
func New[S, E ~string](data []byte) (Chart[S, E], error) {
	var file struct {
		Start  S             `json:"start"`
		States map[S]map[E]S `json:"states"`
	}
	if err := json.Unmarshal(data, &file); err != nil {
		return Chart[S, E]{}, errors.Newf("parse chart: %w", err)
	}
	if _, ok := file.States[file.Start]; !ok {
		return Chart[S, E]{}, errors.Newf("start state %q is not defined", string(file.Start))
	}
	for s, transitions := range file.States {
		for e, next := range transitions {
			if _, ok := file.States[next]; !ok {
				return Chart[S, E]{}, errors.Newf("state %q, event %q: next state %q is not defined", string(s), string(e), string(next))
			}
		}
	}
	return Chart[S, E]{start: file.Start, transitions: file.States}, nil
}

// MustNew is like New but panics on error. It is meant for charts embedded in the program.
func MustNew[S, E ~string](data []byte) Chart[S, E] {
	c, err := New[S, E](data)
	if err != nil {
		panic(err)
	}
	return c
}

// Start returns the initial state.
func (c Chart[S, E]) Start() S { return c.start }

// Next returns the state that follows s on event e, and false when e is not allowed in s.
func (c Chart[S, E]) Next(s S, e E) (S, bool) {
	next, ok := c.transitions[s][e]
	if !ok {
		return s, false
	}
	return next, true
}

// Final reports whether s has no outgoing transitions.
func (c Chart[S, E]) Final(s S) bool { return len(c.transitions[s]) == 0 }
