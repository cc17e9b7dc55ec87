// Package guavaconfig stores the operators' declarations as immutable, versioned snapshots.
package guavaconfig

// Declarations is the desired state that operators declare.
type Declarations struct {
	Domains  []FailureDomain `json:"domains"`
	Accounts []ClientAccount `json:"accounts"`
	Keys     []Key           `json:"keys,omitempty"`
	Routes   []Route         `json:"routes"`
	Models   []Model         `json:"models"`
	Servers  []BackendServer `json:"servers"`
}

// FailureDomain is a set of VMs and backend servers that can fail or be partitioned together.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// VMSlots is the number of VMs among which the domain's share of every rate limit is divided.
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

// Key is a caller's API key. Only the hash of its secret is stored.
type Key struct {
	// Name is the public identifier that the key's text contains.
	Name    string `json:"name"`
	Account string `json:"account"`
	// Hash is the SHA-256 of the secret in hexadecimal.
	Hash string `json:"hash"`
	// Routes restricts the key to these routes; empty allows those of its client account.
	Routes []string `json:"routes,omitempty"`
}

// Route maps a path prefix to the engines or to a plain service.
type Route struct {
	Name string `json:"name"`
	// Path is the prefix of the request's path.
	Path string `json:"path"`
	// Service is the name of a plain service; empty for the engines.
	Service string `json:"service,omitempty"`
	// Open routes need no API key.
	Open bool `json:"open,omitempty"`
	// Idempotent requests may be retried even when they may have been executed.
	Idempotent bool `json:"idempotent,omitempty"`
	// Deadline is the default in milliseconds for requests without a deadline.
	Deadline int64 `json:"deadline,omitempty"`
}

// Model is a model with the version and adapters to be served.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// MinServers is the number of backend servers that must serve the model at any time during a rollout.
	MinServers int `json:"least,omitempty"`
}

// BackendServer is a model engine or a server of a plain service.
type BackendServer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Service is the name of a plain service; empty for an engine.
	Service string `json:"service,omitempty"`
	// Models are the names of the models that an engine serves.
	Models []string `json:"models,omitempty"`
	// ChecksEpoch is true when the engine rejects orders with an outdated epoch.
	ChecksEpoch bool `json:"checks,omitempty"`
	// Leaving backend servers are being drained and get no new requests.
	Leaving bool `json:"leaving,omitempty"`
}
