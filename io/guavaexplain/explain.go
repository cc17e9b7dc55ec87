// Package guavaexplain prints the timeline of a request, job or item from the logs of VMs.
package guavaexplain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Fields of every log line. The others depend on its message.
const (
	fieldMessage = "@message"
	fieldTime    = "@timestamp"
	fieldLevel   = "@level"
	fieldVM      = "vm"
)

// contextMessages are the messages about the state known to a VM, which explains its later decisions. The values are
// the field that distinguishes several states of one kind, empty if there is only one.
var contextMessages = map[string]string{
	"configuration in force":          "",
	"coordinator changed":             "service",
	"store lost":                      "table",
	"store regained":                  "table",
	"VMs":                             "",
	"server":                          "server",
	"server leaving":                  "server",
	"server gone":                     "server",
	"no answer in time":               "",
	"drain":                           "",
	"start":                           "",
	"table snapshot loaded from peer": "table",
}

// maxLineLength is the maximum length of a log line in bytes.
const maxLineLength = 1 << 20

type line struct {
	at      time.Time
	vm      string
	message string
	fields  map[string]any
}

// Read reads the log of a VM. The last word before the JSON object of a line is the name of the VM, which defaults to
// name. Lines without an object or a timestamp are skipped, since the file may contain other output.
func Read(r io.Reader, name string) (Log, error) {
	var l Log
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineLength)
	for s.Scan() {
		text := s.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[begin:]), &fields) != nil {
			continue
		}
		n := line{vm: name, fields: fields}
		if words := strings.Fields(text[:begin]); len(words) > 0 {
			n.vm = words[len(words)-1]
		}
		n.message, _ = fields[fieldMessage].(string) // empty if absent, which matches no context message
		stamp, _ := fields[fieldTime].(string)       // without a timestamp, Parse fails and the line is skipped
		var err error
		if n.at, err = time.Parse(time.RFC3339Nano, stamp); err != nil {
			continue
		}
		l = append(l, n)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return l, nil
}

// Log contains the log lines of one or more VMs.
type Log []line

// Explain writes the timeline of an ID: the lines about it in order of time, each followed by the state known to the VM
// since its last start and not printed before, with its age. It returns the number of lines about the ID.
func (l Log) Explain(w io.Writer, id string) int {
	lines := slices.Clone(l)
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	known := map[string]map[string]line{} // the last context line, by VM and contextKey
	printed := map[string]bool{}
	n := 0
	for _, x := range lines {
		if x.message == "start" {
			known[x.vm] = nil
		}
		if field, ok := contextMessages[x.message]; ok {
			if known[x.vm] == nil {
				known[x.vm] = map[string]line{}
			}
			known[x.vm][contextKey(x, field)] = x
		}
		if !x.isAbout(id) {
			continue
		}
		n++
		fmt.Fprintf(w, "%s %s %s\n", x.at.Format("15:04:05.000"), x.vm, x.text())
		for _, key := range slices.Sorted(maps.Keys(known[x.vm])) {
			b := known[x.vm][key]
			if printed[x.vm+key+b.at.String()] || !b.appliesTo(x) {
				continue
			}
			printed[x.vm+key+b.at.String()] = true
			fmt.Fprintf(w, "    known for %s: %s\n", x.at.Sub(b.at).Round(time.Millisecond), b.text())
		}
	}
	return n
}

// contextKey returns the key of the state that a context line is about. Messages about the start and the end of a
// state, such as "store lost" and "store regained", have the same key, so that the later replaces the earlier.
func contextKey(x line, field string) string {
	name := strings.NewReplacer("regained", "", "lost", "", " leaving", "", " gone", "").Replace(x.message)
	if field == "" {
		return name
	}
	return fmt.Sprint(name, x.fields[field])
}

// isAbout reports whether a line is about the ID of a request, job or item.
func (x line) isAbout(id string) bool {
	for _, f := range [...]string{"id", "job", "item"} {
		if x.fields[f] == id {
			return true
		}
	}
	return false
}

// appliesTo reports whether a context line is relevant to another line: one about a server only to lines that name the
// server.
func (x line) appliesTo(other line) bool {
	s, ok := x.fields["server"]
	return !ok || s == other.fields["server"]
}

// text returns the message of a line and its fields, sorted by name.
func (x line) text() string {
	var b strings.Builder
	b.WriteString(x.message)
	for _, k := range slices.Sorted(maps.Keys(x.fields)) {
		if k == fieldMessage || k == fieldTime || k == fieldLevel || k == fieldVM || x.fields[k] == "" {
			continue
		}
		fmt.Fprintf(&b, " %s=%v", k, x.fields[k])
	}
	return b.String()
}
