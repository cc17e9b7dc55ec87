// Package guavaridge runs one VM of a serving system for online and batch inference on one fleet.
//
// New joins the parts of a VM as its settings say; Run serves until the VM has drained. The decisions lie in core, what
// touches the outside in io, and io/guavanode shows how the parts fit together.
package guavaridge

import (
	"context"

	"github.com/cockroachdb/errors"

	"guavaridge/io/guavanode"
	"guavaridge/io/guavaremote"
	"guavaridge/io/guavasettings"
)

// VM is the process of one VM, with every role in it.
type VM interface {
	// Run serves until Drain has finished, and returns nil then. When ctx ends, it stops at once.
	Run(ctx context.Context) error
	// Drain starts a graceful stop that cuts off no request. It may be called often.
	Drain()
	// Ready reports whether the VM takes new requests.
	Ready() bool
}

// Option changes a default of New.
type Option = guavanode.Option

// WithLogger sets the logger of changes of state.
var WithLogger = guavanode.WithLogger

// New assembles a VM that does nothing until Run. The settings must name the platform.
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
		_ = p.Close() // the first error matters
		return nil, err
	}
	return &connected{Node: n, platform: p}, nil
}

// connected is a VM that closes its connection to the platform when it has stopped.
type connected struct {
	*guavanode.Node
	platform *guavaremote.Client
}

// Run implements VM.
func (c *connected) Run(ctx context.Context) error {
	defer func() { _ = c.platform.Close() }()
	return c.Node.Run(ctx)
}
