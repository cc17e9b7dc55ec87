package guavaoperator_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavaoperator"
	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavaschema"
	"guavaridge/io/guavastandin"
)

// fleet implements Confirmations, Drainer and Jobs.
type fleet struct {
	mu      sync.Mutex
	heads   map[string]uint64
	drained []string
	jobs    map[string]string
}

func (f *fleet) Heads() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heads
}

func (f *fleet) Drain(_ context.Context, vm string) error {
	f.drained = append(f.drained, vm)
	return nil
}

func (f *fleet) Submit(_ context.Context, j guavaoperator.NewJob, items io.Reader) (guavaoperator.Job, error) {
	data, err := io.ReadAll(items)
	f.jobs[j.Key] = string(data)
	return guavaoperator.Job{ID: "j1", Account: j.Account, State: "waiting", Items: int64(bytes.Count(data, []byte("\n")))}, err
}

func (f *fleet) List(_ context.Context, account, _ string, _ int) ([]guavaoperator.Job, error) {
	return []guavaoperator.Job{{ID: "j1", Account: account}}, nil
}

func (f *fleet) Show(_ context.Context, id string) (guavaoperator.Job, error) {
	if id != "j1" {
		return guavaoperator.Job{}, guavaplatform.ErrAbsent
	}
	return guavaoperator.Job{ID: id, State: "running"}, nil
}

func (f *fleet) Cancel(_ context.Context, id string) (guavaoperator.Job, error) {
	return guavaoperator.Job{ID: id, State: "cancelled"}, nil
}

// deployment is a platform and one VM with the operator interface on loopback.
type deployment struct {
	platform *guavastandin.Platform
	store    *guavaoperator.Store
	fleet    *fleet
	address  string
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	p := guavastandin.NewPlatform()
	d := &deployment{platform: p, store: newStore(p, "v1"), fleet: &fleet{jobs: make(map[string]string)}}
	accounts := make([]guavaoperator.Account, 0, 3)
	for _, r := range []guavaoperator.Role{guavaoperator.Viewer, guavaoperator.Editor, guavaoperator.Admin} {
		accounts = append(accounts, guavaoperator.Account{Name: "the-" + string(r), Hash: guavaoperator.HashToken(string(r)), Role: r})
	}
	s, err := guavaoperator.NewService("v1", d.store, accounts,
		guavaoperator.WithConfirmations(d.fleet), guavaoperator.WithDrainer(d.fleet), guavaoperator.WithJobs(d.fleet))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	s.Register(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	d.address = l.Addr().String()
	return d
}

// run runs a command with a token and returns its output and exit code.
func (d *deployment) run(t *testing.T, token string, arguments ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	root := &cli.Command{
		Name: "guavaridge", Commands: guavaoperator.Commands(), Writer: &out, ErrWriter: &out,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	line := append([]string{"guavaridge"}, arguments...)
	err := root.Run(t.Context(), append(line, "--address", d.address, "--token", token))
	if err == nil {
		return out.String(), 0
	}
	code := 1
	if coder := cli.ExitCoder(nil); errors.As(err, &coder) {
		code = coder.ExitCode()
	}
	return out.String() + err.Error(), code
}

func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const bank = `{"accounts":[{"name":"bank","rate":5,"burst":1,"weight":1}]}`

// TestCommands guards against commands with a wrong effect, output or exit code; scripts distinguish outcomes by the
// exit code. The steps depend on each other.
func TestCommands(t *testing.T) {
	d := newDeployment(t)
	d.fleet.heads = map[string]uint64{"v2": 100}
	good, bad, items := t.TempDir(), t.TempDir(), t.TempDir()
	writeFile(t, good, "accounts.json", bank)
	writeFile(t, bad, "accounts.json", strings.ReplaceAll(bank, "5", "-5"))
	lines := writeFile(t, items, "items.jsonl", "{}\n{}\n{}\n")
	absent := writeFile(t, items, "absent", "")
	if err := os.Remove(absent); err != nil {
		t.Fatal(err)
	}
	for _, s := range []struct {
		token string
		line  string
		code  int
		want  string
	}{
		{"viewer", "plan " + good, 0, "base 0\n+ account bank"},
		{"viewer", "plan " + bad, guavaoperator.ExitInvalid, "accounts[bank].rate: -5: a number of 0 or more"},
		{"viewer", "apply --reason first " + good, guavaoperator.ExitDenied, "editor is needed"},
		{"nobody", "status", guavaoperator.ExitDenied, "token is needed"},
		{"", "status", guavaoperator.ExitDenied, "token is needed"},
		{"editor", "apply --reason first --operation op1 --base 0 " + good, 0, "version 1 is durable\nversion 1 is in force on 2 of 2 VMs"},
		{"editor", "apply --reason first --operation op1 --base 0 " + good, 0, "version 1 is durable"},
		{"editor", "apply --reason second --base 0 " + good, guavaoperator.ExitConflict, "1 by the-editor at"},
		{"editor", "apply --reason third " + good, 0, "nothing changes"},
		{"editor", "apply " + good, 1, `Required flag "reason" not set`},
		{"editor", "key issue --reason portal bank", guavaoperator.ExitDenied, "admin is needed"},
		{"admin", "key issue --reason portal bank", 0, "gk_"},
		{"admin", "key issue --reason portal none", guavaoperator.ExitInvalid, `"none": the name of a declared account`},
		{"admin", "key withdraw --reason portal none", 1, "no such key"},
		{"viewer", "get", 0, `"rate": 5`},
		{"viewer", "get --keys", 0, " bank "},
		{"viewer", "history --limit 1", 0, "+ key "},
		{"viewer", "history --limit 1 --after 0", 0, "+ account bank "},
		{"viewer", "audit", 0, "no gap up to version 2"},
		{"viewer", "status --json", 0, `"v2": 100`},
		{"editor", "drain", guavaoperator.ExitDenied, "admin is needed"},
		{"admin", "drain v2", 0, ""},
		{"editor", "jobs submit --account bank --key k --due 1h " + lines, 0, "3 items"},
		{"editor", "jobs submit --account bank --due soon " + lines, guavaoperator.ExitInvalid, "2030-01-02"},
		{"editor", "jobs submit --account bank " + absent, 1, "open items"},
		{"viewer", "jobs list --account bank", 0, "j1 bank"},
		{"viewer", "jobs show j1", 0, "running"},
		{"viewer", "jobs show j2", 1, "absent"},
		{"viewer", "jobs cancel j1", guavaoperator.ExitDenied, "editor is needed"},
		{"editor", "jobs cancel j1", 0, "cancelled"},
	} {
		got, code := d.run(t, s.token, strings.Fields(s.line)...)
		if code != s.code || !strings.Contains(got, s.want) {
			t.Errorf("%s: exit code %d, want %d; output %q, want %q", s.line, code, s.code, got, s.want)
		}
	}
	if diff := cmp.Diff([]string{"v2"}, d.fleet.drained); diff != "" {
		t.Errorf("drained VMs: %s", diff)
	}
	if d.fleet.jobs["k"] != "{}\n{}\n{}\n" {
		t.Errorf("items of the job: %q", d.fleet.jobs["k"])
	}
}

// TestUnconfirmed guards against exit code 0 for a change that a VM has not confirmed, during an outage of the
// platform, and for an audit trail with a gap.
func TestUnconfirmed(t *testing.T) {
	d := newDeployment(t)
	d.fleet.heads = map[string]uint64{"v2": 0, "v3": 9}
	dir := t.TempDir()
	writeFile(t, dir, "accounts.json", bank)
	got, code := d.run(t, "editor", "apply", "--reason", "r", "--wait", "200ms", dir)
	if code != guavaoperator.ExitUnconfirmed || !strings.Contains(got, "in force on 2 of 3 VMs") || !strings.Contains(got, "not confirmed by v2") {
		t.Errorf("VM v2 lags: exit code %d, want ExitUnconfirmed; output %q", code, got)
	}
	d.platform.SetDown(true)
	if got, code := d.run(t, "editor", "apply", "--reason", "r", dir); code != guavaoperator.ExitUnavailable {
		t.Errorf("outage: exit code %d, want %d: %q", code, guavaoperator.ExitUnavailable, got)
	}
	d.platform.SetDown(false)
	if err := d.platform.Commit(t.Context(), nil, []guavaplatform.Write{{Key: "config/change/000000000001", Delete: true}}); err != nil {
		t.Fatal(err)
	}
	if got, code := d.run(t, "viewer", "audit"); code != guavaoperator.ExitGap || !strings.Contains(got, "version 1 is missing") {
		t.Errorf("gap: exit code %d, want %d: %q", code, guavaoperator.ExitGap, got)
	}
}

// TestOperatorLeaves guards against a change that is aborted, or committed but not put in force on the VM, if the
// operator's connection breaks before the commit.
func TestOperatorLeaves(t *testing.T) {
	d := newDeployment(t)
	d.platform.SetDelay(400 * time.Millisecond)
	c, err := guavaoperator.NewClient("editor", "", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for d.platform.Counts().Reads == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel() // the head row was read; the commit takes effect 400 ms later
	}()
	q := &guavaschema.ApplyRequest{Operation: "op", Reason: "r", Declarations: []byte(bank)}
	if _, err := c.Apply(ctx, q, func(*guavaschema.ApplyReply) {}); err == nil {
		t.Fatal("apply over a cancelled connection: got no error")
	}
	for range 1000 {
		if d.store.Holder().Head() == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("version 1 is not in force after 10 s")
}

// TestEditorKeys guards against an editor adding a key through declarations, which needs the role admin, and against
// key hashes in the output.
func TestEditorKeys(t *testing.T) {
	d := newDeployment(t)
	dir := t.TempDir()
	hash := strings.Repeat("0", 64)
	writeFile(t, dir, "a.json", bank)
	writeFile(t, dir, "b.json", `{"keys":[{"name":"k","account":"bank","hash":"`+hash+`"}]}`)
	if got, code := d.run(t, "editor", "apply", "--reason", "r", dir); code != guavaoperator.ExitDenied {
		t.Errorf("editor: exit code %d, want %d: %q", code, guavaoperator.ExitDenied, got)
	}
	got, code := d.run(t, "admin", "apply", "--reason", "r", dir)
	if code != 0 || strings.Contains(got, hash) {
		t.Errorf("admin: exit code %d, want 0 and no key hash in the output: %q", code, got)
	}
	if got, _ := d.run(t, "viewer", "history"); !strings.Contains(got, "+ key k ") || strings.Contains(got, hash) {
		t.Errorf("history: got %q, want the name of the key and no hash", got)
	}
}

// TestAccounts guards against settings with operators that are ambiguous or can never be authorized.
func TestAccounts(t *testing.T) {
	hash := guavaoperator.HashToken("x")
	for name, list := range map[string][]guavaoperator.Account{
		"no name":    {{Hash: hash, Role: guavaoperator.Viewer}},
		"same name":  {{Name: "a", Hash: hash, Role: guavaoperator.Viewer}, {Name: "a", Hash: hash, Role: guavaoperator.Admin}},
		"token":      {{Name: "a", Hash: "x", Role: guavaoperator.Viewer}},
		"other role": {{Name: "a", Hash: hash, Role: "root"}},
	} {
		if _, err := guavaoperator.NewService("v1", newStore(guavastandin.NewPlatform(), "v1"), list); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

// TestCheckFile guards against a check that accepts declarations that apply rejects.
func TestCheckFile(t *testing.T) {
	dir := t.TempDir()
	if err := guavaoperator.CheckFile(writeFile(t, dir, "a.json", bank)); err != nil {
		t.Error(err)
	}
	if err := guavaoperator.CheckFile(dir); err != nil {
		t.Error(err)
	}
	writeFile(t, dir, "b.json", bank)
	invalid := guavaconfig.ValidationErrors(nil)
	if err := guavaoperator.CheckFile(dir); !errors.As(err, &invalid) {
		t.Errorf("same account in two files: got %v, want ValidationErrors", err)
	}
	// Each line names the file, because a command can check several files.
	for _, content := range []string{`{"hello":1,"models":5}`, `not JSON`} {
		file := writeFile(t, t.TempDir(), "bad.json", content)
		err := guavaoperator.CheckFile(file)
		if err == nil {
			t.Errorf("%s: got no error", content)
			continue
		}
		for line := range strings.Lines(err.Error()) {
			if !strings.HasPrefix(line, file+": ") {
				t.Errorf("line %q: want the file as prefix", line)
			}
		}
	}
}
