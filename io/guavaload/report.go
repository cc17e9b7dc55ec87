package guavaload

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

// Report is the result of a run. Latencies are in microseconds.
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
	// MinOnTime is the minimum on-time share over the client accounts.
	MinOnTime float64 `json:"worst"`
	// LimitedWithinRate counts rate-limited calls of client accounts whose load does not exceed their agreed rate.
	// LimitedWithinRateShare is their share of the calls of these client accounts.
	LimitedWithinRate      int     `json:"within"`
	LimitedWithinRateShare float64 `json:"part"`
}

// AccountReport is the result of one client account's calls.
type AccountReport struct {
	Name    string `json:"name"`
	Calls   int    `json:"calls"`
	Answers int    `json:"answers"`
	Limited int    `json:"limited"`
	// OnTime is the share of calls whose first token or response arrived within the on-time limit. It leaves out
	// rate-limited calls of client accounts whose load exceeds their agreed rate.
	OnTime float64 `json:"ontime"`
	// First is the time to the first token of the client account's streams.
	First Quantiles `json:"first"`
}

// Quantiles are latency quantiles in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
}

// Range and precision of the histograms.
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

// recorder aggregates outcomes. It is not safe for concurrent use.
type recorder struct {
	plan                Plan
	calls, answers      int
	tokens              int
	errors              map[string]int
	first, gap, service *hdrhistogram.Histogram
	accounts            []AccountReport
	onTime              []int
	accountFirst        []*hdrhistogram.Histogram // by client account
}

func newRecorder(p Plan) *recorder {
	r := &recorder{
		plan: p, errors: map[string]int{}, first: newHistogram(), gap: newHistogram(), service: newHistogram(),
		accounts: make([]AccountReport, len(p.Accounts)), onTime: make([]int, len(p.Accounts)),
	}
	for i, a := range p.Accounts {
		r.accounts[i].Name = a.Name
		r.accountFirst = append(r.accountFirst, newHistogram())
	}
	return r
}

func (r *recorder) add(o outcome) {
	r.calls++
	r.accounts[o.account].Calls++
	r.tokens += o.tokens
	if o.status != fasthttp.StatusOK || !o.complete {
		r.errors[errorKey(o)]++
		if o.status == fasthttp.StatusTooManyRequests {
			r.accounts[o.account].Limited++
		}
		return
	}
	r.answers++
	r.accounts[o.account].Answers++
	if o.latency <= r.onTimeLimit(o) {
		r.onTime[o.account]++
	}
	// No value is outside the histogram's range: calls time out earlier.
	switch o.kind {
	case kindService:
		_ = r.service.RecordValue(o.latency.Microseconds())
	case kindStream:
		_ = r.first.RecordValue(o.latency.Microseconds())
		_ = r.accountFirst[o.account].RecordValue(o.latency.Microseconds())
	}
	for _, g := range o.tokenGaps {
		_ = r.gap.RecordValue(g.Microseconds())
	}
}

// maxTokenGap is the maximum time between two tokens for a buffered completion to count as on time.
const maxTokenGap = 34 * time.Millisecond

// onTimeLimit returns the maximum latency of an outcome that counts as on time. The first token of a buffered completion
// cannot be observed, so its limit adds maxTokenGap for each token.
func (r *recorder) onTimeLimit(o outcome) time.Duration {
	limit := time.Duration(r.plan.OnTimeLimit) * time.Millisecond
	if o.kind == kindPlain {
		limit += time.Duration(r.plan.Accounts[o.account].Tokens) * maxTokenGap
	}
	return limit
}

func errorKey(o outcome) string {
	if o.status == 0 {
		return "connection"
	}
	if o.status == fasthttp.StatusOK {
		return "cut off"
	}
	return fmt.Sprintf("%d %s", o.status, o.errorCode)
}

func (r *recorder) report(elapsed time.Duration) Report {
	p := Report{
		Name: r.plan.Name, Seconds: elapsed.Seconds(), Calls: r.calls, Answers: r.answers, Errors: r.errors, Tokens: r.tokens,
		First: quantiles(r.first), Gap: quantiles(r.gap), Service: quantiles(r.service), Accounts: r.accounts, MinOnTime: math.NaN(),
	}
	callsWithinRate := 0
	for i := range p.Accounts {
		a, planned := &p.Accounts[i], r.plan.Accounts[i]
		a.First = quantiles(r.accountFirst[i])
		if a.Calls == 0 {
			continue
		}
		counted := a.Calls
		if planned.Rate*max(1, planned.Burst.Factor) <= planned.AgreedRate {
			callsWithinRate += a.Calls
			p.LimitedWithinRate += a.Limited
		} else {
			counted -= a.Limited
		}
		if counted == 0 {
			continue
		}
		a.OnTime = float64(r.onTime[i]) / float64(counted)
		if !(p.MinOnTime <= a.OnTime) {
			p.MinOnTime = a.OnTime
		}
	}
	if callsWithinRate > 0 {
		p.LimitedWithinRateShare = float64(p.LimitedWithinRate) / float64(callsWithinRate)
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
