package guavaload

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

// Report is the result of a run. Times are in microseconds.
type Report struct {
	Name     string          `json:"name"`
	Seconds  float64         `json:"seconds"`
	Calls    int             `json:"calls"`
	Answers  int             `json:"answers"`
	Errors   map[string]int  `json:"errors"`
	Tokens   int             `json:"tokens"`
	First    Quantiles       `json:"first"`
	Gap      Quantiles       `json:"gap"`
	Service  Quantiles       `json:"service"`
	Accounts []AccountReport `json:"accounts"`
	// MinOnTime is the smallest on-time share of a client account.
	MinOnTime float64 `json:"worst"`
	// LimitedWithinRate counts refusals for the rate of client accounts that stayed within their agreed rate, and Part their
	// part of these client accounts' calls.
	LimitedWithinRate      int     `json:"within"`
	LimitedWithinRateShare float64 `json:"part"`
}

// AccountReport is what one client account saw.
type AccountReport struct {
	Name    string `json:"name"`
	Calls   int    `json:"calls"`
	Answers int    `json:"answers"`
	Limited int    `json:"limited"`
	// OnTime is the part of the calls whose first token or answer came within the target. Refusals for the rate do not
	// count for client accounts that send more than their agreed rate.
	OnTime float64 `json:"ontime"`
	// First is the time to the first token of its streams.
	First Quantiles `json:"first"`
}

// Quantiles are quantiles in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
}

// The range and precision of the histograms.
const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicroseconds, significantDigits)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P95:   h.ValueAtQuantile(95),
		P99:   h.ValueAtQuantile(99),
		P999:  h.ValueAtQuantile(99.9),
	}
}

// recorder adds up outcomes. It is not safe for concurrent use.
type recorder struct {
	plan                Plan
	calls, answers      int
	tokens              int
	errors              map[string]int
	first, gap, service *hdrhistogram.Histogram
	accounts            []AccountReport
	onTime              []int
	firsts              []*hdrhistogram.Histogram // by client account
}

func newRecorder(p Plan) *recorder {
	r := &recorder{
		plan: p, errors: map[string]int{}, first: newHistogram(), gap: newHistogram(), service: newHistogram(),
		accounts: make([]AccountReport, len(p.Accounts)), onTime: make([]int, len(p.Accounts)),
	}
	for i, a := range p.Accounts {
		r.accounts[i].Name = a.Name
		r.firsts = append(r.firsts, newHistogram())
	}
	return r
}

func (r *recorder) add(o outcome) {
	r.calls++
	r.accounts[o.account].Calls++
	r.tokens += o.tokens
	if o.status != fasthttp.StatusOK || !o.whole {
		r.errors[reason(o)]++
		if o.status == fasthttp.StatusTooManyRequests {
			r.accounts[o.account].Limited++
		}
		return
	}
	r.answers++
	r.accounts[o.account].Answers++
	if o.first <= r.limit(o) {
		r.onTime[o.account]++
	}
	// A value outside the histogram's range cannot occur: calls time out earlier.
	switch o.kind {
	case kindService:
		_ = r.service.RecordValue(o.first.Microseconds())
	case kindStream:
		_ = r.first.RecordValue(o.first.Microseconds())
		_ = r.firsts[o.account].RecordValue(o.first.Microseconds())
	}
	for _, g := range o.gaps {
		_ = r.gap.RecordValue(g.Microseconds())
	}
}

// tokenGap is the target for the time between two tokens.
const tokenGap = 34 * time.Millisecond

// limit returns the time within which an answer is on time. The first token of a plain completion is not seen, so its
// whole answer may take the target and the time between tokens.
func (r *recorder) limit(o outcome) time.Duration {
	limit := time.Duration(r.plan.OnTimeLimit) * time.Millisecond
	if o.kind == kindPlain {
		limit += time.Duration(r.plan.Accounts[o.account].Tokens) * tokenGap
	}
	return limit
}

func reason(o outcome) string {
	if o.status == 0 {
		return "connection"
	}
	if o.status == fasthttp.StatusOK {
		return "cut off"
	}
	return fmt.Sprintf("%d %s", o.status, o.code)
}

func (r *recorder) report(took time.Duration) Report {
	p := Report{
		Name: r.plan.Name, Seconds: took.Seconds(), Calls: r.calls, Answers: r.answers, Errors: r.errors, Tokens: r.tokens,
		First: quantiles(r.first), Gap: quantiles(r.gap), Service: quantiles(r.service), Accounts: r.accounts, MinOnTime: math.NaN(),
	}
	within := 0
	for i := range p.Accounts {
		a, planned := &p.Accounts[i], r.plan.Accounts[i]
		a.First = quantiles(r.firsts[i])
		if a.Calls == 0 {
			continue
		}
		owed := a.Calls
		if planned.Rate*max(1, planned.Burst.Factor) <= planned.AgreedRate {
			within += a.Calls
			p.LimitedWithinRate += a.Limited
		} else {
			owed -= a.Limited
		}
		if owed == 0 {
			continue
		}
		a.OnTime = float64(r.onTime[i]) / float64(owed)
		if !(p.MinOnTime <= a.OnTime) {
			p.MinOnTime = a.OnTime
		}
	}
	if within > 0 {
		p.LimitedWithinRateShare = float64(p.LimitedWithinRate) / float64(within)
	}
	if math.IsNaN(p.MinOnTime) {
		p.MinOnTime = 0
	}
	return p
}

// Write prints the report as text.
func (p Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%s: %d calls in %.1f s, %d whole answers, %.0f tokens/s\n", p.Name, p.Calls, p.Seconds, p.Answers, float64(p.Tokens)/p.Seconds)
	fmt.Fprintf(w, "%-12s %8s %10s %10s %10s %10s\n", "ms", "count", "p50", "p95", "p99", "p99.9")
	for _, l := range []struct {
		name string
		q    Quantiles
	}{{"first token", p.First}, {"token gap", p.Gap}, {"service", p.Service}} {
		fmt.Fprintf(w, "%-12s %8d %10.2f %10.2f %10.2f %10.2f\n", l.name, l.q.Count, ms(l.q.P50), ms(l.q.P95), ms(l.q.P99), ms(l.q.P999))
	}
	for _, a := range p.Accounts {
		fmt.Fprintf(w, "account %-16s calls %7d answers %7d limited %6d on time %7.3f%% first token p95 %8.2f ms\n",
			a.Name, a.Calls, a.Answers, a.Limited, 100*a.OnTime, ms(a.First.P95))
	}
	fmt.Fprintf(w, "worst on-time share %.3f%%, refused within the rate %d (%.3f%%)\n", 100*p.MinOnTime, p.LimitedWithinRate, 100*p.LimitedWithinRateShare)
	for reason, n := range p.Errors {
		fmt.Fprintf(w, "error %-30s %d\n", reason, n)
	}
}

func ms(microseconds int64) float64 { return float64(microseconds) / 1000 }
