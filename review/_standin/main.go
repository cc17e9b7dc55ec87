// Command review plays a case of the review against processes of the program, with small stand-ins of the platform's
// store, servers and clients on loopback addresses. It exits with 1 if the rule of the case was broken, 0 if it held, and
// 2 if the case could not run.
package main

import (
	"fmt"
	"io"
	"os"
)

// Settings of a small deployment, as on the pages of the site giz-lisboa.
const (
	memoryMB     = 154
	quotaOverage = 0.1
	quotaSlack   = 20.0
)

// play runs a case and reports whether its rule was broken.
type play func(record io.Writer, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"lost":   playLost,
	"budget": playBudget,
	"quota":  playQuota,
	"memory": playMemory,
	"path":   playPath,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		return 2
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	fmt.Fprintf(record, "case %s, trouble %t\n", os.Args[1], trouble)
	broken, err := plays[os.Args[1]](record, trouble)
	switch {
	case err != nil:
		fmt.Fprintf(record, "the case could not run: %v\n", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		fmt.Fprintln(record, "the rule was broken")
		fmt.Println("broken")
		return 1
	}
	fmt.Fprintln(record, "the rule held")
	fmt.Println("held")
	return 0
}

// configuration returns the operator's configuration of a small deployment.
func configuration(rate, burst float64) map[string]any {
	route := func(name, prefix, service, kind string, attempts int, more map[string]any) map[string]any {
		m := map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 5000, "sloMs": 300, "priority": 0,
			"service": service, "maxAttempts": attempts, "anonymous": false, "sessionAffinity": service == "engine", "resumable": false,
			"gapAimMs": 400,
		}
		for k, v := range more {
			m[k] = v
		}
		return m
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			route("r-caption", "/caption/", "engine", "streaming", 1, nil),
			route("r-greeting", "/greeting/", "engine", "streaming", 2, map[string]any{"resumable": true}),
			route("r-booking", "/booking/", "booking", "idempotent", 2, map[string]any{"timeoutMs": 1500, "sloMs": 150}),
			route("r-batch", "/batch/", "engine", "bulk", 3, map[string]any{
				"sloMs": 400, "completionTargetMs": 18000, "retainS": 60, "priority": 2, "resumable": true,
			}),
		},
		"services": []any{
			map[string]any{
				"name": "engine", "healthPath": "/health", "maxConns": 200, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": slots, "kvCapacity": 72000, "stride": 8, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{"name": "booking", "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": account, "apiKeys": []string{key}, "priority": 1, "ratePerS": rate, "burst": burst}},
	}
}
