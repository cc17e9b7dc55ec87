// Package guavaridge runs one VM of a serving system for online and batch inference on a shared fleet.
//
// New assembles a VM from its settings; Run serves until the VM has drained. Packages in core make the decisions
// without I/O, packages in io perform the I/O, and io/guavanode connects them.
package guavaridge

import (
	"context"

	"github.com/cockroachdb/errors"

	"guavaridge/io/guavanode"
	"guavaridge/io/guavaremote"
	"guavaridge/io/guavasettings"
)

// VM is the process of one VM, which performs all roles.
type VM interface {
	// Run serves until the VM has drained, and then returns nil. When ctx ends, it stops at once.
	Run(ctx context.Context) error
	// Drain starts a graceful shutdown, in which requests in flight finish. Further calls have no effect.
	Drain()
	// Ready reports whether the VM accepts new requests.
	Ready() bool
}

// Option overrides a default of New.
type Option = guavanode.Option

// WithLogger sets the logger, which records state changes.
var WithLogger = guavanode.WithLogger

// New assembles a VM that is inactive until Run. The settings must contain the platform's address.
func New(s guavasettings.Settings, options ...Option) (VM, error) {
	if s.Platform == "" {
		return nil, errors.New("platform: \"\" is not allowed; want an IP number and port")
	}
	p, err := guavaremote.New(s.Platform, guavaremote.WithVM(s.Domain, s.Name))
	if err != nil {
		return nil, errors.Newf("connect to the platform: %w", err)
	}
	n, err := guavanode.New(s, p, options...)
	if err != nil {
		_ = p.Close() // the first error is returned
		return nil, err
	}
	return &connected{Node: n, platform: p}, nil
}

// connected is a VM that closes its connection to the platform when Run returns.
type connected struct {
	*guavanode.Node
	platform *guavaremote.Client
}

// Run implements VM.
func (c *connected) Run(ctx context.Context) error {
	defer func() { _ = c.platform.Close() }()
	return c.Node.Run(ctx)
}
