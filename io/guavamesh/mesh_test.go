package guavamesh_test

import (
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavabudget"
	"guavaridge/core/guavamember"
	"guavaridge/io/guavamesh"
	"guavaridge/io/guavanetwork"
)

// testMemory is the memory for messages in bytes.
const testMemory = 1 << 20

// recorder records the heartbeats and ends of links.
type recorder struct {
	mu         sync.Mutex
	heartbeats int
	down       time.Time
}

// LinkUp implements guavamesh.Handler.
func (*recorder) LinkUp(*guavamesh.Link) {}

// Receive implements guavamesh.Handler.
func (r *recorder) Receive(*guavamesh.Link, any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeats++
}

// LinkDown implements guavamesh.Handler.
func (r *recorder) LinkDown(*guavamesh.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down.IsZero() {
		r.down = time.Now()
	}
}

// read returns the number of heartbeats and the first end of a link.
func (r *recorder) read() (heartbeats int, down time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heartbeats, r.down
}

// TestSilence guards against idle links that break, against heartbeats of the dialing VM at the rate of the accepting
// one, which a deciding VM receives from the whole fleet, and against a partition that is noticed late.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := guavanetwork.New()
		ln, err := network.Listen("b", "10.0.0.2:1")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		var dialer, acceptor recorder
		a := guavamesh.New(guavamember.Identity{Name: "a"}, network.Site("a").Dial, &dialer, guavabudget.New(testMemory), hclog.NewNullLogger())
		b := guavamesh.New(guavamember.Identity{Name: "b"}, network.Site("b").Dial, &acceptor, guavabudget.New(testMemory), hclog.NewNullLogger())
		defer a.Close()
		defer b.Close()
		go b.Serve(ln)
		a.SetPeers([]guavamember.Identity{{Name: "b", Address: "10.0.0.2:1"}})
		const idle = 30 * time.Second
		time.Sleep(idle)
		if n, down := dialer.read(); !down.IsZero() || n < 4*int(idle.Seconds()) {
			t.Errorf("dialing VM got %d heartbeats in %v, want at least 4 a second; down: %v", n, idle, down)
		}
		if n, down := acceptor.read(); !down.IsZero() || n > 2*int(idle.Seconds()) {
			t.Errorf("accepting VM got %d heartbeats in %v, want at most 2 a second; down: %v", n, idle, down)
		}
		cut := time.Now()
		network.Partition("a", "b")
		time.Sleep(5 * time.Second)
		if _, down := dialer.read(); down.IsZero() || down.Sub(cut) > 1200*time.Millisecond {
			t.Errorf("dialing VM noticed the partition after %v, want at most 1.2 s", down.Sub(cut))
		}
		if _, down := acceptor.read(); down.IsZero() || down.Sub(cut) > 2*time.Second {
			t.Errorf("accepting VM noticed the partition after %v, want at most 2 s", down.Sub(cut))
		}
	})
}

// TestAcceptAfterClose guards against links that are accepted while the mesh closes: their goroutines outlive Close, or
// make its WaitGroup panic, which ends the process in the middle of its shutdown.
func TestAcceptAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := guavanetwork.New()
		ln, err := network.Listen("b", "10.0.0.2:1")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		m := guavamesh.New(guavamember.Identity{Name: "b"}, network.Site("b").Dial, &recorder{}, guavabudget.New(testMemory), hclog.NewNullLogger())
		go m.Serve(ln)
		m.Close()
		c, err := network.Dial(t.Context(), "a", "10.0.0.2:1")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
			t.Errorf("connection to a closed mesh: got %d bytes, error %v, want its end", len(got), err)
		}
	})
}

// TestMessageWithoutEnd guards against a VM, or whatever else connects, that sends a message without an end, which uses up the
// memory of the VM that reads it.
func TestMessageWithoutEnd(t *testing.T) {
	const maxTaken, flood = 25 << 20, 48 << 20
	for name, start := range map[string][]byte{
		"length of a gigabyte":   {0xfc, 0x3f, 0xff, 0xff, 0xff},
		"no message":             []byte("GET / HTTP/1.1\r\n"),
		"definitions of a type":  {0x04, 0xff, 0x81, 0x03, 0x01, 0xfc, 0x3f, 0xff, 0xff, 0xff},
		"length of eight bytes":  {0xf8, 0x00, 0x00, 0x00, 0x00, 0x3f, 0xff, 0xff, 0xff},
		"zeros, which are empty": {0x00},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := guavanetwork.New()
				ln, err := network.Listen("b", "10.0.0.2:1")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				b := guavamesh.New(guavamember.Identity{Name: "b"}, network.Site("b").Dial, &recorder{}, guavabudget.New(testMemory), hclog.NewNullLogger())
				defer b.Close()
				go b.Serve(ln)
				c, err := network.Site("a").Dial(t.Context(), "tcp", "10.0.0.2:1")
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				go func() { _, _ = io.Copy(io.Discard, c) }()
				taken, err := c.Write(start)
				for filler := make([]byte, 64<<10); err == nil && taken < flood; {
					var n int
					n, err = c.Write(filler)
					taken += n
				}
				if taken > maxTaken {
					t.Errorf("the VM took %d bytes of a message, want at most %d", taken, maxTaken)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}
