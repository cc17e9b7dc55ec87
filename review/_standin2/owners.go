package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The deployment of the case: the machines of Giz Lusitano by name, two services, and a tenant with a limit.
const (
	ownersServices = "8f8aaa,1b053da"
	plainService   = "1b053da"
	tenantRate     = 20.0
	tenantBurst    = 20.0
	quotaWindow    = 5 * time.Second
	quotaOverage   = 0.1
	quotaSlack     = 20
	lostZone       = "lisboa-a"
)

// Traffic of the tenant. Its usual rate stays below its limit; a hot tenant sends 7.5 times its usual for 6.5 s.
const (
	usualRate = 10
	hotFactor = 7.5
	hotTime   = 6500 * time.Millisecond
	quietTime = 52 * time.Second
)

var ownersZones = map[string]int{"lisboa-a": 3, "lisboa-b": 3, "lisboa-c": 3, "lisboa-d": 2}

// playOwners loses a zone for good and sends more than a tenant's limit some time later.
func playOwners(record string, trouble bool) int {
	r, err := newRig(record, vmMemory)
	if err != nil {
		return notRun(err)
	}
	defer r.close()
	r.endAfter(caseLimit)
	r.limitTenant(tenantRate, tenantBurst)
	r.configure(7, ownersServices, fmt.Sprintf(`{"name":"status","host":%q,"prefix":"/status/","kind":"idempotent","service":%q,
"timeoutMs":1500,"sloMs":150,"maxAttempts":2,"priority":2}`, routeHost, plainService))
	for n := range 4 {
		if _, err := r.addServer(fmt.Sprintf("server-%d", n), plainService, "lisboa-d", engineSlots, 1, eventInterval); err != nil {
			return notRun(err)
		}
	}
	var lost, left []*vm
	for _, zone := range []string{"lisboa-a", "lisboa-b", "lisboa-c", "lisboa-d"} {
		for n := range ownersZones[zone] {
			v, err := r.addVM(fmt.Sprintf("edge-%s-%d", zone, n+1), zone)
			if err != nil {
				return notRun(err)
			}
			if zone == lostZone {
				lost = append(lost, v)
			} else {
				left = append(left, v)
			}
		}
	}
	if !r.awaitReady(10 * time.Second) {
		return notRun(errNotReady)
	}
	time.Sleep(2 * time.Second) // links between the VMs
	r.send(left, usualRate, 2*time.Second)
	if trouble {
		for _, v := range lost {
			r.signal(v, syscall.SIGKILL)
		}
	}
	r.send(left, usualRate, quietTime)
	r.logf("the tenant sends %.1f times its usual", hotFactor)
	r.send(left, hotFactor*usualRate, hotTime)
	return r.judgeQuota()
}

// send sends requests of the tenant to VMs in turn, at a rate per second, for some time, and waits for the responses.
func (r *rig) send(vms []*vm, rate float64, d time.Duration) {
	var all sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < d; n++ {
		id := fmt.Sprintf("q%d", len(r.sentAt))
		r.mu.Lock()
		r.sentAt[id] = time.Now()
		r.mu.Unlock()
		all.Go(func() {
			status, _ := r.call(vms[n%len(vms)], "GET", "/status/"+id, 1500*time.Millisecond, map[string]string{"X-Request-Id": id}, nil)
			r.logf("request %s at %s: status %d", id, vms[n%len(vms)].name, status)
		})
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n+1) / rate * float64(time.Second)))))
	}
	all.Wait()
}

// judgeQuota reports whether in some window more requests were both sent and run than the limit allows.
func (r *rig) judgeQuota() int {
	type sentRun struct{ sent, run time.Time }
	r.mu.Lock()
	var list []sentRun
	for _, e := range r.executions {
		list = append(list, sentRun{sent: r.sentAt[e.id], run: e.at})
	}
	r.mu.Unlock()
	most, at := 0, time.Time{}
	for _, first := range list {
		n := 0
		for _, x := range list {
			if !x.sent.Before(first.sent) && !x.run.After(first.sent.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	r.logf("%d requests of the tenant were sent and have run in %v from %.1f s on, %.0f are allowed", most, quotaWindow, at.Sub(r.begin).Seconds(), allowed)
	if float64(most) > allowed {
		r.logf("broken")
		return exitBroken
	}
	r.logf("held")
	return exitHeld
}
