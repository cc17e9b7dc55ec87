package guavatraffic

// idleShare is the part of the connections that a server accepts which VMs together may keep open without use. The rest is
// for requests under way and for VMs that do not know of each other.
const idleShare = 0.5

// IdleConnections returns how many idle connections to a server each of a number of VMs may keep, at least 1 and at most the
// given number, so that all of them stay below what the servers of every service accept.
func (c *Config) IdleConnections(vms, most int) int {
	for _, s := range c.Services {
		if s.Connections > 0 {
			most = min(most, int(idleShare*float64(s.Connections)/float64(max(vms, 1))))
		}
	}
	return max(most, 1)
}
