package guavastandin

import (
	"fmt"
	"math/rand/v2"
	"time"

	"guavaridge/io/guavaplatform"
)

// platformFaults holds the active faults. It is guarded by Platform.mu.
type platformFaults struct {
	down               bool
	delay              time.Duration
	partitionedVMs     map[string]bool
	partitionedDomains map[string]bool
	loseResponses      int // number of next commits that take effect but whose response is lost
	loseCommits        int // number of next commits whose request is lost
	losePuts           int // number of next puts that take effect but whose response is lost
	lossProbability    float64
	lossRandom         *rand.Rand
}

func newPlatformFaults() platformFaults {
	return platformFaults{partitionedVMs: make(map[string]bool), partitionedDomains: make(map[string]bool)}
}

// check returns ErrUnavailable if a fault separates the VM from the platform.
func (f *platformFaults) check(domain, vm string) error {
	switch {
	case f.down:
		return fmt.Errorf("outage: %w", guavaplatform.ErrUnavailable)
	case f.partitionedDomains[domain]:
		return fmt.Errorf("failure domain %q cut off: %w", domain, guavaplatform.ErrUnavailable)
	case f.partitionedVMs[vm]:
		return fmt.Errorf("VM %q cut off: %w", vm, guavaplatform.ErrUnavailable)
	}
	return nil
}

// loseResponse reports whether the response to the current call is lost. It decrements n, the number of responses still
// to be lost; at 0 the loss is random with lossProbability.
func (f *platformFaults) loseResponse(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return f.lossRandom != nil && f.lossRandom.Float64() < f.lossProbability
}

// SetDown starts or ends an outage of all services of the platform.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.down = down
}

// SetDelay delays every call by d, half before and half after its effect. A call whose context ends, or whose VM is
// partitioned, in the second half has taken effect.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.delay = d
}

// PartitionVM starts or ends a network partition between a VM and the platform.
func (p *Platform) PartitionVM(vm string, partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.partitionedVMs[vm] = partitioned
}

// PartitionDomain starts or ends a network partition between a failure domain and the platform.
func (p *Platform) PartitionDomain(domain string, partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.partitionedDomains[domain] = partitioned
}

// LoseResponses makes the next n commits take effect and return ErrUnknown. Commits whose checks fail do not count.
func (p *Platform) LoseResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.loseResponses = n
}

// LoseCommits makes the next n commits return ErrUnknown without taking effect.
func (p *Platform) LoseCommits(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.loseCommits = n
}

// LosePuts makes the next n puts of objects take effect and return ErrUnknown.
func (p *Platform) LosePuts(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.losePuts = n
}

// LoseResponsesWithProbability makes each commit and put that takes effect return ErrUnknown with the given
// probability, using a random generator with the given seed. A probability of 0 ends the fault.
func (p *Platform) LoseResponsesWithProbability(probability float64, seed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.lossProbability, p.faults.lossRandom = probability, nil
	if probability > 0 {
		p.faults.lossRandom = rand.New(rand.NewPCG(seed, 0))
	}
}
