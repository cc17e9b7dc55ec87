// Command deployment starts one of two reference deployments as separate processes on loopback, runs a load against it,
// and prints the results as seen by the callers. It stops all processes that it started.
//
//	go build -o guavaridge ./cmd/guavaridge
//	go run ./bench/deployment -program ./guavaridge -load bench/deployment/kovacik.json -out docs/results/kovacik
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavaload"
	"guavaridge/io/guavaoperator"
	"guavaridge/io/guavasettings"
)

// Size is the size of a deployment, from the field "deployment" of a load file.
type Size struct {
	Domains  int `json:"domains"`
	VMs      int `json:"vms"`      // per failure domain
	Engines  int `json:"engines"`  // total
	Services int `json:"services"` // total
	Slots    int `json:"slots"`    // per engine
	// Step and Each are in milliseconds: a decoding step of an engine with n streams takes Step + n × Each.
	Step float64 `json:"step"`
	Each float64 `json:"each"`
}

// file is a load file: a deployment and the load on it.
type file struct {
	Deployment Size           `json:"deployment"`
	Load       guavaload.Plan `json:"load"`
}

const (
	token      = "deployment"
	firstPort  = 20000
	startTime  = 3 * time.Second
	settleTime = 4 * time.Second
	idleTime   = 20 * time.Second
	stopTime   = 10 * time.Second
)

func main() {
	program := flag.String("program", "./guavaridge", "guavaridge program")
	load := flag.String("load", "", "load file")
	out := flag.String("out", "", "path, without extension, of the JSON report and the plot")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *program, *load, *out); err != nil {
		fmt.Fprintln(os.Stderr, "deployment:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, program, load, out string) error {
	data, err := os.ReadFile(load)
	if err != nil {
		return fmt.Errorf("read load file: %w", err)
	}
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return fmt.Errorf("decode load file %s: %w", load, err)
	}
	dir, err := os.MkdirTemp("", "deployment")
	if err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &deployment{program: program, dir: dir, size: f.Deployment, port: firstPort, plan: f.Load}
	defer d.stop()
	if err := d.start(ctx); err != nil {
		return err
	}
	plan := f.Load
	plan.Targets = d.callers
	for i, a := range plan.Accounts {
		if plan.Accounts[i].Key, err = d.key(ctx, a.Name); err != nil {
			return err
		}
	}
	if err := plan.Validate(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	idle, err := measure(d.vms)
	if err != nil {
		return err
	}
	time.Sleep(idleTime)
	start, err := measure(d.vms)
	if err != nil {
		return err
	}
	start.print("idle", idle)
	r := guavaload.Run(ctx, plan)
	end, err := measure(d.vms)
	if err != nil {
		return err
	}
	end.print("under load", start)
	r.Write(os.Stdout)
	if out == "" {
		return nil
	}
	if data, err = json.MarshalIndent(r, "", "  "); err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(out+".json", append(data, '\n'), 0o600); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return r.Plot(out + ".svg")
}

// deployment is a set of running processes.
type deployment struct {
	program   string
	dir       string
	size      Size
	plan      guavaload.Plan
	port      int
	processes []*exec.Cmd
	vms       []*exec.Cmd // the VMs among processes
	declared  guavaconfig.Declarations
	callers   []string
	operators []string
}

func (d *deployment) start(ctx context.Context) error {
	platform := d.address()
	if err := d.launch(ctx, "standin", "platform", "--address", platform); err != nil {
		return err
	}
	if err := d.startServers(ctx); err != nil {
		return err
	}
	time.Sleep(startTime)
	var seeds []string
	for i := range d.size.Domains {
		domain := string(rune('a' + i))
		d.declared.Domains = append(d.declared.Domains, guavaconfig.FailureDomain{Name: domain, Region: "home", VMSlots: d.size.VMs})
		for range d.size.VMs {
			peer, err := d.startVM(ctx, domain, platform, seeds)
			if err != nil {
				return err
			}
			if len(seeds) < d.size.Domains {
				seeds = append(seeds, peer)
			}
		}
	}
	time.Sleep(startTime)
	return d.declare(ctx)
}

func (d *deployment) startServers(ctx context.Context) error {
	for i := range d.size.Engines {
		b := guavaconfig.BackendServer{
			Name: fmt.Sprintf("engine-%d", i), Address: d.address(), Domain: d.domain(i), Models: []string{d.plan.Model}, ChecksEpoch: true,
		}
		d.declared.Servers = append(d.declared.Servers, b)
		err := d.launch(ctx, "standin", "engine", "--address", b.Address, "--model", d.plan.Model, "--slots", fmt.Sprint(d.size.Slots),
			"--step", fmt.Sprintf("%gms", d.size.Step), "--each", fmt.Sprintf("%gms", d.size.Each), "--checks")
		if err != nil {
			return err
		}
	}
	for i := range d.size.Services {
		b := guavaconfig.BackendServer{Name: fmt.Sprintf("service-%d", i), Address: d.address(), Domain: d.domain(i), Service: "service"}
		d.declared.Servers = append(d.declared.Servers, b)
		if err := d.launch(ctx, "standin", "service", "--address", b.Address); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) domain(i int) string { return string(rune('a' + i%d.size.Domains)) }

// address returns a loopback address with the next unassigned port.
func (d *deployment) address() string {
	d.port++
	return fmt.Sprintf("127.0.0.1:%d", d.port)
}

func (d *deployment) startVM(ctx context.Context, domain, platform string, seeds []string) (peer string, err error) {
	s := guavasettings.Settings{
		Name: fmt.Sprintf("vm-%s%d", domain, d.port), Address: "127.0.0.1", Domain: domain, Region: "home", Platform: platform, Seeds: seeds,
		Ports:     guavasettings.Ports{Callers: d.port + 1, Operators: d.port + 2, Peers: d.port + 3, Admin: d.port + 4},
		Operators: []guavasettings.Operator{{Name: "bench", Role: "admin", Hash: guavaoperator.HashToken(token)}},
		Log:       "warn",
	}
	d.port += 4
	if err := d.write("settings/"+s.Name+".json", s); err != nil {
		return "", err
	}
	d.callers = append(d.callers, s.CallerAddress())
	d.operators = append(d.operators, s.OperatorAddress())
	if err := d.launch(ctx, "serve", "--config", filepath.Join(d.dir, "settings", s.Name+".json")); err != nil {
		return "", err
	}
	d.vms = append(d.vms, d.processes[len(d.processes)-1])
	return s.PeerAddress(), nil
}

func (d *deployment) declare(ctx context.Context) error {
	for _, a := range d.plan.Accounts {
		d.declared.Accounts = append(d.declared.Accounts, guavaconfig.ClientAccount{Name: a.Name, Rate: a.AgreedRate, Burst: a.AgreedRate, Weight: 1})
	}
	d.declared.Models = []guavaconfig.Model{{Name: d.plan.Model, Version: "1", MinServers: 1}}
	d.declared.Routes = []guavaconfig.Route{
		{Name: "models", Path: "/v1", Idempotent: true},
		{Name: "service", Path: "/service", Service: "service"},
	}
	if err := d.write("declarations/all.json", d.declared); err != nil {
		return err
	}
	_, err := d.command(ctx, "apply", "--reason", "bench", filepath.Join(d.dir, "declarations"))
	return err
}

// key issues an API key for a client account and returns it.
func (d *deployment) key(ctx context.Context, account string) (string, error) {
	out, err := d.command(ctx, "key", "issue", "--reason", "bench", account)
	if err != nil {
		return "", err
	}
	for field := range strings.FieldsSeq(out) {
		if strings.HasPrefix(field, "gk_") {
			return field, nil
		}
	}
	return "", fmt.Errorf("issue key: no key with prefix gk_ in output %q", out)
}

// command runs an operator command and returns its output.
func (d *deployment) command(ctx context.Context, args ...string) (string, error) {
	c := exec.CommandContext(ctx, d.program, args...)
	c.Env = append(os.Environ(), "GUAVARIDGE_TOKEN="+token, "GUAVARIDGE_ADDRESS="+d.operators[0])
	out, err := c.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, out)
	}
	return string(out), nil
}

// launch starts a process, which stop terminates.
func (d *deployment) launch(ctx context.Context, args ...string) error {
	c := exec.CommandContext(ctx, d.program, args...)
	c.Stderr = os.Stderr
	// The process must not outlive this program, even if it is killed, for example by a closed pipe.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", strings.Join(args, " "), err)
	}
	d.processes = append(d.processes, c)
	return nil
}

func (d *deployment) write(name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	path := filepath.Join(d.dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

// stop sends SIGTERM to all started processes, kills those still running after stopTime, and waits for them.
func (d *deployment) stop() {
	for _, c := range d.processes {
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	timer := time.AfterFunc(stopTime, func() {
		for _, c := range d.processes {
			_ = c.Process.Kill()
		}
	})
	defer timer.Stop()
	for _, c := range d.processes {
		_ = c.Wait()
	}
}
