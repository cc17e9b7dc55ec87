package proof_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavaoperator"
	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavastandin"
)

// eventsShown is the number of events that a golden file shows at each end of a stream.
const eventsShown = 2

// commands are the commands of a session by name. They take their arguments and the text after "|", and return the output.
var commands = map[string]func(s *session, args []string, text string) string{
	"call":     (*session).call,
	"repeat":   (*session).repeat,
	"upload":   (*session).upload,
	"await":    (*session).await,
	"result":   (*session).result,
	"issue":    (*session).issueKey,
	"withdraw": (*session).withdrawKey,
	"account":  (*session).account,
	"version":  (*session).version,
	"audit":    (*session).audit,
	"force":    (*session).versionsInForce,
	"confirm":  (*session).confirmedVersions,
	"list":     (*session).listVMs,
	"counter":  (*session).counter,
	"began":    (*session).executionCounts,
	"models":   (*session).models,
	"crash":    (*session).crash,
	"restart":  (*session).restart,
	"sleep":    (*session).sleep,
	"wait":     func(s *session, args []string, _ string) string { return <-s.pending[args[0]] },
	"cut":      func(s *session, args []string, _ string) string { return s.partition(args, true) },
	"heal":     func(s *session, args []string, _ string) string { return s.partition(args, false) },
}

// vm returns a VM by failure domain and number, such as "a1".
func (s *session) vm(name string) *vm {
	for i, d := range domains {
		if n, ok := strings.CutPrefix(name, d); ok && (n == "1" || n == "2") {
			return s.vms[2*i+int(n[0]-'1')]
		}
	}
	s.t.Fatalf("unknown VM %q", name)
	return nil
}

// call sends the request "vm method path [header=value ...] | body". The pair key=value sets the key of the caller.
func (s *session) call(args []string, body string) string {
	q := request{vm: s.vm(args[0]), key: s.key.Text, method: args[1], path: args[2], header: map[string]string{}, body: []byte(body)}
	for _, w := range args[3:] {
		k, v, _ := strings.Cut(w, "=")
		if k == "key" {
			q.key = v
			continue
		}
		q.header[k] = v
	}
	if body != "" {
		q.mime = "application/json"
	}
	return s.exchange(q)
}

// exchange sends a request and prints the response.
func (s *session) exchange(q request) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	h, err := s.roundTrip(ctx, q)
	if err != nil {
		return "no answer"
	}
	defer h.Body.Close()
	var out strings.Builder
	fmt.Fprintf(&out, "%d", h.StatusCode)
	for _, name := range []string{"Content-Type", "X-Request-Id", "Retry-After", "WWW-Authenticate"} {
		if v := h.Header.Get(name); v != "" {
			fmt.Fprintf(&out, " %s=%s", name, v)
		}
	}
	out.WriteByte('\n')
	var lines []string
	scan := bufio.NewScanner(h.Body)
	scan.Buffer(nil, 1<<20)
	for scan.Scan() {
		if scan.Text() != "" {
			lines = append(lines, scan.Text())
		}
	}
	if n := len(lines) - 2*eventsShown; n > 0 {
		// The length of a truncated stream depends on timing, so only complete streams show their number of events.
		note, last := "(more events)", lines[len(lines)-1:]
		if last[0] == "data: [DONE]" {
			note, last = fmt.Sprintf("(%d more events)", n), lines[len(lines)-eventsShown:]
		}
		lines = slices.Concat(lines[:eventsShown], []string{note}, last)
	}
	out.WriteString(strings.Join(lines, "\n"))
	if err := scan.Err(); err != nil {
		out.WriteString("\nbroken off")
	}
	return out.String()
}

// repeat sends the request "count vm method path [header=value ...] | body" sequentially count times, and counts the
// responses by status.
func (s *session) repeat(args []string, body string) string {
	n, _ := strconv.Atoi(args[0])
	counts := map[string]int{}
	start := time.Now()
	for range n {
		status, _, _ := strings.Cut(s.call(args[1:], body), " ")
		counts[status]++
	}
	return fmt.Sprintf("%v within %s", counts, time.Since(start).Truncate(time.Second)+time.Second)
}

// upload uploads a file of items, for "vm name items tokens".
func (s *session) upload(args []string, _ string) string {
	items, _ := strconv.Atoi(args[2])
	tokens, _ := strconv.Atoi(args[3])
	body, mime := uploadForm(args[1], items, tokens)
	return s.exchange(request{vm: s.vm(args[0]), key: s.key.Text, path: "/v1/files", body: body, mime: mime})
}

// await polls a job until it is completed, for "vm job".
func (s *session) await(args []string, _ string) string {
	deadline := time.Now().Add(completionTimeout)
	for {
		got := s.call([]string{args[0], http.MethodGet, "/v1/batches/" + args[1]}, "")
		if strings.Contains(got, `"status":"completed"`) || time.Now().After(deadline) {
			return got
		}
		time.Sleep(retryDelay)
	}
}

// result reads a result file, for "vm file name tokens", and counts the items whose text is the expected one.
func (s *session) result(args []string, _ string) string {
	tokens, _ := strconv.Atoi(args[3])
	a := s.send(request{vm: s.vm(args[0]), key: s.key.Text, method: http.MethodGet, path: "/v1/files/" + args[1] + "/content"})
	seen := map[string]int{}
	correct := 0
	lines := strings.Split(strings.TrimSpace(string(a.body)), "\n")
	slices.Sort(lines)
	for _, line := range lines {
		var l struct {
			ID       string `json:"custom_id"`
			Response struct {
				Body json.RawMessage `json:"body"`
			} `json:"response"`
		}
		if json.Unmarshal([]byte(line), &l) != nil {
			continue
		}
		seen[l.ID]++
		prompt := strings.Replace(l.ID, args[2]+"-", args[2]+" item ", 1)
		if parseBody(response{}, l.Response.Body).text == guavastandin.Text(model, prompt, tokens) {
			correct++
		}
	}
	return fmt.Sprintf("%d: %d lines, %d items, %d right answers", a.status, len(lines), len(seen), correct)
}

func (s *session) issueKey(args []string, _ string) string {
	k, err := s.vm(args[0]).node.Store().IssueKey(s.t.Context(), meta("issue"), args[1], nil)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("version %d: %s", k.Version, k.Text)
}

// withdrawKey withdraws a key, for "vm key". The key's name contains the part of its text before the secret.
func (s *session) withdrawKey(args []string, _ string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(args[1], "gk_"), "_")
	for _, k := range s.vm(args[0]).node.Snapshot().Declarations().Keys {
		if strings.Contains(k.Name, name) {
			name = k.Name
		}
	}
	return outcome(s.vm(args[0]).node.Store().WithdrawKey(s.t.Context(), meta("withdraw"), name))
}

func outcome(res guavaoperator.Result, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("version %d", res.Version)
}

// applyAt applies a change of the declarations in force on a VM, at that VM.
func (s *session) applyAt(name, reason string, change func(d *guavaconfig.Declarations)) string {
	v := s.vm(name)
	snapshot := v.node.Snapshot()
	d := snapshot.Declarations()
	d.Accounts, d.Models = slices.Clone(d.Accounts), slices.Clone(d.Models)
	change(&d)
	return outcome(v.node.Store().Apply(s.t.Context(), guavaoperator.Request{Meta: meta(reason), Base: snapshot.Version(), Desired: d}))
}

// account declares a client account, for "vm name rate burst".
func (s *session) account(args []string, reason string) string {
	rate, _ := strconv.ParseFloat(args[2], 64)
	burst, _ := strconv.ParseFloat(args[3], 64)
	return s.applyAt(args[0], reason, func(d *guavaconfig.Declarations) {
		d.Accounts = slices.DeleteFunc(d.Accounts, func(a guavaconfig.ClientAccount) bool { return a.Name == args[1] })
		d.Accounts = append(d.Accounts, guavaconfig.ClientAccount{Name: args[1], Rate: rate, Burst: burst, Weight: 1})
	})
}

// version declares a version of the model, for "vm version".
func (s *session) version(args []string, reason string) string {
	return s.applyAt(args[0], reason, func(d *guavaconfig.Declarations) { d.Models[0].Version = args[1] })
}

// audit prints the audit trail as read at a VM.
func (s *session) audit(args []string, _ string) string {
	var out strings.Builder
	report, err := s.vm(args[0]).node.Store().Audit(s.t.Context(), 0, func(e guavaconfig.Entry) error {
		edits := strings.TrimSpace(e.Edits.Redacted().String())
		_, err := fmt.Fprintf(&out, "version %d, %s by %s, %s: %s\n", e.Version, e.Operation, e.Operator, e.Reason, strings.ReplaceAll(edits, "\n", "; "))
		return err
	})
	fmt.Fprintf(&out, "head %d, missing %v, faults %v, error %v", report.Head, report.Missing, report.Faults, err)
	return out.String()
}

// versionsInForce prints the configuration version in force on each VM.
func (s *session) versionsInForce([]string, string) string {
	out := make([]string, 0, len(s.vms))
	for i, v := range s.vms {
		out = append(out, fmt.Sprintf("%s%d: %d", domains[i/2], i%2+1, v.node.Snapshot().Version()))
	}
	return strings.Join(out, ", ")
}

// confirmedVersions prints the version that each VM confirms to a VM that an operator queries. 0 means no response.
func (s *session) confirmedVersions(args []string, _ string) string {
	heads := s.vm(args[0]).node.Heads()
	out := make([]string, 0, len(heads))
	for name, version := range heads {
		out = append(out, fmt.Sprintf("%s: %d", name, version))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// listVMs adds all VMs to the platform's list of machines.
func (s *session) listVMs([]string, string) string {
	for _, v := range s.vms {
		s.platform.PutMachine(guavaplatform.Machine{Name: v.settings.Name, Domain: v.settings.Domain, Address: v.settings.PeerAddress()})
	}
	return ""
}

// counter prints metrics summed over all VMs.
func (s *session) counter(args []string, _ string) string {
	sums := make([]float64, len(args))
	for _, v := range s.vms {
		h, err := s.http.Get("http://" + v.settings.AdminAddress() + "/metrics")
		if err != nil {
			return err.Error()
		}
		body, _ := io.ReadAll(h.Body)
		_ = h.Body.Close()
		for line := range bytes.Lines(body) {
			for i, w := range args {
				if f := strings.Fields(string(line)); f[0] == w || f[0] == w+"_total" || strings.HasPrefix(f[0], w+"_total{") || strings.HasPrefix(f[0], w+"{") {
					n, _ := strconv.ParseFloat(f[len(f)-1], 64)
					sums[i] += n
				}
			}
		}
	}
	var out []string
	for i, w := range args {
		out = append(out, fmt.Sprintf("%s %g", w, sums[i]))
	}
	return strings.Join(out, ", ")
}

// executionCounts prints how many executions of a booking or prompt started and ended on all backend servers.
func (s *session) executionCounts(_ []string, name string) string {
	starts, ends := 0, 0
	for _, e := range s.engines {
		starts, ends = starts+e.Starts(name), ends+e.Ends(name)
	}
	for _, b := range s.services {
		starts, ends = starts+b.Starts(name), ends+b.Ends(name)
	}
	return fmt.Sprintf("began %d, ended %d", starts, ends)
}

// models prints the models that each engine serves.
func (s *session) models([]string, string) string {
	out := make([]string, 0, len(s.engines))
	for name, e := range s.engines {
		out = append(out, fmt.Sprintf("%s: %v", name, e.Orders().Models))
	}
	slices.Sort(out)
	return strings.Join(out, "\n")
}

func (s *session) sleep(args []string, _ string) string {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		s.t.Fatal(err)
	}
	time.Sleep(d)
	return ""
}

// serverByName returns a stand-in by name. "busy" is the first engine found with requests in flight and more than 100
// requests received.
func (s *session) serverByName(name string) interface {
	Crash()
	Restart()
} {
	deadline := time.Now().Add(completionTimeout)
	for name == "busy" && s.busyEngine == "" && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
		for n, e := range s.engines {
			if running, _ := e.Running(); running > 0 && len(e.Received()) > 100 {
				s.busyEngine = n
			}
		}
	}
	if name == "busy" {
		name = s.busyEngine
	}
	if e, ok := s.engines[name]; ok {
		return e
	}
	b, ok := s.services[name]
	if !ok {
		s.t.Fatalf("unknown server %q", name)
	}
	return b
}

func (s *session) crash(args []string, _ string) string {
	s.serverByName(args[0]).Crash()
	return ""
}

func (s *session) restart(args []string, _ string) string {
	s.serverByName(args[0]).Restart()
	return ""
}

// partition cuts or heals the connection between two failure domains or between a failure domain and the platform, for
// "domain domain" or "domain platform".
func (s *session) partition(args []string, cut bool) string {
	switch {
	case args[1] == "platform":
		s.platform.PartitionDomain(args[0], cut)
	case cut:
		s.network.Partition(args[0], args[1])
	default:
		s.network.Heal(args[0], args[1])
	}
	return ""
}
