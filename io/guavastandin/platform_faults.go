package guavastandin

import (
	"fmt"
	"math/rand/v2"
	"time"

	"guavaridge/io/guavaplatform"
)

// platformFaults are the faults in force. They are guarded by Platform.mu.
type platformFaults struct {
	down        bool
	delay       time.Duration
	cutVMs      map[string]bool
	cutDomains  map[string]bool
	loseAnswers int // next commits that take effect without an answer
	loseCommits int // next commits that neither take effect nor get an answer
	losePuts    int // next puts that take effect without an answer
	chance      float64
	random      *rand.Rand
}

func newPlatformFaults() platformFaults {
	return platformFaults{cutVMs: make(map[string]bool), cutDomains: make(map[string]bool)}
}

// check returns ErrUnavailable when a fault keeps the VM from the platform.
func (f *platformFaults) check(domain, vm string) error {
	switch {
	case f.down:
		return fmt.Errorf("outage: %w", guavaplatform.ErrUnavailable)
	case f.cutDomains[domain]:
		return fmt.Errorf("failure domain %q cut off: %w", domain, guavaplatform.ErrUnavailable)
	case f.cutVMs[vm]:
		return fmt.Errorf("VM %q cut off: %w", vm, guavaplatform.ErrUnavailable)
	}
	return nil
}

// loses counts n down and reports whether the current answer is lost.
func (f *platformFaults) loses(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return f.random != nil && f.random.Float64() < f.chance
}

// SetDown starts or ends an outage of every service of the platform.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.down = down
}

// SetDelay makes every call take d, half of it before and half of it after its effect. A call whose context ends, or
// whose VM is cut off, in the second half has taken effect.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.delay = d
}

// PartitionVM cuts one VM off from the platform, or ends the cut-off.
func (p *Platform) PartitionVM(vm string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.cutVMs[vm] = cut
}

// PartitionDomain cuts a failure domain off from the platform, or ends the cut-off.
func (p *Platform) PartitionDomain(domain string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.cutDomains[domain] = cut
}

// LoseResponses makes the next n commits that take effect return ErrUnknown.
func (p *Platform) LoseResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.loseAnswers = n
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

// LoseResponsesWithProbability makes each commit and put that takes effect return ErrUnknown with the given probability, drawn from
// the seed. A probability of 0 ends it.
func (p *Platform) LoseResponsesWithProbability(probability float64, seed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.chance, p.faults.random = probability, nil
	if probability > 0 {
		p.faults.random = rand.New(rand.NewPCG(seed, 0))
	}
}
