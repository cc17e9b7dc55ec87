package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"guavaridge/core/guavamember"
)

// The fleet of the case, of which one VM is left, and its place in the line of those that may take the job over, 0 being the first.
const (
	lineVMs   = 20
	linePlace = 16
	lineItems = 40
	lateTime  = 20 * time.Second
)

// playLongLine loses all VMs but one while a job is open.
func playLongLine(record string, trouble bool) int {
	r, err := newRig(record, vmMemory)
	if err != nil {
		return notRun(err)
	}
	defer r.close()
	r.endAfter(caseLimit)
	r.configure(7, service, jobRoute(service))
	for n := range 2 {
		if _, err := r.addServer(fmt.Sprintf("server-%d", n), service, "z-0", engineSlots, itemEvents, eventInterval); err != nil {
			return notRun(err)
		}
	}
	var list []guavamember.Identity
	for n := range lineVMs {
		v, err := r.addVM(fmt.Sprintf("vm-%d", n), fmt.Sprintf("z-%d", n%4))
		if err != nil {
			return notRun(err)
		}
		list = append(list, guavamember.Identity{Name: v.name})
	}
	if !r.awaitReady(15 * time.Second) {
		return notRun(errNotReady)
	}
	time.Sleep(3 * time.Second) // links between the VMs
	owner, left := r.vms[0], r.vms[lineVMs-1]
	job := ""
	for n := 0; job == "" || guavamember.Position("job/"+job, left.name, owner.name, list) < linePlace; n++ {
		job = fmt.Sprintf("job%d", n)
	}
	if !r.submit(0, job, submission(job, lineItems, 100)) {
		return notRun(errors.New("the job was not accepted"))
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, v := range r.vms {
			if v != left {
				r.signal(v, syscall.SIGKILL)
			}
		}
	}
	time.Sleep(finishTime)
	result := r.judgeUnlisted(job, left)
	if result == exitBroken {
		time.Sleep(lateTime)
		if p, ok := r.results(left, job); ok {
			r.logf("%v later %s lists %d of %d items", lateTime, job, len(p.Results), p.Total)
		}
	}
	return result
}
