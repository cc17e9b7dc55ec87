package guavaedge

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavamember"
	"guavaridge/core/guavaroster"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavaplatform"
)

// tableVMs is the table in which VMs announce themselves.
const tableVMs = "vms"

// vmRecord is a VM's row.
type vmRecord struct {
	Domain      string  `json:"domain"`
	Region      string  `json:"region"`
	Address     string  `json:"address"`
	Incarnation uint64  `json:"incarnation"`
	Cores       float64 `json:"cores"`
}

// registry holds what this VM knows from the store: the configuration, the servers and the VMs.
type registry struct {
	self     guavacoord.VM
	platform Platform
	logger   hclog.Logger
	// changed is called after VMs or the configuration changed, serversChanged after servers did, which is far more often.
	changed        func()
	serversChanged func()

	config  atomic.Pointer[guavatraffic.Config]
	servers atomic.Pointer[map[string]guavatraffic.Server]

	mu     sync.Mutex
	roster *guavaroster.Roster
	vms    map[string]guavacoord.VM
}

func newRegistry(self guavacoord.VM, p Platform, l hclog.Logger, changed, serversChanged func()) *registry {
	r := &registry{
		self: self, platform: p, logger: l, changed: changed, serversChanged: serversChanged,
		roster: guavaroster.New(), vms: map[string]guavacoord.VM{self.Name: self},
	}
	r.servers.Store(&map[string]guavatraffic.Server{})
	return r
}

// applyConfig implements guavaview.Apply for the operator's table.
func (r *registry) applyConfig(changes []guavaplatform.RowChange, _ bool) {
	for _, c := range changes {
		if c.Key != r.platform.ConfigKey || c.Removed {
			continue
		}
		config, err := r.platform.DecodeConfig(c.Value)
		if err != nil {
			r.logger.Error("configuration left out", "revision", c.Revision, "error", err)
			continue
		}
		if old := r.config.Load(); old != nil && old.Version > config.Version {
			r.logger.Error("older configuration left out", "version", config.Version, "in_force", old.Version)
			continue
		}
		r.config.Store(config)
		r.logger.Info("configuration in force", "version", config.Version, "routes", len(config.Routes),
			"accounts", len(config.Accounts))
	}
	r.changed()
}

// applyServers implements guavaview.Apply for the table of servers.
func (r *registry) applyServers(changes []guavaplatform.RowChange, full bool) {
	now := time.Now()
	r.mu.Lock()
	changed := false
	var list []guavatraffic.Server
	for _, c := range changes {
		id := c.Key[strings.LastIndexByte(c.Key, '/')+1:]
		if c.Removed {
			r.logger.Info("server gone", "server", id)
			changed = r.roster.Remove(now, id) || changed
			continue
		}
		s, err := r.platform.DecodeServer(id, c.Value)
		if err != nil {
			r.logger.Warn("server left out", "error", err)
			changed = r.roster.Remove(now, id) || changed
			continue
		}
		if old, ok := (*r.servers.Load())[id]; !ok || old.Leaving != s.Leaving || old.Born != s.Born {
			r.logger.Info("server", "server", id, "service", s.Service, "address", s.Address, "leaving", s.Leaving)
		}
		list = append(list, s)
		if !full {
			changed = r.roster.Put(s) || changed
		}
	}
	if full {
		changed = r.roster.Replace(now, list) || changed
	}
	if changed {
		r.publish()
	}
	r.mu.Unlock()
	if changed {
		r.serversChanged()
	}
}

// publish makes the roster known to readers. It is called with the lock held.
func (r *registry) publish() {
	byID := r.roster.ByID()
	r.servers.Store(&byID)
}

// trouble notes that the store does not answer.
func (r *registry) trouble() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.RecordStoreFailure(time.Now())
}

// expire drops servers whose entries did not come back after an outage.
func (r *registry) expire() {
	r.mu.Lock()
	dropped := r.roster.Expire(time.Now())
	if dropped {
		r.publish()
	}
	r.mu.Unlock()
	if dropped {
		r.serversChanged()
	}
}

// applyVMs implements guavaview.Apply for the table of VMs.
func (r *registry) applyVMs(changes []guavaplatform.RowChange, full bool) {
	r.mu.Lock()
	if full {
		r.vms = map[string]guavacoord.VM{r.self.Name: r.self}
	}
	for _, c := range changes {
		name := c.Key[strings.LastIndexByte(c.Key, '/')+1:]
		if name == r.self.Name {
			continue
		}
		if c.Removed {
			delete(r.vms, name)
			continue
		}
		var v vmRecord
		if err := json.Unmarshal(c.Value, &v); err != nil {
			r.logger.Error("VM left out", "vm", name, "error", err)
			continue
		}
		r.vms[name] = guavacoord.VM{Cores: v.Cores, Identity: guavamember.Identity{
			Name: name, Domain: v.Domain, Region: v.Region, Address: v.Address, Incarnation: v.Incarnation,
		}}
	}
	n := len(r.vms)
	r.mu.Unlock()
	r.logger.Info("VMs", "known", n)
	r.changed()
}

// leave takes this VM off its own list, so that it decides for no one any more.
func (r *registry) leave() {
	r.mu.Lock()
	if len(r.vms) > 1 {
		delete(r.vms, r.self.Name)
	}
	r.mu.Unlock()
	r.changed()
}

// list returns the VMs by name.
func (r *registry) list() []guavacoord.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.vms), func(a, b guavacoord.VM) int { return strings.Compare(a.Name, b.Name) })
}

// usable reports whether a server takes requests for the service.
func (r *registry) usable(service, id string) bool {
	s, ok := (*r.servers.Load())[id]
	return ok && s.Service == service && !s.Leaving
}

// serverList returns all servers.
func (r *registry) serverList() []guavatraffic.Server {
	return slices.Collect(maps.Values(*r.servers.Load()))
}

const (
	// registerPause is the wait before an announcement is repeated.
	registerPause = 200 * time.Millisecond
	// leaveTime bounds the taking back of the announcement.
	leaveTime = time.Second
)

// register announces the VM until the store has taken it.
func (r *registry) register(ctx context.Context) {
	data, err := json.Marshal(vmRecord{
		Domain: r.self.Domain, Region: r.self.Region, Address: r.self.Address, Incarnation: r.self.Incarnation,
		Cores: r.self.Cores,
	})
	if err != nil {
		r.logger.Error("VM not announced", "error", err)
		return
	}
	for ctx.Err() == nil {
		err := r.platform.Store.Commit(ctx, nil, []guavaplatform.Write{{Key: r.key(), Value: data}})
		if err == nil {
			r.logger.Info("VM announced", "address", r.self.Address)
			return
		}
		r.logger.Warn("VM not announced yet", "error", err)
		select {
		case <-time.After(registerPause):
		case <-ctx.Done():
		}
	}
}

// unregister takes the announcement back.
func (r *registry) unregister() {
	ctx, stop := context.WithTimeout(context.Background(), leaveTime)
	defer stop()
	for ctx.Err() == nil {
		err := r.platform.Store.Commit(ctx, nil, []guavaplatform.Write{{Key: r.key(), Delete: true}})
		if err == nil {
			return
		}
		r.logger.Warn("announcement not taken back yet", "error", err)
		select {
		case <-time.After(registerPause):
		case <-ctx.Done():
		}
	}
}

func (r *registry) key() string { return fmt.Sprintf("%s//%s", tableVMs, r.self.Name) }
