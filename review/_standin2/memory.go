package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Limits of the bench's rule about processes that end by themselves: on two machines at least, three times each.
const (
	brokenMachines = 2
	brokenEnds     = 3
)

// itemEvents is the number of events of an item, about the mean of the deployment.
const itemEvents = 160

// restartDelay is the time after which the platform restarts a process that has ended.
const restartDelay = 500 * time.Millisecond

// memoryWatch kills each process whose resident memory exceeds that of its machine, and restarts it, as the platform does.
type memoryWatch struct {
	rig  *rig
	stop chan struct{}
	done sync.WaitGroup

	mu    sync.Mutex
	kills map[string]int // by VM
	most  map[string]int // largest resident memory in MB
	lost  map[string]bool
}

func (r *rig) watchMemory() *memoryWatch {
	w := &memoryWatch{rig: r, stop: make(chan struct{}), kills: map[string]int{}, most: map[string]int{}, lost: map[string]bool{}}
	for _, v := range r.vms {
		w.done.Go(func() { w.watch(v) })
	}
	return w
}

func (w *memoryWatch) watch(v *vm) {
	logged := time.Now()
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := v.residentMemory()
		w.mu.Lock()
		lost := w.lost[v.name]
		w.most[v.name] = max(w.most[v.name], used)
		w.mu.Unlock()
		if lost {
			return
		}
		if time.Since(logged) > time.Second {
			logged = time.Now()
			w.rig.logf("VM %s uses %d MB", v.name, used)
		}
		if used <= w.rig.memory {
			continue
		}
		w.rig.logf("VM %s uses %d MB, more than the %d MB of its machine: the platform kills it", v.name, used, w.rig.memory)
		w.mu.Lock()
		w.kills[v.name]++
		w.mu.Unlock()
		w.rig.signal(v, syscall.SIGKILL)
		<-v.ended
		time.Sleep(restartDelay)
		if w.rig.start(v) != nil {
			return
		}
	}
}

// lose takes away the power of a VM for good.
func (w *memoryWatch) lose(v *vm) {
	w.mu.Lock()
	w.lost[v.name] = true
	w.mu.Unlock()
	w.rig.signal(v, syscall.SIGKILL)
}

// judge ends the watch and reports whether the rule about processes that end by themselves was broken.
func (w *memoryWatch) judge() int {
	close(w.stop)
	w.done.Wait()
	machines := 0
	for _, v := range w.rig.vms {
		w.rig.logf("VM %s: %d MB at most, %d ends", v.name, w.most[v.name], w.kills[v.name])
		if w.kills[v.name] >= brokenEnds {
			machines++
		}
	}
	if machines >= brokenMachines {
		w.rig.logf("broken: on %d machines processes have ended %d times or more", machines, brokenEnds)
		return exitBroken
	}
	w.rig.logf("held")
	return exitHeld
}

// startFleet starts a deployment with one model server and the given number of VMs.
func startFleet(record string, vms int) (*rig, error) {
	r, err := newRig(record, vmMemory)
	if err != nil {
		return nil, err
	}
	r.endAfter(caseLimit)
	r.configure(7, service, jobRoute(service))
	if _, err := r.addServer("server-1", service, "z-0", engineSlots, itemEvents, eventInterval); err != nil {
		return r, err
	}
	for n := range vms {
		if _, err := r.addVM(fmt.Sprintf("vm-%d", n), fmt.Sprintf("z-%d", n%2)); err != nil {
			return r, err
		}
	}
	if !r.awaitReady(10 * time.Second) {
		return r, errNotReady
	}
	time.Sleep(2 * time.Second) // links between the VMs
	return r, nil
}

// submit sends a job, at most at two VMs, as the clients of the deployment do.
func (r *rig) submit(first int, id string, body []byte) bool {
	for try := range 2 {
		status, _ := r.call(r.vms[(first+try)%len(r.vms)], "POST", jobPrefix+id, 4*time.Second, map[string]string{"X-Request-Id": id}, body)
		r.logf("job %s of %d bytes at %s: status %d", id, len(body), r.vms[(first+try)%len(r.vms)].name, status)
		if status == 202 {
			return true
		}
	}
	return false
}

const (
	takeoverVMs  = 6
	takeoverLost = 4
	takeoverJobs = 84
)

// playTakeover submits jobs of the largest number of items, evenly over the VMs, and takes the power from most of the VMs.
func playTakeover(record string, trouble bool) int {
	r, err := startFleet(record, takeoverVMs)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return notRun(err)
	}
	w := r.watchMemory()
	accepted := 0
	for n := range takeoverJobs {
		id := fmt.Sprintf("job%d", n)
		if r.submit(n, id, submission(id, maxItems, 14_000)) {
			accepted++
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.logf("%d of %d jobs are accepted", accepted, takeoverJobs)
	time.Sleep(2 * time.Second)
	if trouble {
		for _, v := range r.vms[:takeoverLost] {
			w.lose(v)
		}
	}
	time.Sleep(40 * time.Second)
	return w.judge()
}

const (
	burstVMs    = 3
	burstJobs   = 8 // at each VM
	burstRounds = 5
	burstPause  = 8 * time.Second
)

// playBurst submits jobs of the largest size at the same moment, several times. Without trouble, each VM gets one of them at a time.
func playBurst(record string, trouble bool) int {
	r, err := startFleet(record, burstVMs)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return notRun(err)
	}
	w := r.watchMemory()
	for round := range burstRounds {
		var all sync.WaitGroup
		for n := range burstVMs * burstJobs {
			id := fmt.Sprintf("job%d-%d", round, n)
			send := func() { r.submit(n, id, submission(id, maxItems, 14_000)) }
			if trouble {
				all.Go(send)
			} else if n < burstVMs {
				send()
			}
		}
		all.Wait()
		time.Sleep(burstPause)
	}
	return w.judge()
}
