// Package front_test measures what the front and the backend client add to calling an engine directly.
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

// direct is a dispatcher that sends each request once to one engine.
type direct struct {
	client   guavaback.Client
	engine   string
	attempts atomic.Int64
}

func (d *direct) Run(ctx context.Context, r guavadispatch.Request, sink guavaback.Sink) (guavaback.Answer, error) {
	return d.client.Do(ctx, guavaback.Attempt{
		ID: "attempt-" + strconv.FormatInt(d.attempts.Add(1), 10), Address: d.engine, Method: r.Method, Path: r.Path,
		Header: r.Header, Body: r.Body, Stream: r.Stream,
	}, sink)
}

// rig is an engine and a front before it, both on loopback.
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
		go func() { _ = serve(ln) }() // ends with the rig
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
		Dispatcher: &direct{client: back, engine: r.engine},
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

// caller sends one prepared request again and again on one connection.
type caller struct {
	conn    net.Conn
	reader  *bufio.Reader
	lines   *bufio.Reader // of a stream's body
	request string
	answer  fasthttp.Response
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

var serials atomic.Int64

func (c *caller) call() error {
	if _, err := fmt.Fprintf(c.conn, c.request, serials.Add(1)); err != nil {
		return err
	}
	if err := c.answer.Read(c.reader); err != nil {
		return err
	}
	if c.answer.StatusCode() != 200 {
		return fmt.Errorf("status %d: %s", c.answer.StatusCode(), c.answer.Body())
	}
	return nil
}

// stream reads a stream to its end, which must be [DONE].
func (c *caller) stream() error {
	if _, err := fmt.Fprintf(c.conn, c.request, serials.Add(1)); err != nil {
		return err
	}
	c.answer.StreamBody = true
	if err := c.answer.Read(c.reader); err != nil {
		return err
	}
	c.lines.Reset(c.answer.BodyStream())
	done := false
	for {
		line, err := c.lines.ReadSlice('\n')
		if err == io.EOF && done {
			return c.answer.CloseBodyStream()
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

// BenchmarkRequest sends plain requests in turn to the engine and through the front, and reports the time that
// the front adds: at the median and at the 99th percentile.
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
						for way, c := range pair {
							start := time.Now()
							if err := c.call(); err != nil {
								b.Error(err)
								return
							}
							own[way] = append(own[way], time.Since(start))
						}
					}
					mu.Lock()
					defer mu.Unlock()
					for way := range times {
						times[way] = append(times[way], own[way]...)
					}
				})
			}
			group.Wait()
			if len(times[0]) < 100 {
				return
			}
			for way := range times {
				slices.Sort(times[way])
			}
			for _, q := range []int{50, 99} {
				i := len(times[0]) * q / 100
				b.ReportMetric(float64(times[0][i].Nanoseconds())/1e3, fmt.Sprintf("direct-p%d-µs", q))
				b.ReportMetric(float64((times[1][i]-times[0][i]).Nanoseconds())/1e3, fmt.Sprintf("added-p%d-µs", q))
			}
		})
	}
}

// BenchmarkAllocations reports the allocations per request of each way. Their difference is the front's.
func BenchmarkAllocations(b *testing.B) {
	r := newRig(b, guavastandin.EngineConfig{})
	for _, way := range []struct{ name, address string }{{"direct", r.engine}, {"front", r.front}} {
		b.Run(way.name, func(b *testing.B) {
			c := newCaller(b, way.address, r.key, fmt.Sprintf(body, 1, ""))
			b.ReportAllocs()
			for b.Loop() {
				if err := c.call(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkTokens streams through each way and reports processor time and allocations per token that the front
// adds, and the tokens per second that one core of front and backend client could pass on at that cost. With
// step=0 events come as fast as they are read and many share a packet; otherwise every stream gets one event
// per step, the steadiest and dearest case.
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
			for way, address := range []string{r.engine, r.front} {
				for range c.streams {
					all[way] = append(all[way], newCaller(b, address, r.key, text))
				}
			}
			var used [2]time.Duration
			var allocated [2]uint64
			tokens := 0
			for b.Loop() {
				for way, callers := range all {
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
					used[way] += cpu() - start
					runtime.ReadMemStats(&after)
					allocated[way] += after.Mallocs - before.Mallocs
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
