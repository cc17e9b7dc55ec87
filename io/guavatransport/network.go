// Package guavatransport abstracts the network between processes: TCP, or an in-memory network in tests.
package guavatransport

import (
	"context"
	"net"
)

// Network opens connections and listeners by address.
type Network interface {
	Listen(address string) (net.Listener, error)
	// Dial has the signature of net.Dialer.DialContext.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

type tcp struct{ dialer net.Dialer }

// TCP returns the Network of the operating system.
func TCP() Network { return &tcp{} }

// Listen implements Network.
func (*tcp) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Network.
func (t *tcp) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, network, address)
}
