package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	host = "ficu95.example"
	// keyRed and keyBlue are the keys of the tenants red and blue.
	keyRed  = "2b9wu3fexd9dnn2ctnfz"
	keyBlue = "9x0cfu3rexd1dnn2ctnaa"
)

func check(err error) {
	if err != nil {
		exit(2, "cannot run: "+err.Error())
	}
}

// vm is a machine of the system with its process.
type vm struct {
	name, zone, front, ready, settings string
	removed                            atomic.Bool // for good

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{} // closed when the process has ended
}

// system is a small deployment on loopback addresses.
type system struct {
	folder  string
	program string
	store   *store
	servers []*server
	vms     []*vm
	memory  int // MB
	record  *os.File
	mu      sync.Mutex
	start   time.Time
}

var current *system

// newSystem starts a store with the first configuration. Servers and machines are added to it.
func newSystem(folder string, config map[string]any) *system {
	s := &system{folder: folder, program: "target/guavaedge", store: newStore(), memory: 154, start: time.Now()}
	var err error
	s.record, err = os.Create(filepath.Join(os.Args[2], "record.txt"))
	check(err)
	current = s
	s.store.put("op", "config", config)
	return s
}

// note writes a line of the record.
func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// exit ends all processes and the program. The status is 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func exit(status int, verdict string) {
	if s := current; s != nil {
		for _, v := range s.vms {
			v.end()
		}
		s.note("verdict %d: %s", status, verdict)
		s.record.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(s.folder)
		}
	}
	fmt.Println(verdict)
	os.Exit(status)
}

// freeAddress returns an address with a free port below those of outgoing connections, so that none of these takes it before the
// process does.
func freeAddress() string {
	const first, count = 12000, 16000
	for range 100 {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count)))
		if err != nil {
			continue
		}
		defer ln.Close()
		return ln.Addr().String()
	}
	exit(2, "no free port")
	return ""
}

// addVM starts the process of a machine with the settings of a small deployment.
func (s *system) addVM(zone string) *vm {
	v := &vm{name: fmt.Sprintf("edge-%s-%d", zone, len(s.vms)+1), zone: zone, front: freeAddress(), ready: freeAddress()}
	data, err := json.Marshal(map[string]any{
		"name": v.name, "domain": zone, "region": "pt-lisboa", "front": v.front, "ready": v.ready, "peer": freeAddress(),
		"metrics": freeAddress(), "store": s.store.open(v.name), "cores": 0.8, "memory": s.memory, "files": 8200, "grace": 8,
		"overage": 0.1, "slack": 20, "window": 5, "retention": 120, "settle": 1, "coldoverage": 0, "coldslack": 0,
	})
	check(err)
	v.settings = filepath.Join(s.folder, v.name+".json")
	check(os.WriteFile(v.settings, data, 0o600))
	s.vms = append(s.vms, v)
	s.startVM(v)
	return v
}

// startVM starts the process of a machine. One that ends by itself is started again after a second.
func (s *system) startVM(v *vm) {
	log, err := os.OpenFile(filepath.Join(s.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	c := exec.Command(s.program, "serve", "--config", v.settings)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(c.Start())
	exited := make(chan struct{})
	v.mu.Lock()
	v.command, v.exited = c, exited
	v.mu.Unlock()
	go func() {
		_ = c.Wait()
		log.Close()
		close(exited)
	}()
}

func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command != nil {
		_ = v.command.Process.Signal(sig)
	}
}

// end kills the process and waits for its end.
func (v *vm) end() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	<-exited
}

// hasExited reports whether the process has ended.
func (v *vm) hasExited() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

// memory returns the memory of the process in MB, without mapped files; 0 if it has ended.
func (v *vm) memory() int {
	v.mu.Lock()
	pid := v.command.Process.Pid
	v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// awaitReady waits until all machines report themselves ready.
func (s *system) awaitReady() {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range s.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(s.vms) {
			time.Sleep(2 * time.Second) // machines link with each other
			return
		}
		if time.Now().After(end) {
			for _, v := range s.vms {
				if !v.isReady() {
					s.note("%s is not ready, its process has ended: %t; the end of its log: %s", v.name, v.hasExited(), v.logTail())
				}
			}
			exit(2, "the machines are not ready")
		}
	}
}

// logTail returns the end of the log of the machine's processes.
func (v *vm) logTail() string {
	const length = 600
	data, err := os.ReadFile(strings.TrimSuffix(v.settings, "json") + "log")
	if err != nil {
		return err.Error()
	}
	return string(data[max(len(data)-length, 0):])
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.ready + "/guavaridge/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// answer is what a client got; status 0 means that the channel ended without an answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends the bytes of a request on a new channel and reads the answer.
func send(address, raw string, limit time.Duration) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, raw); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: body, err: err}
}

// request returns the bytes of a request with the usual headers and those given.
func request(method, target, id, key string, deadline time.Duration, body string, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	if id != "" {
		fmt.Fprintf(&b, "X-Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(&b, "X-Api-Key: %s\r\nX-Deadline-Ms: %d\r\n", key, deadline.Milliseconds())
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// batch returns the bytes that submit a batch job.
func batch(id, key string, items, events, bytes int, deadline time.Duration) string {
	list := make([]any, 0, items)
	for n := range items {
		item := itemID(id, n)
		body := strings.Repeat(item+" ", bytes/(len(item)+1)+1)[:bytes]
		list = append(list, map[string]any{
			"id": item, "path": fmt.Sprintf("/pule252/stream/%d", events),
			"headers": map[string]string{"X-Model": "m", "X-Token-Usage": "350,800", "X-Prompt-Prefix": "9c2e41:100," + item + ":250"},
			"body":    base64.StdEncoding.EncodeToString([]byte(body)), "tokens": 1150,
		})
	}
	data, err := json.Marshal(map[string]any{"requests": list})
	check(err)
	return request("POST", "/pule252/"+id, id, key, deadline, string(data), "Content-Type: application/json")
}

func itemID(job string, n int) string { return fmt.Sprintf("%s%04x", job, n) }

// config returns a configuration of a small deployment.
func config(version int, change func(c map[string]any)) map[string]any {
	route := func(name, prefix, service, kind string, attempts int, more map[string]any) map[string]any {
		m := map[string]any{
			"name": name, "host": host, "prefix": prefix, "service": service, "kind": kind, "timeoutMs": 5000, "sloMs": 300,
			"maxAttempts": attempts, "priority": 0, "anonymous": false, "sessionAffinity": true, "resumable": false, "gapAimMs": 400,
		}
		for k, v := range more {
			m[k] = v
		}
		return m
	}
	c := map[string]any{
		"version": version,
		"routes": []any{
			route("caption", "/lohu930/", "narrador", "streaming", 1, nil),
			route("greeting", "/gree111/", "narrador", "streaming", 2, map[string]any{"resumable": true}),
			route("booking", "/puxa403/", "reservas", "idempotent", 2, map[string]any{"timeoutMs": 1500, "sloMs": 150}),
			route("record", "/reco222/", "reservas", "non_idempotent", 1, map[string]any{"timeoutMs": 1500, "sloMs": 150}),
			route("pitch", "/pule252/", "narrador", "bulk", 3, map[string]any{
				"timeoutMs": 15000, "sloMs": 400, "completionTargetMs": 18000, "retainS": 60, "priority": 2, "resumable": true,
			}),
		},
		"services": []any{
			map[string]any{
				"name": "narrador", "healthPath": "/health", "maxConns": 200, "protocol": "h1",
				"engine": map[string]any{"slots": 8, "kvCapacity": 72000, "stride": 8},
			},
			map[string]any{"name": "reservas", "healthPath": "/health", "maxConns": 100, "protocol": "h1"},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "red", "apiKeys": []string{keyRed}, "ratePerS": 200, "burst": 200},
			map[string]any{"name": "blue", "apiKeys": []string{keyBlue}, "ratePerS": 200, "burst": 200},
		},
	}
	if change != nil {
		change(c)
	}
	return c
}

// page is a page of results.
type page struct {
	Total, Next int
	Results     []struct{ ID, State, Text string }
}

// results reads a page of the results of a batch job.
func results(v *vm, id, key string, after int) (page, answer) {
	a := send(v.front, request("GET", fmt.Sprintf("/guavaridge/lots/%s?after=%d", id, after), "", key, 3*time.Second, ""), 5*time.Second)
	var p page
	if a.status == http.StatusOK {
		if err := json.Unmarshal(a.body, &p); err != nil {
			a.err = err
		}
	}
	return p, a
}
