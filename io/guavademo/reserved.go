package guavademo

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"guavaridge/io/guavasettings"
)

// reservedNetwork is a loopback network for one VM with listeners that are open in advance. If a free port were only
// determined and released, another VM could bind it before it is used.
type reservedNetwork struct {
	ports     guavasettings.Ports
	listeners map[string]net.Listener
	dialer    net.Dialer
}

func newReservedNetwork() (*reservedNetwork, error) {
	r := &reservedNetwork{listeners: map[string]net.Listener{}}
	for _, port := range []*int{&r.ports.Callers, &r.ports.Operators, &r.ports.Peers, &r.ports.Admin} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Newf("reserve a port: %w", err)
		}
		*port = l.Addr().(*net.TCPAddr).Port
		r.listeners[l.Addr().String()] = l
	}
	return r, nil
}

// Listen implements guavanode.Network.
func (r *reservedNetwork) Listen(address string) (net.Listener, error) {
	l, ok := r.listeners[address]
	if !ok {
		return nil, errors.Newf("listen on %s: address not reserved", address)
	}
	delete(r.listeners, address)
	return l, nil
}

// Dial implements guavanode.Network.
func (r *reservedNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return r.dialer.DialContext(ctx, network, address)
}
