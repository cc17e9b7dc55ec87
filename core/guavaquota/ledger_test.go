package guavaquota_test

import (
	"testing"
	"time"

	"guavaridge/core/guavaquota"
	"guavaridge/core/guavatraffic"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var account = guavatraffic.Account{Name: "x", Rate: 40, Burst: 40}

var tolerance = guavaquota.Tolerance{Overage: 0.1, Slack: 20}

// window is the time over which operators count, and most the number of requests that they allow in it.
const window = 5 * time.Second

func most(a guavatraffic.Account) float64 {
	return (a.Rate*window.Seconds()+a.Burst)*(1+tolerance.Overage) + tolerance.Slack
}

// busiest returns the largest number of grants in any window.
func busiest(grants []time.Time) int {
	best := 0
	for i, from := range grants {
		n := 0
		for _, at := range grants[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		best = max(best, n)
	}
	return best
}

// demand asks a ledger for a token every few milliseconds and returns when it got one.
func demand(l *guavaquota.Allocator, from, to time.Time, every time.Duration) (grants []time.Time) {
	for now := from; now.Before(to); now = now.Add(every) {
		if n, _ := l.Take(now, account, 1); n > 0 {
			grants = append(grants, now)
		}
	}
	return grants
}

// TestLimit guards against more than is allowed in any window when an account asks for many times its rate.
func TestLimit(t *testing.T) {
	l := guavaquota.NewAllocator(tolerance)
	grants := demand(l, epoch, epoch.Add(20*time.Second), 3*time.Millisecond)
	if n := busiest(grants); float64(n) > most(account) {
		t.Errorf("%d requests in a window, at most %v are allowed", n, most(account))
	}
	if n := len(grants); n < 20*40 {
		t.Errorf("%d requests in 20 s, the account has a right to 800", n)
	}
}

// TestWithinRate guards against refusals of an account that stays within its rate.
func TestWithinRate(t *testing.T) {
	l := guavaquota.NewAllocator(tolerance)
	demand(l, epoch, epoch.Add(time.Second), 25*time.Millisecond) // the first bucket starts low
	from := epoch.Add(time.Second)
	grants := demand(l, from, from.Add(20*time.Second), 25*time.Millisecond)
	if n := len(grants); n < 800 {
		t.Errorf("%d of 800 requests at exactly the rate were let through", n)
	}
}

// TestFirstRequest guards against an owner that has just begun and refuses the first request it sees.
func TestFirstRequest(t *testing.T) {
	l := guavaquota.NewAllocator(tolerance)
	if n, after := l.Take(epoch, account, 1); n != 1 {
		t.Errorf("first request refused for %v", after)
	}
}

// TestPartition guards against two parts of the fleet that together let through more than one may: each has an owner, and
// the old owner notices late that some VMs have gone over to the other.
func TestPartition(t *testing.T) {
	vms := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	first, second := guavaquota.NewAllocator(tolerance), guavaquota.NewAllocator(tolerance)
	reach, otherReach := guavaquota.NewVMTracker(), guavaquota.NewVMTracker()
	cut := epoch.Add(6 * time.Second)
	var grants []time.Time
	for now := epoch; now.Before(epoch.Add(15 * time.Second)); now = now.Add(3 * time.Millisecond) {
		for i, vm := range vms {
			if i < 5 || now.Before(cut) {
				reach.Set(now, vm, true)
			} else {
				otherReach.Set(now, vm, true)
			}
		}
		first.SetShare(now, reach.Share(now, vms))
		if n, _ := first.Take(now, account, 1); n > 0 {
			grants = append(grants, now)
		}
		if now.Before(cut) {
			continue
		}
		second.SetShare(now, otherReach.Share(now, vms))
		if n, _ := second.Take(now, account, 1); n > 0 {
			grants = append(grants, now)
		}
	}
	if n := busiest(grants); float64(n) > most(account) {
		t.Errorf("%d requests in a window, at most %v are allowed", n, most(account))
	}
}

// TestLoweredLimit guards against a bucket that keeps what an earlier, higher limit had filled.
func TestLoweredLimit(t *testing.T) {
	l := guavaquota.NewAllocator(tolerance)
	l.Take(epoch, account, 1)
	low := guavatraffic.Account{Name: "x", Rate: 4, Burst: 4}
	n := 0
	for now := epoch.Add(5 * time.Second); now.Before(epoch.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		granted, _ := l.Take(now, low, 1)
		n += granted
	}
	if float64(n) > most(low) {
		t.Errorf("%d requests in a window after the change, at most %v are allowed", n, most(low))
	}
}

// TestReach guards against a share that counts VMs which nobody has heard of for long, or that forgets those which are cut
// off.
func TestReach(t *testing.T) {
	vms := []string{"a", "b", "c", "d"}
	r := guavaquota.NewVMTracker()
	for _, vm := range vms {
		r.Set(epoch, vm, true)
	}
	if s := r.Share(epoch.Add(time.Second), vms); s != 1 {
		t.Errorf("all heard: share %v", s)
	}
	r.Set(epoch.Add(9*time.Second), "a", true)
	if s := r.Share(epoch.Add(9*time.Second), vms); s != 0.25 {
		t.Errorf("three of four silent: share %v", s)
	}
	r.Set(epoch.Add(2*time.Minute), "a", true)
	if s := r.Share(epoch.Add(2*time.Minute), vms); s != 1 {
		t.Errorf("three of four gone for long: share %v", s)
	}
}

// TestStock guards against tokens that are used after they expired, and questions while the owner has said no.
func TestStock(t *testing.T) {
	var s guavaquota.TokenCache
	s.Add(epoch, epoch.Add(10*time.Millisecond), 2, 0)
	if _, ok := s.Use(epoch.Add(20 * time.Millisecond)); !ok {
		t.Error("a token cannot be used")
	}
	if _, ok := s.Use(epoch.Add(guavaquota.TokenLifetime + time.Millisecond)); ok {
		t.Error("an expired token was used")
	}
	s.Add(epoch, epoch, 0, 100*time.Millisecond)
	if d := s.RetryAfter(epoch.Add(40 * time.Millisecond)); d != 60*time.Millisecond {
		t.Errorf("asks again after %v, want 60 ms", d)
	}
}

// TestReturnedToken guards against an account whose rate is used up by requests that were refused before they ran, and
// against returned tokens that outlive the time for which they were given, also where others have come since.
func TestReturnedToken(t *testing.T) {
	var s guavaquota.TokenCache
	s.Add(epoch, epoch.Add(10*time.Millisecond), 1, 0)
	var until time.Time
	for i := range 5 {
		now := epoch.Add(time.Duration(20*i) * time.Millisecond)
		var ok bool
		if until, ok = s.Use(now); !ok {
			t.Fatalf("request %d gets no token although none has run", i)
		}
		if i < 4 {
			s.Return(now.Add(10*time.Millisecond), until)
		}
	}
	later := epoch.Add(guavaquota.TokenLifetime - 50*time.Millisecond)
	s.Add(later, later, 1, 0)
	s.Return(later, until)
	late := epoch.Add(guavaquota.TokenLifetime + time.Millisecond)
	s.Return(late, until)
	if _, ok := s.Use(late); !ok {
		t.Error("the newer token is lost")
	}
	if _, ok := s.Use(late); ok {
		t.Error("a token that was returned outlived its time")
	}
}

// TestTakeover guards against more than is allowed in any window when the VM that gave out an account's tokens is lost right
// after it gave out the whole burst, and against a new owner that has next to nothing to give because it heard the other VMs
// one by one.
func TestTakeover(t *testing.T) {
	for _, a := range []guavatraffic.Account{
		{Name: "small", Rate: 4, Burst: 4}, {Name: "usual", Rate: 40, Burst: 20}, {Name: "large", Rate: 300, Burst: 600},
	} {
		t.Run(a.Name, func(t *testing.T) {
			var grants []time.Time
			spend := func(l *guavaquota.Allocator, from, to time.Time) int {
				before := len(grants)
				for now := from; now.Before(to); now = now.Add(time.Millisecond) {
					if n, _ := l.Take(now, a, 1); n > 0 {
						grants = append(grants, now)
					}
				}
				return len(grants) - before
			}
			first, second := guavaquota.NewAllocator(tolerance), guavaquota.NewAllocator(tolerance)
			first.Take(epoch, a, 1)
			lost := epoch.Add(time.Minute)
			spend(first, lost.Add(-time.Second), lost)
			const vms = 10
			now, got := lost, 0
			for heard := 1; heard <= vms; heard++ {
				second.SetShare(now, float64(heard)/vms)
				got += spend(second, now, now.Add(20*time.Millisecond))
				now = now.Add(20 * time.Millisecond)
			}
			if least := int(a.Rate * 0.25); got < least {
				t.Errorf("%d requests let through while the new owner hears the VMs, want %d", got, least)
			}
			spend(second, now, lost.Add(10*time.Second))
			if n := busiest(grants); float64(n) > most(a) {
				t.Errorf("%d requests in a window, at most %v are allowed", n, most(a))
			}
		})
	}
}

// TestTurningBackAndForth guards against more than is allowed in any window when VMs turn from one owner to another and back
// every second, as they do while an owner is slow, and the account asks for all that it can get.
func TestTurningBackAndForth(t *testing.T) {
	for _, a := range []guavatraffic.Account{
		{Name: "small", Rate: 4, Burst: 4}, {Name: "usual", Rate: 20, Burst: 20}, {Name: "large", Rate: 300, Burst: 600},
	} {
		t.Run(a.Name, func(t *testing.T) {
			const vms = 10
			owners := [2]*guavaquota.Allocator{guavaquota.NewAllocator(tolerance), guavaquota.NewAllocator(tolerance)}
			owners[1].SetShare(epoch, 1.0/vms)
			owners[0].Take(epoch, a, 1)
			start := epoch.Add(time.Minute)
			var grants []time.Time
			for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
				second := now.Sub(start) / time.Second
				turned := min(float64(now.Sub(start)%time.Second/(20*time.Millisecond)), vms) / vms // one VM after the other
				to := owners[(second+1)%2]
				from := owners[second%2]
				to.SetShare(now, max(turned, 1.0/vms))
				from.SetShare(now, max(1-turned, 1.0/vms))
				for _, l := range owners {
					if n, _ := l.Take(now, a, 1); n > 0 {
						grants = append(grants, now)
					}
				}
			}
			if n := busiest(grants); float64(n) > most(a) {
				t.Errorf("%d requests in a window, at most %v are allowed", n, most(a))
			}
		})
	}
}

// TestReturnedTokensInOverload guards against an account that gets more than it may in a window, because the tokens of requests
// that waited for long and were refused are used after an overload, beside those given out then.
func TestReturnedTokensInOverload(t *testing.T) {
	const (
		patience = 1500 * time.Millisecond
		overload = 8 * time.Second
		length   = 20 * time.Second
	)
	for _, a := range []guavatraffic.Account{{Name: "usual", Rate: 40, Burst: 20}, {Name: "large", Rate: 300, Burst: 300}} {
		t.Run(a.Name, func(t *testing.T) {
			ledger := guavaquota.NewAllocator(tolerance)
			ledger.Take(epoch.Add(-time.Minute), a, 1)
			var s guavaquota.TokenCache
			type refusal struct {
				at    time.Time
				until time.Time
			}
			var refusals []refusal
			var runs []time.Time
			for now := epoch; now.Before(epoch.Add(length)); now = now.Add(2 * time.Millisecond) {
				for len(refusals) > 0 && !now.Before(refusals[0].at) {
					s.Return(now, refusals[0].until)
					refusals = refusals[1:]
				}
				until, ok := s.Use(now)
				if !ok && s.RetryAfter(now) == 0 {
					granted, after := ledger.Take(now, a, max(s.Want(1), 1))
					s.Add(now, now, granted, after)
					until, ok = s.Use(now)
				}
				switch {
				case !ok:
				case now.Sub(epoch) < overload:
					refusals = append(refusals, refusal{at: now.Add(patience), until: until})
				default:
					runs = append(runs, now)
				}
			}
			if n := busiest(runs); float64(n) > most(a) {
				t.Errorf("%d requests in a window, at most %v are allowed", n, most(a))
			}
		})
	}
}
