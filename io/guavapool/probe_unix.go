//go:build unix

package guavapool

import (
	"errors"
	"net"
	"syscall"
)

// prober looks at a connection without reading from it.
type prober struct {
	raw  syscall.RawConn
	look func(fd uintptr) bool
	err  *error
}

// newProber returns a prober of c, which is quiet at all times when c is no socket.
func newProber(c net.Conn) prober {
	s, ok := c.(syscall.Conn)
	if !ok {
		return prober{}
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return prober{}
	}
	var got error
	return prober{raw: raw, err: &got, look: func(fd uintptr) bool {
		var b [1]byte
		_, _, got = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) //nolint:gosec // a descriptor fits
		return true
	}}
}

// quiet reports whether the connection is open and has nothing to read.
func (p prober) quiet() bool {
	if p.raw == nil {
		return true
	}
	if err := p.raw.Read(p.look); err != nil {
		return false
	}
	return errors.Is(*p.err, syscall.EAGAIN)
}
