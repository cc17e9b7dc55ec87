package main

import (
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"guavaridge/core/guavaquota"
)

const (
	quotaRate   = 93.0
	quotaBurst  = 93.0
	quotaWindow = 5 * time.Second
	// hotFactor is how many times its usual rate the account sends; its cap is usualFactor times the usual rate.
	hotFactor   = 7.5
	usualFactor = 1.6
	// kills of the process that grants the account's tokens, each killPause after it is ready again.
	kills     = 3
	killPause = 600 * time.Millisecond
)

// playQuota lets an account send far beyond its usage cap while the process that grants its tokens is killed.
func playQuota(record io.Writer, trouble bool) (bool, error) {
	c, err := newCluster(record, 9, configuration(quotaRate, quotaBurst))
	if err != nil {
		return false, err
	}
	defer c.stop()
	for i := range 4 {
		newBackend(c, fmt.Sprintf("booking%d", i), "booking")
	}
	newBackend(c, "engine0", "engine")
	if err := c.startAll(); err != nil {
		return false, err
	}
	victim := c.owner()
	var all sync.WaitGroup
	begin := time.Now()
	c.sendAt(&all, quotaRate/usualFactor, 3*time.Second, victim)
	c.note("the account begins to send %.1f times its usual", hotFactor)
	if trouble {
		go func() {
			for range kills {
				time.Sleep(killPause)
				c.signal(victim, syscall.SIGKILL)
				c.awaitReadyAfter(victim)
			}
		}()
	}
	c.sendAt(&all, quotaRate/usualFactor*hotFactor, 6500*time.Millisecond, victim)
	all.Wait()
	most, when := c.busiestWindow(begin)
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	c.note("most requests run in %s: %d, from %.3f s after the first; the limit is %.1f", quotaWindow, most, when.Seconds(), limit)
	return float64(most) > limit, nil
}

// sendAt sends requests of the account at a rate, to all VMs but one: the platform opens no channels to a VM that is down.
func (c *cluster) sendAt(all *sync.WaitGroup, rate float64, d time.Duration, except *vm) {
	begin := time.Now()
	interval := time.Duration(float64(time.Second) / rate)
	for i := 0; time.Since(begin) < d; i++ {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * interval)))
		v := c.vms[i%len(c.vms)]
		if v == except {
			continue
		}
		all.Go(func() {
			id := c.newID()
			c.mu.Lock()
			c.sent[id] = time.Now()
			c.mu.Unlock()
			a := c.send(v, "POST", "/booking/confirm", id, []byte("booking"), nil, 1500*time.Millisecond)
			c.note("request %s to %s: %s", id, v.name, a)
		})
	}
}

// busiestWindow returns the most requests that were both sent and run within quotaWindow, and when that window begins.
func (c *cluster) busiestWindow(begin time.Time) (most int, when time.Duration) {
	ran := map[string]time.Time{}
	for _, a := range c.list() {
		if first, ok := ran[a.id]; !ok || a.at.Before(first) {
			ran[a.id] = a.at
		}
	}
	for _, start := range c.sent {
		n := 0
		for id, at := range ran {
			if !c.sent[id].Before(start) && !at.After(start.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, when = n, start.Sub(begin)
		}
	}
	return most, when
}

// owner returns the VM that grants the tokens of the account.
func (c *cluster) owner() *vm {
	return c.ranked(fmt.Sprintf("rates/%d", guavaquota.Group(account)))[0]
}

// awaitReadyAfter waits until a VM that was killed is ready again.
func (c *cluster) awaitReadyAfter(v *vm) {
	time.Sleep(killedRestartDelay / 2)
	c.awaitReady(v, 5*time.Second)
	c.note("%s is ready again", v.name)
}
