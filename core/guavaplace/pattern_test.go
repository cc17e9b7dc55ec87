package guavaplace_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// pattern is a load scenario: the servers, the load and the faults. Each file in testdata/load holds one.
type pattern struct {
	servers, domains, slots, memory int
	step, length                    time.Duration
	online, batch                   float64 // requests per second
	swing                           [3]float64
	events                          []event
}

// event is a fault that affects the first servers of the list for a time.
type event struct {
	kind     string
	from, to time.Duration
	servers  int
	value    float64
}

func readPattern(file string) (pattern, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return pattern{}, fmt.Errorf("read load pattern: %w", err)
	}
	p := pattern{length: defaultLength, slots: 8, memory: 72000, step: 3 * time.Millisecond, swing: [3]float64{1, 1, 1}}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		v := make([]float64, 0, len(fields))
		for _, f := range fields[1:] {
			n, err := strconv.ParseFloat(f, 64)
			if err != nil {
				return p, fmt.Errorf("%s: %w in %q", file, err, line)
			}
			v = append(v, n)
		}
		if want, ok := fieldCounts[fields[0]]; !ok || len(v) != want {
			return p, fmt.Errorf("%s: line %q: want %d numbers", file, line, want)
		}
		switch name := fields[0]; name {
		case "servers":
			p.servers = int(v[0])
		case "domains":
			p.domains = int(v[0])
		case "places":
			p.slots = int(v[0])
		case "memory":
			p.memory = int(v[0])
		case "step":
			p.step = time.Duration(v[0] * float64(time.Millisecond))
		case "seconds":
			p.length = time.Duration(v[0] * float64(time.Second))
		case "online":
			p.online = v[0]
		case "batch":
			p.batch = v[0]
		case "swing":
			copy(p.swing[:], v)
		default:
			e := event{kind: name, from: time.Duration(v[0] * 1e9), to: time.Duration(v[1] * 1e9)}
			if len(v) > 2 {
				e.servers = int(v[2])
			}
			if len(v) > 3 {
				e.value = v[3]
			}
			p.events = append(p.events, e)
		}
	}
	return p, nil
}

// fieldCounts is the number of values on each kind of line: one in general; for swing the minimum and maximum factor on
// the online load and the period in seconds; for events the begin and end in seconds, the number of servers, and the
// ratio of runs that fail or the factor on the step time.
var fieldCounts = map[string]int{
	"servers": 1, "domains": 1, "places": 1, "memory": 1, "step": 1, "seconds": 1, "online": 1, "batch": 1, "swing": 3,
	"fail": 4, "down": 3, "slow": 4, "restart": 2,
}

// capacity returns the engine time, in seconds, that is available between two times.
func (p pattern) capacity(from, to time.Duration) float64 {
	sum := float64(p.servers) * (to - from).Seconds()
	for _, e := range p.events {
		span := (min(to, e.to) - max(from, e.from)).Seconds() * float64(e.servers)
		switch {
		case span <= 0:
		case e.kind == "fail":
			sum -= span * e.value
		case e.kind == "slow":
			sum -= span * (1 - 1/e.value)
		default:
			sum -= span
		}
	}
	return sum
}
