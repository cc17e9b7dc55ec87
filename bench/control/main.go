// Command control runs the exchange of many VMs in one process and prints what it costs and how fast it is.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavalimit"
	"guavaridge/core/guavamember"
)

// longest bounds the run of the program.
const longest = 5 * time.Minute

func main() {
	var o options
	flag.IntVar(&o.domains, "domains", 1, "failure domains")
	flag.IntVar(&o.size, "size", 8, "VMs per domain")
	flag.IntVar(&o.servers, "servers", 8, "backend servers that each VM polls")
	flag.IntVar(&o.arrivals, "arrivals", 53, "online requests per VM and second")
	flag.BoolVar(&o.tcp, "tcp", false, "loopback TCP instead of memory")
	flag.DurationVar(&o.settle, "settle", 25*time.Second, "time before the measurements, in which dictionaries and contacts settle")
	seconds := flag.Int("seconds", 10, "length of each measurement")
	cases := flag.String("cases", "cost,take,dead,pause,push", "measurements to make")
	flag.Parse()
	fmt.Println("$ go run ./bench/control", strings.Join(os.Args[1:], " "))
	time.AfterFunc(longest, func() {
		fmt.Fprintln(os.Stderr, "stopped after", longest)
		os.Exit(1)
	})
	if err := run(o, *seconds, strings.Split(*cases, ",")); err != nil {
		fmt.Fprintln(os.Stderr, "control:", err)
		os.Exit(1)
	}
}

func run(o options, seconds int, cases []string) error {
	before := heap()
	f, err := newFleet(o)
	if err != nil {
		return err
	}
	defer f.stop()
	began := time.Now()
	for !f.formed() && time.Since(began) < time.Minute {
		time.Sleep(time.Second)
	}
	unknown, states := f.views()
	fmt.Printf("%d domains x %d VMs; after %.1f s: %d pairs unknown, seen as %v; %d connections\n", o.domains, o.size, time.Since(began).Seconds(), unknown, states, f.fabric.Connections())
	time.Sleep(o.settle)
	length := time.Duration(seconds) * time.Second
	for _, c := range cases {
		switch c {
		case "cost":
			f.cost(length, before)
		case "dead":
			f.dead()
		case "pause":
			f.pauses(length)
		case "push":
			f.push()
		case "take":
			f.takes()
		default:
			return fmt.Errorf("unknown case %q", c)
		}
	}
	return nil
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost measures a fleet without faults.
func (f *fleet) cost(length time.Duration, before uint64) {
	since := time.Now()
	type count struct{ sent, received, writes int64 }
	take := func() []count {
		cs := make([]count, 0, len(f.vms))
		for _, v := range f.vms {
			c := f.fabric.Count(v.id.Address)
			cs = append(cs, count{c.Sent.Load(), c.Received.Load(), c.Writes.Load()})
		}
		return cs
	}
	a, cpu, messages := take(), processor(), f.messages()
	time.Sleep(length)
	b, used, more := take(), processor()-cpu, f.messages()
	sent, received, both := make([]float64, 0, len(a)), make([]float64, 0, len(a)), make([]float64, 0, len(a))
	s := length.Seconds()
	for i := range a {
		sent = append(sent, float64(b[i].sent-a[i].sent)/s)
		received = append(received, float64(b[i].received-a[i].received)/s)
		both = append(both, sent[i]+received[i])
	}
	n := float64(len(f.vms))
	suspect, gone := f.suspicions(since, "")
	fmt.Printf("cost per VM and second: %.0f messages sent; %.0f B sent, %.0f B received, both: mean %.0f, worst VM %.0f B; processor %.2f%% of a core; memory %.1f MB; false suspicions %d, gone %d\n",
		float64(more-messages)/n/s, mean(sent), mean(received), mean(both), slices.Max(both),
		100*used.Seconds()/s/n, (float64(heap())-float64(before))/n/1e6, suspect, gone)
}

func (f *fleet) messages() (n uint64) {
	for _, v := range f.vms {
		n += v.peer.Sent()
	}
	return n
}

func mean(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(max(len(xs), 1))
}

// spread prints the middle, the 99th percentile and the worst of some times.
func spread(ds []time.Duration) string {
	if len(ds) == 0 {
		return "none"
	}
	slices.Sort(ds)
	at := func(q float64) time.Duration {
		return ds[min(len(ds)-1, int(q*float64(len(ds))))].Round(time.Millisecond)
	}
	return fmt.Sprintf("p50 %v, p99 %v, worst %v of %d", at(0.5), at(0.99), at(1), len(ds))
}

// takes measures the bytes of one take from another VM's pool, over those of the exchange.
func (f *fleet) takes() {
	const n = 2000
	bytes := func() int64 {
		c := f.fabric.Count(f.vms[0].id.Address)
		return c.Sent.Load() + c.Received.Load()
	}
	began, before, failed := time.Now(), bytes(), 0
	for i := range n {
		_, err := f.vms[0].peer.RequestTokens(context.Background(), f.vms[1].id, []guavalimit.TokenRequest{{Account: "account-0017", Sequence: uint64(i + 1), Held: 1, Need: 1, Want: 3}})
		if err != nil {
			failed++
		}
	}
	fmt.Printf("take: %.0f B sent and received in all, %d of %d failed, in %v\n", float64(bytes()-before)/n, failed, n, time.Since(began).Round(time.Millisecond))
}

// dead measures when the others notice that a VM was killed, by domain.
func (f *fleet) dead() {
	victim := f.vms[len(f.vms)-1]
	f.vms = f.vms[:len(f.vms)-1]
	killed := time.Now()
	victim.stop()
	time.Sleep(10 * time.Second)
	var own, other []time.Duration
	for _, v := range f.vms {
		v.mu.Lock()
		for _, c := range v.changes {
			if c.Member.Name == victim.id.Name && c.From == guavamember.Alive && c.at.After(killed) {
				if v.id.Domain == victim.id.Domain {
					own = append(own, c.at.Sub(killed))
				} else {
					other = append(other, c.at.Sub(killed))
				}
			}
		}
		v.mu.Unlock()
	}
	suspect, gone := f.suspicions(killed, victim.id.Name)
	fmt.Printf("dead VM no longer alive: own domain %s; other domains %s; false suspicions %d, gone %d\n", spread(own), spread(other), suspect, gone)
}

// pauses stalls all connections of random VMs, and of random pairs as lost packets do, and counts suspicions of VMs
// that run.
func (f *fleet) pauses(length time.Duration) {
	for _, d := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
		since := time.Now()
		n := 0
		for time.Since(since) < length {
			v := f.vms[rand.IntN(len(f.vms))].id.Address
			f.fabric.Partition(func(a, b string) bool { return a == v || b == v })
			time.Sleep(d)
			f.fabric.Partition(nil)
			time.Sleep(1500 * time.Millisecond)
			n++
		}
		suspect, gone := f.suspicions(since, "")
		fmt.Printf("%d VMs unreachable for %v each: %d suspicions, %d taken as gone, all alive again: %v\n", n, d, suspect, gone, f.formed())
	}
	since := time.Now()
	for time.Since(since) < length {
		salt := rand.Uint64()
		f.fabric.Partition(func(a, b string) bool {
			h := salt
			for _, c := range a + b {
				h = h*1099511628211 + uint64(c)
			}
			return h>>32%100 < 5
		})
		time.Sleep(300 * time.Millisecond)
	}
	f.fabric.Partition(nil)
	suspect, gone := f.suspicions(since, "")
	fmt.Printf("5%% of the pairs stalled for 300 ms at any time: %d suspicions, %d taken as gone\n", suspect, gone)
}

// push measures the time from the acceptance of a change on one VM until it is in force on all.
func (f *fleet) push() {
	var all []time.Duration
	const rounds = 5
	missing := 0
	for range rounds {
		from := f.vms[rand.IntN(len(f.vms))]
		change := guavaconfig.Change{Version: from.config.Head() + 1, Data: make([]byte, 600)}
		accepted := time.Now()
		_ = from.config.Accept([]guavaconfig.Change{change})
		from.peer.Push(context.Background(), []guavaconfig.Change{change})
		time.Sleep(4 * time.Second)
		for _, v := range f.vms {
			v.config.mu.Lock()
			if len(v.config.at) >= int(change.Version) {
				all = append(all, v.config.at[change.Version-1].Sub(accepted))
			} else {
				missing++
			}
			v.config.mu.Unlock()
		}
	}
	fmt.Printf("configuration change in force: %s; missing after 4 s: %d\n", spread(all), missing)
}
