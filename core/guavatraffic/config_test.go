package guavatraffic_test

import (
	"fmt"
	"testing"

	"guavaridge/core/guavatraffic"
)

// TestRoute guards against requests that match the route of another host or of a shorter prefix.
func TestRoute(t *testing.T) {
	c := guavatraffic.NewConfig(1, guavatraffic.Limits{}, []guavatraffic.Route{
		{Name: "short", Host: "one.example", Prefix: "/a/"},
		{Name: "long", Host: "one.example", Prefix: "/a/b/"},
		{Name: "other", Host: "Two.example", Prefix: "/a/"},
	}, nil, nil)
	cases := []struct{ host, path, want string }{
		{"one.example", "/a/x", "short"},
		{"one.example", "/a/b/x", "long"},
		{"one.example", "/a/bc", "short"},
		{"one.example:8080", "/a/b/", "long"},
		{"two.EXAMPLE", "/a/b/x", "other"},
		{"one.example", "/a", ""},
		{"three.example", "/a/x", ""},
	}
	for _, x := range cases {
		if r, _ := c.Route(x.host, x.path); r.Name != x.want {
			t.Errorf("%s%s: got route %q, want %q", x.host, x.path, r.Name, x.want)
		}
	}
}

// TestSplit guards against shares of a route that differ from its weights, and against a request ID whose service
// changes between calls.
func TestSplit(t *testing.T) {
	r := guavatraffic.Route{Targets: []guavatraffic.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	n := 0
	for i := range 10_000 {
		id := fmt.Sprintf("request-%d", i)
		s := r.Service(id)
		if s != r.Service(id) {
			t.Fatalf("%s goes to two services", id)
		}
		if s == "b" {
			n++
		}
	}
	if n < 900 || n > 1100 {
		t.Errorf("%d of 10,000 requests went to a service with a weight of 10%%, want 900 to 1100", n)
	}
	if s := (guavatraffic.Route{Targets: []guavatraffic.Target{{Service: "a"}, {Service: "b"}}}).Service("x"); s != "" {
		t.Errorf("without any weight the request goes to %q, want no service", s)
	}
}

// TestAccount guards against a key that is matched to another account, and against the priority of a route overriding
// that of the account.
func TestAccount(t *testing.T) {
	priority := 3
	c := guavatraffic.NewConfig(1, guavatraffic.Limits{}, nil, nil, []guavatraffic.Account{
		{Name: "a", Keys: []string{"k1", "k2"}, Priority: &priority}, {Name: "b", Keys: []string{"k3"}},
	})
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b", "": "", "k": ""} {
		if a, _ := c.Account(key); a.Name != want {
			t.Errorf("key %q: got account %q, want %q", key, a.Name, want)
		}
	}
	if p := c.Priority(guavatraffic.Route{Priority: 1}, "a"); p != 3 {
		t.Errorf("got priority %d for an account of priority 3, want 3", p)
	}
	if p := c.Priority(guavatraffic.Route{Priority: 1}, "b"); p != 1 {
		t.Errorf("got priority %d for an account without one on a route of priority 1, want 1", p)
	}
}
