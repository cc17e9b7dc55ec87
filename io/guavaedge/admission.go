package guavaedge

import (
	"context"

	"guavaridge/core/guavaplace"
	"guavaridge/io/guavacoord"
)

// localAdmission requests reservations on servers on behalf of this VM's failure domain.
type localAdmission struct {
	*guavacoord.Client
	domain string
}

// Acquire implements guavagate.Admission and guavajobs.Admission.
func (a localAdmission) Acquire(ctx context.Context, service string, r guavaplace.Request) (*guavacoord.Reservation, error) {
	r.Domain = a.domain
	return a.Client.Acquire(ctx, service, r) //nolint:wrapcheck // only adds the domain
}
