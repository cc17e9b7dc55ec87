package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Bounds of the deployment Giz Lusitano.
const (
	drainTime  = 2 * time.Second
	finishTime = 18 * time.Second
	calmTime   = 5 * time.Second
)

// page is a page of results.
type page struct {
	Total, Next int
	Results     []struct{ ID, State, Text string }
}

// results returns all results that a VM lists for a job.
func (r *rig) results(v *vm, job string) (all page, ok bool) {
	for {
		status, data := r.call(v, "GET", fmt.Sprintf("/guavaridge/lots/%s?after=%d", job, all.Next), 2*time.Second, nil, nil)
		var p page
		if status != 200 || json.Unmarshal(data, &p) != nil {
			return page{}, false
		}
		all.Total, all.Next = p.Total, p.Next
		all.Results = append(all.Results, p.Results...)
		if len(p.Results) == 0 {
			return all, true
		}
	}
}

const (
	movedVMs     = 3
	movedServers = 2 // of each service
	movedItems   = 60
	movedEvents  = 160
	movedJob     = "job1"
)

// playMovedRoute moves the route of an accepted job to another service and then takes away the servers of the service before.
func playMovedRoute(record string, trouble bool) int {
	r, err := newRig(record, vmMemory)
	if err != nil {
		return notRun(err)
	}
	defer r.close()
	r.endAfter(caseLimit)
	const services = "service-a,service-b"
	r.configure(7, services, jobRoute("service-a"))
	var before []*server
	for n := range movedServers {
		a, err := r.addServer(fmt.Sprintf("server-a%d", n), "service-a", "z-0", engineSlots, movedEvents, eventInterval)
		if err != nil {
			return notRun(err)
		}
		if _, err := r.addServer(fmt.Sprintf("server-b%d", n), "service-b", "z-1", engineSlots, movedEvents, eventInterval); err != nil {
			return notRun(err)
		}
		before = append(before, a)
	}
	for n := range movedVMs {
		if _, err := r.addVM(fmt.Sprintf("vm-%d", n), fmt.Sprintf("z-%d", n)); err != nil {
			return notRun(err)
		}
	}
	if !r.awaitReady(10 * time.Second) {
		return notRun(errNotReady)
	}
	time.Sleep(2 * time.Second) // links between the VMs
	if !r.submit(0, movedJob, submission(movedJob, movedItems, 100)) {
		return notRun(fmt.Errorf("%s was not accepted", movedJob))
	}
	time.Sleep(time.Second)
	if trouble {
		r.configure(9, services, jobRoute("service-b"))
		time.Sleep(4 * time.Second)
		for _, s := range before {
			r.register(s, "draining")
		}
		time.Sleep(2 * drainTime)
		for _, s := range before {
			r.store.remove("servers", s.id)
			r.logf("server %s has left", s.id)
		}
	}
	// The rule allows finishTime after the end of traffic, of which the last calmTime without work at the servers.
	time.Sleep(finishTime)
	return r.judgeUnlisted(movedJob, r.vms[0])
}

// judgeUnlisted reports whether a VM lists items of a job neither as succeeded nor as given up although the servers have had no work
// for calmTime.
func (r *rig) judgeUnlisted(job string, v *vm) int {
	for range 5 {
		p, ok := r.results(v, job)
		if !ok {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		r.mu.Lock()
		servers := r.servers
		r.mu.Unlock()
		last, running := time.Time{}, 0
		for _, s := range servers {
			n, ended := s.load()
			running += n
			if ended.After(last) {
				last = ended
			}
		}
		r.logf("%s lists %d of %d items; the servers run %d, and the last run ended %.1f s ago", job, len(p.Results), p.Total, running,
			time.Since(last).Seconds())
		switch {
		case len(p.Results) == p.Total:
			r.logf("held")
			return exitHeld
		case running > 0 || time.Since(last) < calmTime:
			return notRun(errors.New("the servers have worked lately"))
		}
		r.logf("broken: %d accepted items are not listed, and no server has had one of them for %v", p.Total-len(p.Results), calmTime)
		return exitBroken
	}
	return notRun(fmt.Errorf("the VM does not answer for %s", job))
}
