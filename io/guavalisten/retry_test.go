package guavalisten_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"guavaridge/io/guavalisten"
	"guavaridge/io/guavanetwork"
)

const testAddress = "10.0.0.1:80"

// failingListener is a listener whose Accept fails with an error until a time.
type failingListener struct {
	net.Listener
	err   error
	until time.Time
}

func (l *failingListener) Accept() (net.Conn, error) {
	if time.Now().Before(l.until) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

// get sends a request to testAddress and returns the status, 0 without a response.
func get(n *guavanetwork.Network) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: n.Site("caller").Dial, DisableKeepAlives: true}}
	response, err := c.Get("http://" + testAddress)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// TestRetry guards against servers that end, and their process with them, when an accept fails, and against a log line
// for each failure.
func TestRetry(t *testing.T) {
	for _, failure := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM,
		syscall.ENETDOWN,
	} {
		t.Run(failure.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := guavanetwork.New()
				raw, err := network.Listen("vm", testAddress)
				if err != nil {
					t.Fatal(err)
				}
				var failures atomic.Uint64
				var log bytes.Buffer
				ln := guavalisten.Retry(&failingListener{Listener: raw, err: failure, until: time.Now().Add(3 * time.Second)},
					hclog.New(&hclog.LoggerOptions{Output: &log}), &failures)
				server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, NoDefaultDate: true}
				ended := make(chan error, 1)
				go func() { ended <- server.Serve(ln) }()
				time.Sleep(4 * time.Second)
				if got := get(network); got != http.StatusOK {
					t.Errorf("request after the failures: got status %d, want 200", got)
				}
				// 3 s at most once per 200 ms, after a few shorter pauses
				if n := failures.Load(); n < 10 || n > 40 {
					t.Errorf("got %d counted failures, want 10 to 40", n)
				}
				if n := strings.Count(log.String(), "accept failed"); n < 2 || n > 4 {
					t.Errorf("got %d log lines for 3 s, want 2 to 4:\n%s", n, log.String())
				}
				if err := server.Shutdown(); err != nil {
					t.Error(err)
				}
				if err := <-ended; err != nil {
					t.Errorf("end of the server: got %v, want no error", err)
				}
				time.Sleep(time.Minute) // lets the goroutines of the server end
			})
		})
	}
}

// TestRetryClosed guards against a server that does not end when its listener is closed, and against one that stays
// without its socket for good.
func TestRetryClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		raw, err := guavanetwork.New().Listen("vm", testAddress)
		if err != nil {
			t.Fatal(err)
		}
		var failures atomic.Uint64
		failing := &failingListener{Listener: raw, err: syscall.EMFILE, until: time.Now().Add(time.Hour)}
		ln := guavalisten.Retry(failing, hclog.New(&hclog.LoggerOptions{Output: io.Discard}), &failures)
		time.AfterFunc(time.Second+time.Millisecond, func() { _ = ln.Close() })
		start := time.Now()
		if _, err := ln.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("closed while accepts fail: got %v, want %v", err, net.ErrClosed)
		}
		if took := time.Since(start); took != time.Second+time.Millisecond {
			t.Errorf("accept returned after %v, want at the close", took)
		}
		if err := ln.Close(); err != nil {
			t.Errorf("second close: %v", err)
		}
		failing.err = syscall.EINVAL
		ln = guavalisten.Retry(failing, hclog.NewNullLogger(), &failures)
		if _, err := ln.Accept(); !errors.Is(err, syscall.EINVAL) {
			t.Errorf("socket shut down: got %v, want %v", err, syscall.EINVAL)
		}
	})
}
