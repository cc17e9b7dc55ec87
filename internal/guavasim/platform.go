package guavasim

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"guavaridge/io/guavaplatform"
)

// Platform is the table service and the lagging list of VMs of a simulation.
type Platform struct {
	mu       sync.Mutex
	rows     map[string]guavaplatform.Row
	revision uint64
	down     bool
	lose     float64 // share of commits whose answer is lost after the write
	rnd      *rand.Rand
	dropped  map[string]time.Time // when a VM ended
	lag      time.Duration
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
	if p.rnd.Float64() < p.lose {
		return guavaplatform.ErrUnknown
	}
	return nil
}

// NewPlatform returns an empty table service.
func NewPlatform(seed uint64) *Platform {
	return &Platform{rows: map[string]guavaplatform.Row{}, rnd: rand.New(rand.NewPCG(seed, 2)), dropped: map[string]time.Time{}, lag: 5 * time.Second}
}

// SetFaults sets whether the service is down, and the share of commits whose answer is lost after the write.
func (p *Platform) SetFaults(down bool, lose float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.lose = down, lose
}
