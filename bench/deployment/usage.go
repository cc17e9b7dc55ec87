package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of processor time in /proc: USER_HZ, a constant in Linux.
const ticksPerSecond = 100

// usage holds the processor time and resident memory of the VM processes at a time.
type usage struct {
	at    time.Time
	ticks []int64
	// resident is in KiB.
	resident []int64
}

// measure reads the usage of the processes from /proc.
func measure(processes []*exec.Cmd) (usage, error) {
	u := usage{at: time.Now()}
	for _, c := range processes {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Process.Pid))
		if err != nil {
			return usage{}, fmt.Errorf("read processor time: %w", err)
		}
		// Of the fields after the program name, which ends with a parenthesis, the 12th and 13th are user and system time.
		fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
		var ticks int64
		for _, f := range fields[11:13] {
			n, err := strconv.ParseInt(string(f), 10, 64)
			if err != nil {
				return usage{}, fmt.Errorf("parse processor time: %w", err)
			}
			ticks += n
		}
		u.ticks = append(u.ticks, ticks)
		kib, err := resident(c.Process.Pid)
		if err != nil {
			return usage{}, err
		}
		u.resident = append(u.resident, kib)
	}
	return u, nil
}

// resident returns the resident memory of a process in KiB.
func resident(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, fmt.Errorf("no resident memory (VmRSS) of process %d", pid)
}

// print prints the mean and maximum usage per process since an earlier measurement.
func (u usage) print(name string, before usage) {
	var sum, maxCore, memory, maxMemory float64
	seconds := u.at.Sub(before.at).Seconds()
	for i := range u.ticks {
		core := 100 * float64(u.ticks[i]-before.ticks[i]) / ticksPerSecond / seconds
		sum, maxCore = sum+core, max(maxCore, core)
		mib := float64(u.resident[i]) / 1024
		memory, maxMemory = memory+mib, max(maxMemory, mib)
	}
	n := float64(len(u.ticks))
	fmt.Printf("%s: per VM %.2f%% of a core (most %.2f%%), resident %.1f MiB (most %.1f)\n", name, sum/n, maxCore, memory/n, maxMemory)
}
