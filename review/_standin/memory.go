package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	maxBody   = 4194304 // maxBodyBytes
	uploads   = 14
	smallBody = 600
	linkMbps  = 1000 // of a VM's own link
	chunkSize = 64 << 10
)

// playMemory sends requests with the largest bodies that the configuration allows, some at a time, to two VMs. Processes
// that exceed their memory are killed, as the platform does.
func playMemory(record io.Writer, trouble bool) (bool, error) {
	c, err := newCluster(record, 3, configuration(0, 0))
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
	size := smallBody
	if trouble {
		size = maxBody
	}
	body := bytes.Repeat([]byte("x"), size)
	link := &pacer{bytesPerSecond: linkMbps * 1e6 / 8}
	killed := map[string]int{}
	for range 3 {
		for _, v := range c.vms[:2] {
			stop := make(chan struct{})
			peak := make(chan int)
			go c.enforceMemory(v, stop, peak)
			var all sync.WaitGroup
			for range uploads {
				all.Go(func() {
					id := c.newID()
					c.note("request %s with %d bytes to %s: %s", id, size, v.name, c.upload(v, id, body, link))
				})
			}
			all.Wait()
			close(stop)
			most := <-peak
			c.note("%s used up to %d MB of %d MB", v.name, most, memoryMB)
			if most > memoryMB {
				killed[v.name]++
			}
			c.awaitReady(v, 5*time.Second)
			time.Sleep(stable + time.Second)
		}
	}
	vms := 0
	for _, n := range killed {
		if n >= 3 {
			vms++
		}
	}
	c.note("VMs whose processes ended three times: %d", vms)
	return vms >= 2, nil
}

// enforceMemory kills the process of a VM when its memory exceeds the limit.
func (c *cluster) enforceMemory(v *vm, stop chan struct{}, peak chan int) {
	v.mu.Lock()
	pid := v.command.Process.Pid
	v.mu.Unlock()
	most := 0
	for {
		select {
		case <-stop:
			peak <- most
			return
		case <-time.After(2 * time.Millisecond):
		}
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
				if n, err := strconv.Atoi(strings.Fields(rest)[0]); err == nil && n>>10 > most {
					if most = n >> 10; most > memoryMB {
						c.note("%s has %d MB, over its %d MB", v.name, most, memoryMB)
						c.signal(v, syscall.SIGKILL)
						<-stop
						peak <- most
						return
					}
				}
			}
		}
	}
}

// pacer bounds the bytes that all clients together send to a VM by the bandwidth of its link.
type pacer struct {
	bytesPerSecond float64

	mu   sync.Mutex
	next time.Time
}

func (p *pacer) wait(bytes int) {
	p.mu.Lock()
	if now := time.Now(); p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second)))
	next := p.next
	p.mu.Unlock()
	time.Sleep(time.Until(next))
}

// pacedReader is a body that is sent no faster than the link.
type pacedReader struct {
	data []byte
	link *pacer
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), chunkSize)], r.data)
	r.data = r.data[n:]
	r.link.wait(n)
	return n, nil
}

// upload sends a request with a large body.
func (c *cluster) upload(v *vm, id string, body []byte, link *pacer) answer {
	q, err := http.NewRequest(http.MethodPost, "http://"+v.front+"/booking/confirm", &pacedReader{data: body, link: link})
	if err != nil {
		return answer{err: err}
	}
	q.ContentLength = int64(len(body))
	return c.do(q, id, nil, 1500*time.Millisecond)
}
