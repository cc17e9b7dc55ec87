package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"guavaridge/core/guavamember"
)

const (
	stable      = 3 * time.Second // stableMs
	crashBody   = "a request under which servers crash"
	maxRetries  = 3
	crashLimit  = 3
	deadlyPath  = "/caption/21"
	soundStream = "/greeting/21"
)

// deadlyTimes are the times at which a client sends the request that crashes servers.
var deadlyTimes = []time.Duration{
	0, 1000, 2000, 5300, 7500, 8700, 9900, 11100, 12300, 13500, 14700, 15900,
}

// playBudget sends a request that crashes each server which begins to run it, again and again at one VM, while the VM that
// decides for the service is stopped and started once.
func playBudget(record io.Writer, trouble bool) (bool, error) {
	c, err := newCluster(record, 9, configuration(0, 0))
	if err != nil {
		return false, err
	}
	defer c.stop()
	for i := range 6 {
		newBackend(c, fmt.Sprintf("engine%d", i), "engine").deadly = func(_ *http.Request, body []byte) bool {
			return string(body) == crashBody
		}
	}
	newBackend(c, "booking0", "booking")
	if err := c.startAll(); err != nil {
		return false, err
	}
	ranked := c.ranked("service/engine")
	decides, sender := ranked[0], ranked[len(ranked)-1]
	c.note("%s decides for the service, the request is sent to %s", decides.name, sender.name)
	begin := time.Now()
	if trouble {
		time.AfterFunc(1400*time.Millisecond, func() { c.signal(decides, syscall.SIGTERM) })
	}
	var all sync.WaitGroup
	all.Go(func() { c.background(begin, 16*time.Second, sender) })
	deadly := map[string]bool{}
	for _, at := range deadlyTimes {
		time.Sleep(time.Until(begin.Add(at * time.Millisecond)))
		id := c.newID()
		deadly[id] = true
		header := map[string]string{"X-Model": "m", "X-Token-Usage": "350,168", "X-Prompt-Prefix": "5c1e07a2:100," + id + ":250"}
		a := c.send(sender, "POST", deadlyPath, id, []byte(crashBody), header, 5*time.Second)
		c.note("deadly request %s to %s: %s", id, sender.name, a)
	}
	all.Wait()
	crashes, late := 0, 0
	var third time.Time
	for _, a := range c.list() {
		if !deadly[a.id] {
			continue
		}
		crashes++
		c.note("crash %d: request %s ran at %s, %.3f s after the first was sent", crashes, a.id, a.server, a.at.Sub(begin).Seconds())
		switch {
		case crashes == crashLimit:
			third = a.at
		case crashes > crashLimit && a.at.Sub(third) > stable:
			late++
		}
	}
	c.note("retries that reached servers later than %s after the third crash: %d, allowed are %d", stable, late, maxRetries)
	return late > maxRetries, nil
}

// ranked returns the VMs in the order in which the program prefers them for a duty.
func (c *cluster) ranked(key string) []*vm {
	list := make([]guavamember.Identity, 0, len(c.vms))
	byName := map[string]*vm{}
	for _, v := range c.vms {
		list = append(list, guavamember.Identity{Name: v.name})
		byName[v.name] = v
	}
	ranked := make([]*vm, 0, len(c.vms))
	for _, i := range guavamember.Rank(key, list) {
		ranked = append(ranked, byName[i.Name])
	}
	return ranked
}

// background sends sound streams to a VM.
func (c *cluster) background(begin time.Time, d time.Duration, v *vm) {
	var all sync.WaitGroup
	for time.Since(begin) < d {
		all.Go(func() {
			id := c.newID()
			header := map[string]string{"X-Model": "m", "X-Token-Usage": "350,168", "X-Prompt-Prefix": "77aa10:100," + id + ":250"}
			a := c.send(v, "POST", soundStream, id, []byte("caption"), header, 5*time.Second)
			if a.status != http.StatusOK || a.err != nil {
				c.note("sound request %s to %s: %s", id, v.name, a)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
}
