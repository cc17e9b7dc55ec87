package guavanode

import (
	"time"

	"google.golang.org/grpc"

	"guavaridge/core/guavamember"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavapeer"
)

// payload returns the payload of exchange messages to the VMs of a domain.
func (n *Node) payload(domain string) guavapeer.Payload {
	p := guavapeer.Payload{Cancels: n.cancels.recent(), Poison: n.pipeline.PoisonReports()}
	if domain != n.settings.Domain {
		return p
	}
	p.Loads = n.loads.recent()
	p.Arrivals = n.arrivals.takeUnreported()
	return p
}

// receive handles a payload from another VM.
func (n *Node) receive(_ guavamember.Identity, p guavapeer.Payload) {
	for _, l := range p.Loads {
		n.pipeline.ObserveLoad(l.Server, guavaback.Load{
			Running: int(l.Running), Waiting: int(l.Waiting), Slots: int(l.Slots), KV: l.KV, Age: l.Age.Milliseconds(),
		})
	}
	if len(p.Arrivals) > 0 {
		sent := make(map[string]int, len(p.Arrivals))
		for server, k := range p.Arrivals {
			sent[server] = int(k)
		}
		n.pipeline.ObserveArrivals(sent)
	}
	n.cancels.stopAll(p.Cancels)
	if p.Submitted {
		n.batchRunner.Submitted()
	}
	n.reports.markKnown(p.Poison)
	n.pipeline.MergePoison(p.Poison)
}

// dialOptions returns the gRPC options for connections to other VMs.
func (n *Node) dialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		n.security.dialOption,
		grpc.WithContextDialer(n.dialPeer),
		grpc.WithIdleTimeout(peerIdleTimeout),
	}
}

// peerIdleTimeout is the idle time after which a connection to another VM is closed, so that connections to removed VMs
// end.
const peerIdleTimeout = 5 * time.Minute
