package guavalimit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"guavaridge/core/guavaconfig"
	"guavaridge/internal/guavasim"
)

// ideal is a single token bucket. The test uses one to decide whether a request is within the rate, and one for each VM
// as the even split of the rate that the limiter is compared with.
type ideal struct {
	rate, burst, level float64
	at                 time.Time
}

func (b *ideal) take() bool {
	now := time.Now()
	if !b.at.IsZero() {
		b.level = min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// maxRefusedShare is the accepted share of refusals among requests within the rate.
const maxRefusedShare = 0.001

// maxWait is how long a request waits for a token. It covers two token requests to other regions, one after the other.
const maxWait = 250 * time.Millisecond

// refusalCase is a deployment with one account. rate and burst are the fractions of the account's limits that it uses;
// missing is the number of slots without a VM.
type refusalCase struct {
	domains, slots, missing int
	length                  time.Duration
	account                 guavaconfig.ClientAccount
	rate, burst             float64
}

// patterns are functions that choose the VM at which a request arrives.
var patterns = map[string]func(n int, at time.Duration, rnd *rand.Rand) int{
	"one VM": func(int, time.Duration, *rand.Rand) int { return 0 },
	"spread": func(n int, _ time.Duration, rnd *rand.Rand) int { return rnd.IntN(n) },
	"jumps":  func(n int, at time.Duration, _ *rand.Rand) int { return int(at/(300*time.Millisecond)) * 7 % n },
}

// TestRefusals guards against refusals of requests within an account's rate when they all arrive at one VM or move
// between VMs. Requests wait for a token up to maxWait. An even split of the rate over all VMs handles the same
// requests for comparison. Run with -v for the figures.
func TestRefusals(t *testing.T) {
	refusals(t, []refusalCase{
		{3, 3, 0, time.Minute, guavaconfig.ClientAccount{Name: "large", Rate: 60, Burst: 120}, 0.9, 0.5},
		{3, 3, 0, 2 * time.Minute, guavaconfig.ClientAccount{Name: "small", Rate: 4, Burst: 10}, 0.9, 0.5},
		{4, 3, 2, time.Minute, guavaconfig.ClientAccount{Name: "large", Rate: 60, Burst: 120}, 0.9, 0.5},
		{4, 3, 2, 2 * time.Minute, guavaconfig.ClientAccount{Name: "small", Rate: 4, Burst: 10}, 0.9, 0.5},
		{11, 6, 0, 20 * time.Second, guavaconfig.ClientAccount{Name: "large", Rate: 300, Burst: 600}, 0.9, 0.5},
		{11, 6, 0, 60 * time.Second, guavaconfig.ClientAccount{Name: "usual", Rate: 5, Burst: 20}, 0.9, 0.5},
		{3, 3, 0, time.Minute, guavaconfig.ClientAccount{Name: "large", Rate: 60, Burst: 120}, 1, 1},
		{4, 3, 2, time.Minute, guavaconfig.ClientAccount{Name: "large", Rate: 60, Burst: 120}, 1, 1},
		{11, 6, 0, 20 * time.Second, guavaconfig.ClientAccount{Name: "large", Rate: 300, Burst: 600}, 1, 1},
	})
}

// TestRefusalsOfSmallAccountsAtFullRate guards against refusals within the rate for accounts whose burst is a few
// tokens per domain and that use all of their rate and burst.
func TestRefusalsOfSmallAccountsAtFullRate(t *testing.T) {
	refusals(t, []refusalCase{
		{3, 3, 0, 2 * time.Minute, guavaconfig.ClientAccount{Name: "small", Rate: 4, Burst: 10}, 1, 1},
		{4, 3, 2, 2 * time.Minute, guavaconfig.ClientAccount{Name: "small", Rate: 4, Burst: 10}, 1, 1},
		{11, 6, 0, 60 * time.Second, guavaconfig.ClientAccount{Name: "usual", Rate: 5, Burst: 20}, 1, 1},
	})
}

func refusals(t *testing.T, cases []refusalCase) {
	for i, c := range cases {
		for _, pattern := range []string{"one VM", "spread", "jumps"} {
			t.Run(fmt.Sprintf("%d %s %s", i+1, c.account.Name, pattern), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					s := guavasim.New(ctx, uint64(i+1), guavasim.Declare(c.domains, c.slots, c.account))
					s.Quick, s.Far = true, 20*time.Millisecond
					for v := range c.domains*c.slots - c.missing {
						d := string(rune('a' + v%c.domains))
						s.Start(fmt.Sprint(d, v), d)
					}
					// Slots are claimed within 10 s; then the buckets fill.
					time.Sleep(15*time.Second + time.Duration(c.account.Burst/c.account.Rate*float64(time.Second)))
					vms := s.Running()
					// The share of a slot without a VM is not available.
					a := c.account
					covered := float64(len(vms)) / float64(c.domains*c.slots)
					central := &ideal{rate: c.rate * covered * a.Rate, burst: c.burst * covered * a.Burst}
					split := make([]*ideal, 0, len(vms))
					for range vms {
						n := float64(len(vms))
						split = append(split, &ideal{rate: a.Rate / n, burst: a.Burst / n, level: a.Burst / n})
					}
					rnd := rand.New(rand.NewPCG(uint64(i), 7))
					began, sent, refusedBySplit := time.Now(), 0, 0
					for time.Since(began) < c.length {
						time.Sleep(time.Duration(rnd.ExpFloat64() / (1.5 * a.Rate) * float64(time.Second)))
						if !central.take() {
							continue
						}
						v := patterns[pattern](len(vms), time.Since(began), rnd)
						sent++
						if !split[v].take() {
							refusedBySplit++
						}
						s.Request(vms[v], a.Name, maxWait)
					}
					time.Sleep(time.Second)
					requests, admitted, requested := s.Counts(a.Name)
					refusedByLimiter := requests - admitted
					overrun, _ := s.Overrun(a)
					t.Logf("%d domains, %d VMs, %s (%v/s, burst %v) at %v of rate and %v of burst, %s: %d requests within the rate; refused %.3f%%, even split %.2f%%; overrun %v; %.2f takes between VMs per request",
						c.domains, len(vms), a.Name, a.Rate, a.Burst, c.rate, c.burst, pattern, sent, 100*float64(refusedByLimiter)/float64(sent), 100*float64(refusedBySplit)/float64(sent), overrun, float64(requested)/float64(sent))
					if overrun > 1e-6 {
						t.Errorf("got an overrun of %v requests, want none", overrun)
					}
					if float64(refusedByLimiter) > maxRefusedShare*float64(sent) {
						t.Errorf("%d of %d requests within the rate refused", refusedByLimiter, sent)
					}
					cancel()
					s.Wait()
				})
			})
		}
	}
}
