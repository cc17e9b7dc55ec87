package guavaplace_test

import (
	"fmt"
	"testing"

	"guavaridge/core/guavaplace"
)

// TestShards guards against shards that grow with the service, and against ones that change with each server.
func TestShards(t *testing.T) {
	cases := []struct{ servers, before, want int }{
		{0, 0, 1},
		{1, 0, 1},
		{90, 0, 1},
		{256, 0, 1},
		{257, 0, 2},
		{257, 1, 2},
		{250, 2, 2},
		{192, 2, 2},
		{191, 2, 1},
		{3000, 0, 16},
		{3000, 16, 16},
		{1600, 16, 16},
		{1500, 16, 8},
		{0, 16, 1},
	}
	for _, c := range cases {
		if got := guavaplace.ShardCount(c.servers, c.before); got != c.want {
			t.Errorf("%d servers, %d shards before: %d, want %d", c.servers, c.before, got, c.want)
		}
	}
}

// TestShardHoldsEachServerOnce guards against servers that no shard or several decide for, and against uneven shards.
func TestShardHoldsEachServerOnce(t *testing.T) {
	sizes := [8]int{}
	for i := range 2000 {
		held := 0
		for k := range sizes {
			s := guavaplace.Shard{Service: "m#1", Index: k, Count: len(sizes)}
			if back := guavaplace.ParseShard(s.String()); back != s {
				t.Fatalf("%q is read as %+v", s, back)
			}
			if s.Contains(fmt.Sprintf("i-%d", i)) {
				held++
				sizes[k]++
			}
		}
		if held != 1 {
			t.Fatalf("server %d is in %d shards", i, held)
		}
	}
	for k, n := range sizes {
		if n < 180 || n > 320 {
			t.Errorf("shard %d has %d servers of 2000", k, n)
		}
	}
	for _, name := range []string{"m", "m#", "m#1", "m#x/2", "m#2/2", "m#0/1"} {
		if s := guavaplace.ParseShard(name); s.Service != name || !s.Contains("any") {
			t.Errorf("%q is read as %+v", name, s)
		}
	}
}
