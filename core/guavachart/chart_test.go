package guavachart_test

import (
	"testing"

	"guavaridge/core/guavachart"
)

// TestNewRejects guards against charts with transitions to states that are not defined.
func TestNewRejects(t *testing.T) {
	for name, data := range map[string]string{
		"no start":      `{"start":"a","states":{"b":{}}}`,
		"unknown state": `{"start":"a","states":{"a":{"go":"b"}}}`,
		"not JSON":      `{"start":`,
	} {
		if _, err := guavachart.New[string, string]([]byte(data)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// TestNext guards against a transition on an event that is not allowed.
func TestNext(t *testing.T) {
	c := guavachart.MustNew[string, string]([]byte(`{"start":"a","states":{"a":{"go":"b"},"b":{}}}`))
	if s, ok := c.Next(c.Start(), "go"); s != "b" || !ok {
		t.Errorf("a on go: got %q, %v", s, ok)
	}
	if s, ok := c.Next("b", "go"); s != "b" || ok {
		t.Errorf("b on go: got %q, %v", s, ok)
	}
	if !c.Final("b") || c.Final("a") {
		t.Error("only b is final")
	}
}
