package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment of the cases.
const (
	routeHost = "front.example"
	jobPrefix = "/jobs/"
	service   = "models"
	apiKey    = "2b9wu3fexd9dnn2ctnfz"
	account   = "cafe"
)

// rig is a small deployment on loopback: a store, servers and the project's own processes.
type rig struct {
	dir     string
	program string
	memory  int // of a VM, in MB
	store   *store
	address string // of the store
	vms     []*vm
	begin   time.Time

	mu         sync.Mutex
	record     *os.File
	tenant     string               // members of the tenant in the configuration, beside its name and keys
	sentAt     map[string]time.Time // when requests of the tenant were sent, by ID
	executions []execution
	servers    []*server
}

// vm is a process of the project on a machine of the deployment.
type vm struct {
	name, front, ready, peer string
	settings                 string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

func newRig(recordFile string, memory int) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/guavaedge")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, program: program, memory: memory, store: newStore(), begin: time.Now(), record: record, sentAt: map[string]time.Time{}}
	r.address, err = r.listen(r.store)
	return r, err
}

// logf writes a line to the record, with the time since the begin in seconds.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// listen serves a handler on a free loopback port and returns its address.
func (r *rig) listen(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, h) }() //nolint:gosec // a stand-in that ends with the case
	return ln.Addr().String(), nil
}

// chooseAddresses gives a VM loopback addresses with ports that are free now, each another one. VMs have addresses of their own, which
// no other process uses for its outgoing connections.
func (r *rig) chooseAddresses(v *vm) error {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8%250, pid%256, 1+len(r.vms))
	for _, a := range [...]*string{&v.front, &v.ready, &v.peer} {
		ln, err := net.Listen("tcp", host)
		if err != nil {
			return err
		}
		defer ln.Close() // until all are chosen
		*a = ln.Addr().String()
	}
	return nil
}

// vmMemory is the memory of a VM of the deployment Giz Lusitano, in MB.
const vmMemory = 154

// Engines of the deployment: the requests that a server runs at a time, and the time between the events of a stream.
const (
	engineSlots   = 8
	eventInterval = 20 * time.Millisecond
)

// maxItems is the largest number of items of a job.
const maxItems = 200

var errNotReady = errors.New("the VMs are not ready")

// jobRoute returns the route of batch jobs, which leads to a service.
func jobRoute(service string) string {
	return fmt.Sprintf(`{"name":"jobs","host":%q,"prefix":%q,"kind":"bulk","service":%q,"timeoutMs":15000,"sloMs":400,
"completionTargetMs":18000,"retainS":60,"maxAttempts":3,"priority":2,"sessionAffinity":true,"resumable":true}`, routeHost, jobPrefix, service)
}

// configure writes a version of the operator's configuration with services, separated by commas, and routes.
func (r *rig) configure(version int, services, routes string) {
	var list []string
	for name := range strings.SplitSeq(services, ",") {
		list = append(list, fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":200,"protocol":"h1","tls":false,
"engine":{"slots":8,"kvCapacity":72000,"stride":8}}`, name))
	}
	r.store.put("op", "config", base64.StdEncoding.EncodeToString(fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":%q,"apiKeys":[%q]%s}]}`, version, routes, strings.Join(list, ","), account, apiKey, r.tenant)))
	r.logf("configuration %d is acknowledged", version)
}

// limitTenant sets the limit of the tenant in the configurations that follow.
func (r *rig) limitTenant(rate, burst float64) {
	r.tenant = fmt.Sprintf(`,"ratePerS":%g,"burst":%g`, rate, burst)
}

// addServer starts a server of a service and registers it in the store.
func (r *rig) addServer(id, service, zone string, slots, events int, interval time.Duration) (*server, error) {
	s := newServer(id, slots, events, interval, r.executed)
	address, err := r.listen(s)
	if err != nil {
		return nil, err
	}
	s.service, s.zone, s.address = service, zone, address
	r.servers = append(r.servers, s)
	r.register(s, "ready")
	return s, nil
}

// register writes the entry of a server.
func (r *rig) register(s *server, state string) {
	s.sequence++
	r.store.put("servers", s.id, base64.StdEncoding.EncodeToString(fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"1","slots":%d,"state":%q,"coldLeftMs":0,"sequence":%d,"born":%d}`,
		s.service, s.address, s.zone, cap(s.slots), state, s.sequence, r.begin.UnixMilli())))
	r.logf("server %s of %s is %s", s.id, s.service, state)
}

// executed records an execution.
func (r *rig) executed(e execution) {
	r.mu.Lock()
	r.executions = append(r.executions, e)
	r.mu.Unlock()
	r.logf("server %s runs %s of %q, path %s, after event %d", e.server, e.id, e.tenant, e.path, e.lastEvent)
}

// addVM writes the settings of a VM as deploy/settings.json.tmpl does.
func (r *rig) addVM(name, zone string) (*vm, error) {
	v := &vm{name: name, settings: filepath.Join(r.dir, name+".json")}
	if err := r.chooseAddresses(v); err != nil {
		return nil, err
	}
	data, err := json.Marshal(map[string]any{
		"name": name, "domain": zone, "region": "r", "front": v.front, "ready": v.ready, "peer": v.peer, "store": r.address,
		"cores": 0.8, "memory": r.memory, "files": 8200, "grace": 8, "overage": 0.1, "slack": 20, "coldoverage": 0, "coldslack": 0,
		"window": 5, "retention": 120, "settle": 1,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(v.settings, data, 0o600); err != nil {
		return nil, err
	}
	r.vms = append(r.vms, v)
	return v, r.start(v)
}

// start starts the process of a VM.
func (r *rig) start(v *vm) error {
	log, err := os.OpenFile(filepath.Join(r.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(r.program, "serve", "--config", v.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.command, v.ended = c, ended
	v.mu.Unlock()
	r.logf("VM %s starts", v.name)
	go func() {
		err := c.Wait()
		r.logf("VM %s ends: %v", v.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of a VM.
func (r *rig) signal(v *vm, s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r.logf("VM %s gets signal %v", v.name, s)
	_ = v.command.Process.Signal(s) // it may have ended
}

// residentMemory returns the resident memory of the process of a VM in MB, 0 if it has ended.
func (v *vm) residentMemory() int {
	v.mu.Lock()
	pid := v.command.Process.Pid
	v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			if err == nil {
				return kb >> 10
			}
		}
	}
	return 0
}

// awaitReady waits until all VMs are ready.
func (r *rig) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range r.vms {
			if response, err := http.Get("http://" + v.ready + "/guavaridge/ready"); err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(r.vms) {
			r.logf("all VMs are ready")
			return true
		}
	}
	return false
}

// call sends a request of a client on a new connection. The status is 0 without a response.
func (r *rig) call(v *vm, method, path string, timeout time.Duration, header map[string]string, body []byte) (int, []byte) {
	q, err := http.NewRequest(method, "http://"+v.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	q.Host, q.Close = routeHost, true
	q.Header.Set("X-Api-Key", apiKey)
	q.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	for k, value := range header {
		q.Header.Set(k, value)
	}
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := c.Do(q)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// submission returns the body of a batch job with items whose bodies have the given size in bytes.
func submission(job string, items, size int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"requests":[`)
	body := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{'x'}, size))
	for n := range items {
		if n > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":"%s-%d","path":"%sx/%d","headers":{"X-Model":"m","X-Token-Usage":"250,160","X-Prompt-Prefix":"%s%x:250"},"body":%q,"tokens":410}`,
			job, n, jobPrefix, n, "c0ffee", n, body)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// caseLimit bounds the time of a case.
const caseLimit = 115 * time.Second

// endAfter ends all processes, and the case as one that could not run, at a signal or when it takes too long.
func (r *rig) endAfter(limit time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		r.logf("the case is broken off")
		r.close()
		os.Exit(exitNotRun)
	}()
}

// close ends all processes.
func (r *rig) close() {
	for _, v := range r.vms {
		v.mu.Lock()
		_ = v.command.Process.Kill() // it may have ended
		ended := v.ended
		v.mu.Unlock()
		<-ended
	}
	r.record.Close()
	os.RemoveAll(r.dir)
}
