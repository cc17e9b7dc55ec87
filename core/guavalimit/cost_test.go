package guavalimit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavalimit"
	"guavaridge/internal/guavasim"
)

// accountSizes are the numbers of active accounts at which costs are measured; the last is that of the long-run size.
var accountSizes = []int{100, 1000, 6900}

// BenchmarkTake measures a take of one account among many, at both ends: what the taker asks, the pool grants and the taker
// spends. B/account is the memory that both ends keep for an active account.
func BenchmarkTake(b *testing.B) {
	for _, n := range accountSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			accounts := make([]guavaconfig.ClientAccount, 0, n)
			names := make([]string, 0, n)
			for i := range n {
				names = append(names, fmt.Sprintf("account-%d", i))
				accounts = append(accounts, guavaconfig.ClientAccount{Name: names[i], Rate: 1e6, Burst: 1e6})
			}
			pool := guavalimit.NewPool(guavalimit.NewPlan(guavasim.Declare(1, 1, accounts...), "a"))
			taker := guavalimit.NewRequester()
			lend := func() { pool.UpdateLoans("v", everyGroup, time.Now()) }
			take := func(account string) {
				from, t, ok := taker.NextRequest(account, 1, []string{"v"})
				if !ok {
					b.Fatal("nothing asked")
				}
				taker.HandleGrant(from, t, time.Now(), pool.Grant("t", t))
				taker.Spend(account)
			}
			before := heap()
			lend()
			for _, a := range names {
				take(a)
			}
			kept := float64(heap()-before) / float64(n)
			i := 0
			for b.Loop() {
				if i%1000 == 0 {
					lend()
				}
				take(names[i%n])
				i++
			}
			b.ReportMetric(kept, "B/account") // the loop drops metrics reported before it
			runtime.KeepAlive(pool)
		})
	}
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
