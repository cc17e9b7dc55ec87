package guavaedge

import (
	"context"

	"guavaridge/core/guavaplace"
	"guavaridge/io/guavacoord"
)

// placer asks for places in the name of this VM's failure domain.
type placer struct {
	*guavacoord.Client
	domain string
}

// Acquire implements guavagate.Admission and guavajobs.Admission.
func (p placer) Acquire(ctx context.Context, service string, r guavaplace.Request) (*guavacoord.Reservation, error) {
	r.Domain = p.domain
	return p.Client.Acquire(ctx, service, r) //nolint:wrapcheck // only adds the domain
}
