// Package front_test measures the latency, processor time and allocations that the front and the backend client add to a
// direct call of an engine.
package front_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavakey"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
	"guavaridge/io/guavafront"
	"guavaridge/io/guavastandin"
)

// directDispatcher sends each request once, to a fixed engine.
type directDispatcher struct {
	client   guavaback.Client
	engine   string
	attempts atomic.Int64
}

func (d *directDispatcher) Run(ctx context.Context, r guavadispatch.Request, sink guavaback.Sink) (guavaback.Response, error) {
	return d.client.Do(ctx, guavaback.Attempt{
		ID: "attempt-" + strconv.FormatInt(d.attempts.Add(1), 10), Address: d.engine, Method: r.Method, Path: r.Path,
		Header: r.Header, Body: r.Body, Stream: r.Stream,
	}, sink)
}

// rig is an engine with a front that forwards to it, both on loopback.
type rig struct {
	engine, front, key string
}

func newRig(b *testing.B, c guavastandin.EngineConfig) rig {
	b.Helper()
	listen := func(serve func(net.Listener) error) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = serve(ln) }() // returns when the cleanup closes the server
		return ln.Addr().String()
	}
	c.DisableRecording = true
	e := guavastandin.NewEngine(c)
	key, id, hash := guavakey.Generate()
	s := guavaconfig.NewSnapshot(1, guavaconfig.Declarations{
		Accounts: []guavaconfig.ClientAccount{{Name: "bank"}},
		Keys:     []guavaconfig.Key{{Name: id, Account: "bank", Hash: hash}},
		Routes:   []guavaconfig.Route{{Name: "chat", Path: "/v1"}},
		Models:   []guavaconfig.Model{{Name: "m"}},
	})
	back := guavaback.New()
	r := rig{engine: listen(e.Serve), key: key}
	f, err := guavafront.New(guavafront.Dependencies{
		Snapshot:   func() *guavaconfig.Snapshot { return s },
		Dispatcher: &directDispatcher{client: back, engine: r.engine},
	})
	if err != nil {
		b.Fatal(err)
	}
	r.front = listen(f.Serve)
	b.Cleanup(func() {
		f.Close()
		back.Close()
		e.Close()
	})
	return r
}

// caller repeats a prepared request on one connection.
type caller struct {
	conn     net.Conn
	reader   *bufio.Reader
	lines    *bufio.Reader // of the body of a streamed response
	request  string
	response fasthttp.Response
}

func newCaller(b *testing.B, address, key, body string) *caller {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	c := &caller{conn: conn, reader: bufio.NewReaderSize(conn, 16<<10), lines: bufio.NewReader(nil)}
	c.request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nAuthorization: Bearer " + key +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\nX-Request-Id: %d\r\n\r\n" + body
	return c
}

var requestIDs atomic.Int64

// call sends the request and reads the buffered response.
func (c *caller) call() error {
	if _, err := fmt.Fprintf(c.conn, c.request, requestIDs.Add(1)); err != nil {
		return err
	}
	if err := c.response.Read(c.reader); err != nil {
		return err
	}
	if c.response.StatusCode() != 200 {
		return fmt.Errorf("status %d: %s", c.response.StatusCode(), c.response.Body())
	}
	return nil
}

// stream sends the request and reads the streamed response to its end. It fails unless [DONE] was received.
func (c *caller) stream() error {
	if _, err := fmt.Fprintf(c.conn, c.request, requestIDs.Add(1)); err != nil {
		return err
	}
	c.response.StreamBody = true
	if err := c.response.Read(c.reader); err != nil {
		return err
	}
	c.lines.Reset(c.response.BodyStream())
	done := false
	for {
		line, err := c.lines.ReadSlice('\n')
		if err == io.EOF && done {
			return c.response.CloseBodyStream()
		}
		if err != nil {
			return err
		}
		done = done || bytes.HasPrefix(line, []byte("data: [DONE]"))
	}
}

const body = `{"model":"m","messages":[{"role":"user","content":"Order 4711: 25 cheque books, account wording as before."}],"max_tokens":%d%s}`

// cpu returns the processor time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequest alternates requests with buffered responses between the engine and the front, and reports the latency
// that the front adds at the median and at the 99th percentile.
func BenchmarkRequest(b *testing.B) {
	for _, callers := range []int{1, 8} {
		b.Run("callers="+strconv.Itoa(callers), func(b *testing.B) {
			r := newRig(b, guavastandin.EngineConfig{Slots: 64})
			text := fmt.Sprintf(body, 1, "")
			var mu sync.Mutex
			var times [2][]time.Duration
			all := make([][2]*caller, callers)
			for i := range all {
				all[i] = [2]*caller{newCaller(b, r.engine, r.key, text), newCaller(b, r.front, r.key, text)}
			}
			b.ResetTimer()
			var group sync.WaitGroup
			for _, pair := range all {
				group.Go(func() {
					own := [2][]time.Duration{make([]time.Duration, 0, b.N), make([]time.Duration, 0, b.N)}
					for range b.N / callers {
						for path, c := range pair {
							start := time.Now()
							if err := c.call(); err != nil {
								b.Error(err)
								return
							}
							own[path] = append(own[path], time.Since(start))
						}
					}
					mu.Lock()
					defer mu.Unlock()
					for path := range times {
						times[path] = append(times[path], own[path]...)
					}
				})
			}
			group.Wait()
			if len(times[0]) < 100 {
				return
			}
			for path := range times {
				slices.Sort(times[path])
			}
			for _, q := range []int{50, 99} {
				i := len(times[0]) * q / 100
				b.ReportMetric(float64(times[0][i].Nanoseconds())/1e3, fmt.Sprintf("direct-p%d-µs", q))
				b.ReportMetric(float64((times[1][i]-times[0][i]).Nanoseconds())/1e3, fmt.Sprintf("added-p%d-µs", q))
			}
		})
	}
}

// BenchmarkAllocations reports the allocations per request, direct and through the front. The difference is the cost of
// the front.
func BenchmarkAllocations(b *testing.B) {
	r := newRig(b, guavastandin.EngineConfig{})
	for _, path := range []struct{ name, address string }{{"direct", r.engine}, {"front", r.front}} {
		b.Run(path.name, func(b *testing.B) {
			c := newCaller(b, path.address, r.key, fmt.Sprintf(body, 1, ""))
			b.ReportAllocs()
			for b.Loop() {
				if err := c.call(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkTokens streams responses directly and through the front. It reports the processor time and allocations per
// token that the front adds, and the tokens per second that one core can forward at that cost. With step=0 the engine
// sends events as fast as they are read, and many share a packet. Otherwise each stream receives one event per step,
// the most expensive case.
func BenchmarkTokens(b *testing.B) {
	for _, c := range []struct {
		name    string
		streams int
		tokens  int
		step    time.Duration
	}{
		{"step=0", 8, 4000, 0},
		{"step=10ms", 256, 200, 10 * time.Millisecond},
	} {
		b.Run(c.name, func(b *testing.B) {
			r := newRig(b, guavastandin.EngineConfig{Slots: 2 * c.streams, Step: c.step})
			text := fmt.Sprintf(body, c.tokens, `,"stream":true`)
			var all [2][]*caller
			for path, address := range []string{r.engine, r.front} {
				for range c.streams {
					all[path] = append(all[path], newCaller(b, address, r.key, text))
				}
			}
			var used [2]time.Duration
			var allocated [2]uint64
			tokens := 0
			for b.Loop() {
				for path, callers := range all {
					var before, after runtime.MemStats
					runtime.ReadMemStats(&before)
					start := cpu()
					var group sync.WaitGroup
					for _, c := range callers {
						group.Go(func() {
							if err := c.stream(); err != nil {
								b.Error(err)
							}
						})
					}
					group.Wait()
					used[path] += cpu() - start
					runtime.ReadMemStats(&after)
					allocated[path] += after.Mallocs - before.Mallocs
				}
				tokens += c.streams * c.tokens
			}
			added := used[1] - used[0]
			n := float64(tokens)
			b.ReportMetric(float64(used[0].Nanoseconds())/n, "direct-ns/token")
			b.ReportMetric(float64(added.Nanoseconds())/n, "added-ns/token")
			b.ReportMetric((float64(allocated[1])-float64(allocated[0]))/n, "added-allocs/token")
			b.ReportMetric(n/added.Seconds(), "tokens/s/core")
		})
	}
}
