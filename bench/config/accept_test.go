package config_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"guavaridge/core/guavaconfig"
)

// declarations returns a configuration of the size of the largest deployment: 6,900 client accounts with one key each,
// and 2,800 engines.
func declarations() guavaconfig.Declarations {
	var d guavaconfig.Declarations
	for i := range 11 {
		d.Domains = append(d.Domains, guavaconfig.FailureDomain{Name: fmt.Sprint("d", i), Region: "r", VMSlots: 32})
	}
	for i := range 4 {
		d.Models = append(d.Models, guavaconfig.Model{Name: fmt.Sprint("m", i), Version: "1"})
	}
	for i := range 6900 {
		name := fmt.Sprintf("account%04d", i)
		d.Accounts = append(d.Accounts, guavaconfig.ClientAccount{Name: name, Rate: 10, Burst: 20, Weight: 1})
		d.Keys = append(d.Keys, guavaconfig.Key{Name: fmt.Sprintf("key%04d", i), Account: name, Hash: strings.Repeat(fmt.Sprintf("%04x", i), 16)})
	}
	for i := range 2800 {
		d.Servers = append(d.Servers, guavaconfig.BackendServer{
			Name: fmt.Sprintf("server%04d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Domain: fmt.Sprint("d", i%11), Models: []string{fmt.Sprint("m", i%4)},
		})
	}
	return d
}

// BenchmarkAccept measures how long a VM of the largest deployment takes to accept a change of one account, and the
// memory that the configuration uses on a VM.
func BenchmarkAccept(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	h := guavaconfig.NewHolder()
	h.Load(guavaconfig.NewSnapshot(1, declarations()))
	runtime.GC()
	runtime.ReadMemStats(&after)
	version, bytes := uint64(1), 0
	for b.Loop() {
		current := h.Snapshot().Declarations()
		changed := current
		changed.Accounts = append([]guavaconfig.ClientAccount(nil), current.Accounts...)
		version++
		changed.Accounts[int(version)%len(changed.Accounts)].Rate++
		i := int(version) % len(changed.Accounts)
		edits := guavaconfig.NewDelta(
			guavaconfig.Declarations{Accounts: current.Accounts[i : i+1]}, guavaconfig.Declarations{Accounts: changed.Accounts[i : i+1]})
		c := guavaconfig.Entry{Version: version, Operation: "operation", Operator: "operator", Reason: "reason", Edits: edits}.Change()
		bytes += len(c.Data)
		if err := h.Accept([]guavaconfig.Change{c}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B/change")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB/VM")
	runtime.KeepAlive(h)
}

// BenchmarkValidate measures the validation of the declarations of the largest deployment.
func BenchmarkValidate(b *testing.B) {
	d := declarations()
	for b.Loop() {
		if err := guavaconfig.Validate(d); err != nil {
			b.Fatal(err)
		}
	}
}
