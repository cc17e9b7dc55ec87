//go:build unix

package guavapool

import (
	"errors"
	"net"
	"syscall"
)

// prober checks the state of a connection without consuming data.
type prober struct {
	raw  syscall.RawConn
	peek func(fd uintptr) bool
	err  *error
}

// newProber returns a prober of c. If c is not a socket, the prober always reports it as idle.
func newProber(c net.Conn) prober {
	s, ok := c.(syscall.Conn)
	if !ok {
		return prober{}
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return prober{}
	}
	var peekErr error
	return prober{raw: raw, err: &peekErr, peek: func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) //nolint:gosec // a descriptor fits
		return true
	}}
}

// isIdle reports whether the connection is open and has no data to read.
func (p prober) isIdle() bool {
	if p.raw == nil {
		return true
	}
	if err := p.raw.Read(p.peek); err != nil {
		return false
	}
	return errors.Is(*p.err, syscall.EAGAIN)
}
