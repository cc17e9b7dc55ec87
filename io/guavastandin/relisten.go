package guavastandin

import "net"

// relistener is implemented by listeners, such as in-memory ones, that can reopen their address after Close.
type relistener interface {
	Relisten() (net.Listener, error)
}

// relisten reopens the address of a closed listener.
func relisten(ln net.Listener) (net.Listener, error) {
	if r, ok := ln.(relistener); ok {
		return r.Relisten()
	}
	return net.Listen(ln.Addr().Network(), ln.Addr().String())
}
