// Command control runs the peer exchange of many VMs in one process and prints its cost and its latencies.
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

// maxRunTime is the limit for the run time of the program.
const maxRunTime = 5 * time.Minute

func main() {
	var o options
	flag.IntVar(&o.domains, "domains", 1, "failure domains")
	flag.IntVar(&o.size, "size", 8, "VMs per domain")
	flag.IntVar(&o.servers, "servers", 8, "backend servers that each VM polls")
	flag.IntVar(&o.arrivals, "arrivals", 53, "online requests per VM and second")
	flag.BoolVar(&o.tcp, "tcp", false, "loopback TCP instead of memory")
	flag.DurationVar(&o.warmUp, "settle", 25*time.Second, "warm-up time before the measurements, in which compression dictionaries and peer contacts settle")
	seconds := flag.Int("seconds", 10, "length of each measurement")
	cases := flag.String("cases", "cost,take,dead,pause,push", "measurements to make")
	flag.Parse()
	fmt.Println("$ go run ./bench/control", strings.Join(os.Args[1:], " "))
	time.AfterFunc(maxRunTime, func() {
		fmt.Fprintln(os.Stderr, "stopped after", maxRunTime)
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
	start := time.Now()
	for !f.converged() && time.Since(start) < time.Minute {
		time.Sleep(time.Second)
	}
	unknown, states := f.views()
	fmt.Printf("%d domains x %d VMs; after %.1f s: %d pairs unknown, seen as %v; %d connections\n", o.domains, o.size, time.Since(start).Seconds(), unknown, states, f.fabric.Connections())
	time.Sleep(o.warmUp)
	length := time.Duration(seconds) * time.Second
	for _, c := range cases {
		switch c {
		case "cost":
			f.measureCost(length, before)
		case "dead":
			f.measureFailureDetection()
		case "pause":
			f.measurePauses(length)
		case "push":
			f.measurePush()
		case "take":
			f.measureTokenRequests()
		default:
			return fmt.Errorf("unknown case %q, want cost, take, dead, pause or push", c)
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

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureCost measures traffic, processor time and memory per VM of a fleet without faults.
func (f *fleet) measureCost(length time.Duration, before uint64) {
	since := time.Now()
	type count struct{ sent, received, writes int64 }
	sample := func() []count {
		cs := make([]count, 0, len(f.vms))
		for _, v := range f.vms {
			c := f.fabric.Count(v.id.Address)
			cs = append(cs, count{c.Sent.Load(), c.Received.Load(), c.Writes.Load()})
		}
		return cs
	}
	a, cpu, messages := sample(), cpuTime(), f.messages()
	time.Sleep(length)
	b, used, messagesAfter := sample(), cpuTime()-cpu, f.messages()
	sent, received, both := make([]float64, 0, len(a)), make([]float64, 0, len(a)), make([]float64, 0, len(a))
	s := length.Seconds()
	for i := range a {
		sent = append(sent, float64(b[i].sent-a[i].sent)/s)
		received = append(received, float64(b[i].received-a[i].received)/s)
		both = append(both, sent[i]+received[i])
	}
	n := float64(len(f.vms))
	suspect, dead := f.suspicions(since, "")
	fmt.Printf("cost per VM and second: %.0f messages sent; %.0f B sent, %.0f B received, both: mean %.0f, worst VM %.0f B; processor %.2f%% of a core; memory %.1f MB; false suspicions %d, gone %d\n",
		float64(messagesAfter-messages)/n/s, mean(sent), mean(received), mean(both), slices.Max(both),
		100*used.Seconds()/s/n, (float64(heap())-float64(before))/n/1e6, suspect, dead)
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

// summarize formats the median, the 99th percentile and the maximum of the durations. It sorts ds in place.
func summarize(ds []time.Duration) string {
	if len(ds) == 0 {
		return "none"
	}
	slices.Sort(ds)
	at := func(q float64) time.Duration {
		return ds[min(len(ds)-1, int(q*float64(len(ds))))].Round(time.Millisecond)
	}
	return fmt.Sprintf("p50 %v, p99 %v, worst %v of %d", at(0.5), at(0.99), at(1), len(ds))
}

// measureTokenRequests measures the bytes of a token request to another VM, including the concurrent exchange.
func (f *fleet) measureTokenRequests() {
	const n = 2000
	bytes := func() int64 {
		c := f.fabric.Count(f.vms[0].id.Address)
		return c.Sent.Load() + c.Received.Load()
	}
	start, before, failed := time.Now(), bytes(), 0
	for i := range n {
		_, err := f.vms[0].peer.RequestTokens(context.Background(), f.vms[1].id, []guavalimit.TokenRequest{{Account: "account-0017", Sequence: uint64(i + 1), Held: 1, Need: 1, Want: 3}})
		if err != nil {
			failed++
		}
	}
	fmt.Printf("take: %.0f B sent and received in all, %d of %d failed, in %v\n", float64(bytes()-before)/n, failed, n, time.Since(start).Round(time.Millisecond))
}

// measureFailureDetection kills a VM and measures, by domain, when the others no longer see it as alive.
func (f *fleet) measureFailureDetection() {
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
	suspect, dead := f.suspicions(killed, victim.id.Name)
	fmt.Printf("dead VM no longer alive: own domain %s; other domains %s; false suspicions %d, gone %d\n", summarize(own), summarize(other), suspect, dead)
}

// measurePauses stalls all connections of random VMs, then those of random pairs as packet loss does, and counts false
// suspicions.
func (f *fleet) measurePauses(length time.Duration) {
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
		suspect, dead := f.suspicions(since, "")
		fmt.Printf("%d VMs unreachable for %v each: %d suspicions, %d taken as gone, all alive again: %v\n", n, d, suspect, dead, f.converged())
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
	suspect, dead := f.suspicions(since, "")
	fmt.Printf("5%% of the pairs stalled for 300 ms at any time: %d suspicions, %d taken as gone\n", suspect, dead)
}

// measurePush measures the time from the acceptance of a configuration change on one VM until it is in force on all.
func (f *fleet) measurePush() {
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
	fmt.Printf("configuration change in force: %s; missing after 4 s: %d\n", summarize(all), missing)
}
