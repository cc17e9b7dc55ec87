package main_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"guavaridge/io/guavaedge"
)

// startServe starts the program with ports that the system chooses, and returns the process, a channel for the error with
// which it ends and the read end of its output. writeSettings writes its settings file, before or after the start.
func startServe(t *testing.T, writeSettings func(file string, data []byte)) (*exec.Cmd, <-chan error, *os.File) {
	t.Helper()
	dir := t.TempDir()
	program, settings := filepath.Join(dir, "guavaedge"), filepath.Join(dir, "settings.json")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	const anyPort = "127.0.0.1:0"
	data, err := json.Marshal(guavaedge.Settings{
		Name: "vm", Domain: "a", Region: "r", Front: anyPort, Ready: anyPort, Peer: anyPort, Store: "127.0.0.1:1", Cores: 1,
		Memory: 200, Files: 2000, Grace: 8, Retention: 120,
	})
	if err != nil {
		t.Fatal(err)
	}
	writeSettings(settings, data)
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(program, "serve", "--config", settings)
	c.Stdout, c.Stderr = write, write
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	write.Close()
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	t.Cleanup(func() {
		_ = c.Process.Kill() // it may have ended
		read.Close()
	})
	return c, ended, read
}

// TestLogReaderEnds guards against a process that ends, and loses all of its requests, when the reader of its log does.
func TestLogReaderEnds(t *testing.T) {
	c, ended, log := startServe(t, func(file string, data []byte) {
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
	})
	line := make([]byte, 4<<10)
	if n, err := log.Read(line); err != nil || !strings.Contains(string(line[:n]), `"start"`) {
		t.Fatalf("first log line: got %q, error %v, want the start", line[:n], err)
	}
	log.Close()
	select {
	case err := <-ended:
		t.Fatalf("the process ended after its log was closed: %v", err)
	case <-time.After(2 * time.Second): // it logs failed calls of the store meanwhile
	}
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("end after SIGTERM: %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("the process did not end after SIGTERM")
	}
}

// TestHangupDuringStart guards against a process that SIGHUP ends while it reads its settings.
func TestHangupDuringStart(t *testing.T) {
	var pipe string
	var settings []byte
	c, ended, log := startServe(t, func(file string, data []byte) {
		pipe, settings = file, data
		if err := syscall.Mkfifo(file, 0o600); err != nil {
			t.Fatal(err)
		}
	})
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns when the process reads
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		t.Fatalf("the process ended after SIGHUP: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	if _, err := w.Write(settings); err != nil {
		t.Fatal(err)
	}
	w.Close()
	line := make([]byte, 4<<10)
	if n, err := log.Read(line); err != nil || !strings.Contains(string(line[:n]), `"start"`) {
		t.Errorf("first log line: got %q, error %v, want the start", line[:n], err)
	}
}
