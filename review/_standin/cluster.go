package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	program = "target/guavaedge"
	host    = "shop.example"
	key     = "key-of-red"
	account = "red"
	// restartDelay is the time after which the platform starts a process that was stopped, killedRestartDelay that for one
	// that was killed.
	restartDelay       = time.Second
	killedRestartDelay = 500 * time.Millisecond
	grace              = 8 * time.Second
)

// vm is a VM of the system and its process.
type vm struct {
	name, front, ready string
	settings           string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// cluster is a small deployment: the platform's store, servers, and VMs as processes.
type cluster struct {
	store  *store
	vms    []*vm
	folder string
	begin  time.Time
	number atomic.Int64
	log    io.Writer
	// restarts are the processes that have been signalled and are not started again yet.
	restarts sync.WaitGroup

	mu       sync.Mutex
	stopped  bool // no process is started any more
	arrivals []*arrival
	sent     map[string]time.Time // when requests of the account under its cap were sent, by ID
}

func newCluster(record io.Writer, vms int, config map[string]any) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	c := &cluster{store: s, folder: folder, begin: time.Now(), log: record, sent: map[string]time.Time{}}
	s.put("op", "config", config)
	for i := range vms {
		// An address of its own for each VM, so that cases that run at the same time don't take each other's ports.
		v := &vm{name: fmt.Sprintf("edge-zone-%c-%d", 'a'+i%3, i/3+1)}
		var addresses [4]string
		for k := range addresses {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()>>8%200, os.Getpid()%256, 1+i))
			if err != nil {
				return nil, err
			}
			defer ln.Close()
			addresses[k] = ln.Addr().String()
		}
		v.front, v.ready = addresses[0], addresses[1]
		data, err := json.Marshal(map[string]any{
			"name": v.name, "domain": fmt.Sprintf("zone-%c", 'a'+i%3), "region": "region", "front": v.front, "ready": v.ready,
			"peer": addresses[2], "metrics": addresses[3], "store": s.address, "cores": 0.8, "memory": memoryMB, "files": 8200,
			"grace": grace.Seconds(), "overage": quotaOverage, "slack": quotaSlack, "retention": 120, "settle": 1,
		})
		if err != nil {
			return nil, err
		}
		v.settings = filepath.Join(folder, v.name+".json")
		if err := os.WriteFile(v.settings, data, 0o600); err != nil {
			return nil, err
		}
		c.vms = append(c.vms, v)
	}
	return c, nil
}

// note writes a line of the record.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.log, "%8.3f s  %s\n", time.Since(c.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (c *cluster) arrived(a *arrival) {
	c.mu.Lock()
	c.arrivals = append(c.arrivals, a)
	c.mu.Unlock()
}

func (c *cluster) ended(a *arrival, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.end, a.outcome = time.Now(), outcome
}

// list returns a copy of the arrivals so far.
func (c *cluster) list() []arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]arrival, 0, len(c.arrivals))
	for _, a := range c.arrivals {
		list = append(list, *a)
	}
	return list
}

// startAll starts all VMs and waits until they are ready.
func (c *cluster) startAll() error {
	for _, v := range c.vms {
		if err := c.start(v); err != nil {
			return err
		}
	}
	for _, v := range c.vms {
		if !c.awaitReady(v, 10*time.Second) {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}
	time.Sleep(4 * time.Second) // all VMs are in touch
	return nil
}

func (c *cluster) start(v *vm) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return errors.New("the case has ended")
	}
	log, err := os.OpenFile(filepath.Join(c.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program, "serve", "--config", v.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.command, v.exited = command, exited
	v.mu.Unlock()
	go func() {
		_ = command.Wait()
		log.Close()
		close(exited)
	}()
	return nil
}

func (c *cluster) isReady(v *vm) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + v.ready + "/guavaridge/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (c *cluster) awaitReady(v *vm, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if c.isReady(v) {
			return true
		}
	}
	return false
}

// signal sends a signal to a VM's process, and starts it again restartDelay after it has ended. A process that has not
// ended after the grace period is killed.
func (c *cluster) signal(v *vm, s syscall.Signal) {
	v.mu.Lock()
	process, exited := v.command.Process, v.exited
	v.mu.Unlock()
	c.note("%s gets signal %s", v.name, s)
	_ = process.Signal(s)
	c.restarts.Go(func() {
		select {
		case <-exited:
		case <-time.After(grace):
			_ = process.Kill()
			<-exited
		}
		c.note("%s has ended", v.name)
		if s == syscall.SIGKILL {
			time.Sleep(killedRestartDelay)
		} else {
			time.Sleep(restartDelay)
		}
		if err := c.start(v); err != nil {
			c.note("%s does not start: %v", v.name, err)
			return
		}
		c.note("%s is started again", v.name)
	})
}

// stop ends all processes that the cluster started.
func (c *cluster) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	for _, v := range c.vms {
		v.mu.Lock()
		command, exited := v.command, v.exited
		v.mu.Unlock()
		if command != nil {
			_ = command.Process.Kill()
			<-exited
		}
	}
	c.restarts.Wait()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (c *cluster) newID() string { return fmt.Sprintf("%016x", 0x5c41d07b00000000+c.number.Add(1)) }

// send makes a request on a new channel.
func (c *cluster) send(v *vm, method, path, id string, body []byte, header map[string]string, deadline time.Duration) answer {
	q, err := http.NewRequest(method, "http://"+v.front+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	return c.do(q, id, header, deadline)
}

// do makes a request with the headers of a client.
func (c *cluster) do(q *http.Request, id string, header map[string]string, deadline time.Duration) answer {
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Api-Key", key)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		q.Header.Set(k, v)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: deadline + time.Second}
	r, err := client.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: data, err: err}
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return "no answer: " + strings.TrimSpace(errors.Unwrap(a.err).Error())
	}
	if a.err != nil {
		return fmt.Sprintf("%d, broken off", a.status)
	}
	return fmt.Sprint(a.status)
}
