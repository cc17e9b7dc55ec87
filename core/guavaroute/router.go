// Package guavaroute selects the backend server for an attempt of a request.
package guavaroute

import (
	"math/rand/v2"
	"sync"
	"time"

	"guavaridge/core/guavaconfig"
)

// Request holds the properties of a request that the selection depends on.
type Request struct {
	Model, Adapter string
	// Service is the name of a plain service; empty for model engines.
	Service string
	// Prefixes are the identifiers of the prompt's prefixes by increasing length, the same as in cache events.
	Prefixes []string
	// Exclude names the servers of earlier attempts.
	Exclude []string
	// Away prefers servers of other failure domains, because the local one has no free capacity.
	Away bool
	// Alone selects the server with the fewest other requests.
	Alone bool
}

// Choice is a selected backend server.
type Choice struct {
	Server guavaconfig.BackendServer
	// Expected is the predicted time to first token, or to the response of a plain service.
	Expected time.Duration
	// Affinity is true when the server is expected to have a prefix of the prompt in its cache.
	Affinity bool
}

// Policy selects backend servers.
type Policy interface {
	// Choose returns false when no server may be used.
	Choose(r Request) (Choice, bool)
}

// Health returns the share of its normal traffic that a server may receive, 0 to 1, and the time to add to its
// predicted time to first token.
type Health interface {
	Share(server string) (share float64, penalty time.Duration)
}

const (
	// sampleSize is the number of servers compared for a request.
	sampleSize = 4
	// defaultTarget is the predicted time to first token above which servers of other failure domains are considered.
	// It is half of the online target of 1.6 s, to allow for the prediction error and the time in the VM's queue.
	defaultTarget = 800 * time.Millisecond
	// localLatency, regionLatency and crossRegionLatency are the assumed network latencies to servers of the same
	// failure domain, the same region and other regions.
	localLatency       = 500 * time.Microsecond
	regionLatency      = 2 * time.Millisecond
	crossRegionLatency = 60 * time.Millisecond
	// modelLoadTime and adapterLoadTime are the assumed times for an engine to load a model or adapter.
	modelLoadTime   = 30 * time.Second
	adapterLoadTime = 400 * time.Millisecond
	// initialServiceTime and initialFirstToken are the assumed durations of a request and of the time to its first
	// token before any request has been observed.
	initialServiceTime = 2 * time.Second
	initialFirstToken  = 100 * time.Millisecond
	// smoothing is the weight of one observation in the moving averages.
	smoothing = 0.05
	// tieTolerance is the relative difference up to which predictions count as equal; one of them is picked at random.
	tieTolerance = 0.02
)

// Option configures a Router.
type Option func(*Router)

// WithTarget sets the predicted time to first token above which servers of other failure domains are considered.
func WithTarget(d time.Duration) Option { return func(r *Router) { r.target = d } }

// WithSeed sets the seed of the random number generator.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithHealth sets the source of server health.
func WithHealth(h Health) Option { return func(r *Router) { r.health = h } }

// Router is the Policy that selects the server with the lowest predicted time to first token. It may be used
// concurrently.
type Router struct {
	mu            sync.Mutex
	domain        string
	target        time.Duration
	health        Health
	random        *rand.Rand
	version       uint64
	configured    bool
	pools         map[string]*pool
	views         map[string]*view
	arrivals      map[string]int
	prefixes      *prefixIndex
	latencies     map[string]*latencies
	prefixMatches []prefixMatch
	sample        []*member
}

// pool holds the servers of a model or service.
type pool struct {
	local, remote []*member
	byName        map[string]*member
	// averageLoad is the moving average of the number of requests per slot in load reports.
	averageLoad float64
}

type member struct {
	server         guavaconfig.BackendServer
	view           *view
	networkLatency time.Duration
}

// latencies holds the observed times of the requests to a model or service. Service is the moving average of the whole
// request, and firstToken that of the time to first token or, for a plain service, to the response.
type latencies struct {
	service, firstToken time.Duration
	// serviceP5 is the estimated 5th percentile of the time of a whole request.
	serviceP5 time.Duration
}

// NewRouter returns a router for a VM in the failure domain, without servers until Configure is called.
func NewRouter(domain string, opts ...Option) *Router {
	r := &Router{
		domain: domain, target: defaultTarget, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pools: map[string]*pool{}, views: map[string]*view{}, arrivals: map[string]int{},
		prefixes: newPrefixIndex(), latencies: map[string]*latencies{},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Configure applies a configuration. It returns false when the same or a later version has been applied already.
func (r *Router) Configure(s *guavaconfig.Snapshot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.configured && s.Version() <= r.version {
		return false
	}
	r.configured, r.version = true, s.Version()
	region := func(d string) string { f, _ := s.Domain(d); return f.Region }
	localRegion := region(r.domain)
	oldViews, oldPools := r.views, r.pools
	r.views, r.pools = map[string]*view{}, map[string]*pool{}
	for _, b := range s.Declarations().Servers {
		v := oldViews[b.Name]
		if v == nil {
			v = &view{latencyRatio: 1}
		}
		r.views[b.Name] = v
		v.pools = poolNames(b)
		if b.Leaving {
			continue
		}
		m := &member{server: b, view: v, networkLatency: localLatency}
		if b.Domain != r.domain {
			m.networkLatency = crossRegionLatency
			if region(b.Domain) == localRegion {
				m.networkLatency = regionLatency
			}
		}
		for _, name := range v.pools {
			p := r.pools[name]
			if p == nil {
				p = &pool{byName: map[string]*member{}}
				if o := oldPools[name]; o != nil {
					p.averageLoad = o.averageLoad
				}
				r.pools[name] = p
			}
			p.byName[b.Name] = m
			if b.Domain == r.domain {
				p.local = append(p.local, m)
			} else {
				p.remote = append(p.remote, m)
			}
		}
	}
	return true
}

// PoolName returns the name of the server pool for a plain service or, if service is empty, for a model.
func PoolName(service, model string) string {
	if service != "" {
		return "service/" + service
	}
	return "model/" + model
}

func poolNames(b guavaconfig.BackendServer) []string {
	if b.Service != "" {
		return []string{PoolName(b.Service, "")}
	}
	names := make([]string, 0, len(b.Models))
	for _, m := range b.Models {
		names = append(names, PoolName("", m))
	}
	return names
}
