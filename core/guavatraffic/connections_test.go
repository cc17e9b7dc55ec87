package guavatraffic_test

import (
	"testing"

	"guavaridge/core/guavatraffic"
)

// TestIdleConnections guards against VMs that together keep more connections open than a server accepts, which resets
// the excess ones, and against a VM that keeps none.
func TestIdleConnections(t *testing.T) {
	cases := []struct {
		name        string
		connections []int
		vms, want   int
	}{
		{"few VMs", []int{290, 96}, 3, 8},
		{"nine VMs", []int{290, 96}, 9, 5},
		{"eighty VMs", []int{510, 460}, 80, 2},
		{"more VMs than connections", []int{510, 460}, 600, 1},
		{"no limit", []int{0}, 80, 8},
		{"no service", nil, 80, 8},
		{"no VM known", []int{96}, 0, 8},
	}
	for _, c := range cases {
		var services []guavatraffic.Service
		for i, n := range c.connections {
			services = append(services, guavatraffic.Service{Name: string(rune('a' + i)), Connections: n})
		}
		config := guavatraffic.NewConfig(1, guavatraffic.Limits{}, nil, services, nil)
		if got := config.IdleConnections(c.vms, 8); got != c.want {
			t.Errorf("%s: got %d idle connections to a server for each VM, want %d", c.name, got, c.want)
		}
	}
}
