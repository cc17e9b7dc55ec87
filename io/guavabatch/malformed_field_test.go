package guavabatch_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/urfave/cli/v3"

	"guavaridge/io/guavabatch"
)

// TestMalformedFields guards against commands that print an answer with a field whose name is no token, and whose body may not be the
// VM's.
func TestMalformedFields(t *testing.T) {
	const page = `{"data":[{"id":"batch-1","status":"completed"}]}`
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(page), page)
	sized := func(fields string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(page), page)
	}
	for _, c := range []struct {
		name, raw string
		ok        bool
	}{
		{"sound", sized("X-Trouble: a b\r\n"), true},
		{"sound trailer", "HTTP/1.1 200 OK\r\n" + chunks + "X-Sum: 1\r\n\r\n", true},
		{"blank inside", sized("X Trouble: 1\r\n"), false},
		{"blank before the colon", sized("X-Trouble : 1\r\n"), false},
		{"control byte", sized("X\x01Trouble: 1\r\n"), false},
		{"no name", sized(": 1\r\n"), false},
		{"length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n%s and more", len(page), page), false},
		{"length without a body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Length : 9\r\n\r\n", false},
		{"trailer", "HTTP/1.1 200 OK\r\n" + chunks + "X Sum: 1\r\n\r\n", false},
		{"status 000", strings.Replace(sized(""), "200", "000", 1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			var requests atomic.Int64
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return // the test is over
					}
					go func() {
						defer conn.Close()
						q, err := http.ReadRequest(bufio.NewReader(conn))
						if err != nil {
							return // the client has closed the connection
						}
						requests.Add(1)
						_, _ = io.WriteString(conn, c.raw) // the client may have closed the connection
						_ = q.Body.Close()
					}()
				}
			}()
			var out strings.Builder
			root := &cli.Command{Name: "guavaridge", Commands: guavabatch.Commands(), Writer: &out, ErrWriter: &out}
			err = root.Run(t.Context(), []string{"guavaridge", "job", "--address", ln.Addr().String(), "--key", "k", "list"})
			if c.ok != (err == nil) || c.ok != strings.Contains(out.String(), "batch-1") {
				t.Errorf("got error %v and output %q, want success: %t", err, out.String(), c.ok)
			}
			if n := requests.Load(); n != 1 {
				t.Errorf("%d requests were sent, want 1", n)
			}
		})
	}
}
