// Package guavaexplain tells the story of a request, job or item from the logs of VMs.
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

// Fields of every line. All others belong to its message.
const (
	fieldMessage = "@message"
	fieldTime    = "@timestamp"
	fieldLevel   = "@level"
	fieldVM      = "vm"
)

// beliefs are messages about what a VM knows, which explain what it decides later. Their values name the field that tells
// several of a kind apart.
var beliefs = map[string]string{
	"configuration in force":                "",
	"turned to another coordinator":         "service",
	"store lost":                            "table",
	"store regained":                        "table",
	"VMs":                                   "",
	"server":                                "server",
	"server gone":                           "server",
	"no answer in time":                     "",
	"drain":                                 "",
	"start":                                 "",
	"copy of a table taken from another VM": "table",
}

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// line is one log line.
type line struct {
	at      time.Time
	vm      string
	message string
	fields  map[string]any
}

// Read reads the log of a VM. Each line may have words before its JSON object, the last of which is taken for the name of
// the VM; otherwise name is. Lines without an object are passed over, since other output may stand between.
func Read(r io.Reader, name string) (Log, error) {
	var l Log
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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
		n.message, _ = fields[fieldMessage].(string) // a line without a message tells nothing and matches nothing
		stamp, _ := fields[fieldTime].(string)       // likewise
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

// Log is the lines of one or more VMs.
type Log []line

// Explain writes the story of an ID: each line about it in the order of time, and before it what the VM knew that is not
// older than its process, with its age. It returns the number of lines about the ID.
func (l Log) Explain(w io.Writer, id string) int {
	lines := slices.Clone(l)
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	known := map[string]map[string]line{} // by VM, then by belief
	told := map[string]bool{}
	n := 0
	for _, x := range lines {
		if x.message == "start" {
			known[x.vm] = nil
		}
		if distinct, ok := beliefs[x.message]; ok {
			if known[x.vm] == nil {
				known[x.vm] = map[string]line{}
			}
			known[x.vm][belief(x, distinct)] = x
		}
		if !x.is(id) {
			continue
		}
		n++
		fmt.Fprintf(w, "%s %s %s\n", x.at.Format("15:04:05.000"), x.vm, x.text())
		for _, key := range slices.Sorted(maps.Keys(known[x.vm])) {
			b := known[x.vm][key]
			if told[x.vm+key+b.at.String()] || !b.concerns(x) {
				continue
			}
			told[x.vm+key+b.at.String()] = true
			fmt.Fprintf(w, "    knew since %s: %s\n", x.at.Sub(b.at).Round(time.Millisecond), b.text())
		}
	}
	return n
}

// belief returns what a line is about. The loss and the return of the store are one thing.
func belief(x line, distinct string) string {
	name := strings.NewReplacer("regained", "", "lost", "", " gone", "").Replace(x.message)
	if distinct == "" {
		return name
	}
	return fmt.Sprint(name, x.fields[distinct])
}

// is reports whether a line is about an ID.
func (x line) is(id string) bool {
	for _, f := range [...]string{"id", "job", "item"} {
		if x.fields[f] == id {
			return true
		}
	}
	return false
}

// concerns reports whether a belief bears on a line: those about a server only on lines that name it.
func (x line) concerns(other line) bool {
	s, ok := x.fields["server"]
	return !ok || s == other.fields["server"]
}

// text returns the message and fields of a line, fields in the order of their names.
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
