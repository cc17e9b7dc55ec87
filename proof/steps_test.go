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

// eventsShown is the number of events of a stream that a golden file shows in full, from its begin and its end.
const eventsShown = 2

// verbs are the steps of a session: they take the words and the text after "|", and return what came back.
var verbs = map[string]func(s *session, words []string, text string) string{
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
	"force":    (*session).force,
	"confirm":  (*session).confirm,
	"list":     (*session).list,
	"counter":  (*session).counter,
	"began":    (*session).began,
	"models":   (*session).models,
	"crash":    (*session).crash,
	"restart":  (*session).restart,
	"sleep":    (*session).sleep,
	"wait":     func(s *session, words []string, _ string) string { return <-s.pending[words[0]] },
	"cut":      func(s *session, words []string, _ string) string { return s.partition(words, true) },
	"heal":     func(s *session, words []string, _ string) string { return s.partition(words, false) },
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

// call sends "vm method path [header=value ...] | body".
func (s *session) call(words []string, body string) string {
	q := request{vm: s.vm(words[0]), key: s.key.Text, method: words[1], path: words[2], header: map[string]string{}, body: []byte(body)}
	for _, w := range words[3:] {
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

// show sends a request and prints the answer.
func (s *session) exchange(q request) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	h, err := s.do(ctx, q)
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
		// Where a stream was ended depends on the moment, so only a whole stream shows how long it was.
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

// repeat sends the same call a number of times, one after the other, and counts the answers.
func (s *session) repeat(words []string, body string) string {
	n, _ := strconv.Atoi(words[0])
	counts := map[string]int{}
	start := time.Now()
	for range n {
		status, _, _ := strings.Cut(s.call(words[1:], body), " ")
		counts[status]++
	}
	return fmt.Sprintf("%v within %s", counts, time.Since(start).Truncate(time.Second)+time.Second)
}

// upload uploads "vm name items tokens".
func (s *session) upload(words []string, _ string) string {
	items, _ := strconv.Atoi(words[2])
	tokens, _ := strconv.Atoi(words[3])
	body, mime := upload(words[1], items, tokens)
	return s.exchange(request{vm: s.vm(words[0]), key: s.key.Text, path: "/v1/files", body: body, mime: mime})
}

// await reads a job until it is no longer open, for "vm job".
func (s *session) await(words []string, _ string) string {
	deadline := time.Now().Add(finish)
	for {
		got := s.call([]string{words[0], http.MethodGet, "/v1/batches/" + words[1]}, "")
		if strings.Contains(got, `"status":"completed"`) || time.Now().After(deadline) {
			return got
		}
		time.Sleep(tryPause)
	}
}

// result reads a result file, "vm file name tokens", and compares each item with the text of the model.
func (s *session) result(words []string, _ string) string {
	tokens, _ := strconv.Atoi(words[3])
	a := s.send(request{vm: s.vm(words[0]), key: s.key.Text, method: http.MethodGet, path: "/v1/files/" + words[1] + "/content"})
	seen := map[string]int{}
	right := 0
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
		prompt := strings.Replace(l.ID, words[2]+"-", words[2]+" item ", 1)
		if parse(answer{}, l.Response.Body).text == guavastandin.Text(model, prompt, tokens) {
			right++
		}
	}
	return fmt.Sprintf("%d: %d lines, %d items, %d right answers", a.status, len(lines), len(seen), right)
}

func (s *session) issueKey(words []string, _ string) string {
	k, err := s.vm(words[0]).node.Store().IssueKey(s.t.Context(), meta("issue"), words[1], nil)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("version %d: %s", k.Version, k.Text)
}

// withdrawKey withdraws "vm key"; the key's name is the part of its text before the secret.
func (s *session) withdrawKey(words []string, _ string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(words[1], "gk_"), "_")
	for _, k := range s.vm(words[0]).node.Snapshot().Declarations().Keys {
		if strings.Contains(k.Name, name) {
			name = k.Name
		}
	}
	return outcome(s.vm(words[0]).node.Store().WithdrawKey(s.t.Context(), meta("withdraw"), name))
}

func outcome(res guavaoperator.Result, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("version %d", res.Version)
}

// applyAt changes the declarations in force at a VM.
func (s *session) applyAt(name, reason string, change func(d *guavaconfig.Declarations)) string {
	v := s.vm(name)
	now := v.node.Snapshot()
	d := now.Declarations()
	d.Accounts, d.Models = slices.Clone(d.Accounts), slices.Clone(d.Models)
	change(&d)
	return outcome(v.node.Store().Apply(s.t.Context(), guavaoperator.Request{Meta: meta(reason), Base: now.Version(), Desired: d}))
}

// account declares "vm name rate burst".
func (s *session) account(words []string, reason string) string {
	rate, _ := strconv.ParseFloat(words[2], 64)
	burst, _ := strconv.ParseFloat(words[3], 64)
	return s.applyAt(words[0], reason, func(d *guavaconfig.Declarations) {
		d.Accounts = slices.DeleteFunc(d.Accounts, func(a guavaconfig.ClientAccount) bool { return a.Name == words[1] })
		d.Accounts = append(d.Accounts, guavaconfig.ClientAccount{Name: words[1], Rate: rate, Burst: burst, Weight: 1})
	})
}

// version declares "vm version" of the model.
func (s *session) version(words []string, reason string) string {
	return s.applyAt(words[0], reason, func(d *guavaconfig.Declarations) { d.Models[0].Version = words[1] })
}

// audit prints the audit trail as a VM reads it.
func (s *session) audit(words []string, _ string) string {
	var out strings.Builder
	found, err := s.vm(words[0]).node.Store().Audit(s.t.Context(), 0, func(e guavaconfig.Entry) error {
		edits := strings.TrimSpace(e.Edits.Redacted().String())
		_, err := fmt.Fprintf(&out, "version %d, %s by %s, %s: %s\n", e.Version, e.Operation, e.Operator, e.Reason, strings.ReplaceAll(edits, "\n", "; "))
		return err
	})
	fmt.Fprintf(&out, "head %d, missing %v, faults %v, error %v", found.Head, found.Missing, found.Faults, err)
	return out.String()
}

// force prints the configuration version in force on each VM.
func (s *session) force([]string, string) string {
	out := make([]string, 0, len(s.vms))
	for i, v := range s.vms {
		out = append(out, fmt.Sprintf("%s%d: %d", domains[i/2], i%2+1, v.node.Snapshot().Version()))
	}
	return strings.Join(out, ", ")
}

// confirm prints the version that each VM confirms to the operator who asks a VM; 0 is no answer.
func (s *session) confirm(words []string, _ string) string {
	heads := s.vm(words[0]).node.Heads()
	out := make([]string, 0, len(heads))
	for name, version := range heads {
		out = append(out, fmt.Sprintf("%s: %d", name, version))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// list puts all VMs on the platform's list.
func (s *session) list([]string, string) string {
	for _, v := range s.vms {
		s.platform.PutMachine(guavaplatform.Machine{Name: v.settings.Name, Domain: v.settings.Domain, Address: v.settings.PeerAddress()})
	}
	return ""
}

// counter prints counters as the sum over all VMs.
func (s *session) counter(words []string, _ string) string {
	sums := make([]float64, len(words))
	for _, v := range s.vms {
		h, err := s.http.Get("http://" + v.settings.AdminAddress() + "/metrics")
		if err != nil {
			return err.Error()
		}
		body, _ := io.ReadAll(h.Body)
		_ = h.Body.Close()
		for line := range bytes.Lines(body) {
			for i, w := range words {
				if f := strings.Fields(string(line)); f[0] == w || f[0] == w+"_total" || strings.HasPrefix(f[0], w+"_total{") || strings.HasPrefix(f[0], w+"{") {
					n, _ := strconv.ParseFloat(f[len(f)-1], 64)
					sums[i] += n
				}
			}
		}
	}
	var out []string
	for i, w := range words {
		out = append(out, fmt.Sprintf("%s %g", w, sums[i]))
	}
	return strings.Join(out, ", ")
}

// began prints how often a booking or prompt began and ended on all backend servers.
func (s *session) began(_ []string, name string) string {
	starts, ends := 0, 0
	for _, e := range s.engines {
		starts, ends = starts+e.Starts(name), ends+e.Ends(name)
	}
	for _, b := range s.services {
		starts, ends = starts+b.Starts(name), ends+b.Ends(name)
	}
	return fmt.Sprintf("began %d, ended %d", starts, ends)
}

// models prints what each engine serves.
func (s *session) models([]string, string) string {
	out := make([]string, 0, len(s.engines))
	for name, e := range s.engines {
		out = append(out, fmt.Sprintf("%s: %v", name, e.Orders().Models))
	}
	slices.Sort(out)
	return strings.Join(out, "\n")
}

func (s *session) sleep(words []string, _ string) string {
	d, err := time.ParseDuration(words[0])
	if err != nil {
		s.t.Fatal(err)
	}
	time.Sleep(d)
	return ""
}

// server returns a stand-in by name; "busy" is the engine that was first seen in the middle of its
// work: with work in flight and a hundred requests received.
func (s *session) server(name string) interface {
	Crash()
	Restart()
} {
	deadline := time.Now().Add(finish)
	for name == "busy" && s.busy == "" && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
		for n, e := range s.engines {
			if running, _ := e.Running(); running > 0 && len(e.Received()) > 100 {
				s.busy = n
			}
		}
	}
	if name == "busy" {
		name = s.busy
	}
	if e, ok := s.engines[name]; ok {
		return e
	}
	b, ok := s.services[name]
	if !ok {
		s.t.Fatalf("no such server: %q", name)
	}
	return b
}

func (s *session) crash(words []string, _ string) string {
	s.server(words[0]).Crash()
	return ""
}

func (s *session) restart(words []string, _ string) string {
	s.server(words[0]).Restart()
	return ""
}

// partition cuts or heals "domain domain" or "domain platform".
func (s *session) partition(words []string, cut bool) string {
	switch {
	case words[1] == "platform":
		s.platform.PartitionDomain(words[0], cut)
	case cut:
		s.network.Partition(words[0], words[1])
	default:
		s.network.Heal(words[0], words[1])
	}
	return ""
}
