package guavasim

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"guavaridge/io/guavaplatform"
)

// Platform is the simulated table service and the list of VMs, which lags.
type Platform struct {
	mu           sync.Mutex
	rows         map[string]guavaplatform.Row
	revision     uint64
	down         bool
	responseLoss float64 // share of commits whose response is lost after the write
	rnd          *rand.Rand
	endedAt      map[string]time.Time // end of each process that was killed, by VM name
	listLag      time.Duration
}

// Read implements guavaplatform.Table.
func (p *Platform) Read(_ context.Context, key string) (guavaplatform.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return guavaplatform.Row{}, guavaplatform.ErrUnavailable
	}
	r, ok := p.rows[key]
	if !ok {
		return guavaplatform.Row{}, guavaplatform.ErrAbsent
	}
	return r, nil
}

// Scan implements guavaplatform.Table.
func (p *Platform) Scan(_ context.Context, prefix, _ string, _ int) ([]guavaplatform.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, guavaplatform.ErrUnavailable
	}
	var rows []guavaplatform.Row
	for k, r := range p.rows {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

// Commit implements guavaplatform.Table.
func (p *Platform) Commit(_ context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return guavaplatform.ErrUnavailable
	}
	for _, c := range checks {
		if p.rows[c.Key].Revision != c.Revision {
			return guavaplatform.ErrConflict
		}
	}
	for _, w := range writes {
		p.revision++
		if delete(p.rows, w.Key); !w.Delete {
			p.rows[w.Key] = guavaplatform.Row{Key: w.Key, Value: w.Value, Revision: p.revision}
		}
	}
	if p.rnd.Float64() < p.responseLoss {
		return guavaplatform.ErrUnknown
	}
	return nil
}

// NewPlatform returns an empty table service.
func NewPlatform(seed uint64) *Platform {
	return &Platform{rows: map[string]guavaplatform.Row{}, rnd: rand.New(rand.NewPCG(seed, 2)), endedAt: map[string]time.Time{}, listLag: 5 * time.Second}
}

// SetFaults sets whether the service is down, and the share of commits whose response is lost after the write.
func (p *Platform) SetFaults(down bool, responseLoss float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.responseLoss = down, responseLoss
}
