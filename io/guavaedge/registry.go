package guavaedge

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavamember"
	"guavaridge/core/guavaquota"
	"guavaridge/core/guavaroster"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavaplatform"
)

// tableVMs is the table in which VMs announce themselves.
const tableVMs = "vms"

// vmRecord is the row of a VM in tableVMs.
type vmRecord struct {
	Domain      string  `json:"domain"`
	Region      string  `json:"region"`
	Address     string  `json:"address"`
	Incarnation uint64  `json:"incarnation"`
	Cores       float64 `json:"cores"`
	// Joining says that some VMs may not know of this one yet. The VM itself clears it.
	Joining bool `json:"joining,omitempty"`
	// Lost is when others have found it missing, or when it has left, in Unix milliseconds; else 0. A VM that runs announces itself
	// again.
	Lost int64 `json:"lost,omitempty"`
	// Left says that it has left, so that nothing is to be decided by it.
	Left bool `json:"left,omitempty"`
}

// maxAbsence is how long after its loss a VM that starts again is still in the lists of all others. It allows for differences of
// their clocks.
const maxAbsence = guavaquota.Lease - 10*time.Second

// isRemembered reports whether all VMs still have this one in their lists, though it was lost or has left.
func (v vmRecord) isRemembered(now time.Time) bool {
	absence := now.Sub(time.UnixMilli(v.Lost))
	return absence > -maxAbsence && absence < maxAbsence
}

// standing returns how the VM counts in the shares of the rates.
func (v vmRecord) standing() guavaquota.Standing {
	switch {
	case v.Lost != 0:
		return guavaquota.Lost
	case v.Joining:
		return guavaquota.Joining
	}
	return guavaquota.Established
}

// vmEntry is a row of another VM as this VM knows it.
type vmEntry struct {
	record   vmRecord
	revision uint64
	seen     time.Time // when the row was first seen at this revision
}

// vm returns the VM of the entry.
func (e vmEntry) vm(name string) guavacoord.VM {
	v := e.record
	return guavacoord.VM{Cores: v.Cores, Identity: guavamember.Identity{
		Name: name, Domain: v.Domain, Region: v.Region, Address: v.Address, Incarnation: v.Incarnation,
	}}
}

// isListed reports whether the VM is in the list of VMs, which the store has confirmed at the given time. One that was lost leaves
// the list when no owner of rates grants its share any more. Without the store, it may be back.
func (e vmEntry) isListed(confirmed time.Time) bool {
	return e.record.Lost == 0 || confirmed.Sub(e.seen) < guavaquota.Lease
}

// maxVMCores bounds the cores of a VM. The largest machines for rent have about 2000. VMs with less than half of the
// cores of the largest neither read the store for others nor coordinate, so a row with far more would exclude all others.
const maxVMCores = 4096

// decodeVM decodes a row of tableVMs. Its errors do not contain the row's bytes, which may be those of another writer.
func decodeVM(name string, data []byte) (vmRecord, error) {
	var v vmRecord
	if err := json.Unmarshal(data, &v); err != nil {
		return vmRecord{}, errors.New("decode VM: no JSON value, or a field of another type")
	}
	_, port, err := net.SplitHostPort(v.Address)
	if err != nil {
		return vmRecord{}, errors.New("the address has no port")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return vmRecord{}, errors.New("the port is not a number of 1 to 65535")
	}
	if name == "" || !(v.Cores > 0 && v.Cores <= maxVMCores) {
		return vmRecord{}, fmt.Errorf("the name is missing or the cores are not in the range up to %d", maxVMCores)
	}
	return v, nil
}

// rowName returns the part of a row's key after the table and the partition. Names may contain slashes.
func rowName(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	_, name, _ := strings.Cut(rest, "/")
	return name
}

// registry holds the configuration, servers and VMs as read from the store.
type registry struct {
	self     guavacoord.VM
	platform Platform
	logger   hclog.Logger
	// onChange is called after a change of VMs or the configuration, onServerChange after the far more frequent changes of
	// servers.
	onChange       func()
	onServerChange func()

	config  atomic.Pointer[guavatraffic.Config]
	servers atomic.Pointer[guavaroster.List]

	// writing has one element while this VM's row in tableVMs is written, which is done by one call at a time.
	writing chan struct{}
	lost    chan struct{} // receives when the row has to be written again

	mu         sync.Mutex
	roster     *guavaroster.Roster
	vms        map[string]vmEntry // the other VMs
	removed    bool               // this VM is in its own list only if no other one is
	standing   guavaquota.Standing
	announced  uint64    // revision of this VM's row, 0 before its first write
	announceAt time.Time // when it was written
	joinedAt   time.Time // when it was written as that of a joining VM
	confirmed  time.Time // when the store last confirmed the list of VMs
	heldAt     time.Time // when the store last confirmed that this VM's row is not marked as lost
	settled    uint64    // newest revision that all VMs know
	leaving    bool      // the row has been removed or is about to be
	// invalid holds the revisions of the invalid rows that were logged, by key. Snapshots contain them again.
	invalid map[string]uint64
	// evacuated are the failure domains whose servers get no requests.
	evacuated map[string]bool

	coldTolerance guavatraffic.ColdTolerance
}

func newRegistry(self guavacoord.VM, p Platform, t guavatraffic.ColdTolerance, l hclog.Logger, onChange, onServerChange func()) *registry {
	r := &registry{
		self: self, platform: p, logger: l, onChange: onChange, onServerChange: onServerChange,
		writing: make(chan struct{}, 1), lost: make(chan struct{}, 1),
		roster: guavaroster.New(), vms: map[string]vmEntry{}, standing: guavaquota.Joining, invalid: map[string]uint64{},
		evacuated: map[string]bool{}, coldTolerance: t,
	}
	r.servers.Store(r.roster.List())
	return r
}

// applyConfig implements guavaview.Apply for the operator's table.
func (r *registry) applyConfig(changes []guavaplatform.RowChange, full bool) {
	r.applyEvacuations(changes, full)
	for _, c := range changes {
		if c.Key != r.platform.ConfigKey || c.Removed {
			continue
		}
		config, err := r.platform.DecodeConfig(c.Value)
		if err != nil {
			r.logger.Error("invalid configuration ignored", "revision", c.Revision, "error", err)
			continue
		}
		if old := r.config.Load(); old != nil && old.Version > config.Version {
			r.logger.Error("older configuration ignored", "version", config.Version, "in_force", old.Version)
			continue
		}
		config = config.WithColdTolerance(r.coldTolerance)
		r.config.Store(config)
		r.logger.Info("configuration in force", "version", config.Version, "routes", len(config.Routes),
			"accounts", len(config.Accounts))
	}
	r.onChange()
}

// applyEvacuations updates the set of evacuated failure domains, each of which has a row while it is evacuated.
func (r *registry) applyEvacuations(changes []guavaplatform.RowChange, full bool) {
	r.mu.Lock()
	if full {
		clear(r.evacuated)
	}
	for _, c := range changes {
		domain, ok := strings.CutPrefix(c.Key, r.platform.EvacuationPrefix)
		switch {
		case !ok || r.platform.EvacuationPrefix == "":
		case c.Removed:
			delete(r.evacuated, domain)
		default:
			r.evacuated[domain] = true
		}
	}
	domains := slices.Sorted(maps.Keys(r.evacuated))
	changed := r.roster.SetEvacuated(time.Now(), domains, func(service string) time.Duration {
		if c := r.config.Load(); c != nil {
			return c.Services[service].ColdTime
		}
		return 0
	})
	if changed {
		r.publishServers()
		r.logger.Info("evacuation", "domains", strings.Join(domains, ","))
	}
	r.mu.Unlock()
	if changed {
		r.onServerChange()
	}
}

// countServers returns the numbers of servers in evacuated failure domains and of cold servers.
func (r *registry) countServers() (evacuated, cold int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range r.servers.Load().Servers() {
		if r.evacuated[s.Domain] {
			evacuated++
		}
		if now.Before(s.ColdUntil) {
			cold++
		}
	}
	return evacuated, cold
}

// applyServers implements guavaview.Apply for the table of servers.
func (r *registry) applyServers(changes []guavaplatform.RowChange, full bool) {
	now := time.Now()
	r.mu.Lock()
	changed := false
	var list []guavatraffic.Server
	for _, c := range changes {
		id := rowName(c.Key)
		if c.Removed {
			delete(r.invalid, c.Key)
			r.logger.Info("server gone", "server", id)
			changed = r.roster.Remove(now, id) || changed
			continue
		}
		s, err := r.platform.DecodeServer(id, c.Value)
		if err != nil {
			r.logInvalid("invalid server entry ignored", c.Row, err)
			changed = r.roster.Remove(now, id) || changed
			continue
		}
		if old, ok := r.roster.Entry(id); !ok || old.Leaving != s.Leaving || old.Born != s.Born {
			r.logger.Info("server", "server", id, "service", s.Service, "address", s.Address, "leaving", s.Leaving)
		}
		if s.Cold > 0 {
			s.ColdUntil = now.Add(s.Cold)
		}
		list = append(list, s)
		if !full {
			changed = r.roster.Put(s) || changed
		}
	}
	if full {
		changed = r.roster.Replace(now, list) || changed
		r.forgetInvalid(r.platform.ServerTable, changes)
	}
	if changed {
		r.publishServers()
	}
	r.mu.Unlock()
	if changed {
		r.onServerChange()
	}
}

// logInvalid logs an invalid row, unless it was logged at this revision. The caller holds the lock.
func (r *registry) logInvalid(message string, row guavaplatform.Row, err error) {
	if revision, logged := r.invalid[row.Key]; logged && revision == row.Revision {
		return
	}
	r.invalid[row.Key] = row.Revision
	r.logger.Warn(message, "row", row.Key, "revision", row.Revision, "error", err)
}

// forgetInvalid forgets the invalid rows of a table that are not in its complete list of rows. The caller holds the lock.
func (r *registry) forgetInvalid(table string, rows []guavaplatform.RowChange) {
	listed := make(map[string]bool, len(rows))
	for _, c := range rows {
		listed[c.Key] = true
	}
	maps.DeleteFunc(r.invalid, func(key string, _ uint64) bool {
		return strings.HasPrefix(key, table+"/") && !listed[key]
	})
}

// publishServers replaces the list of servers that is read without the lock. The caller holds the lock.
func (r *registry) publishServers() { r.servers.Store(r.roster.List()) }

// RecordNotices implements guavacoord.Notices.
func (r *registry) RecordNotices(list []guavatraffic.Incarnation) {
	if !slices.ContainsFunc(list, func(i guavatraffic.Incarnation) bool { return !r.HasNotice(i) }) {
		return // the common case, since each response of a leaving server repeats its notice
	}
	r.mu.Lock()
	changed := false
	for _, i := range list {
		if r.roster.RecordNotice(i) {
			r.logger.Info("server leaving", "server", i.ID, "address", i.Address, "born", i.Born)
			changed = true
		}
	}
	if changed {
		r.publishServers()
	}
	r.mu.Unlock()
	if changed {
		r.onServerChange()
	}
}

// HasNotice implements guavacoord.Notices.
func (r *registry) HasNotice(i guavatraffic.Incarnation) bool { return r.servers.Load().HasNotice(i) }

// Notices implements guavacoord.Notices.
func (r *registry) Notices(service string) []guavatraffic.Incarnation {
	return r.servers.Load().Notices(service)
}

// recordStoreFailure records that the store does not respond to requests for the list of servers.
func (r *registry) recordStoreFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.RecordStoreFailure(time.Now())
}

// recordStoreResponse records that the store has responded at a time, that long after its last response before.
func (r *registry) recordStoreResponse(at time.Time, away time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roster.RecordStoreResponse(at, away) {
		r.logger.Info("servers renew their entries", "away", away.Milliseconds(), "pending", r.roster.PendingRemovals())
	}
}

// expire removes servers whose entries were not restored in time after an outage of the store.
func (r *registry) expire() {
	r.mu.Lock()
	expired := r.roster.Expire(time.Now())
	if expired {
		r.publishServers()
	}
	r.mu.Unlock()
	if expired {
		r.onServerChange()
	}
}

// applyVMs implements guavaview.Apply for the table of VMs.
func (r *registry) applyVMs(changes []guavaplatform.RowChange, full bool) {
	now := time.Now()
	r.mu.Lock()
	before := r.vms
	if full {
		r.vms = map[string]vmEntry{}
		r.forgetInvalid(tableVMs, changes)
	}
	listed, newest := false, uint64(0)
	for _, c := range changes {
		newest = max(newest, c.Revision)
		name := rowName(c.Key)
		if name == r.self.Name {
			listed = !c.Removed
			r.checkOwnRow(c)
			continue
		}
		if c.Removed {
			delete(r.invalid, c.Key)
			delete(r.vms, name)
			continue
		}
		v, err := decodeVM(name, c.Value)
		if err != nil {
			r.logInvalid("invalid VM entry ignored", c.Row, err)
			continue
		}
		e := vmEntry{record: v, revision: c.Revision, seen: now}
		if old, ok := before[name]; ok && old.revision == c.Revision {
			e.seen = old.seen
		}
		r.vms[name] = e
	}
	if full && !listed && r.announced != 0 && (newest > r.announced || time.Since(r.announceAt) > listingDelay) {
		r.announceAgain()
	}
	n := len(r.vms) + 1
	r.mu.Unlock()
	r.logger.Info("VMs", "known", n)
	r.onChange()
}

// checkOwnRow announces this VM again if a change after its announcement has removed its row, has marked it as lost, or has
// replaced it by that of an earlier process: a call of such a process without a response may still be executed seconds later. The
// caller holds the lock.
func (r *registry) checkOwnRow(c guavaplatform.RowChange) {
	if r.announced == 0 || c.Revision <= r.announced {
		return
	}
	var v vmRecord
	if c.Removed || json.Unmarshal(c.Value, &v) != nil || v.Incarnation < r.self.Incarnation || v.Lost != 0 {
		r.announceAgain()
	}
}

// announceAgain makes register write this VM's row again. The caller holds the lock.
func (r *registry) announceAgain() {
	if r.leaving {
		return
	}
	r.standing = guavaquota.Lost
	r.rewrite()
}

// rewrite makes register write this VM's row again if it is out of date.
func (r *registry) rewrite() {
	select {
	case r.lost <- struct{}{}:
	default: // it is about to
	}
}

// removeSelf removes this VM from its own list, so that it stops acting as a coordinator if there is another VM.
func (r *registry) removeSelf() {
	r.mu.Lock()
	r.removed = true
	r.mu.Unlock()
	r.onChange()
}

// list returns the VMs, sorted by name, and what the shares of the rates follow from.
func (r *registry) list() ([]guavacoord.VM, guavacoord.Membership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []guavacoord.VM
	m := guavacoord.Membership{Newest: r.announced}
	for name, e := range r.vms {
		m.Newest = max(m.Newest, e.revision)
		if !e.isListed(r.confirmed) {
			continue
		}
		m.Members = append(m.Members, guavaquota.Member{Name: name, Standing: e.record.standing()})
		if !e.record.Left {
			list = append(list, e.vm(name))
		}
	}
	if !r.removed || len(list) == 0 {
		list = append(list, r.self)
		m.Members = append(m.Members, guavaquota.Member{Name: r.self.Name, Standing: r.standing})
	}
	slices.SortFunc(list, func(a, b guavacoord.VM) int { return strings.Compare(a.Name, b.Name) })
	return list, m
}

// status returns whether a server accepts requests for the service.
func (r *registry) status(service string, i guavatraffic.Incarnation) guavaroster.Status {
	return r.servers.Load().Status(service, i)
}
