package online_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavahealth"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavaqueue"
	"guavaridge/core/guavaretry"
	"guavaridge/core/guavaroute"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
)

// fleet returns a configuration with two failure domains of the largest size in the design page.
func fleet() *guavaconfig.Snapshot {
	d := guavaconfig.Declarations{Domains: []guavaconfig.FailureDomain{{Name: "d", Region: "r", VMSlots: 34}, {Name: "e", Region: "r", VMSlots: 34}}}
	for i := range 500 {
		d.Servers = append(d.Servers, guavaconfig.BackendServer{
			Name: fmt.Sprint("s", i), Address: fmt.Sprint(i), Domain: "de"[i%2 : i%2+1], Models: []string{"m"},
		})
	}
	return guavaconfig.NewSnapshot(1, d)
}

func forEachServer(s *guavaconfig.Snapshot, observe func(server string, i int)) {
	for i, b := range s.Declarations().Servers {
		observe(b.Name, i)
	}
}

func BenchmarkChoose(b *testing.B) {
	s := fleet()
	health := guavahealth.NewTracker(nil)
	health.Configure(s.Declarations().Servers)
	ids := guavaback.Prefixes("m", fmt.Sprintf("%4096d", 7), 32)
	for name, prefixes := range map[string][]string{"short": nil, "prefixes": ids} {
		b.Run(name, func(b *testing.B) {
			r := guavaroute.NewRouter("d", guavaroute.WithSeed(1), guavaroute.WithHealth(health))
			r.Configure(s)
			forEachServer(s, func(server string, i int) {
				r.ObserveLoad(server, guavaroute.Report{Running: i % 88, Slots: 88, At: time.Now()})
			})
			q := guavaroute.Request{Model: "m", Prefixes: prefixes}
			b.ReportAllocs()
			for b.Loop() {
				c, _ := r.Choose(q)
				r.Sent(q, c.Server.Name)
				r.Ended(q, c.Server.Name, time.Second)
			}
		})
	}
}

func BenchmarkQueue(b *testing.B) {
	q := guavaqueue.New[int](guavaqueue.NewWindow(40, 40), nil, 64, time.Hour)
	end := time.Now().Add(time.Hour)
	names := make([]string, 8)
	for i := range names {
		names[i] = fmt.Sprint("account", i)
	}
	n := 0
	offer := func() {
		n++
		q.Offer(&guavaqueue.Item[int]{Account: names[n%8], Weight: 1, Deadline: end}, 0)
	}
	for range 80 {
		offer()
	}
	b.ReportAllocs()
	for b.Loop() {
		offer()
		q.End(false)
		q.Next()
	}
}

func BenchmarkRetry(b *testing.B) {
	budget := guavaretry.NewBudget(1, 100)
	f := guavaretry.Failure{Ran: guavaretry.NotExecuted, Attempts: 1, Left: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		budget.Deposit()
		guavaretry.Decide(f, budget)
	}
}

func BenchmarkPoison(b *testing.B) {
	r, body := guavapoison.NewRegistry(), make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		f := guavapoison.NewFingerprint("chat", body)
		r.Check(f)
		r.Begin(f, "s", "a")
		r.End("s", "a", true)
	}
}

// instantClient responds immediately.
type instantClient struct{ guavaback.Client }

func (instantClient) Do(_ context.Context, _ guavaback.Attempt, _ guavaback.Sink) (guavaback.Response, error) {
	return guavaback.Response{Status: 200}, nil
}

type unlimited struct{}

func (unlimited) Take(context.Context, string) (bool, time.Duration) { return true, 0 }

// BenchmarkPipeline measures a complete request with a prompt of 4 KiB, without the network.
func BenchmarkPipeline(b *testing.B) {
	s := fleet()
	p := guavadispatch.New(func() *guavaconfig.Snapshot { return s }, instantClient{}, unlimited{}, nil, "d", hclog.NewNullLogger())
	forEachServer(s, func(server string, i int) { p.ObserveLoad(server, guavaback.Load{Running: i % 88, Slots: 88}) })
	prompt := fmt.Sprintf("%4096d", 7)
	q := guavadispatch.Request{
		Account: "a", Model: "m", Prompt: prompt, Body: []byte(prompt), Route: guavaconfig.Route{Name: "chat", Idempotent: true},
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Run(context.Background(), q, nil); err != nil {
			b.Fatal(err)
		}
	}
}
