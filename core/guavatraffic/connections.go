package guavatraffic

// idleShare is the share of a server's connection limit that all VMs together may use for idle connections. The rest is
// for requests in flight and for VMs that are not yet in each other's membership view.
const idleShare = 0.5

// IdleConnections returns how many idle connections to a server each VM may keep, so that all VMs together stay below
// the connection limit of every service's servers. It is at least 1 and otherwise at most maximum.
func (c *Config) IdleConnections(vms, maximum int) int {
	for _, s := range c.Services {
		if s.Connections > 0 {
			maximum = min(maximum, int(idleShare*float64(s.Connections)/float64(max(vms, 1))))
		}
	}
	return max(maximum, 1)
}
