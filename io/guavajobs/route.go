package guavajobs

import (
	"context"
	"errors"

	"guavaridge/core/guavaprogress"
)

// errRouteChanged ends the wait for a service to which the item's route no longer leads.
var errRouteChanged = errors.New("the route of the item has changed")

// routeState is what this VM knows of the route of an item.
type routeState int

const (
	routeKnown routeState = iota
	// routeUnknown means that the route is not in a configuration that may be older than the job.
	routeUnknown
	// routeRemoved means that the route is not in a configuration that is at least as new as the job.
	routeRemoved
)

// service returns the service to which the item's route leads. This VM's configuration may be older than the one under which the job
// was accepted: changes of the jobs table may arrive before those of the configuration. Until it has that version, the service at the
// acceptance counts, which is newer. Jobs of builds that stored no version wait for a copy of the configuration that is complete
// up to the moment at which this VM began to run them.
func (r *itemRun) service(j guavaprogress.Job) (string, routeState) {
	l := r.runner.jobs
	complete := j.Version > 0 || l.ConfigPosition() >= r.runner.begun // before the configuration is read
	config := l.Config()
	if config.Version < j.Version {
		return j.Service, routeKnown
	}
	route, ok := config.Route(j.Host, r.item.Path)
	switch {
	case ok:
		return route.Service(j.ID), routeKnown
	case l.Stale():
		return j.Service, routeKnown // the route may have been added again
	case !complete:
		return "", routeUnknown
	}
	return "", routeRemoved
}

// serviceWait is an item's wait for a reservation on a server of a service.
type serviceWait struct {
	service string
	leave   context.CancelCauseFunc
}

func (r *itemRun) setWait(w *serviceWait) {
	r.waitMu.Lock()
	defer r.waitMu.Unlock()
	r.serviceWait = w
}

// reviewRoute ends the item's wait for a service that its route has left.
func (r *itemRun) reviewRoute() {
	r.waitMu.Lock()
	defer r.waitMu.Unlock()
	if r.serviceWait == nil {
		return
	}
	if service, state := r.service(r.runner.job); state != routeKnown || service != r.serviceWait.service {
		r.serviceWait.leave(errRouteChanged)
	}
}
