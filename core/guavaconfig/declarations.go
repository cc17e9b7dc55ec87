// Package guavaconfig holds the operators' declarations as immutable versioned snapshots.
package guavaconfig

// Declarations is the wanted state that operators declare.
type Declarations struct {
	Domains  []FailureDomain `json:"domains"`
	Accounts []ClientAccount `json:"accounts"`
	Keys     []Key           `json:"keys,omitempty"`
	Routes   []Route         `json:"routes"`
	Models   []Model         `json:"models"`
	Servers  []BackendServer `json:"servers"`
}

// FailureDomain is a set of VMs and backend servers that can be cut off together.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// VMSlots is the number of VMs that share the domain's part of every rate.
	VMSlots int `json:"slots"`
}

// ClientAccount is a tenant with its agreed share of the fleet.
type ClientAccount struct {
	Name string `json:"name"`
	// Rate is in requests per second and Burst in requests, both counted over all VMs.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Weight is the share under contention, relative to other client accounts.
	Weight float64 `json:"weight"`
	// Routes names the routes that the client account may use; empty allows all.
	Routes []string `json:"routes,omitempty"`
}

// Key is a caller's key. Only its hash is held.
type Key struct {
	// Name is the public identifier inside the key's text.
	Name    string `json:"name"`
	Account string `json:"account"`
	// Hash is the SHA-256 of the secret in hexadecimal.
	Hash string `json:"hash"`
	// Routes restricts the key to these routes; empty allows those of its client account.
	Routes []string `json:"routes,omitempty"`
}

// Route leads a path to the engines or to a plain service.
type Route struct {
	Name string `json:"name"`
	// Path is the prefix of the request's path.
	Path string `json:"path"`
	// Service is the pool of plain backend servers; empty for the engines.
	Service string `json:"service,omitempty"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Idempotent requests may be run again.
	Idempotent bool `json:"idempotent,omitempty"`
	// Deadline is in milliseconds and is used when the caller gives none.
	Deadline int64 `json:"deadline,omitempty"`
}

// Model is a model with the version and adapters that are to be served.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// MinServers is the number of backend servers that must keep serving the model during a rollout.
	MinServers int `json:"least,omitempty"`
}

// BackendServer is a model engine or a plain service.
type BackendServer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Service is the pool of a plain service; empty for an engine.
	Service string `json:"service,omitempty"`
	// Models are the models that an engine is to serve.
	Models []string `json:"models,omitempty"`
	// ChecksEpoch is true when the engine refuses orders with an old epoch.
	ChecksEpoch bool `json:"checks,omitempty"`
	// Leaving backend servers get no new work.
	Leaving bool `json:"leaving,omitempty"`
}
