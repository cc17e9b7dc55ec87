package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	engines     = 6
	finish      = 18 * time.Second // finishS
	maxCut      = 2                // answers that lose their end
	cutShare    = 0.02             // of the answers of the faulty servers, at most
	sharedPart  = "9c2e41"
	itemEvents  = 21
	secondJobAt = 20 * time.Second
)

// faulty counts the answers of the faulty servers, and chooses those that lose their end.
type faulty struct {
	mu      sync.Mutex
	answers int
	cuts    int
	items   map[string]bool // items whose answers may be cut
	trouble bool
}

func (f *faulty) cut(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers++
	if !f.trouble || !f.items[id] || f.cuts >= maxCut || float64(f.cuts+1) > cutShare*float64(f.answers) {
		return false
	}
	f.cuts++
	return true
}

// playLost submits a job while half of the servers lose the end of two of their answers, and later another job with the
// same shared part of the prompt.
func playLost(record io.Writer, trouble bool) (bool, error) {
	c, err := newCluster(record, 3, configuration(0, 0))
	if err != nil {
		return false, err
	}
	defer c.stop()
	f := &faulty{items: map[string]bool{}, trouble: trouble}
	for i := range engines {
		b := newBackend(c, fmt.Sprintf("engine%d", i), "engine")
		if i%2 == 0 {
			b.cut = f.cut
		}
	}
	newBackend(c, "booking0", "booking")
	if err := c.startAll(); err != nil {
		return false, err
	}
	begin := time.Now()
	var all sync.WaitGroup
	all.Go(func() { // sound streams, of which the faulty servers answer half
		var streams sync.WaitGroup
		for i := 0; time.Since(begin) < 5*time.Second; i++ {
			streams.Go(func() {
				id := c.newID()
				header := map[string]string{"X-Model": "m", "X-Token-Usage": "350,168", "X-Prompt-Prefix": "77aa10:100," + id + ":250"}
				c.send(c.vms[i%len(c.vms)], "POST", "/caption/5", id, []byte("caption"), header, 5*time.Second)
			})
			time.Sleep(15 * time.Millisecond)
		}
		streams.Wait()
	})
	time.Sleep(time.Until(begin.Add(4500 * time.Millisecond)))
	first := c.newJob(14)
	f.mu.Lock()
	for _, i := range first.items {
		f.items[i] = true
	}
	f.mu.Unlock()
	if err := c.submit(first); err != nil {
		return false, err
	}
	all.Wait()
	time.Sleep(time.Until(begin.Add(secondJobAt)))
	f.mu.Lock()
	c.note("the faulty servers cut %d of %d answers", f.cuts, f.answers)
	f.mu.Unlock()
	second := c.newJob(5)
	if err := c.submit(second); err != nil {
		return false, err
	}
	id := c.newID()
	header := map[string]string{"X-Model": "m", "X-Token-Usage": "350,168", "X-Prompt-Prefix": sharedPart + ":100," + id + ":250"}
	c.note("sound stream %s with the shared part: %s", id, c.send(c.vms[0], "POST", "/caption/5", id, []byte("caption"), header, 5*time.Second))
	time.Sleep(time.Until(second.accepted.Add(finish + 500*time.Millisecond)))
	broken := false
	for _, j := range []*job{first, second} {
		listed, err := c.results(j)
		if err != nil {
			return false, err
		}
		broken = c.judge(j, listed) || broken
	}
	return broken, nil
}

// job is a batch job of a client.
type job struct {
	id       string
	items    []string
	body     []byte
	accepted time.Time
}

func (c *cluster) newJob(items int) *job {
	j := &job{id: c.newID()}
	list := make([]any, 0, items)
	for range items {
		id := c.newID()
		j.items = append(j.items, id)
		list = append(list, map[string]any{
			"id": id, "path": fmt.Sprintf("/batch/%d", itemEvents), "tokens": 518,
			"body": base64.StdEncoding.EncodeToString([]byte("describe the artist " + id)),
			"headers": map[string]string{
				"X-Model": "m", "X-Token-Usage": "350,168", "X-Prompt-Prefix": sharedPart + ":100," + id + ":250",
			},
		})
	}
	data, err := json.Marshal(map[string]any{"requests": list})
	if err != nil {
		panic(err)
	}
	j.body = data
	return j
}

func (c *cluster) submit(j *job) error {
	a := c.send(c.vms[0], "POST", "/batch/job", j.id, j.body, map[string]string{"Content-Type": "application/json"}, 4*time.Second)
	c.note("job %s with items %s: %s", j.id, strings.Join(j.items, " "), a)
	if a.status != http.StatusAccepted {
		return fmt.Errorf("job %s was not accepted: %s", j.id, a)
	}
	j.accepted = time.Now()
	return nil
}

// results returns the states of the listed items of a job, and checks their texts.
func (c *cluster) results(j *job) (map[string]string, error) {
	listed := map[string]string{}
	for after := 0; ; {
		a := c.send(c.vms[1], "GET", fmt.Sprintf("/guavaridge/lots/%s?after=%d", j.id, after), c.newID(), nil, nil, 4*time.Second)
		if a.status != http.StatusOK || a.err != nil {
			return nil, fmt.Errorf("read of job %s: %s", j.id, a)
		}
		var page struct {
			Total, Next int
			Results     []struct{ ID, State, Text string }
		}
		if err := json.Unmarshal(a.body, &page); err != nil {
			return nil, fmt.Errorf("read of job %s: %w", j.id, err)
		}
		for _, r := range page.Results {
			listed[r.ID] = r.State
		}
		if len(page.Results) == 0 || page.Next >= page.Total {
			return listed, nil
		}
		after = page.Next
	}
}

// judge reports whether an item of an open job was left lying: it isn't listed, though no server had an unlisted item of
// the job in the last 5 s and the servers are under half full, none failed at a server in the last 20 s, and no item was finished in the last 3 s.
func (c *cluster) judge(j *job, listed map[string]string) bool {
	now := time.Now()
	own, left := map[string]bool{}, []string{}
	for _, i := range j.items {
		own[i] = true
		if listed[i] == "" {
			left = append(left, i)
		}
	}
	runs, running, had, failed, finished := map[string]int{}, 0, false, false, false
	for _, a := range c.list() {
		ended := a.end
		if ended.IsZero() {
			ended = now
			running++
		}
		age := now.Sub(ended)
		finished = finished || age < 3*time.Second
		if !own[a.id] {
			continue
		}
		runs[a.id]++
		if listed[a.id] != "" {
			continue
		}
		had = had || age < 5*time.Second
		failed = failed || (age < 20*time.Second && a.outcome != "200")
		c.note("run of item %s at %s after event %d: %d events, %s", a.id, a.server, a.resumedAfter, a.events, a.outcome)
	}
	for _, i := range left {
		c.note("item %s of job %s isn't listed %.1f s after the 202; it reached servers %d times", i, j.id, now.Sub(j.accepted).Seconds(), runs[i])
	}
	c.note("job %s: %d of %d items listed; %d requests run at %d servers; a server had an unlisted one in the last 5 s: %t; one failed at a server in the last 20 s: %t; an item was finished in the last 3 s: %t",
		j.id, len(listed), len(j.items), running, engines, had, failed, finished)
	return len(left) > 0 && !had && !failed && !finished && 2*running < engines*slots
}
